//! A running estimate of a latency distribution.

use std::collections::VecDeque;
use std::time::Duration;

/// Samples kept; the quantile then has about this resolution.
const WINDOW: usize = 256;

/// Samples below which no quantile is given.
const MIN_SAMPLES: usize = 8;

/// The latest latencies.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    recent: VecDeque<Duration>,
}

impl Latency {
    /// Adds a sample.
    pub fn record(&mut self, latency: Duration) {
        if self.recent.len() == WINDOW {
            self.recent.pop_front();
        }
        self.recent.push_back(latency);
    }

    /// The value below which `percent` of the samples lie, once there are enough of them.
    #[must_use]
    pub fn quantile(&self, percent: u32) -> Option<Duration> {
        if self.recent.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted: Vec<Duration> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        let rank = sorted.len() * percent.min(100) as usize / 100;
        sorted.get(rank.min(sorted.len() - 1)).copied()
    }
}
