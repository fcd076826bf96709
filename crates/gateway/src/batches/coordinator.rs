//! Process-wide state of batch scheduling, and the loop that carries out the scheduler's actions.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::settings::Settings;
use tamaracksail_model::backend::Registration;
use tamaracksail_model::batch::PartialText;
use tamaracksail_model::carried::Carried;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::acquire_delay::AcquireDelay;
use tamaracksail_policy::batch::{Action, BatchKey, Register, Scheduler};
use tamaracksail_policy::lease::{Candidate, Lease};
use tokio::sync::{Mutex, Notify};
use tokio::task::AbortHandle;

use super::owner::Owners;
use super::readiness::Readiness;
use super::reads::Reads;
use super::reload::Reloads;
use super::result_log::ResultLog;
use super::schema;
use super::service::resolve_service;
use super::{item_run, lease_loop, orders, partial_texts, result_writer, reward_calls, waits};
use crate::gateway::{Gateway, now, peer_address};
use crate::limits;

/// The longest time between two scheduling passes while batches are open: a fraction of the silence
/// after which an engine counts as stuck, and of the delay for which results are coalesced.
const SCHEDULING_INTERVAL: Duration = Duration::from_millis(50);

/// The time between two probes of the store by a stopping process that waits for it.
const STOP_PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// How long a peer that did not respond is not asked again. As long as the interval at which
/// processes that wait for the lease check it.
const UNRESPONSIVE_PEER_BACKOFF: Duration = Duration::from_secs(1);

/// The duration of the lease. When a holder is lost, a training step, which is due every four
/// seconds, is delayed by at least this time. A holder that cannot reach the store for longer
/// continues with what does not need the lease.
const LEASE_DURATION: Duration = Duration::from_secs(2);

/// How this process holds the scheduling lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tenure {
    /// The lease is valid.
    Held,
    /// The lease has expired while the store is unreachable, and no other holder is known.
    Lapsed,
    /// It does not hold the lease.
    None,
}

/// Process-wide state of batch scheduling.
#[derive(Debug)]
pub struct Coordinator {
    pub(super) scheduler: RefCell<Scheduler>,
    pub(super) lease: RefCell<Lease>,
    /// The time until which this process tries to hold the lease.
    pub(super) wanted_until: Cell<Instant>,
    pub(super) acquire_delay: RefCell<AcquireDelay>,
    /// Wakes the lease loop.
    pub(super) wake_lease_loop: Notify,
    /// Whether this process schedules. It continues after its lease has expired until another
    /// process acquires it.
    pub(super) is_scheduling: Cell<bool>,
    /// The number of times that this process has started scheduling.
    term_count: Cell<u64>,
    /// Whether the partial texts of unfinished items are loaded.
    pub(super) partial_texts: Readiness,
    /// Limits the batches that are read at a time.
    pub(super) reads: Reads,
    /// When this process last stopped scheduling.
    stopped_at: Cell<Instant>,
    /// The batches in memory. Only while this process schedules.
    pub(super) batches: RefCell<Register<BatchKey, ResultLog>>,
    /// The tasks of the present term: those of runs under the run's number, others under numbers
    /// counted down from the largest.
    pub(super) abort_handles: RefCell<BTreeMap<u64, AbortHandle>>,
    /// The tasks of sends of reward calls, by the number of the send.
    pub(super) reward_handles: RefCell<BTreeMap<u64, AbortHandle>>,
    /// The sequence number of the next result log.
    next_sequence: Cell<u64>,
    /// The accounts of batches that clients used at this process.
    pub(super) owners: RefCell<Owners>,
    /// The loads of ended batches in progress.
    pub(super) reloads: Reloads,
    /// Held while the lease is written, so that a release waits for a renewal in flight.
    pub(super) lease_write: Mutex<()>,
    /// When calls to the store on behalf of the scheduler began to fail; `None` while they succeed.
    pub(super) store_failing_since: Cell<Option<Instant>>,
    /// When the last load command was sent, or else when this process started.
    pub(super) last_command: Cell<Instant>,
    /// The address of the peer to which the last known holder released the lease.
    pub(super) successor: Cell<Option<SocketAddr>>,
    /// The peer that last failed to respond, and when.
    unresponsive_peer: Cell<Option<(SocketAddr, Instant)>>,
    /// Notified when the lease or access to the store changes.
    pub(super) lease_changed: Notify,
    /// Wakes the scheduling loop.
    wake: Notify,
}

