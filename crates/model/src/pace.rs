//! How long work takes at a server, as the server states it.

plain! {
    /// The time that work takes at this moment as a multiple of the normal time: 1 is normal, 2.5 is
    /// two and a half times slower. Between 0.1 and 100.
    #[derive(Copy, PartialOrd)]
    #[serde(try_from = "f64", into = "f64")]
    pub struct Reading(f64);
}

/// The number is not a usable figure.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{0} is not a pace in percent between 10 and 10000")]
pub struct Error(f64);

impl Reading {
    /// Returns the reading for a figure in percent, where 100 is normal.
    ///
    /// # Errors
    /// If the figure is not between 10 and 10000. A server outside these bounds would get either all
    /// requests or none.
    pub fn from_percent(percent: f64) -> Result<Self, Error> {
        if (10.0..=10_000.0).contains(&percent) {
            Ok(Self(percent / 100.0))
        } else {
            Err(Error(percent))
        }
    }

    /// Returns the multiple of the normal time.
    #[must_use]
    pub fn factor(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Reading {
    type Error = Error;

    fn try_from(factor: f64) -> Result<Self, Error> {
        Self::from_percent(factor * 100.0)
    }
}

impl From<Reading> for f64 {
    fn from(reading: Reading) -> Self {
        reading.0
    }
}
