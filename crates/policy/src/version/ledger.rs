//! A trainer's ledger: the authoritative record of which sample fills which slot of a training
//! step, and of which batches the trainer has received.
//!
//! A step has one slot per sample. Batches of samples are handed over one after the other; the
//! trainer confirms a batch by asking for the next one. Until then the batch is the pending batch,
//! and its contents may be replaced, for instance when a sample becomes stale. Contents are
//! numbered by epochs (not to be confused with epochs of training), and those with the highest
//! epoch are handed over.
//!
//! A [`Change`] is a transition of the stored value that checks whether it still applies. So it
//! can be applied again, after a lost response or a takeover, to whatever ledger is stored.

use std::collections::{BTreeMap, BTreeSet};

use tamaracksail_model::config::StalenessBound;
use tamaracksail_model::id::{self, Batch, Epoch, Nonce, Step, Version};
use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;

use crate::process::lease::LeaseRecord;

/// The maximum number of samples in a step, which keeps the ledger below the platform's size
/// limit.
pub const MAX_SAMPLES_PER_STEP: u32 = 4096;

plain! {
    /// A sample whose payload is stored on shelves.
    pub struct Sample {
        /// The name of its payload.
        pub payload: Nonce,
        /// The shelves that store the payload.
        pub shelves: Vec<id::Host>,
        /// The weight versions that generated it.
        pub versions: BTreeSet<Version>,
        /// When its request was sent, which is before it was generated, so that its age is never
        /// underestimated.
        #[serde(rename = "made_at")]
        pub requested_at: Instant,
        /// The score, once a scoring service has sent one.
        pub score: Option<f64>,
    }
}

plain! {
    /// The state of a slot.
    #[serde(rename_all = "kebab-case")]
    pub enum SlotState {
        /// The slot has no sample.
        Empty,
        /// The slot has a sample that is not in the latest contents of the pending batch.
        Filled(Sample),
        /// The slot has a sample that is in the latest contents of the pending batch.
        #[serde(rename = "fixed")]
        InBatch(Sample),
        /// The trainer has confirmed that it received the sample.
        #[serde(rename = "done")]
        Confirmed,
    }
}

plain! {
    /// Contents of the pending batch. A higher epoch supersedes a lower one.
    pub struct BatchContents {
        /// The number of these contents, counted from one for each batch.
        pub epoch: Epoch,
        /// The samples, with their slots.
        pub slots: Vec<(id::Slot, Sample)>,
    }
}

plain! {
    /// A trainer's ledger.
    #[derive(Default)]
    pub struct Ledger {
        /// The lease of the ledger's owner.
        #[serde(flatten)]
        pub lease: LeaseRecord,
        /// The current step, or zero before the first.
        pub step: Step,
        /// A digest of the step's prompts.
        #[serde(rename = "prompts")]
        pub prompts_digest: id::Fingerprint,
        /// The number of objects in which the prompts are stored.
        #[serde(rename = "parts")]
        pub prompt_parts: u32,
        /// The number of samples of each prompt. The samples of a prompt form a group.
        pub group_size: u32,
        /// The states of all slots, group after group.
        #[serde(rename = "cells")]
        pub slot_states: Vec<SlotState>,
        /// The last batch that the trainer has confirmed, called held since the trainer holds it.
        pub held: Batch,
        /// All contents of the pending batch, the one after `held`, in the order of their epochs.
        #[serde(rename = "editions")]
        pub batch_contents: Vec<BatchContents>,
        /// The number of samples that became stale before they were handed over.
        pub stale: u64,
    }
}

