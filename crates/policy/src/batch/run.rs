//! One execution of an item on an engine.

use std::time::Duration;

use tamaracksail_model::time::Instant;

use super::engine::EngineKey;
use super::task::TaskKey;

/// The longest time between two events of a run. A healthy engine sends several events in this
/// time, also while it processes prompts.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_millis(700);

/// The longest time to the first event of a run. Covers an engine whose slots were all in use, and
/// a long prompt.
pub(crate) const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1500);

/// One run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) task: TaskKey,
    pub(crate) engine: EngineKey,
    /// When the last event came or, before the first, when the response or the run started.
    pub(crate) last_progress: Instant,
    pub(crate) event_count: u64,
    /// Whether the text begins with this run.
    pub(crate) begins_text: bool,
    /// The version of the weights that generates the events, if it is known.
    pub(crate) version: Option<u64>,
}

impl Run {
    /// Whether no event came within the time limit.
    pub(crate) fn is_stuck(&self, now: Instant) -> bool {
        let limit = if self.event_count == 0 {
            FIRST_EVENT_TIMEOUT
        } else {
            EVENT_TIMEOUT
        };
        now.since(self.last_progress) >= limit
    }
}
