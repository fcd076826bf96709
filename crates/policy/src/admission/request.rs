//! A request that asks for a slot.

use std::time::Duration;

use tamaracksail_model::time::Instant;

/// A request that asks for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The client account; requests without one share one queue.
    pub account: Option<String>,
    /// Its priority; 0 is the highest.
    pub priority: u8,
    /// The share of its account relative to others of the same priority.
    pub weight: f64,
    /// When the request arrived.
    pub arrival: Instant,
    /// The time within which its response should be complete.
    pub objective: Duration,
    /// When its client no longer waits.
    pub deadline: Instant,
}

/// The part of the objective for which a request waits at most.
const WAIT_SHARE: f64 = 0.5;

impl Request {
    /// Returns the time by which the request must begin, if serving it takes `service_time`.
    #[must_use]
    pub fn begin_by(&self, service_time: Duration) -> Instant {
        let by_objective = self.arrival.after(self.objective.mul_f64(WAIT_SHARE));
        let service = u64::try_from(service_time.as_micros()).unwrap_or(u64::MAX);
        let by_deadline = Instant(self.deadline.0.saturating_sub(service));
        by_objective.min(by_deadline)
    }
}
