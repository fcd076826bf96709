//! Process-wide state of batch scheduling, and the loop that carries out the scheduler's actions.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::settings::Settings;
use tamaracksail_model::backend::Registration;
use tamaracksail_model::batch::Draft;
use tamaracksail_model::table::{Table, draw_target};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::batch::{Action, BatchKey, Scheduler};
use tamaracksail_policy::deference::Deference;
use tamaracksail_policy::lease::{Candidate, Lease};
use tokio::sync::{Mutex, Notify};
use tokio::task::AbortHandle;

use super::readiness::Readiness;
use super::record;
use super::result_log::ResultLog;
use super::{lease_loop, listing, orders, partial_texts, running};
use crate::gateway::{Gateway, now, peer_address};

/// How often the scheduler looks at the time while batches are open: a fraction of the silence
/// after which an engine counts as stuck, and of the time for which results gather.
const TURN: Duration = Duration::from_millis(50);

/// Between two looks whether the store answers a process that is to stop.
const STOP_LOOK: Duration = Duration::from_millis(200);

/// How long a peer that did not answer is not asked again: the span in which those who wait for the
/// lease look at it.
const SILENT: Duration = Duration::from_secs(1);

/// How long the lease lasts. Its loss costs a step that is due each four seconds this time and
/// more; a holder that the store leaves alone longer goes on with what needs no lease.
const LEASE: Duration = Duration::from_secs(2);

/// All that this process knows of batches.
#[derive(Debug)]
pub struct Coordinator {
    pub(super) scheduler: RefCell<Scheduler>,
    pub(super) lease: RefCell<Lease>,
    /// Until when this process wants to hold the lease.
    pub(super) wanted: Cell<Instant>,
    pub(super) deference: RefCell<Deference>,
    /// Wakes the keeper of the lease.
    pub(super) wake_lease_loop: Notify,
    /// Whether the lease is held and everything was taken over.
    pub(super) is_scheduling: Cell<bool>,
    /// How often this process has begun to schedule.
    term_count: Cell<u64>,
    /// Whether the text of unfinished items has come here.
    pub(super) partial_texts: Readiness,
    /// When scheduling ended here.
    closed: Cell<Instant>,
    pub(super) result_logs: RefCell<BTreeMap<String, ResultLog>>,
    pub(super) tasks: RefCell<BTreeMap<u64, AbortHandle>>,
    pub(super) names: RefCell<BTreeMap<BatchKey, String>>,
    next_result_log: Cell<u64>,
    /// Batches known to have ended while this process schedules.
    pub(super) ended: RefCell<BTreeSet<String>>,
    /// Held while an ended batch is brought into memory, so that it is brought once.
    pub(super) reloads: RefCell<BTreeMap<String, Rc<Mutex<()>>>>,
    /// Held while the lease is written, so that giving it up waits for a renewal on its way.
    pub(super) lease_call: Mutex<()>,
    /// Since when the store does not answer the lease's calls.
    pub(super) failing_since: Cell<Option<Instant>>,
    /// When the last order was given, or this process began.
    pub(super) last_command: Cell<Instant>,
    /// Where the peer answers to which the last holder known here left the lease.
    pub(super) successor: Cell<Option<SocketAddr>>,
    /// The peer that did not answer last, and when.
    silent: Cell<Option<(SocketAddr, Instant)>>,
    /// Wakes those who ask whether the lease is held.
    pub(super) lease_changed: Notify,
    /// Wakes the scheduling loop.
    wake: Notify,
}

