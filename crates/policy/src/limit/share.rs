//! The share of one server's limit that a gateway uses while it reaches no gateway that grants
//! permits.

use std::time::Duration;

use tamaracksail_model::time::Instant;

/// How long a turn that is not used remains valid. Were turns kept, all gateways could use one at
/// the same time.
const VALIDITY: Duration = Duration::from_secs(1);

/// Turns for one request each, at regular intervals. Their offset differs between gateways, so that
/// the sum over many gateways is even.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Share {
    used_at: Instant,
}

impl Share {
    /// Whether this gateway has a turn, at a rate of `rate` per second. `phase`, from 0 to 1, shifts
    /// the turns in time.
    pub(crate) fn has_turn(self, now: Instant, rate: f64, phase: f64) -> bool {
        let expired_at = Instant(now.0.saturating_sub(Instant(0).after(VALIDITY).0));
        turns_until(now, rate, phase) > turns_until(self.used_at.max(expired_at), rate, phase)
    }

    pub(crate) fn take(&mut self, now: Instant) {
        self.used_at = now;
    }
}

fn turns_until(at: Instant, rate: f64, phase: f64) -> f64 {
    (at.since(Instant(0)).as_secs_f64() * rate + phase).floor()
}
