//! One try of an item at one engine.

use std::time::Duration;

use tamaracksail_model::time::Instant;

use super::engine::EngineKey;
use super::task::TaskKey;

/// How long an engine may stay silent after the first event. Events of a healthy engine come
/// several times in this span, also while it reads prompts.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_millis(700);

/// How long an engine may take to the first event, when all its slots were full and a prompt
/// was long.
pub(crate) const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1500);

/// One run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) task: TaskKey,
    pub(crate) engine: EngineKey,
    /// The last event, or the start.
    pub(crate) last_progress: Instant,
    pub(crate) event_count: u64,
    /// The version of the weights that makes the next event.
    pub(crate) version: Option<u64>,
}

impl Run {
    /// Whether it has been silent for too long.
    pub(crate) fn is_stuck(&self, now: Instant) -> bool {
        let limit = if self.event_count == 0 {
            FIRST_EVENT_TIMEOUT
        } else {
            EVENT_TIMEOUT
        };
        now.since(self.last_progress) >= limit
    }
}
