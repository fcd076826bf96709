//! A sliding window of latencies, which estimates their distribution.

use std::collections::VecDeque;
use std::time::Duration;

/// The number of samples in the window, and so about the resolution of a quantile.
const WINDOW_SIZE: usize = 256;

/// The least number of samples from which a quantile is computed.
const MIN_SAMPLES: usize = 8;

/// The most recent latencies.
#[derive(Clone, Debug, Default)]
pub struct LatencyWindow {
    recent: VecDeque<Duration>,
}

impl LatencyWindow {
    /// Adds a sample and removes the oldest one if the window is full.
    pub fn record(&mut self, latency: Duration) {
        if self.recent.len() == WINDOW_SIZE {
            self.recent.pop_front();
        }
        self.recent.push_back(latency);
    }

    /// Returns the least recorded value that at least `percent` of all samples do not exceed, or
    /// `None` if there are too few samples.
    ///
    /// `ages` are the ages of what has not finished yet. Whatever is older than a value counts as
    /// exceeding it. Without them, the first to finish, which are the fastest, would be taken for
    /// the whole distribution.
    #[must_use]
    pub fn quantile(&self, percent: u32, ages: &[Duration]) -> Option<Duration> {
        if self.recent.len() < MIN_SAMPLES {
            return None;
        }
        let mut finished: Vec<Duration> = self.recent.iter().copied().collect();
        finished.sort_unstable();
        let mut ages = ages.to_vec();
        ages.sort_unstable();
        let covers_percent = |(rank, value): &(usize, Duration)| {
            let older = ages.len() - ages.partition_point(|age| age <= value);
            (rank + 1) * 100 >= (finished.len() + older) * percent.min(100) as usize
        };
        let mut ranked = finished.iter().copied().enumerate();
        ranked.find(covers_percent).map(|(_, value)| value)
    }
}