impl Coordinator {
    /// Returns a coordinator that does not hold the lease.
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        let own = Candidate {
            host: settings.host.clone(),
            address: peer_address(settings),
            incarnation,
        };
        Self {
            scheduler: RefCell::default(),
            lease: RefCell::new(Lease::new(LEASE, settings.lease, own)),
            wanted: Cell::new(Instant(0)),
            deference: RefCell::default(),
            wake_lease_loop: Notify::new(),
            is_scheduling: Cell::new(false),
            term_count: Cell::new(0),
            partial_texts: Readiness::default(),
            closed: Cell::new(Instant(0)),
            result_logs: RefCell::default(),
            tasks: RefCell::default(),
            names: RefCell::default(),
            next_result_log: Cell::new(0),
            ended: RefCell::default(),
            reloads: RefCell::default(),
            lease_call: Mutex::new(()),
            failing_since: Cell::new(None),
            last_command: Cell::new(now()),
            successor: Cell::new(None),
            silent: Cell::new(None),
            lease_changed: Notify::new(),
            wake: Notify::new(),
        }
    }

    /// Takes in what a backend server says of itself.
    pub fn engine(&self, registration: Registration) {
        self.scheduler.borrow_mut().engine(now(), registration);
        self.wake.notify_one();
    }

    /// Forgets a backend server.
    pub fn engine_gone(&self, instance: &str) {
        self.scheduler.borrow_mut().engine_gone(now(), instance);
        self.wake.notify_one();
    }

    /// Applies new routes to open batches.
    pub fn reroute(&self, gateway: &Gateway) {
        if let Some(table) = gateway.table() {
            self.scheduler
                .borrow_mut()
                .reroute(now(), |host, path| service(&table, host, path));
            self.wake.notify_one();
        }
    }

    /// The fencing number, while orders may be given.
    pub(super) fn command_fence(&self) -> Option<u64> {
        let fence = self.lease.borrow().order_fence(now());
        fence.filter(|_| self.failing_since.get().is_none())
    }

    /// The host name under which a run's batch was submitted.
    pub(super) fn host_of(&self, run: u64) -> Option<String> {
        self.scheduler.borrow().host(run).map(str::to_owned)
    }

    /// Lets the scheduler decide soon.
    pub(super) fn wake_scheduler(&self) {
        self.wake.notify_one();
    }

    /// Gives the lease back and stops what runs. Another gateway goes on from the store.
    /// While the store is away nobody could, so this process goes on until `deadline` at the latest.
    pub async fn hand_over(&self, gateway: &Gateway, deadline: Instant) {
        self.wanted.set(Instant(0));
        while self.is_scheduling.get()
            && now() < deadline
            && !lease_loop::reaches_store(gateway).await
        {
            tokio::time::sleep(STOP_LOOK).await;
        }
        self.close("this process stops");
        let _call = self.lease_call.lock().await;
        let given_up = self.lease.borrow_mut().give_up();
        self.lease_changed.notify_waiters();
        let Some((revision, record)) = given_up else {
            return;
        };
        let written = gateway
            .store
            .replace(record::LEASES, record::LEASE, revision, &record)
            .await;
        match written {
            Ok(_) => log::info!(fence = record.fence; "lease given back"),
            Err(error) => log::warn!(error:%; "lease not given back, it lapses"),
        }
    }

    /// Other gateways that probably reach the store: the holder of the lease, and the one to which
    /// it was left.
    pub(super) fn peers(&self, gateway: &Gateway) -> Vec<SocketAddr> {
        let holder = self
            .lease
            .borrow()
            .record()
            .and_then(|record| record.address);
        let own = gateway.peer_address();
        let mut peers: Vec<SocketAddr> = holder
            .into_iter()
            .chain(self.successor.get())
            .filter(|peer| *peer != own && !self.is_silent(*peer))
            .collect();
        peers.dedup();
        peers
    }

    /// Notes that a peer did not answer.
    pub(super) fn note_silent(&self, peer: SocketAddr) {
        self.silent.set(Some((peer, now())));
    }

    fn is_silent(&self, peer: SocketAddr) -> bool {
        let is_recent = |at: Instant| now().since(at) < SILENT;
        matches!(self.silent.get(), Some((silent, at)) if silent == peer && is_recent(at))
    }

    /// Returns the sequence number for a new result log.
    pub(super) fn next_result_log_number(&self) -> u64 {
        let number = self.next_result_log.get();
        self.next_result_log.set(number + 1);
        number
    }

    /// Every text of unfinished items whose place leaves `part` when divided by `parts`.
    pub fn drafts(&self, part: usize, parts: usize) -> Vec<(String, Draft)> {
        let drafts = self.scheduler.borrow().drafts(now());
        drafts
            .into_iter()
            .skip(part)
            .step_by(parts.max(1))
            .collect()
    }

    /// Groups that later batches may bring again.
    pub fn past_groups(&self) -> Vec<String> {
        self.scheduler.borrow().past_groups()
    }

    /// Begins to schedule.
    pub(super) fn begin(&self) {
        self.term_count.set(self.term_count.get() + 1);
        self.is_scheduling.set(true);
    }

    /// The number of the present term; none if this process does not schedule. What was read
    /// or written under one term says nothing under the next, since another process may have
    /// scheduled between them.
    pub(super) fn term(&self) -> Option<u64> {
        self.is_scheduling.get().then(|| self.term_count.get())
    }

    /// Whether this process schedules, or stopped so lately that its text may still be asked for.
    pub fn is_needed(&self) -> bool {
        self.is_scheduling.get() || now().since(self.closed.get()) < partial_texts::HELD
    }

    /// Stops all that runs and forgets all batches.
    pub(super) fn close(&self, reason: &str) {
        if !self.is_scheduling.replace(false) {
            return;
        }
        self.closed.set(now());
        self.partial_texts.set_ready(false);
        log::info!(reason, batches = self.result_logs.borrow().len(); "scheduling ends");
        for (_, task) in std::mem::take(&mut *self.tasks.borrow_mut()) {
            task.abort();
        }
        for result_log in std::mem::take(&mut *self.result_logs.borrow_mut()).into_values() {
            result_log.changed.notify_waiters();
        }
        self.names.borrow_mut().clear();
        self.ended.borrow_mut().clear();
        // The tasks of its runs are stopped above.
        drop(self.scheduler.borrow_mut().close(now()));
        self.lease_changed.notify_waiters();
    }

    /// Ends a batch that this process schedules.
    pub(super) fn end(&self, id: &str) {
        // It may still be on its way here from the store.
        self.ended.borrow_mut().insert(id.to_owned());
        let batch = match self.result_logs.borrow_mut().get_mut(id) {
            Some(result_log) => {
                result_log.changed.notify_waiters();
                result_log.batch.take()
            }
            None => None,
        };
        if let Some(batch) = batch {
            log::info!(batch = id; "batch ended");
            self.names.borrow_mut().remove(&batch);
            self.scheduler.borrow_mut().end(now(), batch);
            self.wake_scheduler();
        }
    }
}

