//! The owner's state, and how it synchronises the ledger with the platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tamaracksail_model::config::Snapshot;
use tamaracksail_model::id::{self, Fence, Generation, Revision};
use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;

use super::action::{Action, Response};
use super::event::{Event, RequestId};
use super::requests::PendingRequest;
use super::samples::SlotCopies;
use crate::process::lease::{Claimant, LeaseState, RENEWAL_INTERVAL};
use crate::request::latency::LatencyWindow;
use crate::store::{self, Call, CallId, CallIds, CallResult, Op, Reply};
use crate::version::head::{self, Head};
use crate::version::ledger::{self, Change, Ledger, Sample};
use crate::version::replace_if_newer;

/// The minimum time between two writes of non-urgent changes while requests are pending, so that
/// one write carries several changes.
const WRITE_COALESCE_DELAY: Duration = Duration::from_millis(200);

/// The same while no request is pending. It is longer since each write carries the whole ledger.
const IDLE_WRITE_COALESCE_DELAY: Duration = Duration::from_secs(2);

/// How long no call is made to the platform after a call without a response.
pub(super) const PLATFORM_BACKOFF: Duration = Duration::from_millis(500);

plain! {
    /// The settings of an owner.
    pub struct Settings {
        /// The trainer.
        pub trainer: id::Object,
        /// The process that owns the ledger or may acquire it.
        pub claimant: Claimant,
        /// New samples are started while fewer copies than this are in progress.
        pub parallel: u32,
    }
}

plain! {
    /// Counters of an owner since its start.
    #[derive(Copy, Default)]
    pub struct Counters {
        /// Copies whose generation was started.
        pub generated: u64,
        /// Of those, copies that hedge stragglers.
        pub hedged: u64,
        /// Samples that arrived when they were no longer needed, usually after another copy.
        pub late: u64,
        /// Samples that became stale.
        pub stale: u64,
        /// Scores refused because the draft's version must not be scored.
        pub disallowed: u64,
    }
}

/// The purpose of a call to the platform.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Purpose {
    /// Reads the ledger.
    ReadLedger,
    /// Writes the ledger, with the first `changes` of the unwritten changes.
    WriteLedger { ledger: Box<Ledger>, changes: usize },
    /// Reads the newest configuration generation, for these requests.
    ReadHead(Vec<RequestId>),
    /// Writes a part of the prompts of the step to open.
    WritePrompts,
    /// Reads the part of the prompts with this index.
    ReadPrompts(u32),
}

/// The state of an owner.
#[derive(Debug)]
pub struct Owner {
    pub(super) settings: Settings,
    pub(super) config: Option<Arc<Snapshot>>,
    pub(super) call_ids: CallIds,
    pub(super) calls: BTreeMap<CallId, Purpose>,
    pub(super) lease_state: LeaseState,
    /// The ledger as last read from or written to the platform.
    pub(super) ledger: Ledger,
    pub(super) revision: Revision,
    /// Changes that have not been written yet.
    pub(super) changes: Vec<Change>,
    /// Whether a call that reads or writes the ledger is pending; there is at most one.
    pub(super) is_ledger_call_pending: bool,
    /// Whether the ledger must be read before it is written.
    pub(super) must_read: bool,
    pub(super) prompts: Vec<String>,
    pub(super) generating: BTreeMap<id::Slot, SlotCopies>,
    pub(super) latency: LatencyWindow,
    pub(super) hedges: u32,
    pub(super) pending: BTreeMap<RequestId, PendingRequest>,
    pub(super) counters: Counters,
    pub(super) is_stopping: bool,
    pub(super) retry_at: Instant,
    written_at: Instant,
    renew_at: Instant,
    pub(super) actions: Vec<Action>,
}

