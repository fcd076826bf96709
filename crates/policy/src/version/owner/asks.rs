//! How the owner answers trainers and scoring services.
//!
//! Every answer is decided on the ledger as the platform holds it, never on changes that are
//! still to be written, and a batch only under a configuration that the platform has just named.

use std::time::Duration;

use tamaracksail_model::config::Bound;
use tamaracksail_model::id::{self, Batch, Epoch, Generation, Nonce, Step};
use tamaracksail_model::time::Instant;

use super::action::{Action, Response};
use super::event::{Ask, Request};
use super::machine::{BACKOFF, Owner, Purpose};
use crate::process::lease::LeaseState;
use crate::store::{self, Answer, MAX_VALUE_BYTES, Op};
use crate::version::head;
use crate::version::ledger::{self, Change, MAX_SAMPLES_PER_STEP, Sample, SlotState};

/// How long an ask waits before its sender is told to come back.
const PATIENCE: Duration = Duration::from_secs(8);

/// How long a trainer waits for a full batch before it gets what there is.
const PARTIAL_AFTER: Duration = Duration::from_secs(4);

/// How long the generation that the platform named counts as the newest.
const CHECK_VALIDITY: Duration = Duration::from_secs(1);

/// A bound for trainers without a staleness rule.
const NO_BOUND: Bound = Bound {
    versions: u64::MAX,
    age: Duration::from_hours(24 * 365),
};

/// A part of prompts is closed at this size, in bytes.
const TARGET_PART_BYTES: usize = MAX_VALUE_BYTES / 2;

/// An ask without an answer.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    request: Request,
    since: Instant,
    /// The generation that the platform named for this ask, and when.
    checked: Option<(Instant, Generation)>,
    is_checking: bool,
    /// Parts of prompts that are still to be written; none before they are split.
    parts: Option<Vec<Vec<u8>>>,
    written: u32,
}

impl Waiting {
    pub(super) fn check(&mut self, now: Instant, generation: Generation) {
        self.checked = Some((now, generation));
        self.is_checking = false;
    }
}

impl Owner {
    pub(super) fn take_ask(&mut self, now: Instant, ask: Ask, request: Request) {
        if self.lease_state == LeaseState::Stopped || self.is_stopping {
            let elsewhere = Response::Elsewhere(None);
            return self.out.push(Action::Reply(ask, elsewhere));
        }
        let waiting = Waiting {
            request,
            since: now,
            checked: None,
            is_checking: false,
            parts: None,
            written: 0,
        };
        self.waiting.insert(ask, waiting);
    }

    fn reply(&mut self, ask: Ask, response: Response) {
        self.waiting.remove(&ask);
        self.out.push(Action::Reply(ask, response));
    }

    /// Sends all who wait to the owner, unless its lease is about to lapse.
    pub(super) fn turn_away(&mut self) {
        let owner = self.ledger.lease.owner.clone();
        let asks: Vec<Ask> = self.waiting.keys().copied().collect();
        for ask in asks {
            self.out
                .push(Action::Reply(ask, Response::Elsewhere(owner.clone())));
        }
        // They stay wanted until they have left or asked elsewhere: the lease is watched.
        self.waiting.clear();
    }

    /// The platform does not answer: all who wait are told to come back.
    pub(super) fn make_wait(&mut self) {
        for ask in std::mem::take(&mut self.waiting).into_keys() {
            self.out.push(Action::Reply(ask, Response::Wait));
        }
    }

    /// Answers whoever can be answered now.
    pub(super) fn serve(&mut self, now: Instant) {
        let asks: Vec<Ask> = self.waiting.keys().copied().collect();
        if self.is_owner() && !self.must_read {
            for ask in &asks {
                self.serve_one(now, *ask);
            }
        }
        for ask in asks {
            let is_late = self
                .waiting
                .get(&ask)
                .is_some_and(|waiting| now.since(waiting.since) >= PATIENCE);
            if is_late {
                self.reply(ask, Response::Wait);
            }
        }
    }

