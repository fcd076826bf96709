//! The token bucket of one server, from which permits are granted.

use std::time::Duration;

use tamaracksail_model::time::Instant;

/// How much of its limit a server may get at once after it got less for a while, as the time in
/// which it accumulates.
const BURST: Duration = Duration::from_secs(1);

/// The latest time for which a client that is refused is told to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// A token bucket. Rates are in tokens per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    /// The number of tokens at `updated_at`; negative if tokens have been reserved.
    level: f64,
    updated_at: Instant,
    /// When the last of the clients that were refused is due to come back.
    last_return: Instant,
}

impl Bucket {
    pub(crate) fn empty(now: Instant) -> Self {
        Self {
            level: 0.0,
            updated_at: now,
            last_return: now,
        }
    }

    /// Returns the number of tokens.
    pub(crate) fn level(&self, now: Instant, rate: f64) -> f64 {
        let gained = now.since(self.updated_at).as_secs_f64() * rate;
        let capacity = (rate * BURST.as_secs_f64()).max(1.0);
        (self.level + gained).min(capacity)
    }

    /// Takes a token, also one that the bucket gains only later. Returns the time until then.
    pub(crate) fn take(&mut self, now: Instant, rate: f64) -> Duration {
        let wait = self.wait(now, rate);
        self.level = self.level(now, rate) - 1.0;
        self.updated_at = now;
        wait
    }

    /// Returns the time until the bucket has a token.
    pub(crate) fn wait(&self, now: Instant, rate: f64) -> Duration {
        let missing = (1.0 - self.level(now, rate)).max(0.0);
        Duration::try_from_secs_f64(missing / rate).unwrap_or(MAX_RETRY_AFTER)
    }

    /// Returns when a client that is refused should come back: after those that were refused before.
    pub(crate) fn refuse(&mut self, now: Instant, rate: f64) -> Duration {
        let earliest = now.after(self.wait(now, rate));
        let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_RETRY_AFTER);
        let next = earliest.max(self.last_return.after(interval));
        self.last_return = next.min(now.after(MAX_RETRY_AFTER));
        self.last_return.since(now)
    }
}
