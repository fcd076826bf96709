//! The duty to report: acquisition, writes of the object, and sends of reports.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::store::{Error, Object};
use tamaracksail_model::time::Instant;
use tamaracksail_model::usage::Report;
use tamaracksail_policy::duty::{Member, Record, Write, rank};
use tamaracksail_policy::freshness::Fact;
use tamaracksail_wire::peer::Reporter;

use super::state::{Usage, View};
use crate::gateway::now;
use crate::store::{self, Event, Watched};

/// The kind of the object.
const KIND: &str = "duties";

/// Its name.
const NAME: &str = "usage";

/// The number of gateways that may acquire the duty.
const CANDIDATES: usize = 3;

/// How long after its start a process does not acquire the duty while it does not know the other
/// gateways or which of them schedules batches. A reporter must exist within 3 s.
const START_DELAY: Duration = Duration::from_millis(1200);

/// How much later each further candidate acquires the duty.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// How long after acquiring the duty no window is closed, so that the counts of the other gateways
/// arrive.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// How long a gateway keeps the duty before it leaves it to another. The scheduling lease may move
/// with each batch.
const MIN_HOLDING_TIME: Duration = Duration::from_secs(10);

/// The time between two attempts to write the object.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

impl Usage {
    /// Does what is due.
    pub(super) fn tick(self: &Rc<Self>, now: Instant, view: &View) {
        if let Some(unix_ms) = view.unix_ms {
            self.set_clock(now, unix_ms);
        }
        let Some(unix_ms) = self.unix_ms(now) else {
            return;
        };
        self.discard_old(unix_ms);
        let mut members = view.members.clone();
        for member in &mut members {
            member.is_unresponsive = self.is_unresponsive(now, member.address);
        }
        let ranked = rank(NAME, members);
        self.push(now, &ranked);
        let is_started = now.since(self.started_at) >= START_DELAY
            || (view.is_scheduler_known && view.members.len() > 1);
        if !is_started {
            return;
        }
        let position = ranked
            .iter()
            .take(CANDIDATES)
            .position(|member| member.host == self.own.host);
        let is_holder = self.duty.borrow().is_holder();
        self.set_watch(position.is_some() || is_holder);
        let is_store_available = self.connections.store_availability.check(KIND).is_ok();
        if !is_store_available {
            self.duty.borrow_mut().record_store_unavailable(now);
        }
        if is_store_available && now.since(self.written_at.get()) >= WRITE_INTERVAL {
            let is_released = self.is_to_be_released(now, &ranked);
            let write = self.next_write(now, unix_ms, position, is_released);
            if let Some(write) = write {
                self.written_at.set(now);
                actix_rt::spawn(Rc::clone(self).write(write));
            }
        }
        if position.is_some() {
            self.check_holder(now);
        }
        if self.is_pull_due.replace(false)
            && let Some(reporter) = self.reporter()
        {
            self.pull(&ranked, &reporter);
        }
        if is_holder {
            self.send_due(now, unix_ms);
        }
    }

    /// Watches the object while the process is a candidate.
    fn set_watch(self: &Rc<Self>, is_candidate: bool) {
        let mut watch = self.watch.borrow_mut();
        if !is_candidate {
            if let Some(watch) = watch.take() {
                watch.abort();
            }
            return;
        }
        watch.get_or_insert_with(|| {
            let usage = Rc::clone(self);
            actix_rt::spawn(async move {
                let connections = &usage.connections;
                store::watch_kind(
                    connections.store.clone(),
                    connections.store_availability.clone(),
                    Watched {
                        kind: KIND,
                        fact: Fact::Duties,
                        debounce: Duration::ZERO,
                    },
                    |event| usage.observe_event(&event),
                )
                .await;
            })
        });
    }

    fn observe_event(&self, event: &Event) {
        match event {
            Event::All(objects) => match objects.iter().find(|object| object.name == NAME) {
                Some(object) => self.observe(object),
                None => self.duty.borrow_mut().observe_absent(now()),
            },
            Event::Changed(object) if object.name == NAME => self.observe(object),
            Event::Removed(object) if object.name == NAME => {
                self.duty.borrow_mut().observe_absent(now());
            }
            Event::Changed(_)
            | Event::Removed(_)
            | Event::Answered(_)
            | Event::WatchLost
            | Event::StoreFailed
            | Event::Overdue => {}
        }
    }

    /// Records the object as the store holds it.
    fn observe(&self, object: &Object) {
        match object.spec::<Record>() {
            Ok(record) => self.observe_record(object.revision, record),
            Err(error) => {
                log::error!(revision = object.revision, error:%; "malformed object of the usage duty ignored");
            }
        }
    }

    fn observe_record(&self, revision: u64, record: Record) {
        let reporter = Reporter {
            fence: record.fence,
            address: record.holder.address,
        };
        let (host, fence) = (record.holder.host.clone(), record.fence);
        let is_changed = self.duty.borrow_mut().observe(now(), revision, record);
        if is_changed {
            log::info!(host, fence, revision; "usage duty has a new holder");
        }
        self.adopt_reporter(reporter);
        let duty = self.duty.borrow();
        let Some(record) = duty.record() else {
            return;
        };
        self.collection.borrow_mut().close_before(record.next);
        if is_changed && duty.is_holder() {
            log::info!(fence; "usage duty acquired");
            self.acquired_at.set(Some(now()));
            self.is_pull_due.set(true);
        }
        let fixed: &[Report] = if duty.is_holder() { &record.fixed } else { &[] };
        let confirmed = self.confirmed.borrow();
        let mut outbox = self.outbox.borrow_mut();
        outbox.set(now(), fixed, |window| confirmed.contains(&window));
    }

