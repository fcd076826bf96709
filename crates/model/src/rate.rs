//! Rates of requests.

use std::time::Duration;

plain! {
    /// A number of requests per second: finite and not negative.
    #[derive(Copy, PartialOrd)]
    #[serde(transparent)]
    pub struct Rate(f64);
}

impl Rate {
    /// Returns the rate of `per_second` requests per second. Returns `None` if the number is
    /// negative, infinite or not a number.
    #[must_use]
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the number of requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the number of requests in `duration`.
    #[must_use]
    pub fn count_in(self, duration: Duration) -> f64 {
        self.0 * duration.as_secs_f64()
    }
}
