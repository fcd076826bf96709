//! How the owner fills slots: samples, second copies of stragglers, and losers.

use std::collections::BTreeMap;
use std::time::Duration;

use tamaracksail_model::id::{self, Step};
use tamaracksail_model::time::Instant;

use super::action::Action;
use super::machine::{BACKOFF, Owner, Purpose};
use crate::store::{self, Answer, Op};
use crate::version::ledger::{self, Change, Sample, SlotState};

/// Copies of a slot that are made at a time, so that a straggling second copy is hedged too.
const MAX_COPIES: usize = 3;

/// The copies of a slot that are being made, and when each was started.
#[derive(Clone, Debug, Default)]
pub(super) struct Work {
    copies: BTreeMap<u32, Instant>,
    next_copy: u32,
}

impl Owner {
    /// Forgets what belongs to another step, and reads the prompts of this one.
    pub(super) fn start_step(&mut self) {
        self.drop_work();
        self.hedges = 0;
        self.prompts.clear();
    }

    fn read_prompts(&mut self, now: Instant) {
        let is_reading = self
            .calls
            .values()
            .any(|purpose| matches!(purpose, Purpose::ReadPrompts(_)));
        if self.ledger.prompt_parts > 0 && !is_reading && now >= self.retry_at {
            self.read_part(0);
        }
    }

    fn read_part(&mut self, part: u32) {
        let (step, digest) = (self.ledger.step, self.ledger.prompts_digest);
        let key = ledger::prompts_key(&self.settings.trainer, step, digest, part);
        self.call(key, Op::Get, Purpose::ReadPrompts(part));
    }

    pub(super) fn take_prompts(&mut self, now: Instant, part: u32, answer: &Answer) {
        let Answer::Value { value, .. } = answer else {
            self.prompts.clear();
            self.retry_at = now.after(BACKOFF);
            return;
        };
        if part == 0 {
            self.prompts.clear();
        }
        if let Ok(prompts) = store::decode::<Vec<String>>("prompts", value) {
            self.prompts.extend(prompts);
        }
        if part + 1 < self.ledger.prompt_parts {
            self.read_part(part + 1);
        }
    }

    fn has_prompts(&self) -> bool {
        let groups = self.ledger.slot_states.len() / self.ledger.group_size.max(1) as usize;
        !self.prompts.is_empty() && self.prompts.len() >= groups
    }

    /// Cancels all copies under way.
    pub(super) fn drop_work(&mut self) {
        let step = self.ledger.step;
        for (slot, work) in std::mem::take(&mut self.work) {
            for copy in work.copies.into_keys() {
                self.out.push(Action::Cancel { step, slot, copy });
            }
        }
    }

    /// Starts samples for empty slots, and second copies of stragglers.
    pub(super) fn fill_slots(&mut self, now: Instant) {
        let is_idle = self.ledger.slot_states.is_empty() || self.ledger.is_complete();
        if !self.is_owner() || self.is_stopping || is_idle {
            return;
        }
        if !self.has_prompts() {
            return self.read_prompts(now);
        }
        self.start_empty(now);
        self.hedge_stragglers(now);
    }

    fn in_flight(&self) -> usize {
        self.work.values().map(|work| work.copies.len()).sum()
    }

    fn start_empty(&mut self, now: Instant) {
        let mut room = (self.settings.parallel as usize).saturating_sub(self.in_flight());
        if room == 0 {
            return;
        }
        let empty = self.ledger.slot_states.iter().enumerate();
        let empty = empty.filter(|(_, state)| **state == SlotState::Empty);
        let slots: Vec<id::Slot> = empty
            .map(|(position, _)| self.ledger.slot_at(position))
            .collect();
        for slot in slots {
            if room == 0 {
                return;
            }
            let is_pending = self.changes.iter().any(
                |change| matches!(change, Change::Fill(step, at, _) if *at == slot && *step == self.ledger.step),
            );
            if !is_pending && !self.work.contains_key(&slot) {
                self.generate(now, slot);
                room -= 1;
            }
        }
    }

    fn generate(&mut self, now: Instant, slot: id::Slot) {
        let Some(prompt) = self.prompts.get(slot.group as usize).cloned() else {
            return;
        };
        let work = self.work.entry(slot).or_default();
        let copy = work.next_copy;
        work.next_copy += 1;
        work.copies.insert(copy, now);
        self.counters.generated += 1;
        let step = self.ledger.step;
        self.out.push(Action::Generate {
            step,
            slot,
            copy,
            prompt,
        });
    }

    /// A sample is late when it takes longer than the rule's percentile of those before it.
    /// Second copies stay under the rule's share of the step.
    fn hedge_stragglers(&mut self, now: Instant) {
        let rule = self
            .config
            .as_ref()
            .and_then(|config| config.hedge(&self.settings.trainer));
        let Some((percentile, cap_percent)) = rule else {
            return;
        };
        // Half of the cap is expected to be spent, so that it lasts until the step's end.
        let within_cap = 100 - cap_percent.min(100) / 2;
        let ages: Vec<Duration> = self
            .work
            .values()
            .flat_map(|work| work.copies.values().map(|at| now.since(*at)))
            .collect();
        let Some(late_after) = self.latency.quantile(percentile.max(within_cap), &ages) else {
            return;
        };
        let cap = self.ledger.slot_states.len() * cap_percent as usize / 100;
        let is_late = |work: &Work| {
            let copies = work.copies.len();
            (1..MAX_COPIES).contains(&copies)
                && work.copies.values().all(|at| now.since(*at) > late_after)
        };
        let late: Vec<id::Slot> = self
            .work
            .iter()
            .filter(|(_, work)| is_late(work))
            .map(|(slot, _)| *slot)
            .collect();
        for slot in late {
            if self.hedges as usize >= cap {
                return;
            }
            self.hedges += 1;
            self.counters.hedged += 1;
            self.generate(now, slot);
        }
    }

    pub(super) fn take_sample(
        &mut self,
        now: Instant,
        step: Step,
        slot: id::Slot,
        copy: u32,
        sample: Option<Sample>,
    ) {
        let work = self
            .work
            .get_mut(&slot)
            .filter(|_| step == self.ledger.step);
        let started = work.and_then(|work| work.copies.remove(&copy));
        let Some(started) = started else {
            // A loser, or a sample for a ledger that is another's now.
            self.counters.late += u64::from(sample.is_some());
            self.out
                .extend(sample.map(|lost| Action::Discard(vec![lost])));
            return;
        };
        let Some(sample) = sample else {
            let is_over = self
                .work
                .get(&slot)
                .is_none_or(|work| work.copies.is_empty());
            if is_over {
                self.work.remove(&slot);
            }
            return;
        };
        self.latency.record(now.since(started));
        let losers = self.work.remove(&slot).map(|work| work.copies);
        for copy in losers.unwrap_or_default().into_keys() {
            self.out.push(Action::Cancel { step, slot, copy });
        }
        self.changes.push(Change::Fill(step, slot, sample));
    }

    /// A payload is gone with its shelves: its slot is filled anew.
    pub(super) fn lose_payload(&mut self, slot: id::Slot, payload: id::Nonce) {
        self.changes.push(Change::Empty(slot, payload));
    }
}
