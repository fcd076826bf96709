//! The scheduler's view of one engine.

use std::time::Duration;

use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::time::Instant;

use crate::pace::Pace;

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

/// The time over which the interval of an engine that states its pace is averaged. Shorter averages
/// would take a slow phase of 600 ms for a slow engine.
const LASTING_TIME_MS: f64 = 20_000.0;

/// The least time that the lasting average covers before it is used.
const MIN_LASTING_MS: f64 = 2000.0;

/// How long the intervals of an engine that states its pace must be too long before it counts as
/// slow: two slow phases and a half.
const LASTING_SLOWNESS: Duration = Duration::from_millis(1500);

/// A load of weights in progress.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Loading {
    /// The model whose weights are loaded.
    pub(crate) model: String,
    /// The version that is loaded.
    pub(crate) version: u64,
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
    /// The same over a longer time, and the milliseconds that it covers.
    lasting_interval_ms: (f64, f64),
    /// When the last interval ended.
    last_interval_at: Option<Instant>,
    /// Since when the moving average exceeds the median by too much.
    slow_since: Option<Instant>,
    /// The pace that the engine states in its responses.
    pub(crate) pace: Pace,
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
            lasting_interval_ms: (0.0, 0.0),
            last_interval_at: None,
            slow_since: None,
            pace: Pace::default(),
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
    pub(crate) fn record_interval(&mut self, now: Instant, millis: f64) {
        let old = self.event_interval_ms.unwrap_or(millis);
        self.event_interval_ms = Some(old + (millis - old) * INTERVAL_SMOOTHING);
        // Runs side by side tell about the same time, which counts once.
        let last = self.last_interval_at.replace(now);
        let elapsed = last.map_or(millis, |last| now.since(last).as_secs_f64() * 1000.0);
        let weight = elapsed.min(millis);
        let (average, covered) = self.lasting_interval_ms;
        let covered = (covered + weight).min(LASTING_TIME_MS);
        if covered > 0.0 {
            let average = average + (millis - average) * (weight / covered);
            self.lasting_interval_ms = (average, covered);
        }
    }

    /// Returns the lasting time between two events of a run in milliseconds, if it is known.
    pub(crate) fn lasting_interval_ms(&self) -> Option<f64> {
        let (average, covered) = self.lasting_interval_ms;
        (covered >= MIN_LASTING_MS).then_some(average)
    }

    /// Returns how long work lastingly takes compared with other engines, whose median interval is
    /// `median_ms`: by the observed intervals, and by the stated pace while too few are known.
    pub(crate) fn lasting_factor(&self, median_ms: Option<f64>) -> f64 {
        match (self.lasting_interval_ms(), median_ms) {
            (Some(interval), Some(median)) if median > 0.0 => interval / median,
            _ => self.pace.lasting(),
        }
    }

    /// Records whether the intervals are too long at the moment.
    pub(crate) fn record_slowness(&mut self, now: Instant, is_slow: bool) {
        self.slow_since = is_slow.then(|| self.slow_since.unwrap_or(now));
    }

    /// Whether the intervals are too long for longer than a slow phase lasts.
    pub(crate) fn is_lastingly_slow(&self) -> bool {
        let at = self.last_interval_at;
        matches!((self.slow_since, at), (Some(since), Some(at)) if at.since(since) >= LASTING_SLOWNESS)
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
