//! The owner's state, and how it keeps the ledger in step with the platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tamaracksail_model::config::Snapshot;
use tamaracksail_model::id::{self, Fence, Generation, Revision};
use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;

use super::action::{Action, Response};
use super::asks::Waiting;
use super::event::{Ask, Event};
use super::samples::Work;
use crate::process::lease::{Claimant, LeaseState, RENEWAL_INTERVAL};
use crate::request::latency::LatencyWindow;
use crate::store::{self, Answer, Call, Op, Reply, Ticket, Tickets};
use crate::version::head::{self, Head};
use crate::version::ledger::{self, Change, Ledger, Sample};
use crate::version::take_newer;

/// The time between two writes while somebody waits, in which changes gather.
const BATCHING: Duration = Duration::from_millis(200);

/// The same while nobody waits: a write carries the whole ledger.
const LAZY_BATCHING: Duration = Duration::from_secs(2);

/// How long the platform is left alone after a lost call.
pub(super) const BACKOFF: Duration = Duration::from_millis(500);

plain! {
    /// The settings of an owner.
    pub struct Settings {
        /// The trainer.
        pub trainer: id::Object,
        /// The host that owns or wants the ledger.
        pub claimant: Claimant,
        /// Samples that are made at a time.
        pub parallel: u32,
    }
}

plain! {
    /// What an owner has counted since its start.
    #[derive(Copy, Default)]
    pub struct Counters {
        /// Samples asked for.
        pub generated: u64,
        /// Of those, second copies of stragglers.
        pub hedged: u64,
        /// Samples that came after another copy had won.
        pub late: u64,
        /// Samples that became too old.
        pub stale: u64,
        /// Scores refused since the draft's version is not allowed.
        pub disallowed: u64,
    }
}

/// What a call to the platform is for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Purpose {
    /// Reads the ledger.
    Read,
    /// Writes it, with so many of the pending changes.
    Write { ledger: Box<Ledger>, changes: usize },
    /// Reads the newest generation for the asks that wait for it.
    Head(Vec<Ask>),
    /// Writes a part of prompts, then opens the step.
    WritePrompts,
    /// Reads a part of prompts.
    ReadPrompts(u32),
}

/// The state of an owner.
#[derive(Debug)]
pub struct Owner {
    pub(super) settings: Settings,
    pub(super) config: Option<Arc<Snapshot>>,
    pub(super) tickets: Tickets,
    pub(super) calls: BTreeMap<Ticket, Purpose>,
    pub(super) lease_state: LeaseState,
    /// The ledger as the platform holds it.
    pub(super) ledger: Ledger,
    pub(super) revision: Revision,
    /// Changes that are not written yet.
    pub(super) changes: Vec<Change>,
    /// Whether a ledger call is under way; there is one at a time.
    pub(super) is_busy: bool,
    /// Whether the ledger must be read before it is written.
    pub(super) must_read: bool,
    pub(super) prompts: Vec<String>,
    pub(super) work: BTreeMap<id::Slot, Work>,
    pub(super) latency: LatencyWindow,
    pub(super) hedges: u32,
    pub(super) waiting: BTreeMap<Ask, Waiting>,
    pub(super) counters: Counters,
    pub(super) is_stopping: bool,
    pub(super) retry_at: Instant,
    written_at: Instant,
    renew_at: Instant,
    pub(super) out: Vec<Action>,
}