impl Coordinator {
    /// Has items run in a failure domain while its engines have free slots.
    pub fn prefer_domain(&self, domain: &str) {
        self.scheduler.borrow_mut().prefer_domain(domain);
    }

    /// Returns a coordinator that does not hold the lease.
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        let own = Candidate {
            host: settings.host.clone(),
            address: peer_address(settings),
            incarnation,
        };
        Self {
            scheduler: RefCell::default(),
            lease: RefCell::new(Lease::new(LEASE_DURATION, settings.command_gap, own)),
            wanted_until: Cell::new(Instant(0)),
            acquire_delay: RefCell::default(),
            wake_lease_loop: Notify::new(),
            is_scheduling: Cell::new(false),
            term_count: Cell::new(0),
            partial_texts: Readiness::default(),
            reads: Reads::default(),
            stopped_at: Cell::new(Instant(0)),
            batches: RefCell::default(),
            abort_handles: RefCell::default(),
            reward_handles: RefCell::default(),
            next_sequence: Cell::new(0),
            owners: RefCell::default(),
            reloads: Reloads::default(),
            lease_write: Mutex::new(()),
            store_failing_since: Cell::new(None),
            last_command: Cell::new(now()),
            successor: Cell::new(None),
            unresponsive_peer: Cell::new(None),
            lease_changed: Notify::new(),
            wake: Notify::new(),
        }
    }

    /// Updates the scheduler with a backend server's registration.
    pub fn update_engine(&self, registration: Registration) {
        self.scheduler
            .borrow_mut()
            .register_engine(now(), registration);
        self.wake.notify_one();
    }

    /// Starts no further items on a backend server.
    pub fn drain_engine(&self, server: &Registration) {
        self.scheduler
            .borrow_mut()
            .drain_engine(&server.instance, server.started_at_ms);
    }

    /// Removes a backend server from the scheduler.
    pub fn remove_engine(&self, instance: &str) {
        self.scheduler.borrow_mut().remove_engine(now(), instance);
        self.wake.notify_one();
    }

    /// Applies new routes to open batches.
    pub fn reroute(&self, gateway: &Gateway) {
        if let Some(table) = gateway.table() {
            self.scheduler
                .borrow_mut()
                .update_routes(now(), |route, preferred| {
                    resolve_service(&table, route, preferred)
                });
            self.wake.notify_one();
        }
    }

    /// Returns how this process holds the lease.
    pub fn tenure(&self) -> Tenure {
        let lease = self.lease.borrow();
        if lease.fence(now()).is_some() {
            Tenure::Held
        } else if self.is_scheduling.get() && lease.is_last_known_holder() {
            Tenure::Lapsed
        } else {
            Tenure::None
        }
    }

    /// Returns the fencing token while load commands may be sent.
    pub(super) fn command_fence(&self) -> Option<u64> {
        let fence = self.lease.borrow().command_fence(now());
        fence.filter(|_| self.store_failing_since.get().is_none())
    }

    /// Returns the host name of the submission of a run's batch.
    pub(super) fn submission_host(&self, run: u64) -> Option<String> {
        self.scheduler.borrow().host_of(run).map(str::to_owned)
    }

    /// Returns the client account that submitted the batch of a run, if any.
    pub(super) fn account_of(&self, run: u64) -> Option<String> {
        self.scheduler.borrow().account_of(run).map(str::to_owned)
    }

    /// Has the lease checked at once.
    pub(super) fn wake_lease_loop(&self) {
        self.wake_lease_loop.notify_one();
    }

    /// Wakes the scheduling loop.
    pub(super) fn wake_scheduler(&self) {
        self.wake.notify_one();
    }

    /// Cancels all runs and releases the lease, so that another gateway continues from the store.
    /// While the store is unreachable none could, so this process keeps scheduling until it is
    /// reachable again, but not longer than `deadline`.
    pub async fn hand_over(&self, gateway: &Gateway, deadline: Instant) {
        self.wanted_until.set(Instant(0));
        while self.is_scheduling.get()
            && now() < deadline
            && !lease_loop::reaches_store(gateway).await
        {
            tokio::time::sleep(STOP_PROBE_INTERVAL).await;
        }
        self.stop_scheduling("this process is stopping");
        let _guard = self.lease_write.lock().await;
        let released = self.lease.borrow_mut().release();
        self.lease_changed.notify_waiters();
        let Some((revision, record)) = released else {
            return;
        };
        let written = gateway
            .store
            .replace(schema::LEASES, schema::LEASE, revision, &record)
            .await;
        match written {
            Ok(_) => log::info!(fence = record.fence; "lease released"),
            Err(error) => log::warn!(error:%; "lease not released, it will expire"),
        }
    }

    /// Returns the address of the gateway that schedules batches, as far as it is known.
    pub fn scheduler_address(&self) -> Option<SocketAddr> {
        self.lease.borrow().holder_address()
    }

    /// Returns other gateways that probably reach the store: the lease holder, and the gateway to
    /// which the lease was released.
    pub(super) fn peers(&self, gateway: &Gateway) -> Vec<SocketAddr> {
        let holder = self.scheduler_address();
        let own = gateway.peer_address();
        let mut peers: Vec<SocketAddr> = holder
            .into_iter()
            .chain(self.successor.get())
            .filter(|peer| *peer != own && !self.is_unresponsive(*peer))
            .collect();
        peers.dedup();
        peers
    }

    /// Records that a peer did not respond.
    pub(super) fn mark_unresponsive(&self, peer: SocketAddr) {
        self.unresponsive_peer.set(Some((peer, now())));
    }

    fn is_unresponsive(&self, peer: SocketAddr) -> bool {
        let is_recent = |at: Instant| now().since(at) < UNRESPONSIVE_PEER_BACKOFF;
        matches!(self.unresponsive_peer.get(), Some((found, at)) if found == peer && is_recent(at))
    }

    /// Returns the sequence number for a new result log.
    pub(super) fn next_sequence(&self) -> u64 {
        let number = self.next_sequence.get();
        self.next_sequence.set(number + 1);
        number
    }

    /// Returns the partial texts of unfinished items, divided into `parts` parts, of which this is
    /// number `part`.
    pub fn partial_texts(&self, part: usize, parts: usize) -> Vec<(Carried, PartialText)> {
        let partial_texts = self.scheduler.borrow().partial_texts(now());
        partial_texts
            .into_iter()
            .skip(part)
            .step_by(parts.max(1))
            .collect()
    }

    /// Returns groups of earlier batches that later batches may contain again.
    pub fn past_groups(&self) -> Vec<Carried> {
        self.scheduler.borrow().past_groups()
    }

    /// Starts a term.
    pub(super) fn start_scheduling(&self) {
        self.term_count.set(self.term_count.get() + 1);
        self.is_scheduling.set(true);
    }

    /// Returns the number of the present term; `None` if this process does not schedule. What was
    /// read or written in one term must not be used in the next, since another process may have
    /// scheduled between them.
    pub(super) fn term(&self) -> Option<u64> {
        self.is_scheduling.get().then(|| self.term_count.get())
    }

    /// Whether this process schedules, or stopped so recently that the next holder may still
    /// request its partial texts.
    pub fn is_needed(&self) -> bool {
        self.is_scheduling.get() || now().since(self.stopped_at.get()) < partial_texts::RETENTION
    }

    /// Ends the term: cancels all runs and removes all batches from memory.
    pub(super) fn stop_scheduling(&self, reason: &str) {
        if !self.is_scheduling.replace(false) {
            return;
        }
        self.stopped_at.set(now());
        self.partial_texts.set_ready(false);
        log::info!(reason, batches = self.batches.borrow().len(); "scheduling stopped");
        for handles in [&self.abort_handles, &self.reward_handles] {
            for (_, handle) in std::mem::take(&mut *handles.borrow_mut()) {
                handle.abort();
            }
        }
        for result_log in self.batches.borrow_mut().clear() {
            result_log.changed.notify_waiters();
        }
        // The actions that are left cancel runs, whose tasks are aborted above.
        drop(self.scheduler.borrow_mut().close(now()));
        self.lease_changed.notify_waiters();
    }

    /// Ends a batch whose end is in the store. A process that schedules later reads it there.
    pub(super) fn end_batch(&self, id: &str) {
        if self.is_scheduling.get() {
            let key = self.batches.borrow_mut().end(id);
            self.end_scheduled(id, key);
        }
    }

    /// Adds the log of an ended batch that was read from the store.
    pub(super) fn restore_batch(&self, id: &str, result_log: ResultLog) {
        let key = self.batches.borrow_mut().restore(id, result_log);
        self.end_scheduled(id, key);
    }

    /// Removes a batch that was removed from the store.
    pub(super) fn forget_batch(&self, id: &str) {
        let key = self.batches.borrow_mut().forget(id);
        self.end_scheduled(id, key);
    }

    /// Ends a batch in the scheduler that was open under `key`.
    fn end_scheduled(&self, id: &str, key: Option<BatchKey>) {
        let Some(key) = key else { return };
        log::info!(batch = id; "batch ended");
        if let Some(result_log) = self.batches.borrow().log(id) {
            result_log.changed.notify_waiters();
        }
        self.scheduler.borrow_mut().end_batch(now(), key);
        self.wake_scheduler();
    }
}