/// The service that answers a path.
pub(super) fn service(table: &Table, host: &str, path: &str) -> Option<String> {
    let route = table.find(host, path)?;
    draw_target(&route.targets, rand::random()).map(|target| target.service.clone())
}

/// Carries out what the scheduler decides, for ever.
pub async fn run_scheduler(gateway: Rc<Gateway>) {
    let coordinator = &gateway.coordinator;
    loop {
        let has_work = coordinator.is_scheduling.get() && coordinator.scheduler.borrow().is_busy();
        if has_work {
            tokio::select! {
                () = coordinator.wake.notified() => {}
                () = tokio::time::sleep(TURN) => {}
            }
        } else {
            coordinator.wake.notified().await;
        }
        if !coordinator.is_scheduling.get() {
            continue;
        }
        let is_held = coordinator.lease.borrow().fence(now()).is_some();
        if !is_held && !coordinator.lease.borrow().is_unchallenged() {
            coordinator.close("the lease was lost");
            continue;
        }
        let may_order = coordinator.command_fence().is_some();
        let actions = coordinator.scheduler.borrow_mut().pump(now(), may_order);
        for action in actions {
            perform(&gateway, action);
        }
    }
}

fn perform(gateway: &Rc<Gateway>, action: Action) {
    let coordinator = &gateway.coordinator;
    match action {
        Action::Start {
            run,
            seat,
            item,
            after,
            version,
            ..
        } => {
            let (registration, batch) = {
                let scheduler = coordinator.scheduler.borrow();
                (scheduler.registration(seat).cloned(), scheduler.batch(run))
            };
            let Some(registration) = registration else {
                return;
            };
            let names = coordinator.names.borrow();
            let batch = batch
                .and_then(|batch| names.get(&batch))
                .map(String::as_str);
            log::info!(
                item = item.id.as_str(), batch, run, server = registration.instance.as_str(), after;
                "item sent"
            );
            drop(names);
            let task = actix_rt::spawn(running::run(
                Rc::clone(gateway),
                run,
                registration,
                item,
                after,
                version,
            ));
            coordinator
                .tasks
                .borrow_mut()
                .insert(run, task.abort_handle());
        }
        Action::Stop { run, reason } => {
            if let Some(task) = coordinator.tasks.borrow_mut().remove(&run) {
                task.abort();
                log::info!(run, reason; "run stopped");
            }
        }
        Action::List { batch, listings } => {
            let id = coordinator.names.borrow().get(&batch).cloned();
            if let Some(id) = id {
                actix_rt::spawn(listing::list(Rc::clone(gateway), batch, id, listings));
            }
        }
        Action::Order {
            seat,
            model,
            version,
        } => {
            actix_rt::spawn(orders::load(Rc::clone(gateway), seat, model, version));
        }
    }
}
