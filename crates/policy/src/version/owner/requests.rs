//! How the owner responds to trainers and scoring services.
//!
//! Responses are based on the ledger as stored in the platform, never on unwritten changes. A
//! batch is handed over only under a configuration that the platform has just confirmed to be the
//! newest.

use std::time::Duration;

use tamaracksail_model::config::StalenessBound;
use tamaracksail_model::id::{self, Batch, Epoch, Generation, Nonce, Step};
use tamaracksail_model::time::Instant;

use super::action::{Action, Response};
use super::event::{Request, RequestId};
use super::machine::{Owner, PLATFORM_BACKOFF, Purpose};
use crate::process::lease::LeaseState;
use crate::store::{self, CallResult, MAX_VALUE_BYTES, Op};
use crate::version::head;
use crate::version::ledger::{self, Change, MAX_SAMPLES_PER_STEP, Sample, SlotState};

/// How long a request may wait before the client is told to retry.
const REQUEST_WAIT_LIMIT: Duration = Duration::from_secs(8);

/// How long a trainer waits for a full batch before it gets a smaller one.
const PARTIAL_BATCH_DELAY: Duration = Duration::from_secs(4);

/// How long a generation read from the platform counts as the newest one.
const GENERATION_CHECK_VALIDITY: Duration = Duration::from_secs(1);

/// The staleness bound of trainers without a staleness rule.
const UNLIMITED_STALENESS: StalenessBound = StalenessBound {
    versions: u64::MAX,
    age: Duration::from_hours(24 * 365),
};

/// The size in bytes of the prompts at which a part is complete and the next one starts.
const TARGET_PART_BYTES: usize = MAX_VALUE_BYTES / 2;

/// A request that has no response yet.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    request: Request,
    since: Instant,
    /// When the platform's newest generation was read for this request, and that generation.
    checked_generation: Option<(Instant, Generation)>,
    is_checking: bool,
    /// For a request to open a step, the encoded parts of its prompts; `None` before encoding.
    parts: Option<Vec<Vec<u8>>>,
    /// The number of parts that have been written.
    written: u32,
}

impl PendingRequest {
    pub(super) fn record_generation(&mut self, now: Instant, generation: Generation) {
        self.checked_generation = Some((now, generation));
        self.is_checking = false;
    }
}

impl Owner {
    pub(super) fn accept_request(&mut self, now: Instant, request_id: RequestId, request: Request) {
        if self.lease_state == LeaseState::Stopped || self.is_stopping {
            let not_owner = Response::NotOwner(None);
            return self.actions.push(Action::Respond(request_id, not_owner));
        }
        let pending = PendingRequest {
            request,
            since: now,
            checked_generation: None,
            is_checking: false,
            parts: None,
            written: 0,
        };
        self.pending.insert(request_id, pending);
    }

    fn respond(&mut self, request_id: RequestId, response: Response) {
        self.pending.remove(&request_id);
        self.actions.push(Action::Respond(request_id, response));
    }

    /// Redirects all pending requests to the owner that the ledger names. The ledger is read again
    /// when the next request arrives.
    pub(super) fn redirect_pending(&mut self) {
        let owner = self.ledger.lease.owner.clone();
        let request_ids: Vec<RequestId> = self.pending.keys().copied().collect();
        for request_id in request_ids {
            self.actions.push(Action::Respond(
                request_id,
                Response::NotOwner(owner.clone()),
            ));
        }
        self.pending.clear();
    }

    /// Tells the clients of all pending requests to retry, since the platform does not respond.
    pub(super) fn defer_pending(&mut self) {
        for request_id in std::mem::take(&mut self.pending).into_keys() {
            self.actions
                .push(Action::Respond(request_id, Response::RetryLater));
        }
    }

    /// Responds to the pending requests that can be served now, and to those that time out.
    pub(super) fn serve_pending(&mut self, now: Instant) {
        let request_ids: Vec<RequestId> = self.pending.keys().copied().collect();
        if self.is_owner() && !self.must_read {
            for request_id in &request_ids {
                self.serve_request(now, *request_id);
            }
        }
        for request_id in request_ids {
            let is_late = self
                .pending
                .get(&request_id)
                .is_some_and(|pending| now.since(pending.since) >= REQUEST_WAIT_LIMIT);
            if is_late {
                self.respond(request_id, Response::RetryLater);
            }
        }
    }

