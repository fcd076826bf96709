//! The expected duration of a request at one server, from its durations and its figures.

use std::time::Duration;

use tamaracksail_model::pace::Reading;
use tamaracksail_model::time::Instant;

use super::tracker::Pace;

/// The latency that is assumed for a server that has not responded yet.
const INITIAL_LATENCY: Duration = Duration::from_millis(25);

/// The weight of the newest sample in the moving average of a server's latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.2;

/// The weight of the newest sample in the averages that use or judge the figures. Single durations
/// differ by a multiple.
const NORMAL_SAMPLE_WEIGHT: f64 = 0.03;

/// The number of samples before the figures are judged.
const MIN_JUDGED_SAMPLES: u32 = 40;

/// The factor between a server's normal latency and its peers' from which its figures are not used.
/// A link to another failure domain makes 1.35 of a request of 25 ms.
const DISTRUST_FACTOR: f64 = 1.6;

/// The factor below which they are used again.
const TRUST_FACTOR: f64 = 1.35;

/// How much larger the error with the figures may be than without. Both vary by some percent.
const MAX_ERROR_RATIO: f64 = 1.05;

/// A change of whether a server's figures are used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trust {
    /// Whether they are used from now on.
    pub is_trusted: bool,
    /// The server's last figure, as a multiple of the normal time.
    pub reading: f64,
    /// The server's latency as a multiple of its peers', both divided by the figures.
    pub ratio: f64,
}

/// The moving averages of a server's latency.
///
/// A duration is divided by the pace at which it came about and multiplied by the pace that is
/// expected for the next request. A figure that is wrong by a constant factor, or stuck, cancels out.
#[derive(Clone, Debug)]
pub struct Latency {
    /// The average of the latest durations, in seconds.
    observed: f64,
    /// The slower average of durations divided by pace and congestion, in seconds. The figure tells what changes
    /// within seconds, so single durations need not.
    normal: f64,
    /// How far the durations were from the estimate without the figure, in seconds.
    observed_error: f64,
    /// The same for the estimate with the figure.
    normal_error: f64,
    samples: u32,
    is_trusted: bool,
    pace: Pace,
}

impl Default for Latency {
    fn default() -> Self {
        let initial = INITIAL_LATENCY.as_secs_f64();
        Self {
            observed: initial,
            normal: initial,
            observed_error: 0.0,
            normal_error: 0.0,
            samples: 0,
            is_trusted: true,
            pace: Pace::default(),
        }
    }
}

impl Latency {
    /// Returns the expected number of seconds of the next request.
    #[must_use]
    pub fn expected_seconds(&self, now: Instant) -> f64 {
        if self.uses_figures() {
            let duration = Duration::from_secs_f64(self.normal);
            self.normal * self.pace.over(now, duration)
        } else {
            self.observed
        }
    }

    /// Whether the figures are used: they agree with the peers', and explain the durations at least
    /// as well as the average of the latest ones does.
    fn uses_figures(&self) -> bool {
        let is_better = self.samples < MIN_JUDGED_SAMPLES
            || self.normal_error <= self.observed_error * MAX_ERROR_RATIO;
        self.pace.is_known() && self.is_trusted && is_better
    }

    /// Returns the pace as the server states it.
    #[must_use]
    pub fn pace(&self) -> &Pace {
        &self.pace
    }

    /// Records a figure that the server stated.
    pub fn record_reading(&mut self, now: Instant, reading: Reading) {
        self.pace.record(now, reading);
    }

    /// Adds the duration of a request that has just ended. `congestion` is how many times as long it
    /// took as at a server with a free slot, by the load that the server reported: 1 or more.
    pub fn record(&mut self, now: Instant, duration: Duration, congestion: f64) {
        let seconds = duration.as_secs_f64();
        let weight = NORMAL_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples.saturating_add(1)));
        self.observed_error += ((seconds - self.observed).abs() - self.observed_error) * weight;
        self.observed += (seconds - self.observed) * LATENCY_SAMPLE_WEIGHT;
        let pace = self.pace.momentary(now) * congestion;
        self.normal_error += ((seconds - self.normal * pace).abs() - self.normal_error) * weight;
        self.normal += (seconds / pace - self.normal) * weight;
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the seconds that a request takes at a server with free slots, at its lasting pace, once
    /// a request has ended.
    #[must_use]
    pub fn service_seconds(&self) -> Option<f64> {
        (self.samples > 0).then(|| self.normal * self.pace.lasting())
    }

    /// Returns the seconds that a request takes at normal pace, if enough requests have ended.
    #[must_use]
    pub fn judged_seconds(&self) -> Option<f64> {
        (self.samples >= MIN_JUDGED_SAMPLES && self.pace.is_known()).then_some(self.normal)
    }

    /// Compares the server with its peers, whose median latency at normal pace is `peers` seconds.
    /// Returns the change if its figures are no longer used, or are used again.
    pub fn judge(&mut self, peers: f64) -> Option<Trust> {
        let ratio = self.judged_seconds()? / peers.max(f64::EPSILON);
        let deviation = ratio.max(1.0 / ratio.max(f64::EPSILON));
        let is_trusted = if self.is_trusted {
            deviation < DISTRUST_FACTOR
        } else {
            deviation < TRUST_FACTOR
        };
        (std::mem::replace(&mut self.is_trusted, is_trusted) != is_trusted).then(|| Trust {
            is_trusted,
            reading: self.pace.last().map_or(1.0, Reading::factor),
            ratio,
        })
    }
}
