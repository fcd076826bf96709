//! How the owner fills slots: it generates samples, hedges stragglers with further copies, and
//! cancels copies that are no longer needed.

use std::collections::BTreeMap;
use std::time::Duration;

use tamaracksail_model::id::{self, Step};
use tamaracksail_model::time::Instant;

use super::action::Action;
use super::machine::{Owner, PLATFORM_BACKOFF, Purpose};
use crate::store::{self, CallResult, Op};
use crate::version::ledger::{self, Change, Sample, SlotState};

/// The maximum number of copies of a slot that are generated at a time. The third hedges a second
/// copy that straggles too.
const MAX_COPIES: usize = 3;

/// The copies of a slot that are being generated, each with the time of its start.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotCopies {
    copies: BTreeMap<u32, Instant>,
    next_copy: u32,
}

impl Owner {
    /// Drops the state that belongs to the previous step. The prompts are read again when needed.
    pub(super) fn start_step(&mut self) {
        self.cancel_copies();
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

    pub(super) fn handle_prompts(&mut self, now: Instant, part: u32, result: &CallResult) {
        let CallResult::Value { value, .. } = result else {
            self.prompts.clear();
            self.retry_at = now.after(PLATFORM_BACKOFF);
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

    /// Cancels all copies in progress.
    pub(super) fn cancel_copies(&mut self) {
        let step = self.ledger.step;
        for (slot, slot_copies) in std::mem::take(&mut self.generating) {
            for copy in slot_copies.copies.into_keys() {
                self.actions.push(Action::Cancel { step, slot, copy });
            }
        }
    }

    /// Starts copies for empty slots, and further copies for stragglers.
    pub(super) fn start_samples(&mut self, now: Instant) {
        let is_idle = self.ledger.slot_states.is_empty() || self.ledger.is_complete();
        if !self.is_owner() || self.is_stopping || is_idle {
            return;
        }
        if !self.has_prompts() {
            return self.read_prompts(now);
        }
        self.start_empty_slots(now);
        self.hedge_stragglers(now);
    }

    fn copies_in_progress(&self) -> usize {
        self.generating
            .values()
            .map(|slot_copies| slot_copies.copies.len())
            .sum()
    }

    fn start_empty_slots(&mut self, now: Instant) {
        let mut capacity =
            (self.settings.parallel as usize).saturating_sub(self.copies_in_progress());
        if capacity == 0 {
            return;
        }
        let empty = self.ledger.slot_states.iter().enumerate();
        let empty = empty.filter(|(_, state)| **state == SlotState::Empty);
        let slots: Vec<id::Slot> = empty
            .map(|(position, _)| self.ledger.slot_at(position))
            .collect();
        for slot in slots {
            if capacity == 0 {
                return;
            }
            let is_pending = self.changes.iter().any(
                |change| matches!(change, Change::Fill(step, at, _) if *at == slot && *step == self.ledger.step),
            );
            if !is_pending && !self.generating.contains_key(&slot) {
                self.start_copy(now, slot);
                capacity -= 1;
            }
        }
    }

    fn start_copy(&mut self, now: Instant, slot: id::Slot) {
        let Some(prompt) = self.prompts.get(slot.group as usize).cloned() else {
            return;
        };
        let slot_copies = self.generating.entry(slot).or_default();
        let copy = slot_copies.next_copy;
        slot_copies.next_copy += 1;
        slot_copies.copies.insert(copy, now);
        self.counters.generated += 1;
        let step = self.ledger.step;
        self.actions.push(Action::Generate {
            step,
            slot,
            copy,
            prompt,
        });
    }

    /// Hedges samples that take longer than the rule's percentile of earlier samples. The number
    /// of hedges per step is limited to the rule's share of its slots.
    fn hedge_stragglers(&mut self, now: Instant) {
        let rule = self
            .config
            .as_ref()
            .and_then(|config| config.hedge(&self.settings.trainer));
        let Some((percentile, cap_percent)) = rule else {
            return;
        };
        // A percentile at which half of the cap is spent, so that it lasts until the step's end.
        let cap_percentile = 100 - cap_percent.min(100) / 2;
        let ages: Vec<Duration> = self
            .generating
            .values()
            .flat_map(|slot_copies| slot_copies.copies.values().map(|at| now.since(*at)))
            .collect();
        let Some(late_after) = self.latency.quantile(percentile.max(cap_percentile), &ages) else {
            return;
        };
        let cap = self.ledger.slot_states.len() * cap_percent as usize / 100;
        let is_late = |slot_copies: &SlotCopies| {
            let copies = slot_copies.copies.len();
            (1..MAX_COPIES).contains(&copies)
                && slot_copies
                    .copies
                    .values()
                    .all(|at| now.since(*at) > late_after)
        };
        let late: Vec<id::Slot> = self
            .generating
            .iter()
            .filter(|(_, slot_copies)| is_late(slot_copies))
            .map(|(slot, _)| *slot)
            .collect();
        for slot in late {
            if self.hedges as usize >= cap {
                return;
            }
            self.hedges += 1;
            self.counters.hedged += 1;
            self.start_copy(now, slot);
        }
    }

    pub(super) fn handle_sample(
        &mut self,
        now: Instant,
        step: Step,
        slot: id::Slot,
        copy: u32,
        sample: Option<Sample>,
    ) {
        let slot_copies = self
            .generating
            .get_mut(&slot)
            .filter(|_| step == self.ledger.step);
        let started = slot_copies.and_then(|slot_copies| slot_copies.copies.remove(&copy));
        let Some(started) = started else {
            // A slower copy, or a sample for a step or ledger that this host no longer works on.
            self.counters.late += u64::from(sample.is_some());
            self.actions
                .extend(sample.map(|late_sample| Action::Discard(vec![late_sample])));
            return;
        };
        let Some(sample) = sample else {
            let has_no_copies = self
                .generating
                .get(&slot)
                .is_none_or(|slot_copies| slot_copies.copies.is_empty());
            if has_no_copies {
                self.generating.remove(&slot);
            }
            return;
        };
        self.latency.record(now.since(started));
        let slower_copies = self
            .generating
            .remove(&slot)
            .map(|slot_copies| slot_copies.copies);
        for copy in slower_copies.unwrap_or_default().into_keys() {
            self.actions.push(Action::Cancel { step, slot, copy });
        }
        self.changes.push(Change::Fill(step, slot, sample));
    }

    /// Empties a slot whose payload was lost with its shelves, so that it is filled again.
    pub(super) fn clear_lost_payload(&mut self, slot: id::Slot, payload: id::Nonce) {
        self.changes.push(Change::Empty(slot, payload));
    }
}
