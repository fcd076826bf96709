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
use super::result_log::ResultLog;
use super::schema;
use super::{item_run, lease_loop, partial_texts, result_writer, weight_loading};
use crate::gateway::{Gateway, now, peer_address};

/// How often the scheduler looks at the time while batches are open: a fraction of the silence
/// after which an engine counts as stuck, and of the time for which results gather.
const TURN: Duration = Duration::from_millis(50);

/// Between two looks whether the store answers a process that is to stop.
const STOP_LOOK: Duration = Duration::from_millis(200);

/// How long a peer that did not answer is not asked again: the span in which those who wait for the
/// lease look at it.
const UNRESPONSIVE_PEER_BACKOFF: Duration = Duration::from_secs(1);

/// How long the lease lasts. Its loss costs a step that is due each four seconds this time and
/// more; a holder that the store leaves alone longer goes on with what needs no lease.
const LEASE: Duration = Duration::from_secs(2);

/// All that this process knows of batches.
#[derive(Debug)]
pub struct Coordinator {
    pub(super) scheduler: RefCell<Scheduler>,
    pub(super) lease: RefCell<Lease>,
    /// Until when this process wants to hold the lease.
    pub(super) wanted_until: Cell<Instant>,
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
    stopped_at: Cell<Instant>,
    pub(super) result_logs: RefCell<BTreeMap<String, ResultLog>>,
    pub(super) abort_handles: RefCell<BTreeMap<u64, AbortHandle>>,
    pub(super) batch_ids: RefCell<BTreeMap<BatchKey, String>>,
    next_result_log: Cell<u64>,
    /// Batches known to have ended while this process schedules.
    pub(super) ended_batches: RefCell<BTreeSet<String>>,
    /// Held while an ended batch is brought into memory, so that it is brought once.
    pub(super) reloads: RefCell<BTreeMap<String, Rc<Mutex<()>>>>,
    /// Held while the lease is written, so that giving it up waits for a renewal on its way.
    pub(super) lease_write: Mutex<()>,
    /// Since when the store does not answer the lease's calls.
    pub(super) store_failing_since: Cell<Option<Instant>>,
    /// When the last order was given, or this process began.
    pub(super) last_command: Cell<Instant>,
    /// Where the peer answers to which the last holder known here left the lease.
    pub(super) successor: Cell<Option<SocketAddr>>,
    /// The peer that did not answer last, and when.
    unresponsive_peer: Cell<Option<(SocketAddr, Instant)>>,
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
            lease: RefCell::new(Lease::new(LEASE, settings.lease_duration, own)),
            wanted_until: Cell::new(Instant(0)),
            deference: RefCell::default(),
            wake_lease_loop: Notify::new(),
            is_scheduling: Cell::new(false),
            term_count: Cell::new(0),
            partial_texts: Readiness::default(),
            stopped_at: Cell::new(Instant(0)),
            result_logs: RefCell::default(),
            abort_handles: RefCell::default(),
            batch_ids: RefCell::default(),
            next_result_log: Cell::new(0),
            ended_batches: RefCell::default(),
            reloads: RefCell::default(),
            lease_write: Mutex::new(()),
            store_failing_since: Cell::new(None),
            last_command: Cell::new(now()),
            successor: Cell::new(None),
            unresponsive_peer: Cell::new(None),
            lease_changed: Notify::new(),
            wake: Notify::new(),
        }
    }

    /// Takes in what a backend server says of itself.
    pub fn update_engine(&self, registration: Registration) {
        self.scheduler.borrow_mut().engine(now(), registration);
        self.wake.notify_one();
    }

    /// Forgets a backend server.
    pub fn remove_engine(&self, instance: &str) {
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
        fence.filter(|_| self.store_failing_since.get().is_none())
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
        self.wanted_until.set(Instant(0));
        while self.is_scheduling.get()
            && now() < deadline
            && !lease_loop::reaches_store(gateway).await
        {
            tokio::time::sleep(STOP_LOOK).await;
        }
        self.stop_scheduling("this process stops");
        let _call = self.lease_write.lock().await;
        let given_up = self.lease.borrow_mut().give_up();
        self.lease_changed.notify_waiters();
        let Some((revision, record)) = given_up else {
            return;
        };
        let written = gateway
            .store
            .replace(schema::LEASES, schema::LEASE, revision, &record)
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
            .filter(|peer| *peer != own && !self.is_unresponsive(*peer))
            .collect();
        peers.dedup();
        peers
    }

    /// Notes that a peer did not answer.
    pub(super) fn mark_unresponsive(&self, peer: SocketAddr) {
        self.unresponsive_peer.set(Some((peer, now())));
    }

    fn is_unresponsive(&self, peer: SocketAddr) -> bool {
        let is_recent = |at: Instant| now().since(at) < UNRESPONSIVE_PEER_BACKOFF;
        matches!(self.unresponsive_peer.get(), Some((unresponsive_peer, at)) if unresponsive_peer == peer && is_recent(at))
    }

    /// Returns the sequence number for a new result log.
    pub(super) fn next_result_log_number(&self) -> u64 {
        let number = self.next_result_log.get();
        self.next_result_log.set(number + 1);
        number
    }

    /// Every text of unfinished items whose place leaves `part` when divided by `parts`.
    pub fn partial_texts(&self, part: usize, parts: usize) -> Vec<(String, Draft)> {
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
    pub(super) fn start_scheduling(&self) {
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
        self.is_scheduling.get() || now().since(self.stopped_at.get()) < partial_texts::HELD
    }

    /// Stops all that runs and forgets all batches.
    pub(super) fn stop_scheduling(&self, reason: &str) {
        if !self.is_scheduling.replace(false) {
            return;
        }
        self.stopped_at.set(now());
        self.partial_texts.set_ready(false);
        log::info!(reason, batches = self.result_logs.borrow().len(); "scheduling ends");
        for (_, task) in std::mem::take(&mut *self.abort_handles.borrow_mut()) {
            task.abort();
        }
        for result_log in std::mem::take(&mut *self.result_logs.borrow_mut()).into_values() {
            result_log.changed.notify_waiters();
        }
        self.batch_ids.borrow_mut().clear();
        self.ended_batches.borrow_mut().clear();
        // The tasks of its runs are stopped above.
        drop(self.scheduler.borrow_mut().close(now()));
        self.lease_changed.notify_waiters();
    }

    /// Ends a batch that this process schedules.
    pub(super) fn end(&self, id: &str) {
        // It may still be on its way here from the store.
        self.ended_batches.borrow_mut().insert(id.to_owned());
        let batch = match self.result_logs.borrow_mut().get_mut(id) {
            Some(result_log) => {
                result_log.changed.notify_waiters();
                result_log.batch.take()
            }
            None => None,
        };
        if let Some(batch) = batch {
            log::info!(batch = id; "batch ended");
            self.batch_ids.borrow_mut().remove(&batch);
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
            coordinator.stop_scheduling("the lease was lost");
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
            engine,
            item,
            after,
            version,
            ..
        } => {
            let (registration, batch) = {
                let scheduler = coordinator.scheduler.borrow();
                (
                    scheduler.registration(engine).cloned(),
                    scheduler.batch(run),
                )
            };
            let Some(registration) = registration else {
                return;
            };
            let batch_ids = coordinator.batch_ids.borrow();
            let batch = batch
                .and_then(|batch| batch_ids.get(&batch))
                .map(String::as_str);
            log::info!(
                item = item.id.as_str(), batch, run, server = registration.instance.as_str(), after;
                "item sent"
            );
            drop(batch_ids);
            let task = actix_rt::spawn(item_run::run(
                Rc::clone(gateway),
                run,
                registration,
                item,
                after,
                version,
            ));
            coordinator
                .abort_handles
                .borrow_mut()
                .insert(run, task.abort_handle());
        }
        Action::Stop { run, reason } => {
            if let Some(task) = coordinator.abort_handles.borrow_mut().remove(&run) {
                task.abort();
                log::info!(run, reason; "run stopped");
            }
        }
        Action::WriteResults { batch, results } => {
            let id = coordinator.batch_ids.borrow().get(&batch).cloned();
            if let Some(id) = id {
                actix_rt::spawn(result_writer::write(Rc::clone(gateway), batch, id, results));
            }
        }
        Action::Order {
            engine,
            model,
            version,
        } => {
            actix_rt::spawn(weight_loading::load(
                Rc::clone(gateway),
                engine,
                model,
                version,
            ));
        }
    }
}
