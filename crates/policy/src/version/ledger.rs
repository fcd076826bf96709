//! A trainer's ledger: the one record of which sample fills which slot and what was handed over.
//!
//! All functions here are transitions of the stored value. Each checks for itself whether it
//! still applies, so that a change can be made again on whatever ledger a lost answer or another
//! owner left behind.

use std::collections::{BTreeMap, BTreeSet};

use tamaracksail_model::config::Bound;
use tamaracksail_model::id::{self, Batch, Epoch, Nonce, Step, Version};
use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;

use crate::process::lease::LeaseRecord;

/// The most samples of a step, so that the ledger stays under the platform's size limit.
pub const MAX_SAMPLES: u32 = 4096;

plain! {
    /// A sample, whose payload lies on shelves.
    pub struct Sample {
        /// The name of its payload.
        pub payload: Nonce,
        /// The shelves that hold it.
        pub shelves: Vec<id::Host>,
        /// The versions that produced it.
        pub versions: BTreeSet<Version>,
        /// When its request was sent, so that its age is never underestimated.
        pub made_at: Instant,
        /// Its score, once a scoring service gave one.
        pub score: Option<f64>,
    }
}

plain! {
    /// What a slot holds.
    #[serde(rename_all = "kebab-case")]
    pub enum Cell {
        /// Nothing yet.
        Empty,
        /// A sample that is not in a batch.
        Filled(Sample),
        /// A sample that is in an edition of the batch that is under way.
        Fixed(Sample),
        /// The trainer holds its sample.
        Done,
    }
}

plain! {
    /// One edition of the batch that is under way. The highest is the one to hand over.
    pub struct Edition {
        /// The edition's number.
        pub epoch: Epoch,
        /// Its slots with the payloads that were fixed for them.
        pub slots: Vec<(id::Slot, Sample)>,
    }
}

plain! {
    /// A trainer's ledger.
    #[derive(Default)]
    pub struct Ledger {
        /// The lease of its owner.
        #[serde(flatten)]
        pub lease: LeaseRecord,
        /// The step; zero before the first.
        pub step: Step,
        /// A digest of the step's prompts.
        pub prompts: id::Fingerprint,
        /// The parts in which the prompts are stored.
        pub parts: u32,
        /// The samples of each prompt.
        pub group_size: u32,
        /// The slots, group after group.
        pub cells: Vec<Cell>,
        /// The last batch that the trainer said it holds.
        pub held: Batch,
        /// The editions of the batch after `held`.
        pub editions: Vec<Edition>,
        /// Samples that became too old before they were handed over.
        pub stale: u64,
    }
}

plain! {
    /// A change of the ledger.
    pub enum Change {
        /// Opens a step.
        Open {
            /// The step.
            step: Step,
            /// A digest of its prompts.
            prompts: id::Fingerprint,
            /// The parts in which they are stored.
            parts: u32,
            /// Its prompts.
            groups: u32,
            /// The samples of each.
            group_size: u32,
        },
        /// Fills an empty slot.
        Fill(Step, id::Slot, Sample),
        /// Empties a slot whose payload was lost or became too old.
        Empty(id::Slot, Nonce),
        /// Notes a score.
        Score(Nonce, f64),
        /// The trainer holds an edition of the batch after the held one.
        Hold(Batch, Epoch),
        /// Fixes an edition of the batch after `Batch` out of these payloads.
        Fix(Batch, Epoch, Vec<Nonce>),
    }
}

impl Ledger {
    fn place(&self, slot: id::Slot) -> usize {
        slot.group as usize * self.group_size as usize + slot.index as usize
    }

    /// The slot at a place of `cells`.
    #[must_use]
    pub fn slot(&self, place: usize) -> id::Slot {
        let size = self.group_size.max(1) as usize;
        let part = |value: usize| u32::try_from(value).unwrap_or(u32::MAX);
        id::Slot {
            group: part(place / size),
            index: part(place % size),
        }
    }

