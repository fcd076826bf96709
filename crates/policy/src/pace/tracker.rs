//! The pace of one server.

use std::time::Duration;

use tamaracksail_model::pace::Reading;
use tamaracksail_model::time::Instant;

/// How long a reading says something about the present pace. Slow phases last 600 ms.
pub const READING_VALIDITY: Duration = Duration::from_millis(600);

/// The time over which the lasting pace is averaged. A slow phase comes about every 4 s, so that an
/// average over fewer than five of them would take a phase for a slow host.
const AVERAGING_TIME: Duration = Duration::from_secs(20);

/// The time for which a normal pace is assumed before the first reading. Without it a first reading
/// from a slow phase would count as the lasting pace.
const INITIAL_TIME: Duration = Duration::from_secs(1);

/// The pace of one server. All factors are multiples of the normal time, so that 1 is normal and
/// larger ones are slower.
#[derive(Clone, Debug, PartialEq)]
pub struct Pace {
    lasting: f64,
    /// The seconds that the lasting pace is averaged over so far.
    averaged_seconds: f64,
    last: Option<(Reading, Instant)>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            lasting: 1.0,
            averaged_seconds: INITIAL_TIME.as_secs_f64(),
            last: None,
        }
    }
}

impl Pace {
    /// Records a figure that the server stated. It stands for the time since the previous one, up
    /// to [`READING_VALIDITY`], so that a server with many responses is not averaged faster.
    pub fn record(&mut self, now: Instant, reading: Reading) {
        let elapsed = self.last.map_or(READING_VALIDITY, |(_, at)| {
            now.since(at).min(READING_VALIDITY)
        });
        let seconds = elapsed.as_secs_f64();
        self.averaged_seconds = (self.averaged_seconds + seconds).min(AVERAGING_TIME.as_secs_f64());
        self.lasting += (reading.factor() - self.lasting) * seconds / self.averaged_seconds;
        self.last = Some((reading, now));
    }

    /// Whether the server has ever stated a figure.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.last.is_some()
    }

    /// Returns the age of the last reading.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.last.map(|(_, at)| now.since(at))
    }

    /// Returns the last reading.
    #[must_use]
    pub fn last(&self) -> Option<Reading> {
        self.last.map(|(reading, _)| reading)
    }

    /// Returns the lasting pace.
    #[must_use]
    pub fn lasting(&self) -> f64 {
        self.lasting
    }

    /// Returns the momentary pace: the last reading, which decays to the lasting pace. The moment at
    /// which a phase ends is unknown, so the probability that it goes on falls evenly with the age.
    #[must_use]
    pub fn momentary(&self, now: Instant) -> f64 {
        let Some((reading, at)) = self.last else {
            return self.lasting;
        };
        self.lasting + (reading.factor() - self.lasting) * remaining_share(now.since(at))
    }

    /// Returns the mean pace of the next `duration`. The longer it is, the less the moment counts.
    #[must_use]
    pub fn over(&self, now: Instant, duration: Duration) -> f64 {
        let Some((reading, at)) = self.last else {
            return self.lasting;
        };
        let remaining = READING_VALIDITY.saturating_sub(now.since(at));
        if duration.is_zero() || remaining.is_zero() {
            return self.momentary(now);
        }
        // The mean over the part of `duration` within the validity is the value in its middle.
        let within = duration.min(remaining);
        let middle = remaining_share(now.since(at) + within / 2);
        let share = within.as_secs_f64() / duration.as_secs_f64();
        self.lasting + (reading.factor() - self.lasting) * middle * share
    }
}

/// Returns the share of a reading's deviation that is left at an age.
fn remaining_share(age: Duration) -> f64 {
    (1.0 - age.as_secs_f64() / READING_VALIDITY.as_secs_f64()).max(0.0)
}
