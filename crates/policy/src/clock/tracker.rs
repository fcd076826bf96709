//! The difference between the time of day and the boot-time clock, over time.

use std::collections::BTreeMap;
use std::time::Duration;

use tamaracksail_model::time::Instant;

use super::Estimate;

/// A change of the difference of the two clocks beyond this is a step, in milliseconds.
const STEP_MS: u64 = 250;

/// How far a time of day that has not stepped may be from true time, in milliseconds. A change of up
/// to [`STEP_MS`] adds to it, as it is followed.
const INACCURACY_MS: u64 = 100;

/// The milliseconds per second by which changes below [`STEP_MS`] are followed. Hosts adjust their
/// clocks by at most 0.5 ms per second. Following at once would let a step pass in two parts, when
/// the first sample after it is inaccurate.
const FOLLOW_MS_PER_S: u64 = 10;

/// The largest step of a host's time of day, in milliseconds.
const MAX_STEP_MS: u64 = 30_000;

/// How long a difference must hold until it cannot be a step any more. Steps last for seconds.
const CONFIRMATION_TIME: Duration = Duration::from_mins(1);

/// The number of samples over [`CONFIRMATION_TIME`] that confirm a difference, so that two samples in
/// two different steps don't.
const CONFIRMATION_SAMPLES: u32 = 5;

/// How long a reading of a peer's clock is used.
const PEER_VALIDITY: Duration = Duration::from_mins(1);

/// The number of peers from which the median is used.
const MIN_PEERS: usize = 2;

/// The number of peers of which readings are kept.
const MAX_PEERS: usize = 64;

/// The microseconds by which two clocks may diverge in a second: their oscillators are exact to 100
/// parts per million each.
const DRIFT_MICROS_PER_S: u64 = 200;

/// A difference between the time of day and the boot-time clock, in milliseconds.
type Difference = i64;

/// A difference that this host's clocks have had for some time.
#[derive(Clone, Copy, Debug)]
struct Run {
    difference: Difference,
    since: Instant,
    samples: u32,
}

impl Run {
    fn new(now: Instant, difference: Difference) -> Self {
        Self {
            difference,
            since: now,
            samples: 1,
        }
    }

    /// Adds a sample, which begins another run if it is a step away.
    fn add(&mut self, now: Instant, difference: Difference) {
        if self.difference.abs_diff(difference) > STEP_MS {
            *self = Self::new(now, difference);
        } else {
            self.difference = difference;
            self.samples = self.samples.saturating_add(1);
        }
    }

    fn is_confirmed(&self, now: Instant) -> bool {
        now.since(self.since) >= CONFIRMATION_TIME && self.samples >= CONFIRMATION_SAMPLES
    }
}

/// The difference that estimates use.
#[derive(Clone, Copy, Debug)]
struct Base {
    difference: Difference,
    /// When a sample or the peers last agreed with it.
    agreed_at: Instant,
    /// Whether it cannot be that of a step.
    is_confirmed: bool,
    /// How far the differences of peers that disagree are from it, in milliseconds.
    disagreement_ms: u64,
}

impl Base {
    /// Moves towards the difference of a sample that is less than a step away.
    fn follow(&mut self, now: Instant, difference: Difference) {
        let elapsed_ms = now.since(self.agreed_at).as_millis();
        let limit = elapsed_ms.saturating_mul(FOLLOW_MS_PER_S.into()) / 1000;
        let limit = Difference::try_from(limit).unwrap_or(Difference::MAX);
        if limit > 0 {
            self.difference += (difference - self.difference).clamp(-limit, limit);
            self.agreed_at = now;
        }
    }
}

/// An estimate of true time that does not follow steps of the time of day.
///
/// A process may start while the time of day of its host has stepped. Until the difference has held
/// for longer than a step lasts, or most of at least three hosts agree on it, the error of estimates
/// covers the largest step, and the median of the differences of this host and its peers is used.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    base: Option<Base>,
    run: Option<Run>,
    peers: BTreeMap<String, (Instant, Difference)>,
}

