//! A planned stop of a process that relays responses: until when it serves, and what it still accepts.

use std::time::Duration;

use tamaracksail_model::route::Kind;
use tamaracksail_model::time::Instant;

/// How long after the signal new connections may still arrive. Balancers check readiness once a second
/// and stop routing to a process after two failures, and clients keep using open connections.
pub const MIN_DRAIN_TIME: Duration = Duration::from_millis(3500);

/// How long before it would be killed the process exits by itself.
pub const KILL_MARGIN: Duration = Duration::from_millis(600);

/// How long before that exit the process gives a final answer to what has none.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// How long after the signal a request is accepted whose response may be cut short by the exit. Most end long
/// before their deadline, and platforms send new requests elsewhere by then.
pub const LONG_REQUEST_WINDOW: Duration = Duration::from_secs(3);

/// What becomes of a request that arrives during a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is served, with this deadline.
    Until(Instant),
    /// It is refused, since it might be cut.
    Refused,
}

/// A stop in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    since: Instant,
    end: Instant,
}

impl Stop {
    /// Returns a stop that begins at `now`, of a process that is killed after `grace`.
    #[must_use]
    pub fn new(now: Instant, grace: Duration) -> Self {
        Self {
            since: now,
            end: now.after(grace.saturating_sub(KILL_MARGIN)),
        }
    }

    /// Returns when the process exits at the latest.
    #[must_use]
    pub fn end(&self) -> Instant {
        self.end
    }

    /// Returns when each request that has no response gets a final one.
    #[must_use]
    pub fn last_answer(&self) -> Instant {
        Instant(self.end.0.saturating_sub(micros(ANSWER_MARGIN)))
    }

    /// Whether the process may exit, given the number of responses that are not written to their end, and
    /// whether other processes still need it.
    #[must_use]
    pub fn is_over(&self, now: Instant, open: usize, is_needed: bool) -> bool {
        let is_idle = open == 0 && !is_needed;
        now >= self.end || (is_idle && now.since(self.since) >= MIN_DRAIN_TIME)
    }

    /// Decides about a request that arrives at `now` and may last until `deadline`.
    ///
    /// One that ends before the exit is served as always. Others get an answer before the exit, and are short in
    /// most cases if they may be repeated. The rest would leave its outcome unknown to the client, so it is
    /// refused once clients had time to go elsewhere.
    #[must_use]
    pub fn admit(&self, now: Instant, kind: Kind, deadline: Instant) -> Admission {
        let last_answer = self.last_answer();
        if deadline <= last_answer {
            return Admission::Until(deadline);
        }
        match kind {
            Kind::Idempotent if now < last_answer => Admission::Until(last_answer),
            Kind::Stream | Kind::Once if now.since(self.since) < LONG_REQUEST_WINDOW => {
                Admission::Until(last_answer)
            }
            Kind::Batch => Admission::Until(deadline),
            Kind::Idempotent | Kind::Stream | Kind::Once => Admission::Refused,
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