    fn serve_one(&mut self, now: Instant, ask: Ask) {
        let Some(waiting) = self.waiting.get(&ask) else {
            return;
        };
        match waiting.request.clone() {
            Request::Open {
                step,
                prompts,
                group_size,
            } => self.open(now, ask, step, &prompts, group_size),
            Request::Next { batch, epoch } => self.next_batch(now, ask, batch, epoch),
            Request::Drafts { count } => self.give_drafts(now, ask, count),
            Request::Score { payload, score } => self.score(now, ask, payload, score),
            Request::Progress => self.tell_progress(ask),
        }
    }

    fn open(&mut self, now: Instant, ask: Ask, step: Step, prompts: &[String], group_size: u32) {
        let digest = id::fingerprint(&store::encode(&(prompts, group_size)));
        if step == self.ledger.step {
            let response = if digest == self.ledger.prompts_digest {
                Response::Opened(step)
            } else {
                Response::Refused(format!("{step} is open with other prompts"))
            };
            return self.reply(ask, response);
        }
        let groups = u32::try_from(prompts.len()).unwrap_or(u32::MAX);
        let samples = groups.saturating_mul(group_size);
        let refusal = if step != self.ledger.step.next() {
            Some(format!("the next step is {}", self.ledger.step.next()))
        } else if !self.ledger.is_complete() {
            Some(format!("{} is not complete", self.ledger.step))
        } else if samples == 0 || samples > MAX_SAMPLES_PER_STEP {
            Some(format!("a step has 1 to {MAX_SAMPLES_PER_STEP} samples"))
        } else {
            None
        };
        if let Some(refusal) = refusal {
            return self.reply(ask, Response::Refused(refusal));
        }
        if now >= self.retry_at {
            self.write_prompts(ask, step, digest, prompts, group_size);
        }
    }

    /// Writes the prompts part by part, then opens the step.
    fn write_prompts(
        &mut self,
        ask: Ask,
        step: Step,
        digest: id::Fingerprint,
        prompts: &[String],
        group_size: u32,
    ) {
        if self
            .calls
            .values()
            .any(|purpose| *purpose == Purpose::WritePrompts)
        {
            return;
        }
        let Some(waiting) = self.waiting.get_mut(&ask) else {
            return;
        };
        let parts = waiting.parts.get_or_insert_with(|| encode_parts(prompts));
        let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        if let Some(value) = parts.get(waiting.written as usize).cloned() {
            let key = ledger::prompts_key(&self.settings.trainer, step, digest, waiting.written);
            let op = Op::Put {
                revision: id::Revision(0),
                value,
            };
            return self.call(key, op, Purpose::WritePrompts);
        }
        let change = Change::Open {
            step,
            prompts_digest: digest,
            prompt_parts: count,
            groups: u32::try_from(prompts.len()).unwrap_or(u32::MAX),
            group_size,
        };
        self.add_change(change);
    }

    pub(super) fn take_prompts_written(&mut self, now: Instant, answer: &Answer) {
        // Their name holds a digest of their content: what is there already is the same.
        let is_written = matches!(answer, Answer::Written { .. } | Answer::Conflict);
        let opening = self
            .waiting
            .values_mut()
            .find(|waiting| waiting.parts.is_some());
        match (is_written, opening) {
            (true, Some(waiting)) => waiting.written += 1,
            (true, None) => {}
            (false, _) => self.retry_at = now.after(BACKOFF),
        }
    }

    fn add_change(&mut self, change: Change) {
        if !self.changes.contains(&change) {
            self.changes.push(change);
        }
    }

    fn bound(&self) -> Bound {
        let config = self.config.as_ref();
        let bound = config.and_then(|config| config.bound(&self.settings.trainer));
        bound.unwrap_or(NO_BOUND)
    }

    fn newest(&self) -> Option<id::Version> {
        let config = self.config.as_ref()?;
        let trainer = config.trainer(&self.settings.trainer)?;
        config.target(&trainer.model)
    }

    /// Whether the configuration in force here is the newest that the platform names. Asks the
    /// platform if it was not asked for this ask.
    fn is_current(&mut self, now: Instant, ask: Ask) -> bool {
        let Some(waiting) = self.waiting.get_mut(&ask) else {
            return false;
        };
        let in_force = self.config.as_ref().map(|config| config.generation);
        match waiting.checked {
            Some((at, generation)) if now.since(at) < CHECK_VALIDITY => {
                in_force.is_some_and(|in_force| in_force >= generation)
            }
            _ if waiting.is_checking => false,
            _ => {
                waiting.is_checking = true;
                let purpose = Purpose::Head(vec![ask]);
                self.call(head::HEAD_KEY.to_owned(), Op::Get, purpose);
                false
            }
        }
    }

