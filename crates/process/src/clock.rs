//! The clock of a process.

use std::time::{SystemTime, UNIX_EPOCH};

use tamaracksail_model::id::Incarnation;
use tamaracksail_model::time::Instant;

/// Reads the system clock once, when it is created, and then adds the elapsed time of a monotonic
/// clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    origin: std::time::Instant,
}

impl Clock {
    /// Creates a clock that shows the time of the system clock.
    #[must_use]
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let micros = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
        Self {
            start: Instant(micros),
            origin: std::time::Instant::now(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.start.after(self.origin.elapsed())
    }

    /// Returns a random id for this start of the process.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        // Integers in JSON are exact up to 53 bits.
        Incarnation(rand::random::<u64>() >> 11)
    }
}