impl Owner {
    /// An owner that has not read the ledger. It takes the ledger when it is asked for
    /// something and no other host owns it.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            config: None,
            tickets: Tickets::default(),
            calls: BTreeMap::new(),
            lease_state: LeaseState::Free,
            ledger: Ledger::default(),
            revision: Revision(0),
            changes: Vec::new(),
            is_busy: false,
            must_read: true,
            prompts: Vec::new(),
            work: BTreeMap::new(),
            latency: LatencyWindow::default(),
            hedges: 0,
            waiting: BTreeMap::new(),
            counters: Counters::default(),
            is_stopping: false,
            retry_at: Instant::default(),
            written_at: Instant::default(),
            renew_at: Instant::default(),
            out: Vec::new(),
        }
    }

    /// Takes one event and returns what is to be done, in this order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Asked(ask, request) => self.take_ask(now, ask, request),
            Event::Left(ask) => drop(self.waiting.remove(&ask)),
            Event::Sampled {
                step,
                slot,
                copy,
                sample,
            } => self.take_sample(now, step, slot, copy, sample),
            Event::Lost(slot, payload) => self.lose_payload(slot, payload),
            Event::Config(config) => take_newer(&mut self.config, config),
            Event::Stored(reply) => self.take_reply(now, &reply),
            Event::Tick => {}
            Event::Stop => self.stop(),
        }
        self.serve(now);
        self.fill_slots(now);
        self.synchronise(now);
        std::mem::take(&mut self.out)
    }

    /// What it has counted.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Whether this host owns the ledger.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        matches!(self.lease_state, LeaseState::Held(_))
    }

    pub(super) fn call(&mut self, key: String, op: Op, purpose: Purpose) {
        let ticket = self.tickets.issue();
        self.calls.insert(ticket, purpose);
        self.out.push(Action::Store(Call { ticket, key, op }));
    }

    /// Starts the ledger call that is due.
    fn synchronise(&mut self, now: Instant) {
        if self.is_busy || self.lease_state == LeaseState::Stopped {
            return;
        }
        if self.is_stopping {
            return self.give_back();
        }
        if now < self.retry_at {
            return;
        }
        let is_wanted = !self.waiting.is_empty() || self.is_owner();
        if self.must_read {
            if is_wanted {
                self.is_busy = true;
                self.call(ledger::key(&self.settings.trainer), Op::Get, Purpose::Read);
            }
            return;
        }
        match self.lease_state {
            LeaseState::Held(fence) => self.write_if_due(now, fence),
            lease_state if is_wanted && lease_state.can_acquire(now) => {
                self.write(now, self.ledger.lease.fence.next());
            }
            LeaseState::HeldByOther { .. } if is_wanted => {
                // Looks again whether the ledger stands still.
                self.must_read = true;
                self.retry_at = now.after(BACKOFF);
            }
            _ => {}
        }
    }

    fn write_if_due(&mut self, now: Instant, fence: Fence) {
        let is_urgent = self.changes.iter().any(Change::is_urgent);
        let pause = if self.waiting.is_empty() {
            LAZY_BATCHING
        } else {
            BATCHING
        };
        let has_changes = !self.changes.is_empty() && now.since(self.written_at) >= pause;
        if is_urgent || has_changes || now >= self.renew_at {
            self.write(now, fence);
        }
    }

    /// Writes the ledger with the pending changes that still apply.
    fn write(&mut self, now: Instant, fence: Fence) {
        let mut next = self.ledger.clone();
        let is_takeover = next.lease.fence != fence;
        next.lease = next.lease.next(fence, &self.settings.claimant);
        // What is owed to another owner's ledger is decided once this host owns it.
        let changes = if is_takeover { 0 } else { self.changes.len() };
        for change in self.changes.iter().take(changes) {
            next.apply(change);
        }
        self.is_busy = true;
        self.written_at = now;
        let op = Op::Put {
            revision: self.revision,
            value: store::encode(&next),
        };
        let purpose = Purpose::Write {
            ledger: Box::new(next),
            changes,
        };
        self.call(ledger::key(&self.settings.trainer), op, purpose);
    }

    fn take_reply(&mut self, now: Instant, reply: &Reply) {
        let Some(purpose) = self.calls.remove(&reply.ticket) else {
            return;
        };
        match purpose {
            Purpose::Read => {
                self.is_busy = false;
                self.take_read(now, &reply.answer);
            }
            Purpose::Write { ledger, changes } => {
                self.is_busy = false;
                self.take_written(now, &reply.answer, *ledger, changes);
            }
            Purpose::Head(asks) => self.take_head(now, &asks, &reply.answer),
            Purpose::WritePrompts => self.take_prompts_written(now, &reply.answer),
            Purpose::ReadPrompts(part) => self.take_prompts(now, part, &reply.answer),
        }
    }

    fn take_read(&mut self, now: Instant, answer: &Answer) {
        let (revision, found) = match answer {
            Answer::Value { revision, value } => match store::decode("ledger", value) {
                Ok(found) => (*revision, found),
                Err(_) => return self.lose_platform(now),
            },
            Answer::Missing => (Revision(0), Ledger::default()),
            _ => return self.lose_platform(now),
        };
        self.must_read = false;
        self.adopt(now, revision, found);
    }

    /// Takes over what the platform holds, and finds out who owns it.
    fn adopt(&mut self, now: Instant, revision: Revision, found: Ledger) {
        let was_owner = self.is_owner();
        self.lease_state = self
            .lease_state
            .observe(now, &found.lease, &self.settings.claimant);
        self.set_ledger(revision, found);
        if was_owner && !self.is_owner() {
            self.release();
        }
        if let LeaseState::HeldByOther { .. } = self.lease_state {
            self.turn_away();
        }
    }

    fn set_ledger(&mut self, revision: Revision, found: Ledger) {
        let is_other_step =
            found.step != self.ledger.step || found.prompts_digest != self.ledger.prompts_digest;
        self.revision = revision;
        self.ledger = found;
        if is_other_step {
            self.start_step();
        }
    }

    fn take_written(&mut self, now: Instant, answer: &Answer, written: Ledger, changes: usize) {
        match answer {
            Answer::Written { revision } => {
                self.changes.drain(..changes.min(self.changes.len()));
                self.renew_at = now.after(RENEWAL_INTERVAL);
                self.discard_unneeded(&written);
                self.adopt(now, *revision, written);
            }
            // Another owner wrote, or our own lost write took effect: the platform knows.
            Answer::Conflict => self.must_read = true,
            _ => self.lose_platform(now),
        }
    }

    /// Removes payloads that the written ledger does not name any more.
    fn discard_unneeded(&mut self, written: &Ledger) {
        let needed = written.payloads();
        let unneeded: Vec<Sample> = self
            .ledger
            .all_samples()
            .filter(|sample| !needed.contains(&sample.payload))
            .cloned()
            .collect();
        if !unneeded.is_empty() {
            self.out.push(Action::Discard(unneeded));
        }
    }

    /// A lost write may stand. The changes it carried are kept: made again on what is read,
    /// those that already stand do not apply.
    fn lose_platform(&mut self, now: Instant) {
        self.must_read = true;
        self.retry_at = now.after(BACKOFF);
        self.make_wait();
    }

    /// Another host took the ledger: what is under way here is not for it.
    fn release(&mut self) {
        self.changes.clear();
        self.drop_work();
        self.out.push(Action::Released);
    }

    fn stop(&mut self) {
        self.is_stopping = true;
        for ask in std::mem::take(&mut self.waiting).into_keys() {
            self.out.push(Action::Reply(ask, Response::Elsewhere(None)));
        }
        self.drop_work();
    }

    /// Gives the lease back, so that the next owner need not wait for it to lapse.
    fn give_back(&mut self) {
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
            let purpose = Purpose::Write {
                ledger: Box::new(next),
                changes: 0,
            };
            self.call(ledger::key(&self.settings.trainer), op, purpose);
        }
        self.lease_state = LeaseState::Stopped;
        self.out.push(Action::Released);
    }

    fn take_head(&mut self, now: Instant, asks: &[Ask], answer: &Answer) {
        let generation = match answer {
            Answer::Value { value, .. } => store::decode::<Head>(head::HEAD_KEY, value)
                .ok()
                .map(|head| head.generation()),
            Answer::Missing => Some(Generation(0)),
            _ => None,
        };
        for ask in asks {
            match (generation, self.waiting.get_mut(ask)) {
                (Some(generation), Some(waiting)) => waiting.check(now, generation),
                (None, Some(_)) => {
                    self.waiting.remove(ask);
                    self.out.push(Action::Reply(*ask, Response::Wait));
                }
                (_, None) => {}
            }
        }
    }
}