/// Runs the scheduling loop: polls the scheduler and carries out its actions. Never returns.
pub async fn run_scheduler(gateway: Rc<Gateway>) {
    let coordinator = &gateway.coordinator;
    loop {
        let has_work = coordinator.is_scheduling.get() && coordinator.scheduler.borrow().is_busy();
        if has_work {
            tokio::select! {
                () = coordinator.wake.notified() => {}
                () = tokio::time::sleep(SCHEDULING_INTERVAL) => {}
            }
        } else {
            coordinator.wake.notified().await;
        }
        if !coordinator.is_scheduling.get() {
            continue;
        }
        let is_held = coordinator.lease.borrow().fence(now()).is_some();
        if !is_held && !coordinator.lease.borrow().is_last_known_holder() {
            coordinator.stop_scheduling("the lease was lost");
            continue;
        }
        limits::refresh_authority(&gateway);
        set_budgets(&gateway);
        let may_command = coordinator.command_fence().is_some();
        let actions = coordinator.scheduler.borrow_mut().poll(now(), may_command);
        for action in actions {
            perform(&gateway, action);
        }
        reward_calls::send_due(&gateway);
    }
}

/// Uses a permit for a run, if its engine states a request limit.
fn use_permit(gateway: &Gateway, engine: &Registration) {
    let mut fleet = gateway.fleet.borrow_mut();
    if let Some(key) = fleet.key_of(&engine.instance, engine.started_at_ms) {
        fleet.limiter_mut().take(now(), key);
    }
}