plain! {
    /// A transition of the ledger.
    pub enum Change {
        /// Opens a step.
        Open {
            /// The step.
            step: Step,
            /// A digest of its prompts.
            #[serde(rename = "prompts")]
            prompts_digest: id::Fingerprint,
            /// The number of objects in which they are stored.
            #[serde(rename = "parts")]
            prompt_parts: u32,
            /// The number of its prompts.
            groups: u32,
            /// The number of samples of each prompt.
            group_size: u32,
        },
        /// Fills an empty slot.
        Fill(Step, id::Slot, Sample),
        /// Empties a slot whose sample became stale or whose payload was lost.
        Empty(id::Slot, Nonce),
        /// Records the score of the sample with this payload.
        Score(Nonce, f64),
        /// Records that the trainer has received the pending batch with the contents of this epoch.
        #[serde(rename = "Hold")]
        ConfirmBatch(Batch, Epoch),
        /// Assembles the contents of an epoch of the pending batch from the samples with these
        /// payloads.
        #[serde(rename = "Fix")]
        AssembleBatch(Batch, Epoch, Vec<Nonce>),
    }
}

impl Ledger {
    fn position(&self, slot: id::Slot) -> usize {
        slot.group as usize * self.group_size as usize + slot.index as usize
    }

    /// Returns the slot at a position in `slot_states`.
    #[must_use]
    pub fn slot_at(&self, position: usize) -> id::Slot {
        let size = self.group_size.max(1) as usize;
        let to_u32 = |value: usize| u32::try_from(value).unwrap_or(u32::MAX);
        id::Slot {
            group: to_u32(position / size),
            index: to_u32(position % size),
        }
    }

    /// Returns whether the trainer has confirmed every sample of the step.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.slot_states
            .iter()
            .all(|state| *state == SlotState::Confirmed)
    }

    /// Returns the contents of the pending batch with the highest epoch.
    #[must_use]
    pub fn current(&self) -> Option<&BatchContents> {
        self.batch_contents.last()
    }

    /// Returns the samples that the trainer has not confirmed, with their slots.
    pub fn samples(&self) -> impl Iterator<Item = (id::Slot, &Sample)> {
        let slot_states = self.slot_states.iter().enumerate();
        slot_states.filter_map(|(position, state)| match state {
            SlotState::Filled(sample) | SlotState::InBatch(sample) => {
                Some((self.slot_at(position), sample))
            }
            SlotState::Empty | SlotState::Confirmed => None,
        })
    }

    /// Returns every sample in the ledger, including those in contents of the pending batch.
    pub fn all_samples(&self) -> impl Iterator<Item = &Sample> {
        let in_batches = self
            .batch_contents
            .iter()
            .flat_map(|contents| &contents.slots);
        let in_batches = in_batches.map(|(_, sample)| sample);
        self.samples().map(|(_, sample)| sample).chain(in_batches)
    }

    /// Returns the payloads of every sample in the ledger.
    #[must_use]
    pub fn payloads(&self) -> BTreeSet<Nonce> {
        self.all_samples().map(|sample| sample.payload).collect()
    }

    /// Applies a change if it is still applicable, and returns whether it was.
    pub fn apply(&mut self, change: &Change) -> bool {
        match change {
            Change::Open {
                step,
                prompts_digest,
                prompt_parts,
                groups,
                group_size,
            } => {
                let is_next = *step == self.step.next() && self.is_complete();
                if is_next {
                    self.step = *step;
                    self.prompts_digest = *prompts_digest;
                    self.prompt_parts = *prompt_parts;
                    self.group_size = *group_size;
                    self.slot_states =
                        vec![SlotState::Empty; *groups as usize * *group_size as usize];
                }
                is_next
            }
            Change::Fill(step, slot, sample) => self.fill(*step, *slot, sample),
            Change::Empty(slot, payload) => self.empty(*slot, *payload),
            Change::Score(payload, score) => self.score(*payload, *score),
            Change::ConfirmBatch(batch, epoch) => self.confirm_batch(*batch, *epoch),
            Change::AssembleBatch(batch, epoch, payloads) => {
                self.assemble_batch(*batch, *epoch, payloads)
            }
        }
    }

    /// Fills a slot that is still empty; a later sample of the same slot is not applied.
    fn fill(&mut self, step: Step, slot: id::Slot, sample: &Sample) -> bool {
        let position = self.position(slot);
        match self.slot_states.get_mut(position) {
            Some(state @ SlotState::Empty) if step == self.step => {
                *state = SlotState::Filled(sample.clone());
                true
            }
            _ => false,
        }
    }

    fn empty(&mut self, slot: id::Slot, payload: Nonce) -> bool {
        let position = self.position(slot);
        match self.slot_states.get_mut(position) {
            Some(state) if state.payload() == Some(payload) => {
                *state = SlotState::Empty;
                true
            }
            _ => false,
        }
    }

    fn score(&mut self, payload: Nonce, score: f64) -> bool {
        let unscored = self.slot_states.iter_mut().find_map(|state| match state {
            SlotState::Filled(sample) if sample.payload == payload && sample.score.is_none() => {
                Some(sample)
            }
            _ => None,
        });
        unscored.is_some_and(|sample| {
            sample.score = Some(score);
            true
        })
    }

    /// Marks the slots of the confirmed contents, whatever their states have become since.
    /// Samples that are only in other contents are available for the next batch again.
    fn confirm_batch(&mut self, batch: Batch, epoch: Epoch) -> bool {
        if batch != self.held.next() {
            return false;
        }
        let Some(contents) = self
            .batch_contents
            .iter()
            .find(|contents| contents.epoch == epoch)
        else {
            return false;
        };
        for (slot, _) in contents.slots.clone() {
            let position = self.position(slot);
            if let Some(state) = self.slot_states.get_mut(position) {
                *state = SlotState::Confirmed;
            }
        }
        for state in &mut self.slot_states {
            if let SlotState::InBatch(sample) = state {
                *state = SlotState::Filled(sample.clone());
            }
        }
        self.held = batch;
        self.batch_contents.clear();
        true
    }

    fn assemble_batch(&mut self, batch: Batch, epoch: Epoch, payloads: &[Nonce]) -> bool {
        let last = self.current().map_or(Epoch(0), |contents| contents.epoch);
        if batch != self.held.next() || epoch != last.next() || payloads.is_empty() {
            return false;
        }
        let chosen: BTreeMap<Nonce, id::Slot> = self
            .samples()
            .map(|(slot, sample)| (sample.payload, slot))
            .filter(|(payload, _)| payloads.contains(payload))
            .collect();
        if chosen.len() != payloads.len() {
            return false;
        }
        let mut slots = Vec::new();
        for position in 0..self.slot_states.len() {
            let slot = self.slot_at(position);
            let state = &mut self.slot_states[position];
            let (SlotState::Filled(sample) | SlotState::InBatch(sample)) = state else {
                continue;
            };
            let sample = sample.clone();
            if chosen.contains_key(&sample.payload) {
                slots.push((slot, sample.clone()));
                *state = SlotState::InBatch(sample);
            } else {
                *state = SlotState::Filled(sample);
            }
        }
        self.batch_contents.push(BatchContents { epoch, slots });
        true
    }
}

