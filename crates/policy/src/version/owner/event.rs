//! The events of the owner of a trainer's steps.

use std::sync::Arc;

use tamaracksail_model::config::Snapshot;
use tamaracksail_model::id::{self, Batch, Epoch, Nonce, Step};
use tamaracksail_model::{key, plain};

use crate::store::Reply;
use crate::version::ledger::Sample;

key! {
    /// Identifies a request of a trainer or a scoring service.
    pub struct RequestId(pub u64);
}

plain! {
    /// A request of a trainer or a scoring service.
    pub enum Request {
        /// Opens a step.
        Open {
            /// The step.
            step: Step,
            /// Its prompts.
            prompts: Vec<String>,
            /// The number of samples of each prompt.
            group_size: u32,
        },
        /// Confirms a batch and requests the next one.
        #[serde(rename = "Next")]
        NextBatch {
            /// The last batch that the trainer has received, or zero.
            batch: Batch,
            /// The epoch of the contents that it has received.
            epoch: Epoch,
        },
        /// Requests drafts, which are samples without a score.
        Drafts {
            /// The maximum number of drafts.
            count: u32,
        },
        /// Sends the score of a draft.
        Score {
            /// The payload of the draft.
            payload: Nonce,
            /// The score.
            score: f64,
        },
        /// Requests the progress of the step.
        Progress,
    }
}

/// An event of an owner.
#[derive(Clone, Debug)]
pub enum Event {
    /// A trainer or a scoring service sent a request.
    RequestReceived(RequestId, Request),
    /// The sender of the request closed its connection.
    Disconnected(RequestId),
    /// A copy of a slot's sample was generated and stored on shelves, or failed.
    Sampled {
        /// The step that the copy belongs to.
        step: Step,
        /// The slot.
        slot: id::Slot,
        /// The number of the copy.
        copy: u32,
        /// The sample, or `None` if generating or storing it failed.
        sample: Option<Sample>,
    },
    /// A payload of a batch or a draft could not be read from any shelf.
    PayloadLost(id::Slot, Nonce),
    /// A configuration came into force.
    Config(Arc<Snapshot>),
    /// A call to the platform ended.
    Stored(Reply),
    /// Time has passed. Due at least every 100 ms.
    Tick,
    /// The process is to stop: the owner releases the lease of the ledger.
    Stop,
}