impl Owner {
    /// Returns an owner that has not read the ledger. It acquires the lease once it gets a
    /// request and no other host holds the lease.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            config: None,
            call_ids: CallIds::default(),
            calls: BTreeMap::new(),
            lease_state: LeaseState::Free,
            ledger: Ledger::default(),
            revision: Revision(0),
            changes: Vec::new(),
            is_ledger_call_pending: false,
            must_read: true,
            prompts: Vec::new(),
            generating: BTreeMap::new(),
            latency: LatencyWindow::default(),
            hedges: 0,
            pending: BTreeMap::new(),
            counters: Counters::default(),
            is_stopping: false,
            retry_at: Instant::default(),
            written_at: Instant::default(),
            renew_at: Instant::default(),
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to carry out, in this order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::RequestReceived(request_id, request) => {
                self.accept_request(now, request_id, request);
            }
            Event::Disconnected(request_id) => drop(self.pending.remove(&request_id)),
            Event::Sampled {
                step,
                slot,
                copy,
                sample,
            } => self.handle_sample(now, step, slot, copy, sample),
            Event::PayloadLost(slot, payload) => self.clear_lost_payload(slot, payload),
            Event::Config(config) => replace_if_newer(&mut self.config, config),
            Event::Stored(reply) => self.handle_reply(now, &reply),
            Event::Tick => {}
            Event::Stop => self.stop(),
        }
        self.serve_pending(now);
        self.start_samples(now);
        self.sync_ledger(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns whether this host owns the ledger.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        matches!(self.lease_state, LeaseState::Held(_))
    }

    pub(super) fn call(&mut self, key: String, op: Op, purpose: Purpose) {
        let call_id = self.call_ids.issue();
        self.calls.insert(call_id, purpose);
        self.actions.push(Action::Store(Call { call_id, key, op }));
    }

    /// Starts the read or write of the ledger that is due.
    fn sync_ledger(&mut self, now: Instant) {
        if self.is_ledger_call_pending || self.lease_state == LeaseState::Stopped {
            return;
        }
        if self.is_stopping {
            return self.release_lease();
        }
        if now < self.retry_at {
            return;
        }
        let is_needed = !self.pending.is_empty() || self.is_owner();
        if self.must_read {
            if is_needed {
                self.is_ledger_call_pending = true;
                self.call(
                    ledger::key(&self.settings.trainer),
                    Op::Get,
                    Purpose::ReadLedger,
                );
            }
            return;
        }
        match self.lease_state {
            LeaseState::Held(fence) => self.write_if_due(now, fence),
            lease_state if is_needed && lease_state.can_acquire(now) => {
                self.write(now, self.ledger.lease.fence.next());
            }
            LeaseState::HeldByOther { .. } if is_needed => {
                // Reads the ledger again to see whether the other owner still renews its lease.
                self.must_read = true;
                self.retry_at = now.after(PLATFORM_BACKOFF);
            }
            _ => {}
        }
    }

    fn write_if_due(&mut self, now: Instant, fence: Fence) {
        let is_urgent = self.changes.iter().any(Change::is_urgent);
        let delay = if self.pending.is_empty() {
            IDLE_WRITE_COALESCE_DELAY
        } else {
            WRITE_COALESCE_DELAY
        };
        let has_changes = !self.changes.is_empty() && now.since(self.written_at) >= delay;
        if is_urgent || has_changes || now >= self.renew_at {
            self.write(now, fence);
        }
    }

    /// Writes the ledger with the unwritten changes that still apply.
    fn write(&mut self, now: Instant, fence: Fence) {
        let mut next = self.ledger.clone();
        let is_takeover = next.lease.fence != fence;
        next.lease = next.lease.next(fence, &self.settings.claimant);
        // A takeover writes only the lease. Changes are applied once this host owns the ledger.
        let changes = if is_takeover { 0 } else { self.changes.len() };
        for change in self.changes.iter().take(changes) {
            next.apply(change);
        }
        self.is_ledger_call_pending = true;
        self.written_at = now;
        let op = Op::Put {
            revision: self.revision,
            value: store::encode(&next),
        };
        let purpose = Purpose::WriteLedger {
            ledger: Box::new(next),
            changes,
        };
        self.call(ledger::key(&self.settings.trainer), op, purpose);
    }

    fn handle_reply(&mut self, now: Instant, reply: &Reply) {
        let Some(purpose) = self.calls.remove(&reply.call_id) else {
            return;
        };
        match purpose {
            Purpose::ReadLedger => {
                self.is_ledger_call_pending = false;
                self.handle_read(now, &reply.result);
            }
            Purpose::WriteLedger { ledger, changes } => {
                self.is_ledger_call_pending = false;
                self.handle_written(now, &reply.result, *ledger, changes);
            }
            Purpose::ReadHead(request_ids) => self.handle_head(now, &request_ids, &reply.result),
            Purpose::WritePrompts => self.handle_prompts_written(now, &reply.result),
            Purpose::ReadPrompts(part) => self.handle_prompts(now, part, &reply.result),
        }
    }

    fn handle_read(&mut self, now: Instant, result: &CallResult) {
        let (revision, stored) = match result {
            CallResult::Value { revision, value } => match store::decode("ledger", value) {
                Ok(stored) => (*revision, stored),
                Err(_) => return self.back_off_platform(now),
            },
            CallResult::Missing => (Revision(0), Ledger::default()),
            _ => return self.back_off_platform(now),
        };
        self.must_read = false;
        self.adopt_ledger(now, revision, stored);
    }

    /// Adopts the ledger that the platform has, and updates the lease state from it.
    fn adopt_ledger(&mut self, now: Instant, revision: Revision, stored: Ledger) {
        let was_owner = self.is_owner();
        self.lease_state = self
            .lease_state
            .observe(now, &stored.lease, &self.settings.claimant);
        self.set_ledger(revision, stored);
        if was_owner && !self.is_owner() {
            self.handle_lease_loss();
        }
        if let LeaseState::HeldByOther { .. } = self.lease_state {
            self.redirect_pending();
        }
    }

    fn set_ledger(&mut self, revision: Revision, stored: Ledger) {
        let is_other_step =
            stored.step != self.ledger.step || stored.prompts_digest != self.ledger.prompts_digest;
        self.revision = revision;
        self.ledger = stored;
        if is_other_step {
            self.start_step();
        }
    }

    fn handle_written(
        &mut self,
        now: Instant,
        result: &CallResult,
        written: Ledger,
        changes: usize,
    ) {
        match result {
            CallResult::Written { revision } => {
                self.changes.drain(..changes.min(self.changes.len()));
                self.renew_at = now.after(RENEWAL_INTERVAL);
                self.discard_unreferenced(&written);
                self.adopt_ledger(now, *revision, written);
            }
            // Another owner wrote, or an own write without a response took effect.
            CallResult::Conflict => self.must_read = true,
            _ => self.back_off_platform(now),
        }
    }

    /// Discards payloads that the written ledger no longer references.
    fn discard_unreferenced(&mut self, written: &Ledger) {
        let referenced = written.payloads();
        let unreferenced: Vec<Sample> = self
            .ledger
            .all_samples()
            .filter(|sample| !referenced.contains(&sample.payload))
            .cloned()
            .collect();
        if !unreferenced.is_empty() {
            self.actions.push(Action::Discard(unreferenced));
        }
    }

    /// Backs off after a call without a response. A write without a response may have taken
    /// effect, so its changes are kept and applied again to the ledger that is read next; those
    /// that took effect are no longer applicable then.
    fn back_off_platform(&mut self, now: Instant) {
        self.must_read = true;
        self.retry_at = now.after(PLATFORM_BACKOFF);
        self.defer_pending();
    }

    /// Drops changes and copies in progress after another host has acquired the lease.
    fn handle_lease_loss(&mut self) {
        self.changes.clear();
        self.cancel_copies();
        self.actions.push(Action::Released);
    }

    fn stop(&mut self) {
        self.is_stopping = true;
        for request_id in std::mem::take(&mut self.pending).into_keys() {
            self.actions
                .push(Action::Respond(request_id, Response::NotOwner(None)));
        }
        self.cancel_copies();
    }

    /// Releases the lease, so that the next owner need not wait until it expires.
    fn release_lease(&mut self) {
        if self.is_owner() && !self.must_read {
            let mut next = self.ledger.clone();
            for change in std::mem::take(&mut self.changes) {
                next.apply(&change);
            }
            next.lease = next.lease.released();
            let op = Op::Put {
                revision: self.revision,
                value: store::encode(&next),
            };
            let purpose = Purpose::WriteLedger {
                ledger: Box::new(next),
                changes: 0,
            };
            self.call(ledger::key(&self.settings.trainer), op, purpose);
        }
        self.lease_state = LeaseState::Stopped;
        self.actions.push(Action::Released);
    }

    fn handle_head(&mut self, now: Instant, request_ids: &[RequestId], result: &CallResult) {
        let generation = match result {
            CallResult::Value { value, .. } => store::decode::<Head>(head::HEAD_KEY, value)
                .ok()
                .map(|head| head.generation()),
            CallResult::Missing => Some(Generation(0)),
            _ => None,
        };
        for request_id in request_ids {
            match (generation, self.pending.get_mut(request_id)) {
                (Some(generation), Some(pending)) => pending.record_generation(now, generation),
                (None, Some(_)) => {
                    self.pending.remove(request_id);
                    self.actions
                        .push(Action::Respond(*request_id, Response::RetryLater));
                }
                (_, None) => {}
            }
        }
    }
}
