//! Points in time, which the state machines get as an argument instead of reading a clock.

use std::time::Duration;

key! {
    /// A point in time, in microseconds since the Unix epoch.
    ///
    /// A process reads the system clock once, when it starts, and adds the elapsed time of a
    /// monotonic clock. So differences within a process are exact, and instants of two hosts can be
    /// compared up to the skew of their clocks. Only the bound on the age of a sample relies on the
    /// latter.
    #[serde(transparent)]
    pub struct Instant(pub u64);
}

impl Instant {
    /// Returns the instant that is `duration` later.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than `self`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the instant `millis` milliseconds after the Unix epoch.
    #[must_use]
    pub fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1000))
    }
}