    fn next_batch(&mut self, now: Instant, ask: Ask, batch: Batch, epoch: Epoch) {
        if batch != self.ledger.held {
            return self.confirm_batch(ask, batch, epoch);
        }
        if self.ledger.is_complete() {
            let response = Response::Complete(self.ledger.step);
            return self.reply(ask, response);
        }
        if !self.is_current(now, ask) {
            return;
        }
        let (bound, Some(newest)) = (self.bound(), self.newest()) else {
            let refusal = "the trainer or its model is not declared".to_owned();
            return self.reply(ask, Response::Refused(refusal));
        };
        self.drop_stale(now, &bound, newest);
        if self.deliver(now, ask, &bound, newest) {
            return;
        }
        let has_waited = self
            .waiting
            .get(&ask)
            .is_some_and(|waiting| now.since(waiting.since) >= PARTIAL_AFTER);
        self.assemble_batch(now, &bound, newest, has_waited);
    }

    /// The trainer holds a batch that the ledger does not know as held.
    fn confirm_batch(&mut self, ask: Ask, batch: Batch, epoch: Epoch) {
        let is_known = batch == self.ledger.held.next()
            && self
                .ledger
                .batch_contents
                .iter()
                .any(|contents| contents.epoch == epoch);
        if is_known {
            return self.add_change(Change::ConfirmBatch(batch, epoch));
        }
        let held = self.ledger.held;
        let refusal = format!("{batch} {epoch} was not handed over; the ledger has {held} as held");
        self.reply(ask, Response::Refused(refusal));
    }

    /// Empties slots whose samples are too old. Those of a fixed edition stay in the edition:
    /// the trainer may hold it already.
    fn drop_stale(&mut self, now: Instant, bound: &Bound, newest: id::Version) {
        let stale: Vec<(id::Slot, Sample)> = self
            .ledger
            .samples()
            .filter(|(_, sample)| sample.fresh_until(now, bound, newest).is_none())
            .map(|(slot, sample)| (slot, sample.clone()))
            .collect();
        for (slot, sample) in stale {
            let change = Change::Empty(slot, sample.payload);
            if !self.changes.contains(&change) {
                self.counters.stale += 1;
                self.changes.push(change);
            }
        }
    }

    /// Hands the current edition over if all of it meets the bound and is still there.
    fn deliver(&mut self, now: Instant, ask: Ask, bound: &Bound, newest: id::Version) -> bool {
        let Some(contents) = self.ledger.current() else {
            return false;
        };
        let is_there = |sample: &Sample| {
            self.ledger
                .samples()
                .any(|(_, there)| there.payload == sample.payload)
        };
        if !contents.slots.iter().all(|(_, sample)| is_there(sample)) {
            return false;
        }
        let fresh = contents
            .slots
            .iter()
            .map(|(_, sample)| sample.fresh_until(now, bound, newest));
        let Some(until) = fresh
            .collect::<Option<Vec<_>>>()
            .and_then(|all| all.into_iter().min())
        else {
            return false;
        };
        let response = Response::Batch {
            batch: self.ledger.held.next(),
            epoch: contents.epoch,
            samples: contents.slots.clone(),
            until,
            generation: self.config.as_ref().map_or(Generation(0), |c| c.generation),
        };
        self.reply(ask, response);
        true
    }