    /// Whether every sample of the step is held by the trainer.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.cells.iter().all(|cell| *cell == Cell::Done)
    }

    /// The edition to hand over, if one is fixed.
    #[must_use]
    pub fn current(&self) -> Option<&Edition> {
        self.editions.last()
    }

    /// The samples that no trainer holds yet, with their slots.
    pub fn samples(&self) -> impl Iterator<Item = (id::Slot, &Sample)> {
        let cells = self.cells.iter().enumerate();
        cells.filter_map(|(place, cell)| match cell {
            Cell::Filled(sample) | Cell::Fixed(sample) => Some((self.slot(place), sample)),
            Cell::Empty | Cell::Done => None,
        })
    }

    /// Every sample that the ledger names, those of editions included.
    pub fn all_samples(&self) -> impl Iterator<Item = &Sample> {
        let fixed = self.editions.iter().flat_map(|edition| &edition.slots);
        let fixed = fixed.map(|(_, sample)| sample);
        self.samples().map(|(_, sample)| sample).chain(fixed)
    }

    /// The payloads of every sample that the ledger names.
    #[must_use]
    pub fn payloads(&self) -> BTreeSet<Nonce> {
        self.all_samples().map(|sample| sample.payload).collect()
    }

    /// Makes a change, if it still applies; says whether it did.
    pub fn apply(&mut self, change: &Change) -> bool {
        match change {
            Change::Open {
                step,
                prompts,
                parts,
                groups,
                group_size,
            } => {
                let is_next = *step == self.step.next() && self.is_complete();
                if is_next {
                    self.step = *step;
                    self.prompts = *prompts;
                    self.parts = *parts;
                    self.group_size = *group_size;
                    self.cells = vec![Cell::Empty; *groups as usize * *group_size as usize];
                }
                is_next
            }
            Change::Fill(step, slot, sample) => self.fill(*step, *slot, sample),
            Change::Empty(slot, payload) => self.empty(*slot, *payload),
            Change::Score(payload, score) => self.score(*payload, *score),
            Change::Hold(batch, epoch) => self.hold(*batch, *epoch),
            Change::Fix(batch, epoch, payloads) => self.fix(*batch, *epoch, payloads),
        }
    }

    /// The first valid sample wins.
    fn fill(&mut self, step: Step, slot: id::Slot, sample: &Sample) -> bool {
        let place = self.place(slot);
        match self.cells.get_mut(place) {
            Some(cell @ Cell::Empty) if step == self.step => {
                *cell = Cell::Filled(sample.clone());
                true
            }
            _ => false,
        }
    }

    fn empty(&mut self, slot: id::Slot, payload: Nonce) -> bool {
        let place = self.place(slot);
        match self.cells.get_mut(place) {
            Some(cell) if cell.payload() == Some(payload) => {
                *cell = Cell::Empty;
                true
            }
            _ => false,
        }
    }

    fn score(&mut self, payload: Nonce, score: f64) -> bool {
        let wanted = self.cells.iter_mut().find_map(|cell| match cell {
            Cell::Filled(sample) if sample.payload == payload && sample.score.is_none() => {
                Some(sample)
            }
            _ => None,
        });
        wanted.is_some_and(|sample| {
            sample.score = Some(score);
            true
        })
    }

    /// The trainer holds an edition: its slots are done, whatever became of their cells since.
    /// What only other editions contain goes back.
    fn hold(&mut self, batch: Batch, epoch: Epoch) -> bool {
        if batch != self.held.next() {
            return false;
        }
        let Some(edition) = self.editions.iter().find(|edition| edition.epoch == epoch) else {
            return false;
        };
        for (slot, _) in edition.slots.clone() {
            let place = self.place(slot);
            if let Some(cell) = self.cells.get_mut(place) {
                *cell = Cell::Done;
            }
        }
        for cell in &mut self.cells {
            if let Cell::Fixed(sample) = cell {
                *cell = Cell::Filled(sample.clone());
            }
        }
        self.held = batch;
        self.editions.clear();
        true
    }

    fn fix(&mut self, batch: Batch, epoch: Epoch, payloads: &[Nonce]) -> bool {
        let last = self.current().map_or(Epoch(0), |edition| edition.epoch);
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
        for place in 0..self.cells.len() {
            let slot = self.slot(place);
            let cell = &mut self.cells[place];
            let (Cell::Filled(sample) | Cell::Fixed(sample)) = cell else {
                continue;
            };
            let sample = sample.clone();
            if chosen.contains_key(&sample.payload) {
                slots.push((slot, sample.clone()));
                *cell = Cell::Fixed(sample);
            } else {
                *cell = Cell::Filled(sample);
            }
        }
        self.editions.push(Edition { epoch, slots });
        true
    }
}

impl Change {
    /// Whether somebody waits for it to be written.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        matches!(
            self,
            Self::Open { .. } | Self::Hold(..) | Self::Fix(..) | Self::Score(..)
        )
    }
}

impl Cell {
    fn payload(&self) -> Option<Nonce> {
        match self {
            Self::Filled(sample) | Self::Fixed(sample) => Some(sample.payload),
            Self::Empty | Self::Done => None,
        }
    }
}

impl Sample {
    /// Until when the sample meets `bound` if `newest` stays the newest version; none if it
    /// does not meet it now.
    #[must_use]
    pub fn fresh_until(&self, now: Instant, bound: &Bound, newest: Version) -> Option<Instant> {
        let oldest = self.versions.first()?;
        let behind = newest.0.saturating_sub(oldest.0);
        let until = self.made_at.after(bound.age);
        (behind <= bound.versions && now < until).then_some(until)
    }
}

/// The object that holds a trainer's ledger.
#[must_use]
pub fn key(trainer: &id::Object) -> String {
    format!("ledger/{trainer}")
}

/// The object that holds a part of a step's prompts.
#[must_use]
pub fn prompts_key(trainer: &id::Object, step: Step, digest: id::Fingerprint, part: u32) -> String {
    format!("prompts/{trainer}/{}-{:x}/{part}", step.0, digest.0)
}
