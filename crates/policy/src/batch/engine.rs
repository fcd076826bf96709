//! One engine as the scheduler sees it.

use std::time::Duration;

use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::time::Instant;

slotmap::new_key_type! {
    /// One life of one engine.
    pub struct EngineKey;
}

/// How long an engine gets no work after a first failure; doubles with each further one. An
/// engine that crashed is back within seconds.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Failures without an event between them after which an engine rests. One alone may be the
/// item's or the connection's.
const BACKOFF_FAILURES: u32 = 2;

/// The longest rest.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// The share that the newest sample has in the pace. About ten samples decide.
const INTERVAL_SMOOTHING: f64 = 0.1;

/// Weights on their way to an engine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Loading {
    /// The model.
    pub(crate) model: String,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// What it says of itself. The versions are kept up from its answers.
    pub registration: Registration,
    /// Runs that this scheduler has there.
    pub(crate) running: u32,
    /// Milliseconds between two events of a run; none before the first sample.
    pub(crate) event_interval_ms: Option<f64>,
    /// No work before this time.
    pub(crate) backoff_until: Instant,
    pub(crate) failures: u32,
    pub(crate) loading: Option<Loading>,
    /// The model for which it is kept.
    pub(crate) assigned_model: Option<String>,
}

impl Engine {
    pub(crate) fn new(registration: Registration) -> Self {
        Self {
            registration,
            running: 0,
            event_interval_ms: None,
            backoff_until: Instant(0),
            failures: 0,
            loading: None,
            assigned_model: None,
        }
    }

    /// The version that it holds of a model.
    pub(crate) fn version(&self, model: &str) -> Option<u64> {
        self.registration.models.get(model).copied()
    }

    /// Whether it takes new work at all.
    pub(crate) fn accepts_work(&self, now: Instant) -> bool {
        self.registration.state == State::Ready
            && self.loading.is_none()
            && now >= self.backoff_until
    }

    /// Slots that are free.
    pub(crate) fn free_slots(&self) -> u32 {
        self.registration.slots.saturating_sub(self.running)
    }

    /// Notes the time between two events.
    pub(crate) fn record_interval(&mut self, millis: f64) {
        let old = self.event_interval_ms.unwrap_or(millis);
        self.event_interval_ms = Some(old + (millis - old) * INTERVAL_SMOOTHING);
    }

    /// Notes a failure: it rests.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        if now < self.backoff_until {
            return;
        }
        self.failures += 1;
        if self.failures < BACKOFF_FAILURES {
            return;
        }
        let backoff =
            INITIAL_BACKOFF * 2u32.saturating_pow((self.failures - BACKOFF_FAILURES).min(8));
        self.backoff_until = now.after(backoff.min(MAX_BACKOFF));
    }

    /// Notes that it works.
    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
    }
}
