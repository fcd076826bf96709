//! The scheduling gateway's desk: the scheduler, and what carries out its actions.

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
use super::register::Register;
use super::{keeper, listing, orders, running, texts};
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
pub struct Desk {
    pub(super) scheduler: RefCell<Scheduler>,
    pub(super) lease: RefCell<Lease>,
    /// Until when this process wants to hold the lease.
    pub(super) wanted: Cell<Instant>,
    pub(super) deference: RefCell<Deference>,
    /// Wakes the keeper of the lease.
    pub(super) wake_keeper: Notify,
    /// Whether the lease is held and everything was taken over.
    pub(super) is_open: Cell<bool>,
    /// How often this process has begun to schedule.
    tenures: Cell<u64>,
    /// Whether the text of unfinished items has come here.
    pub(super) texts: Readiness,
    /// When scheduling ended here.
    closed: Cell<Instant>,
    pub(super) registers: RefCell<BTreeMap<String, Register>>,
    pub(super) tasks: RefCell<BTreeMap<u64, AbortHandle>>,
    pub(super) names: RefCell<BTreeMap<BatchKey, String>>,
    registered: Cell<u64>,
    /// Batches known to have ended while this process schedules.
    pub(super) ended: RefCell<BTreeSet<String>>,
    /// Held while an ended batch is brought into memory, so that it is brought once.
    pub(super) recalls: RefCell<BTreeMap<String, Rc<Mutex<()>>>>,
    /// Held while the lease is written, so that giving it up waits for a renewal on its way.
    pub(super) lease_call: Mutex<()>,
    /// Since when the store does not answer the lease's calls.
    pub(super) failing_since: Cell<Option<Instant>>,
    /// When the last order was given, or this process began.
    pub(super) last_order: Cell<Instant>,
    /// Where the peer answers to which the last holder known here left the lease.
    pub(super) successor: Cell<Option<SocketAddr>>,
    /// The peer that did not answer last, and when.
    silent: Cell<Option<(SocketAddr, Instant)>>,
    /// Wakes those who ask whether the lease is held.
    pub(super) lease_changed: Notify,
    /// Wakes the turn.
    wake: Notify,
}

impl Desk {
    /// A desk without the lease.
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
            wake_keeper: Notify::new(),
            is_open: Cell::new(false),
            tenures: Cell::new(0),
            texts: Readiness::default(),
            closed: Cell::new(Instant(0)),
            registers: RefCell::default(),
            tasks: RefCell::default(),
            names: RefCell::default(),
            registered: Cell::new(0),
            ended: RefCell::default(),
            recalls: RefCell::default(),
            lease_call: Mutex::new(()),
            failing_since: Cell::new(None),
            last_order: Cell::new(now()),
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
    pub(super) fn order_fence(&self) -> Option<u64> {
        let fence = self.lease.borrow().order_fence(now());
        fence.filter(|_| self.failing_since.get().is_none())
    }

    /// The host name under which a run's batch was submitted.
    pub(super) fn host_of(&self, run: u64) -> Option<String> {
        self.scheduler.borrow().host(run).map(str::to_owned)
    }

    /// Lets the scheduler decide soon.
    pub(super) fn turn_soon(&self) {
        self.wake.notify_one();
    }

    /// Gives the lease back and stops what runs. Another gateway goes on from the store.
    /// While the store is away nobody could, so this process goes on until `deadline` at the latest.
    pub async fn hand_over(&self, gateway: &Gateway, deadline: Instant) {
        self.wanted.set(Instant(0));
        while self.is_open.get() && now() < deadline && !keeper::reaches_store(gateway).await {
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

    /// The number of the next register.
    pub(super) fn next_register(&self) -> u64 {
        let number = self.registered.get();
        self.registered.set(number + 1);
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
        self.tenures.set(self.tenures.get() + 1);
        self.is_open.set(true);
    }

    /// The number of the present tenure; none if this process does not schedule. What was read
    /// or written under one tenure says nothing under the next, since another process may have
    /// scheduled between them.
    pub(super) fn tenure(&self) -> Option<u64> {
        self.is_open.get().then(|| self.tenures.get())
    }

    /// Whether this process schedules, or stopped so lately that its text may still be asked for.
    pub fn is_needed(&self) -> bool {
        self.is_open.get() || now().since(self.closed.get()) < texts::HELD
    }

    /// Stops all that runs and forgets all batches.
    pub(super) fn close(&self, reason: &str) {
        if !self.is_open.replace(false) {
            return;
        }
        self.closed.set(now());
        self.texts.set_ready(false);
        log::info!(reason, batches = self.registers.borrow().len(); "scheduling ends");
        for (_, task) in std::mem::take(&mut *self.tasks.borrow_mut()) {
            task.abort();
        }
        for register in std::mem::take(&mut *self.registers.borrow_mut()).into_values() {
            register.changed.notify_waiters();
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
        let batch = match self.registers.borrow_mut().get_mut(id) {
            Some(register) => {
                register.changed.notify_waiters();
                register.batch.take()
            }
            None => None,
        };
        if let Some(batch) = batch {
            log::info!(batch = id; "batch ended");
            self.names.borrow_mut().remove(&batch);
            self.scheduler.borrow_mut().end(now(), batch);
            self.turn_soon();
        }
    }
}

/// The service that answers a path.
pub(super) fn service(table: &Table, host: &str, path: &str) -> Option<String> {
    let route = table.find(host, path)?;
    draw_target(&route.targets, rand::random()).map(|target| target.service.clone())
}

/// Carries out what the scheduler decides, for ever.
pub async fn turn(gateway: Rc<Gateway>) {
    let desk = &gateway.desk;
    loop {
        let has_work = desk.is_open.get() && desk.scheduler.borrow().is_busy();
        if has_work {
            tokio::select! {
                () = desk.wake.notified() => {}
                () = tokio::time::sleep(TURN) => {}
            }
        } else {
            desk.wake.notified().await;
        }
        if !desk.is_open.get() {
            continue;
        }
        let is_held = desk.lease.borrow().fence(now()).is_some();
        if !is_held && !desk.lease.borrow().is_unchallenged() {
            desk.close("the lease was lost");
            continue;
        }
        let may_order = desk.order_fence().is_some();
        let actions = desk.scheduler.borrow_mut().pump(now(), may_order);
        for action in actions {
            perform(&gateway, action);
        }
    }
}

fn perform(gateway: &Rc<Gateway>, action: Action) {
    let desk = &gateway.desk;
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
                let scheduler = desk.scheduler.borrow();
                (scheduler.registration(seat).cloned(), scheduler.batch(run))
            };
            let Some(registration) = registration else {
                return;
            };
            let names = desk.names.borrow();
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
            desk.tasks.borrow_mut().insert(run, task.abort_handle());
        }
        Action::Stop { run, reason } => {
            if let Some(task) = desk.tasks.borrow_mut().remove(&run) {
                task.abort();
                log::info!(run, reason; "run stopped");
            }
        }
        Action::List { batch, listings } => {
            let id = desk.names.borrow().get(&batch).cloned();
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
