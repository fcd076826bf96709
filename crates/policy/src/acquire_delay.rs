//! The delay before a process takes a free lease, so that better candidates go first: those on
//! hosts with spare CPU time, and those that were restarted recently.

use std::time::Duration;

use tamaracksail_model::time::Instant;

/// The delay on a host without spare CPU time. Other processes check the lease once a second, and
/// most learn of its release at once.
const BUSY_HOST_DELAY: Duration = Duration::from_millis(500);

/// The delay of a process with an uptime of [`FULL_DELAY_UPTIME`] or more, and in proportion to the
/// uptime below that. Processes learn of a release within about ten milliseconds of each
/// other.
const MAX_UPTIME_DELAY: Duration = Duration::from_millis(120);

/// About how long a rolling restart takes to reach all hosts. Of processes younger than this, the
/// youngest is the last to be stopped, so it goes first.
const FULL_DELAY_UPTIME: Duration = Duration::from_mins(1);

/// The delay of one process, counted from when the lease became free.
#[derive(Clone, Copy, Debug, Default)]
pub struct AcquireDelay {
    /// When the lease was first found to be free.
    since: Option<Instant>,
}

impl AcquireDelay {
    /// Records that the lease is held, by this process or another.
    pub fn reset(&mut self) {
        self.since = None;
    }

    /// Records that the lease is free. Returns how much longer this process has to wait.
    pub fn remaining(&mut self, now: Instant, has_spare_cpu: bool, uptime: Duration) -> Duration {
        let since = *self.since.get_or_insert(now);
        let share = uptime.min(FULL_DELAY_UPTIME).as_secs_f64() / FULL_DELAY_UPTIME.as_secs_f64();
        let base_delay = if has_spare_cpu {
            Duration::ZERO
        } else {
            BUSY_HOST_DELAY
        };
        (base_delay + MAX_UPTIME_DELAY.mul_f64(share)).saturating_sub(now.since(since))
    }
}