    /// Whether this process, if it holds the duty, should leave it: it schedules batches, and a gateway
    /// that does not has CPU time to spare.
    fn is_to_be_released(&self, now: Instant, ranked: &[Member]) -> bool {
        let mut members = ranked.iter();
        let is_scheduler = members.any(|own| own.host == self.own.host && own.is_scheduler);
        let has_better = ranked
            .first()
            .is_some_and(|best| !best.is_scheduler && !best.is_unresponsive && best.has_spare_cpu);
        let is_held_long = self
            .acquired_at
            .get()
            .is_some_and(|at| now.since(at) >= MIN_HOLDING_TIME);
        is_scheduler && has_better && is_held_long
    }

    /// Returns the write of the object that is due. `position` is that among the candidates.
    fn next_write(
        &self,
        now: Instant,
        unix_ms: u64,
        position: Option<usize>,
        is_released: bool,
    ) -> Option<Write> {
        let mut duty = self.duty.borrow_mut();
        if let Some(write) = duty.retry() {
            return Some(write);
        }
        if !duty.is_holder() {
            let delay = RANK_DELAY * u32::try_from(position?).unwrap_or(u32::MAX);
            let is_acquirable = now >= duty.acquirable_from()?.after(delay);
            // Requests may have begun in the window before this one, while no reporter was known.
            let first = self.windows.at(unix_ms).minus(1);
            return is_acquirable.then(|| duty.acquire(now, first));
        }
        let is_settled = self
            .acquired_at
            .get()
            .is_some_and(|at| now.since(at) >= SETTLE_TIME);
        let next = duty.record()?.next;
        let first_open = self.windows.first_open(unix_ms);
        if !is_settled || first_open <= next {
            return None;
        }
        drop(duty);
        self.merge_own();
        let oldest = self.oldest_window(unix_ms);
        let collection = self.collection.borrow();
        let mut fixed: Vec<Report> = self.outbox.borrow().reports().collect();
        let mut window = next.max(oldest);
        while window < first_open {
            fixed.push(Report {
                window,
                counts: collection.total(window),
            });
            window = window.next();
        }
        self.duty
            .borrow_mut()
            .renew(now, first_open, fixed, is_released)
    }

    /// Writes the object.
    async fn write(self: Rc<Self>, write: Write) {
        let store = &self.connections.store;
        let outcome = match write.revision {
            None => store.create(KIND, NAME, &write.record).await,
            Some(revision) => store.replace(KIND, NAME, revision, &write.record).await,
        };
        match outcome {
            Ok(object) => self.observe_record(object.revision, write.record),
            Err(error) => self.record_failure(error).await,
        }
    }

    async fn record_failure(&self, error: Error) {
        log::info!(error:%; "usage duty not written");
        match error {
            Error::Conflict { object, .. } => {
                let object = match object {
                    Some(object) => Some(*object),
                    None => self.connections.store.get(KIND, NAME).await.ok(),
                };
                if let Some(object) = object {
                    self.observe(&object);
                }
                // Without the object, whether an attempt was applied is not known.
                self.duty.borrow_mut().record_failure(true);
            }
            Error::Missing { .. } => self.duty.borrow_mut().observe_absent(now()),
            Error::NotDone { .. } => self.duty.borrow_mut().record_failure(false),
            Error::Unknown { .. } | Error::HistoryGone { .. } => {
                self.duty.borrow_mut().record_failure(true);
            }
        }
    }

    /// Sends the reports that are due, while the process may send.
    fn send_due(self: &Rc<Self>, now: Instant, unix_ms: u64) {
        let mut outbox = self.outbox.borrow_mut();
        for window in outbox.give_up_before(self.oldest_window(unix_ms)) {
            log::error!(window = window.0; "usage report given up, the window is too old");
            self.count_report("given up");
        }
        if self.duty.borrow().fence_to_send(now).is_none() {
            return;
        }
        if let Some(report) = outbox.take_due(now) {
            actix_rt::spawn(Rc::clone(self).send_report(report));
        }
    }

    async fn send_report(self: Rc<Self>, report: Report) {
        let fence = || self.duty.borrow().fence_to_send(now());
        let outcome = self.client.report(&self.own.host, &report, fence).await;
        let window = report.window;
        let at = now();
        let age_ms = self
            .unix_ms(at)
            .map(|unix_ms| unix_ms.saturating_sub(self.windows.end_ms(window)));
        let requests: u64 = report.counts.values().sum();
        match outcome {
            Ok(()) => {
                self.outbox.borrow_mut().record_confirmed(window);
                self.confirmed.borrow_mut().insert(window);
                log::info!(
                    window = window.0, accounts = report.counts.len(), requests, age_ms;
                    "usage reported"
                );
                if age_ms.is_some_and(|age| u128::from(age) > self.cloud.report_limit.as_millis()) {
                    log::warn!(window = window.0, age_ms; "usage reported late");
                }
                self.count_report("confirmed");
            }
            Err(error) => {
                log::warn!(window = window.0, requests, age_ms, error:%; "usage report not confirmed");
                let waits = error.is_of_cloud();
                self.outbox.borrow_mut().record_failure(at, window, waits);
                self.count_report("failed");
            }
        }
    }

    fn count_report(&self, outcome: &str) {
        self.connections.reports.with_label_values(&[outcome]).inc();
    }
}
