//! An estimate of true time.

use std::time::Duration;

/// An estimate of true time, with a bound on its error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// The estimated time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// How far the true time may be from it in either direction, in milliseconds.
    pub error_ms: u64,
}

/// The largest error of a time of day that may have stepped, in milliseconds.
const MAX_TIME_OF_DAY_ERROR_MS: u64 = 30_350;

impl Estimate {
    /// Returns the time that the clock of a host showed, which may have stepped.
    #[must_use]
    pub fn of_time_of_day(unix_ms: u64) -> Self {
        Self {
            unix_ms,
            error_ms: MAX_TIME_OF_DAY_ERROR_MS,
        }
    }

    /// Returns how long ago an event must have been at least, which another estimate, of this or
    /// another host, placed at `event`. Zero if it may not have happened yet.
    #[must_use]
    pub fn min_age(self, event: Self) -> Duration {
        let earliest_now = self.unix_ms.saturating_sub(self.error_ms);
        let latest_event = event.unix_ms.saturating_add(event.error_ms);
        Duration::from_millis(earliest_now.saturating_sub(latest_event))
    }

    /// Returns how long ago an event can have been at most, which another estimate placed at
    /// `event`.
    #[must_use]
    pub fn max_age(self, event: Self) -> Duration {
        let latest_now = self.unix_ms.saturating_add(self.error_ms);
        let earliest_event = event.unix_ms.saturating_sub(event.error_ms);
        Duration::from_millis(latest_now.saturating_sub(earliest_event))
    }
}