    /// Fixes the next edition once there are enough samples for it.
    fn assemble_batch(
        &mut self,
        now: Instant,
        bound: &Bound,
        newest: id::Version,
        takes_fewer: bool,
    ) {
        let config = self.config.as_ref();
        let trainer = config.and_then(|config| config.trainer(&self.settings.trainer));
        let Some(trainer) = trainer else { return };
        let (size, needs_score) = (trainer.batch as usize, trainer.scored);
        let open = self
            .ledger
            .slot_states
            .iter()
            .filter(|state| **state != SlotState::Confirmed);
        let wanted = size.min(open.count());
        let emptied: Vec<Nonce> = self
            .changes
            .iter()
            .filter_map(|change| match change {
                Change::Empty(_, payload) => Some(*payload),
                _ => None,
            })
            .collect();
        let payloads: Vec<Nonce> = self
            .ledger
            .samples()
            .filter(|(_, sample)| sample.fresh_until(now, bound, newest).is_some())
            .filter(|(_, sample)| !needs_score || sample.score.is_some())
            .map(|(_, sample)| sample.payload)
            .filter(|payload| !emptied.contains(payload))
            .take(wanted)
            .collect();
        let is_fixing = self
            .changes
            .iter()
            .any(|change| matches!(change, Change::AssembleBatch(..)));
        let is_enough = payloads.len() >= wanted || takes_fewer;
        if payloads.is_empty() || !is_enough || is_fixing {
            return;
        }
        let batch = self.ledger.held.next();
        let epoch = self
            .ledger
            .current()
            .map_or(Epoch(1), |contents| contents.epoch.next());
        self.changes
            .push(Change::AssembleBatch(batch, epoch, payloads));
    }

    fn is_allowed(&self, sample: &Sample) -> bool {
        let Some(config) = &self.config else {
            return false;
        };
        let Some(trainer) = config.trainer(&self.settings.trainer) else {
            return false;
        };
        let mut versions = sample.versions.iter();
        versions.all(|version| config.is_allowed(&trainer.model, *version))
    }

    /// Hands out drafts of allowed versions that are not scored.
    fn give_drafts(&mut self, now: Instant, ask: Ask, count: u32) {
        if !self.is_current(now, ask) {
            return;
        }
        let (bound, Some(newest)) = (self.bound(), self.newest()) else {
            let refusal = "the trainer or its model is not declared".to_owned();
            return self.reply(ask, Response::Refused(refusal));
        };
        let drafts: Vec<(id::Slot, Sample)> = self
            .ledger
            .samples()
            .filter(|(_, sample)| sample.score.is_none() && self.is_allowed(sample))
            .filter(|(_, sample)| sample.fresh_until(now, &bound, newest).is_some())
            .take(count as usize)
            .map(|(slot, sample)| (slot, sample.clone()))
            .collect();
        if !drafts.is_empty() {
            self.reply(ask, Response::Drafts(drafts));
        }
    }

    /// Takes a score, if the draft's version is still allowed.
    fn score(&mut self, now: Instant, ask: Ask, payload: Nonce, score: f64) {
        let found = self
            .ledger
            .samples()
            .find(|(_, sample)| sample.payload == payload);
        let Some(sample) = found.map(|(_, sample)| sample.clone()) else {
            let refusal = "there is no such draft any more".to_owned();
            return self.reply(ask, Response::Refused(refusal));
        };
        if sample.score == Some(score) {
            return self.reply(ask, Response::Scored);
        }
        if sample.score.is_some() {
            let refusal = "the draft has another score".to_owned();
            return self.reply(ask, Response::Refused(refusal));
        }
        if !self.is_current(now, ask) {
            return;
        }
        if !self.is_allowed(&sample) {
            self.counters.disallowed += 1;
            let refusal = "the draft's version may not be scored".to_owned();
            return self.reply(ask, Response::Refused(refusal));
        }
        self.add_change(Change::Score(payload, score));
    }

    fn tell_progress(&mut self, ask: Ask) {
        let count = |wanted: fn(&SlotState) -> bool| {
            self.ledger
                .slot_states
                .iter()
                .filter(|state| wanted(state))
                .count() as u64
        };
        let progress = Response::Progress {
            step: self.ledger.step,
            slots: self.ledger.slot_states.len() as u64,
            filled: count(|state| matches!(state, SlotState::Filled(_) | SlotState::InBatch(_))),
            done: count(|state| *state == SlotState::Confirmed),
            held: self.ledger.held,
        };
        self.reply(ask, progress);
    }
}

/// Splits prompts into the values of parts.
fn encode_parts(prompts: &[String]) -> Vec<Vec<u8>> {
    let mut parts = Vec::new();
    let mut part: Vec<&String> = Vec::new();
    let mut size = 0;
    for prompt in prompts {
        size += prompt.len();
        part.push(prompt);
        if size >= TARGET_PART_BYTES {
            parts.push(store::encode(&part));
            part.clear();
            size = 0;
        }
    }
    if !part.is_empty() {
        parts.push(store::encode(&part));
    }
    parts
}