    fn serve_request(&mut self, now: Instant, request_id: RequestId) {
        let Some(pending) = self.pending.get(&request_id) else {
            return;
        };
        match pending.request.clone() {
            Request::Open {
                step,
                prompts,
                group_size,
            } => self.open_step(now, request_id, step, &prompts, group_size),
            Request::NextBatch { batch, epoch } => self.next_batch(now, request_id, batch, epoch),
            Request::Drafts { count } => self.send_drafts(now, request_id, count),
            Request::Score { payload, score } => self.record_score(now, request_id, payload, score),
            Request::Progress => self.report_progress(request_id),
        }
    }

    fn open_step(
        &mut self,
        now: Instant,
        request_id: RequestId,
        step: Step,
        prompts: &[String],
        group_size: u32,
    ) {
        let digest = id::fingerprint(&store::encode(&(prompts, group_size)));
        if step == self.ledger.step {
            let response = if digest == self.ledger.prompts_digest {
                Response::Opened(step)
            } else {
                Response::Refused(format!("{step} is open with other prompts"))
            };
            return self.respond(request_id, response);
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
            return self.respond(request_id, Response::Refused(refusal));
        }
        if now >= self.retry_at {
            self.write_prompts(request_id, step, digest, prompts, group_size);
        }
    }

    /// Writes the prompts part by part, then adds the change that opens the step.
    fn write_prompts(
        &mut self,
        request_id: RequestId,
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
        let Some(pending) = self.pending.get_mut(&request_id) else {
            return;
        };
        let parts = pending
            .parts
            .get_or_insert_with(|| encode_prompt_parts(prompts));
        let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        if let Some(value) = parts.get(pending.written as usize).cloned() {
            let key = ledger::prompts_key(&self.settings.trainer, step, digest, pending.written);
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

    pub(super) fn handle_prompts_written(&mut self, now: Instant, result: &CallResult) {
        // The key includes a digest of the prompts, so an existing object has the same content.
        let is_written = matches!(result, CallResult::Written { .. } | CallResult::Conflict);
        let opening = self
            .pending
            .values_mut()
            .find(|pending| pending.parts.is_some());
        match (is_written, opening) {
            (true, Some(pending)) => pending.written += 1,
            (true, None) => {}
            (false, _) => self.retry_at = now.after(PLATFORM_BACKOFF),
        }
    }

    fn add_change(&mut self, change: Change) {
        if !self.changes.contains(&change) {
            self.changes.push(change);
        }
    }

    fn staleness_bound(&self) -> StalenessBound {
        let config = self.config.as_ref();
        let bound = config.and_then(|config| config.staleness_bound(&self.settings.trainer));
        bound.unwrap_or(UNLIMITED_STALENESS)
    }

    fn newest_version(&self) -> Option<id::Version> {
        let config = self.config.as_ref()?;
        let trainer = config.trainer(&self.settings.trainer)?;
        config.target_version(&trainer.model)
    }

    /// Returns whether the configuration in force here is the newest one in the platform. Starts
    /// to read the newest generation unless it was read for this request just now.
    fn is_config_current(&mut self, now: Instant, request_id: RequestId) -> bool {
        let Some(pending) = self.pending.get_mut(&request_id) else {
            return false;
        };
        let in_force = self.config.as_ref().map(|config| config.generation);
        match pending.checked_generation {
            Some((at, generation)) if now.since(at) < GENERATION_CHECK_VALIDITY => {
                in_force.is_some_and(|in_force| in_force >= generation)
            }
            _ if pending.is_checking => false,
            _ => {
                pending.is_checking = true;
                let purpose = Purpose::ReadHead(vec![request_id]);
                self.call(head::HEAD_KEY.to_owned(), Op::Get, purpose);
                false
            }
        }
    }

    fn next_batch(&mut self, now: Instant, request_id: RequestId, batch: Batch, epoch: Epoch) {
        if batch != self.ledger.held {
            return self.confirm_batch(request_id, batch, epoch);
        }
        if self.ledger.is_complete() {
            let response = Response::Complete(self.ledger.step);
            return self.respond(request_id, response);
        }
        if !self.is_config_current(now, request_id) {
            return;
        }
        let (bound, Some(newest)) = (self.staleness_bound(), self.newest_version()) else {
            let refusal = "the trainer or its model is not declared".to_owned();
            return self.respond(request_id, Response::Refused(refusal));
        };
        self.clear_stale_slots(now, &bound, newest);
        if self.deliver_batch(now, request_id, &bound, newest) {
            return;
        }
        let has_waited = self
            .pending
            .get(&request_id)
            .is_some_and(|pending| now.since(pending.since) >= PARTIAL_BATCH_DELAY);
        self.assemble_batch(now, &bound, newest, has_waited);
    }

    /// Confirms a batch that the trainer has received and that the ledger has as pending.
    fn confirm_batch(&mut self, request_id: RequestId, batch: Batch, epoch: Epoch) {
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
        self.respond(request_id, Response::Refused(refusal));
    }

    /// Empties slots whose samples are stale. Contents of the pending batch keep these samples,
    /// since the trainer may have received the contents already.
    fn clear_stale_slots(&mut self, now: Instant, bound: &StalenessBound, newest: id::Version) {
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

    /// Hands over the current contents if each sample meets the bound and is still in its slot.
    fn deliver_batch(
        &mut self,
        now: Instant,
        request_id: RequestId,
        bound: &StalenessBound,
        newest: id::Version,
    ) -> bool {
        let Some(contents) = self.ledger.current() else {
            return false;
        };
        let is_in_slot = |sample: &Sample| {
            self.ledger
                .samples()
                .any(|(_, other)| other.payload == sample.payload)
        };
        if !contents.slots.iter().all(|(_, sample)| is_in_slot(sample)) {
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
        self.respond(request_id, response);
        true
    }

    /// Assembles the next contents of the pending batch once there are enough samples.
    fn assemble_batch(
        &mut self,
        now: Instant,
        bound: &StalenessBound,
        newest: id::Version,
        accept_partial: bool,
    ) {
        let config = self.config.as_ref();
        let trainer = config.and_then(|config| config.trainer(&self.settings.trainer));
        let Some(trainer) = trainer else { return };
        let (size, needs_score) = (trainer.batch as usize, trainer.scored);
        let unconfirmed = self
            .ledger
            .slot_states
            .iter()
            .filter(|state| **state != SlotState::Confirmed);
        let wanted = size.min(unconfirmed.count());
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
        let is_assembling = self
            .changes
            .iter()
            .any(|change| matches!(change, Change::AssembleBatch(..)));
        let is_enough = payloads.len() >= wanted || accept_partial;
        if payloads.is_empty() || !is_enough || is_assembling {
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

    fn may_be_scored(&self, sample: &Sample) -> bool {
        let Some(config) = &self.config else {
            return false;
        };
        let Some(trainer) = config.trainer(&self.settings.trainer) else {
            return false;
        };
        let mut versions = sample.versions.iter();
        versions.all(|version| config.is_scorable(&trainer.model, *version))
    }

    /// Sends drafts whose versions may be scored.
    fn send_drafts(&mut self, now: Instant, request_id: RequestId, count: u32) {
        if !self.is_config_current(now, request_id) {
            return;
        }
        let (bound, Some(newest)) = (self.staleness_bound(), self.newest_version()) else {
            let refusal = "the trainer or its model is not declared".to_owned();
            return self.respond(request_id, Response::Refused(refusal));
        };
        let drafts: Vec<(id::Slot, Sample)> = self
            .ledger
            .samples()
            .filter(|(_, sample)| sample.score.is_none() && self.may_be_scored(sample))
            .filter(|(_, sample)| sample.fresh_until(now, &bound, newest).is_some())
            .take(count as usize)
            .map(|(slot, sample)| (slot, sample.clone()))
            .collect();
        if !drafts.is_empty() {
            self.respond(request_id, Response::Drafts(drafts));
        }
    }

    /// Records a score if the draft's versions may still be scored.
    fn record_score(&mut self, now: Instant, request_id: RequestId, payload: Nonce, score: f64) {
        let found = self
            .ledger
            .samples()
            .find(|(_, sample)| sample.payload == payload);
        let Some(sample) = found.map(|(_, sample)| sample.clone()) else {
            let refusal = "there is no such draft any more".to_owned();
            return self.respond(request_id, Response::Refused(refusal));
        };
        if sample.score == Some(score) {
            return self.respond(request_id, Response::Scored);
        }
        if sample.score.is_some() {
            let refusal = "the draft has another score".to_owned();
            return self.respond(request_id, Response::Refused(refusal));
        }
        if !self.is_config_current(now, request_id) {
            return;
        }
        if !self.may_be_scored(&sample) {
            self.counters.disallowed += 1;
            let refusal = "the draft's version may not be scored".to_owned();
            return self.respond(request_id, Response::Refused(refusal));
        }
        self.add_change(Change::Score(payload, score));
    }

    fn report_progress(&mut self, request_id: RequestId) {
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
        self.respond(request_id, progress);
    }
}

/// Encodes prompts into the values of parts.
fn encode_prompt_parts(prompts: &[String]) -> Vec<Vec<u8>> {
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
