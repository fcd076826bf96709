//! Rates of requests.

use std::time::Duration;

plain! {
    /// A number of requests per second: finite and not negative.
    #[derive(Copy, PartialOrd)]
    #[serde(try_from = "f64", into = "f64")]
    pub struct Rate(f64);
}

/// The number is negative, infinite or not a number.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{0} is not a rate")]
pub struct Error(f64);

impl Rate {
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

impl TryFrom<f64> for Rate {
    type Error = Error;

    fn try_from(per_second: f64) -> Result<Self, Error> {
        if per_second.is_finite() && per_second >= 0.0 {
            Ok(Self(per_second))
        } else {
            Err(Error(per_second))
        }
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> Self {
        rate.0
    }
}