/// Sets how many runs the scheduler may start on engines that state a request limit.
fn set_budgets(gateway: &Gateway) {
    let fleet = gateway.fleet.borrow();
    let limiter = fleet.limiter();
    let budgets = limiter.observed().filter_map(|key| {
        let instance = fleet.registration(key)?.instance.as_str();
        Some((instance, limiter.budget(now(), key)?))
    });
    let mut scheduler = gateway.coordinator.scheduler.borrow_mut();
    scheduler.set_budgets(budgets);
}

/// Carries out an action of the scheduler.
fn perform(gateway: &Rc<Gateway>, action: Action) {
    let coordinator = &gateway.coordinator;
    match action {
        Action::Start {
            run,
            engine,
            item,
            after,
            began_at,
            version,
            ..
        } => {
            let (registration, batch) = {
                let scheduler = coordinator.scheduler.borrow();
                (
                    scheduler.registration(engine).cloned(),
                    scheduler.batch_of(run),
                )
            };
            let Some(registration) = registration else {
                return;
            };
            use_permit(gateway, &registration);
            let batches = coordinator.batches.borrow();
            let batch = batch.and_then(|batch| batches.id(batch));
            let software = registration.software.as_str();
            let began_at = began_at.as_deref().filter(|_| after.is_some());
            if after.is_some() {
                gateway.metrics.record_continuation(began_at, software);
            }
            log::info!(
                item = item.id.as_str(), batch, run, server = registration.instance.as_str(), after,
                software, began_at;
                "item sent"
            );
            drop(batches);
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
        Action::Discard {
            item,
            requirement,
            events,
        } => waits::log_discard(&gateway.metrics, &item, &requirement, events),
        Action::Wait(wait) => waits::log_wait(&gateway.metrics, now(), &wait),
        Action::Stop { run, reason } => {
            if let Some(handle) = coordinator.abort_handles.borrow_mut().remove(&run) {
                handle.abort();
                log::info!(run, reason; "run cancelled");
            }
        }
        Action::WriteResults { batch, results } => {
            let id = coordinator.batches.borrow().id(batch).map(str::to_owned);
            if let Some(id) = id {
                actix_rt::spawn(result_writer::write(Rc::clone(gateway), batch, id, results));
            }
        }
        Action::LoadWeights {
            engine,
            model,
            version,
        } => {
            actix_rt::spawn(orders::load(Rc::clone(gateway), engine, model, version));
        }
    }
}
