//! What the process must do, and what it reports back.

use std::rc::Rc;

use tamaracksail_model::batch::{Item, ItemResult};

use super::engine::EngineKey;
use super::scheduler::BatchKey;
use super::task::TaskKey;

/// What the process must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an item to an engine.
    Start {
        /// The run's number, unique in this life of the scheduler.
        run: u64,
        /// The item's work.
        task: TaskKey,
        /// Where it runs.
        engine: EngineKey,
        /// What runs.
        item: Rc<Item>,
        /// The last event that is here from earlier runs.
        after: Option<u64>,
        /// The only version that may answer, where the text must come from one.
        version: Option<u64>,
    },
    /// Close the connection of a run.
    Stop {
        /// The run.
        run: u64,
        /// Why.
        reason: &'static str,
    },
    /// Write results to the store, then report [`super::Scheduler::results_written`].
    WriteResults {
        /// The batch.
        batch: BatchKey,
        /// The results, in their order.
        results: Vec<ItemResult>,
    },
    /// Order an engine to load weights, then report [`super::Scheduler::weights_loaded`] or
    /// [`super::Scheduler::command_failed`].
    LoadWeights {
        /// The engine.
        engine: EngineKey,
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
}

/// How a run ended before its text was whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The engine states that it did not run the item.
    Refused,
    /// The engine failed the item.
    Failed,
    /// The engine will never be able to run the item.
    Impossible,
    /// The connection broke, or the answer was not in the protocol.
    Broken,
}
