//! A circuit breaker for one peer.

use std::time::Duration;

use tamaracksail_model::time::Instant;

/// Failures in a row that open the breaker.
const OPEN_AFTER_FAILURES: u32 = 3;

/// The first pause; it doubles with each further failure.
const INITIAL_PAUSE: Duration = Duration::from_secs(1);

/// The longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// Counts failures in a row and pauses the traffic to a peer that has too many.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    failures: u32,
    open_until: Option<Instant>,
}

impl Breaker {
    /// The peer answered.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// The peer failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        if let Some(excess) = self.failures.checked_sub(OPEN_AFTER_FAILURES) {
            let pause = INITIAL_PAUSE * 2u32.saturating_pow(excess.min(8));
            self.open_until = Some(now.after(pause.min(MAX_PAUSE)));
        }
    }

    /// Whether traffic may go to the peer. After the pause it may, and one failure opens again.
    #[must_use]
    pub fn is_closed(&self, now: Instant) -> bool {
        self.open_until.is_none_or(|until| now >= until)
    }
}
