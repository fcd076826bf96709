//! What the scheduler's process must do, and the failures that it reports back.

use std::rc::Rc;

use tamaracksail_model::batch::{Item, ItemResult};
use tamaracksail_model::time::Instant;

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
    /// Log that the text of an item is discarded, since engines can run the item only from its start.
    Discard {
        /// The item.
        item: Rc<Item>,
        /// What no engine meets.
        requirement: Requirement,
        /// The number of events of the text.
        events: u64,
    },
    /// Log that items wait for an engine.
    Wait(Wait),
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

/// What an item requires of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requirement {
    /// The service.
    pub service: String,
    /// The model, for training steps.
    pub model: Option<String>,
    /// The oldest version of the weights that may generate.
    pub min_version: Option<u64>,
    /// The only version of the weights that may generate, if there is one.
    pub version: Option<u64>,
    /// The only version of the software that may generate, if there is one.
    pub software: Option<String>,
}

/// Items with the same requirement that wait, and what they wait for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wait {
    /// Their requirement.
    pub requirement: Requirement,
    /// Their number.
    pub items: usize,
    /// Since when the first of them waits.
    pub since: Instant,
    /// The newest version of the model that is announced.
    pub announced: Option<u64>,
    /// The number of engines that meet the requirement, or will after the load in progress.
    pub engines: usize,
    /// The number of engines that would meet it if they loaded the announced version.
    pub outdated: usize,
    /// The number of items that these engines can run at once besides those that they run.
    pub free_slots: u32,
    /// What has to happen before they run.
    pub needs: &'static str,
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
