//! What the owner of a trainer's steps is told.

use std::sync::Arc;

use tamaracksail_model::config::Snapshot;
use tamaracksail_model::id::{self, Batch, Epoch, Nonce, Step};
use tamaracksail_model::{key, plain};

use crate::store::Reply;
use crate::version::ledger::Sample;

key! {
    /// One request of a trainer or a scoring service.
    pub struct Ask(pub u64);
}

plain! {
    /// What a trainer or a scoring service wants.
    pub enum Request {
        /// Opens a step.
        Open {
            /// The step.
            step: Step,
            /// Its prompts.
            prompts: Vec<String>,
            /// The samples of each.
            group_size: u32,
        },
        /// Wants the batch after the one it holds.
        Next {
            /// The batch it holds; zero for none.
            batch: Batch,
            /// The edition it holds.
            epoch: Epoch,
        },
        /// Wants samples to score.
        Drafts {
            /// How many at the most.
            count: u32,
        },
        /// Gives a score.
        Score {
            /// The sample.
            payload: Nonce,
            /// The score.
            score: f64,
        },
        /// Wants to know how far the step is.
        Progress,
    }
}

/// An event at an owner.
#[derive(Clone, Debug)]
pub enum Event {
    /// A trainer or a scoring service asked.
    Asked(Ask, Request),
    /// Whoever asked closed its connection.
    Left(Ask),
    /// A copy of a slot's sample is done and lies on shelves; none if it failed.
    Sampled {
        /// The step it was made for.
        step: Step,
        /// The slot.
        slot: id::Slot,
        /// Which copy.
        copy: u32,
        /// The sample.
        sample: Option<Sample>,
    },
    /// A payload of a delivery could not be read from any shelf.
    Lost(id::Slot, Nonce),
    /// A configuration is in force.
    Config(Arc<Snapshot>),
    /// A call to the platform ended.
    Stored(Reply),
    /// Time passed. Due at least every 100 ms.
    Tick,
    /// The process is asked to stop: gives the ledger to whoever asks next.
    Stop,
}
