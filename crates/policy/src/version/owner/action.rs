//! The actions of the owner of a trainer's steps.

use tamaracksail_model::id::{self, Batch, Epoch, Step};
use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;

use super::event::RequestId;
use crate::store::Call;
use crate::version::ledger::Sample;

plain! {
    /// A response to a trainer or a scoring service.
    pub enum Response {
        /// The step is open.
        Opened(Step),
        /// A batch, which may be sent to the trainer before `until`.
        Batch {
            /// The number of the batch.
            batch: Batch,
            /// The epoch of its contents; a higher epoch supersedes a lower one.
            epoch: Epoch,
            /// Its samples, whose payloads are stored on shelves.
            samples: Vec<(id::Slot, Sample)>,
            /// When the first of them exceeds the staleness bound in force.
            until: Instant,
            /// The configuration generation that the bound is from.
            generation: id::Generation,
        },
        /// The trainer has confirmed all samples of the step.
        Complete(Step),
        /// Drafts: samples that have no score yet.
        Drafts(Vec<(id::Slot, Sample)>),
        /// The score is recorded.
        Scored,
        /// The progress of the step.
        Progress {
            /// The step.
            step: Step,
            /// The number of its slots.
            slots: u64,
            /// The number of slots with a sample that the trainer has not confirmed.
            filled: u64,
            /// The number of slots whose sample the trainer has confirmed.
            done: u64,
            /// The last batch that the trainer has confirmed.
            held: Batch,
        },
        /// Nothing is available yet; the client should retry.
        #[serde(rename = "Wait")]
        RetryLater,
        /// This host does not own the ledger. Names the owner if it is known.
        #[serde(rename = "Elsewhere")]
        NotOwner(Option<id::Host>),
        /// The request is not valid in the current state; the text says why.
        Refused(String),
    }
}

/// An action of an owner.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the platform.
    Store(Call),
    /// Generate a sample for a slot, store its payload on shelves, then feed
    /// [`super::Event::Sampled`].
    Generate {
        /// The step.
        step: Step,
        /// The slot.
        slot: id::Slot,
        /// The number of the copy; later copies of a slot hedge the first.
        copy: u32,
        /// The prompt.
        prompt: String,
    },
    /// Cancel a copy that is no longer needed.
    Cancel {
        /// The step.
        step: Step,
        /// The slot.
        slot: id::Slot,
        /// The number of the copy.
        copy: u32,
    },
    /// Respond to a request.
    Respond(RequestId, Response),
    /// Delete payloads from their shelves.
    Discard(Vec<Sample>),
    /// This host no longer owns the ledger.
    Released,
}
