//! What the owner of a trainer's steps asks its process to do.

use tamaracksail_model::id::{self, Batch, Epoch, Step};
use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;

use super::event::Ask;
use crate::store::Call;
use crate::version::ledger::Sample;

plain! {
    /// An answer to a trainer or a scoring service.
    pub enum Response {
        /// The step is open.
        Opened(Step),
        /// A batch. It may leave until the instant.
        Batch {
            /// Its number.
            batch: Batch,
            /// Its edition; the higher replaces the lower.
            epoch: Epoch,
            /// Its samples, whose payloads lie on shelves.
            samples: Vec<(id::Slot, Sample)>,
            /// Until when they meet the bound in force.
            until: Instant,
            /// The generation whose bound they meet.
            generation: id::Generation,
        },
        /// The trainer holds all samples of the step.
        Complete(Step),
        /// Samples to score.
        Drafts(Vec<(id::Slot, Sample)>),
        /// The score stands.
        Scored,
        /// How far the step is.
        Progress {
            /// The step.
            step: Step,
            /// Its slots.
            slots: u64,
            /// Slots with a sample that is not handed over.
            filled: u64,
            /// Slots whose sample the trainer holds.
            done: u64,
            /// The last batch that the trainer said it holds.
            held: Batch,
        },
        /// Nothing yet: come back.
        Wait,
        /// Another host owns the ledger.
        Elsewhere(Option<id::Host>),
        /// The request does not fit; one sentence why.
        Refused(String),
    }
}

/// An action of an owner.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the platform.
    Store(Call),
    /// Make a sample for a slot and put its payload on shelves, then tell
    /// [`super::Event::Sampled`].
    Generate {
        /// The step.
        step: Step,
        /// The slot.
        slot: id::Slot,
        /// Which copy; the second hedges the first.
        copy: u32,
        /// The prompt.
        prompt: String,
    },
    /// Cancel a copy: another was faster.
    Cancel {
        /// The step.
        step: Step,
        /// The slot.
        slot: id::Slot,
        /// Which copy.
        copy: u32,
    },
    /// Answer.
    Reply(Ask, Response),
    /// Remove payloads from their shelves.
    Discard(Vec<Sample>),
    /// Another host owns the ledger, or this one gave it up.
    Released,
}
