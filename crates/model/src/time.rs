//! The time that deciding functions take as an argument.

use std::time::Duration;

key! {
    /// A point in time, in microseconds since the Unix epoch.
    ///
    /// A process reads the system's clock once, at its start, and counts on with a clock that
    /// never goes back. So differences within a process are exact, and instants of two hosts
    /// compare up to the skew of their clocks. No promise but the age of a sample rests on the
    /// latter.
    #[serde(transparent)]
    pub struct Instant(pub u64);
}

impl Instant {
    /// The instant `duration` later.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// The time since `earlier`; zero if `earlier` is later than `self`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The instant that lies `millis` milliseconds after the origin.
    #[must_use]
    pub fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1000))
    }
}
