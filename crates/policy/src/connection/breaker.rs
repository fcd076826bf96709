//! A circuit breaker for one peer.

use std::time::Duration;

use tamaracksail_model::time::Instant;

/// Consecutive failures that open the breaker.
const OPEN_AFTER_FAILURES: u32 = 3;

/// How long the breaker first stays open. Doubles with each further failure.
const INITIAL_OPEN_TIME: Duration = Duration::from_secs(1);

/// The longest time that the breaker stays open.
const MAX_OPEN_TIME: Duration = Duration::from_secs(30);

/// A breaker that opens after consecutive failures and then pauses the traffic to a peer.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    consecutive_failures: u32,
    open_until: Option<Instant>,
}

impl Breaker {
    /// Records a success, which closes the breaker.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure, which may open the breaker.
    pub fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if let Some(excess) = self.consecutive_failures.checked_sub(OPEN_AFTER_FAILURES) {
            let open_time = INITIAL_OPEN_TIME * 2u32.saturating_pow(excess.min(8));
            self.open_until = Some(now.after(open_time.min(MAX_OPEN_TIME)));
        }
    }

    /// Returns whether traffic may go to the peer. After the pause it may, and a single further
    /// failure opens the breaker again.
    #[must_use]
    pub fn is_closed(&self, now: Instant) -> bool {
        self.open_until.is_none_or(|until| now >= until)
    }
}
