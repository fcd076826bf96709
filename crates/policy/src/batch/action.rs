//! What the scheduler's process must do, and the failures that it reports back.

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
        /// The run's number, unique within one scheduler.
        run: u64,
        /// The task of the item.
        task: TaskKey,
        /// The engine that runs it.
        engine: EngineKey,
        /// The item.
        item: Rc<Item>,
        /// The id of the last event received from earlier runs.
        after: Option<u64>,
        /// The version of the software that generated the text so far.
        began_at: Option<String>,
        /// The only version that may generate, if the whole text must come from one version.
        version: Option<u64>,
    },
    /// Close the connection of a run.
    Stop {
        /// The run.
        run: u64,
        /// The reason, for the log.
        reason: &'static str,
    },
    /// Write results to the store, then call [`super::Scheduler::results_written`].
    WriteResults {
        /// The batch.
        batch: BatchKey,
        /// The results, in the order of their positions.
        results: Vec<ItemResult>,
    },
    /// Command an engine to load weights, then call [`super::Scheduler::weights_loaded`] or
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

/// Why a run ended before its text was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The engine reported that it did not run the item.
    Refused,
    /// The engine reported a failure of the item.
    Failed,
    /// The engine can never run the item.
    Impossible,
    /// The connection broke, or the response violated the protocol.
    Broken,
}
