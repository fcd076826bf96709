//! The scheduler's view of one engine.

use std::time::Duration;

use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::time::Instant;

slotmap::new_key_type! {
    /// Identifies one incarnation of one engine.
    pub struct EngineKey;
}

/// How long an engine gets no work after the failure that starts the backoff; doubles with each
/// further failure. An engine that crashed is back within seconds.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// The number of failures, without an event between them, that starts the backoff. A single failure
/// may be due to the item or the connection.
const BACKOFF_FAILURES: u32 = 2;

/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// The weight of the newest sample in the moving average of event intervals. The average is decided
/// by about ten samples.
const INTERVAL_SMOOTHING: f64 = 0.1;

/// A load of weights in progress.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Loading {
    /// The model whose weights are loaded.
    pub(crate) model: String,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its registration in service discovery. The versions of its models are also updated from
    /// its responses.
    pub registration: Registration,
    /// The number of runs that this scheduler has on the engine.
    pub(crate) running: u32,
    /// The moving average of the time between two events of a run, in milliseconds; `None` before
    /// the first sample.
    pub(crate) event_interval_ms: Option<f64>,
    /// When the engine may get work again after failures.
    pub(crate) backoff_until: Instant,
    /// Failures since the last event.
    pub(crate) failures: u32,
    /// The load of weights in progress, if any.
    pub(crate) loading: Option<Loading>,
    /// The model whose versions the engine follows.
    pub(crate) assigned_model: Option<String>,
    /// The number of runs that may start before the budget is set again; `None` if the engine has
    /// no request limit.
    pub(crate) budget: Option<u32>,
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
            budget: None,
        }
    }

    /// Returns the version that the engine holds of a model.
    pub(crate) fn version(&self, model: &str) -> Option<u64> {
        self.registration.models.get(model).copied()
    }

    /// Whether the engine accepts any new work at present.
    pub(crate) fn accepts_work(&self, now: Instant) -> bool {
        self.registration.state == State::Ready
            && self.loading.is_none()
            && now >= self.backoff_until
    }

    /// Returns the number of runs that may start now: the free slots, as far as the request limit
    /// allows.
    pub(crate) fn free_slots(&self) -> u32 {
        let free = self.registration.slots.saturating_sub(self.running);
        self.budget.map_or(free, |budget| free.min(budget))
    }

    /// Records that a run starts.
    pub(crate) fn record_start(&mut self) {
        self.running += 1;
        self.budget = self.budget.map(|budget| budget.saturating_sub(1));
    }

    /// Records the time between two events.
    pub(crate) fn record_interval(&mut self, millis: f64) {
        let old = self.event_interval_ms.unwrap_or(millis);
        self.event_interval_ms = Some(old + (millis - old) * INTERVAL_SMOOTHING);
    }

    /// Records a failure, and starts or extends the backoff once there are [`BACKOFF_FAILURES`].
    /// Failures during a backoff are not counted.
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

    /// Records an event, which ends the count of failures.
    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
    }
}