impl Change {
    /// Returns whether a trainer or a scoring service waits for the change to be written.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        matches!(
            self,
            Self::Open { .. } | Self::ConfirmBatch(..) | Self::AssembleBatch(..) | Self::Score(..)
        )
    }
}

impl SlotState {
    fn payload(&self) -> Option<Nonce> {
        match self {
            Self::Filled(sample) | Self::InBatch(sample) => Some(sample.payload),
            Self::Empty | Self::Confirmed => None,
        }
    }
}

impl Sample {
    /// Returns until when the sample meets the staleness bound while `newest` stays the newest
    /// version, or `None` if it does not meet the bound now.
    #[must_use]
    pub fn fresh_until(
        &self,
        now: Instant,
        bound: &StalenessBound,
        newest: Version,
    ) -> Option<Instant> {
        let oldest = self.versions.first()?;
        let behind = newest.0.saturating_sub(oldest.0);
        let until = self.requested_at.after(bound.age);
        (behind <= bound.versions && now < until).then_some(until)
    }
}

/// Returns the key of the object that stores a trainer's ledger.
#[must_use]
pub fn key(trainer: &id::Object) -> String {
    format!("ledger/{trainer}")
}

/// Returns the key of the object that stores a part of a step's prompts.
#[must_use]
pub fn prompts_key(trainer: &id::Object, step: Step, digest: id::Fingerprint, part: u32) -> String {
    format!("prompts/{trainer}/{}-{:x}/{part}", step.0, digest.0)
}
