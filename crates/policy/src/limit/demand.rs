//! The recent number of requests to one server.

use std::time::Duration;

use tamaracksail_model::time::Instant;

/// The length of an interval in which requests are counted.
const INTERVAL: Duration = Duration::from_millis(250);

/// Counts of requests in the current interval and the one before.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    interval_start: Instant,
    count: u32,
    previous_count: u32,
}

impl Demand {
    pub(crate) fn record(&mut self, now: Instant) {
        let age = now.since(self.interval_start);
        if age >= INTERVAL {
            self.previous_count = if age < INTERVAL * 2 { self.count } else { 0 };
            self.count = 0;
            self.interval_start = now;
        }
        self.count += 1;
    }

    /// Returns the number of requests to expect in an interval.
    pub(crate) fn expected(&self, now: Instant) -> u32 {
        let age = now.since(self.interval_start);
        if age < INTERVAL {
            self.previous_count.max(self.count)
        } else if age < INTERVAL * 2 {
            self.count
        } else {
            0
        }
    }
}
