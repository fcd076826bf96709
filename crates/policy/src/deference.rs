//! Who lets others take the lease first: hosts that are short of processor time, and processes that
//! have run for long while others were restarted.

use std::time::Duration;

use tamaracksail_model::time::Instant;

/// How long a weak host lets others go first. They look at the lease once a second, and most hear of
/// its release at once.
const LEAD: Duration = Duration::from_millis(500);

/// How long a process lets others go first that has run for [`SETTLED`] or longer; a younger one waits
/// its share of it. Hosts hear of a release within some ten milliseconds of each other.
const ROLL: Duration = Duration::from_millis(120);

/// Rolling restarts reach all hosts within about this time, so the youngest process is stopped last.
const SETTLED: Duration = Duration::from_mins(1);

/// Since when this process could have taken the lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct Deference {
    since: Option<Instant>,
}

impl Deference {
    /// Notes that the lease is held, here or elsewhere.
    pub fn held(&mut self) {
        self.since = None;
    }

    /// Notes that the lease may be taken. Returns how long this process still waits, which has run
    /// for `age`.
    pub fn takeable(&mut self, now: Instant, is_strong: bool, age: Duration) -> Duration {
        let since = *self.since.get_or_insert(now);
        let share = age.min(SETTLED).as_secs_f64() / SETTLED.as_secs_f64();
        let lead = if is_strong { Duration::ZERO } else { LEAD };
        (lead + ROLL.mul_f64(share)).saturating_sub(now.since(since))
    }
}
