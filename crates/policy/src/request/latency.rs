//! A running estimate of a latency distribution.

use std::collections::VecDeque;
use std::time::Duration;

/// Samples kept; the quantile then has about this resolution.
const WINDOW: usize = 256;

/// Samples below which no quantile is given.
const MIN_SAMPLES: usize = 8;

/// The latest latencies.
#[derive(Clone, Debug, Default)]
pub struct LatencyWindow {
    recent: VecDeque<Duration>,
}

impl LatencyWindow {
    /// Adds a sample.
    pub fn record(&mut self, latency: Duration) {
        if self.recent.len() == WINDOW {
            self.recent.pop_front();
        }
        self.recent.push_back(latency);
    }

    /// The least recorded value that at least `percent` of all do not exceed, once there are
    /// enough of them.
    ///
    /// `ages` are of what is still under way. Without them the first to finish, which are the
    /// fastest, would pass for the whole: whatever is older than a value exceeds it.
    #[must_use]
    pub fn quantile(&self, percent: u32, ages: &[Duration]) -> Option<Duration> {
        if self.recent.len() < MIN_SAMPLES {
            return None;
        }
        let mut done: Vec<Duration> = self.recent.iter().copied().collect();
        done.sort_unstable();
        let mut ages = ages.to_vec();
        ages.sort_unstable();
        let is_reached = |(rank, value): &(usize, Duration)| {
            let older = ages.len() - ages.partition_point(|age| age <= value);
            (rank + 1) * 100 >= (done.len() + older) * percent.min(100) as usize
        };
        let mut ranked = done.iter().copied().enumerate();
        ranked.find(is_reached).map(|(_, value)| value)
    }
}