impl Clock {
    /// Records the time of day of this host, in milliseconds since the Unix epoch. `now` must have
    /// been read at the same time.
    pub fn observe(&mut self, now: Instant, unix_ms: u64) {
        let difference = difference(now, unix_ms);
        let run = self.run.get_or_insert(Run::new(now, difference));
        run.add(now, difference);
        let run = *run;
        let Some(base) = &mut self.base else {
            self.base = Some(Base {
                difference,
                agreed_at: now,
                is_confirmed: false,
                disagreement_ms: 0,
            });
            self.use_peers(now, difference);
            return;
        };
        if base.difference.abs_diff(difference) <= STEP_MS {
            base.follow(now, difference);
            base.is_confirmed |= run.is_confirmed(now);
        } else if run.is_confirmed(now) {
            // The time of day was wrong when this process started, or was set right since.
            base.difference = difference;
            base.agreed_at = now;
            base.is_confirmed = true;
            base.disagreement_ms = 0;
            self.use_peers(now, difference);
        }
        if self.base.is_some_and(|base| base.is_confirmed) {
            return;
        }
        self.use_peers(now, difference);
    }

    /// Records the estimate of true time of the peer on `host`, in milliseconds since the Unix epoch.
    /// It must have reached this process within milliseconds.
    pub fn record_peer(&mut self, now: Instant, host: &str, unix_ms: u64) {
        self.peers
            .retain(|_, (at, _)| now.since(*at) < PEER_VALIDITY);
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(host) {
            return;
        }
        let reading = (now, difference(now, unix_ms));
        self.peers.insert(host.to_owned(), reading);
        if let Some(base) = self.base
            && !base.is_confirmed
        {
            let own = self.run.map_or(base.difference, |run| run.difference);
            self.use_peers(now, own);
        }
    }

    /// Returns the true time at `now`; `None` before the first sample of this host.
    #[must_use]
    pub fn estimate(&self, now: Instant) -> Option<Estimate> {
        let base = self.base?;
        let drift_ms = now.since(base.agreed_at).as_secs() * DRIFT_MICROS_PER_S / 1000;
        let mut error_ms = INACCURACY_MS + STEP_MS + drift_ms;
        if !base.is_confirmed {
            let step = self
                .run
                .map_or(0, |run| run.difference.abs_diff(base.difference));
            error_ms += MAX_STEP_MS.max(step).max(base.disagreement_ms);
        }
        let millis = i64::try_from(now.0 / 1000).unwrap_or(i64::MAX);
        Some(Estimate {
            unix_ms: u64::try_from(millis.saturating_add(base.difference)).unwrap_or(0),
            error_ms,
        })
    }

    /// Uses the median of `own` and the differences of peers, if enough are known. Of an even number,
    /// the one of the middle two that is closer to `own`.
    fn use_peers(&mut self, now: Instant, own: Difference) {
        let peers = self.peers.values();
        let fresh = peers.filter(|(at, _)| now.since(*at) < PEER_VALIDITY);
        let mut differences: Vec<Difference> = fresh.map(|(_, difference)| *difference).collect();
        if differences.len() < MIN_PEERS {
            return;
        }
        differences.push(own);
        differences.sort_unstable();
        let (low, high) = (
            differences[(differences.len() - 1) / 2],
            differences[differences.len() / 2],
        );
        let median = if own.abs_diff(low) <= own.abs_diff(high) {
            low
        } else {
            high
        };
        let is_near = |found: &&Difference| found.abs_diff(median) <= STEP_MS;
        let agreeing = differences.iter().filter(is_near).count();
        let distances = differences.iter().map(|found| found.abs_diff(median));
        self.base = Some(Base {
            difference: median,
            agreed_at: now,
            is_confirmed: agreeing * 2 > differences.len(),
            disagreement_ms: distances.max().unwrap_or(0),
        });
    }
}

fn difference(now: Instant, unix_ms: u64) -> Difference {
    let unix_ms = i64::try_from(unix_ms).unwrap_or(i64::MAX);
    unix_ms.saturating_sub(i64::try_from(now.0 / 1000).unwrap_or(i64::MAX))
}
