//! Who lets others take the lease first: hosts that are short of processor time, and processes that
//! have run for long while others were restarted.

use std::time::Duration;

use tamaracksail_model::time::Instant;

/// How long a weak host lets others go first. They look at the lease once a second, and most hear of
/// its release at once.
const BUSY_HOST_DELAY: Duration = Duration::from_millis(500);

/// How long a process lets others go first that has run for [`SETTLED`] or longer; a younger one waits
/// its share of it. Hosts hear of a release within some ten milliseconds of each other.
const MAX_UPTIME_DELAY: Duration = Duration::from_millis(120);

/// Rolling restarts reach all hosts within about this time, so the youngest process is stopped last.
const FULL_DELAY_UPTIME: Duration = Duration::from_mins(1);

/// Since when this process could have taken the lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct AcquireDelay {
    since: Option<Instant>,
}

impl AcquireDelay {
    /// Notes that the lease is held, here or elsewhere.
    pub fn reset(&mut self) {
        self.since = None;
    }

    /// Notes that the lease may be taken. Returns how long this process still waits, which has run
    /// for `age`.
    pub fn remaining(&mut self, now: Instant, has_spare_cpu: bool, uptime: Duration) -> Duration {
        let since = *self.since.get_or_insert(now);
        let share = uptime.min(FULL_DELAY_UPTIME).as_secs_f64() / FULL_DELAY_UPTIME.as_secs_f64();
        let lead = if has_spare_cpu {
            Duration::ZERO
        } else {
            BUSY_HOST_DELAY
        };
        (lead + MAX_UPTIME_DELAY.mul_f64(share)).saturating_sub(now.since(since))
    }
}
