//! When a stream whose server is silent is also sent to another server.
//!
//! A pause cannot be told from a server that will never go on. No server is therefore given up for its
//! silence alone: those that have the stream keep it until one of them sends the next event. By the
//! platform's rules a request begins to run with its first token, so only one server works on a stream.

use std::time::Duration;

use tamaracksail_model::time::Instant;

/// How long a server may send no event before another is sought. Clients give up after two seconds.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(900);

/// The time between the first two searches. Slots become free within this time. It doubles with each
/// further search.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// The longest time between two searches.
const MAX_SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// Decides for one stream.
#[derive(Clone, Copy, Debug)]
pub struct Standby {
    last_progress: Instant,
    search_interval: Duration,
    /// When a search begins, unless an event arrives before.
    next_search: Instant,
}

impl Standby {
    /// Returns the state of a stream whose server responded at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            last_progress: now,
            search_interval: SEARCH_INTERVAL,
            next_search: now.after(IDLE_TIMEOUT),
        }
    }

    /// Records that an event was relayed, or that another server was found for a broken one.
    pub fn record_event(&mut self, now: Instant) {
        *self = Self::new(now);
    }

    /// Records that a search found no server, or one that broke off.
    pub fn record_failure(&mut self, now: Instant) {
        self.next_search = now.after(self.search_interval);
        self.search_interval = (self.search_interval * 2).min(MAX_SEARCH_INTERVAL);
    }

    /// Records that another server has begun its response. If it is silent too, a third is sought.
    pub fn record_taken(&mut self, now: Instant) {
        self.next_search = now.after(IDLE_TIMEOUT);
    }

    /// Returns how long the stream has had no event.
    #[must_use]
    pub fn silence(&self, now: Instant) -> Duration {
        now.since(self.last_progress)
    }

    /// Returns when the next search begins. There is none while one is in progress, nor without an attempt
    /// left.
    #[must_use]
    pub fn next_search(&self, attempts_left: usize, is_searching: bool) -> Option<Instant> {
        (attempts_left > 0 && !is_searching).then_some(self.next_search)
    }
}
