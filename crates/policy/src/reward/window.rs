//! How many calls may be in flight to one server.

use std::time::Duration;

use tamaracksail_model::time::Instant;

/// One in this many slots of a server gets no call while others wait on it, and at least one slot.
const RESERVED_SLOTS_DIVISOR: u32 = 3;

/// The factor on the limit after a sign of overload.
const DECREASE: f64 = 0.5;

/// The shortest time between two decreases: one overload shows in several responses.
const DECREASE_INTERVAL: Duration = Duration::from_millis(300);

/// The limit on concurrent calls to one server. It grows by one while as many calls as it allows
/// succeed, and is halved by refusals, failures to respond, and calls that another server overtook.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    slots: u32,
    limit: f64,
    in_flight: u32,
    decreased_at: Option<Instant>,
}

impl Window {
    /// Returns the limit for a server with `slots` slots of which nothing is known.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            limit: f64::from((slots / 2).max(1)),
            in_flight: 0,
            decreased_at: None,
        }
    }

    /// Returns the number of calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether a further call may be sent to the server, at which `load` requests of all senders run or
    /// wait. The first call needs a free slot, and each further one leaves the reserved slots free.
    #[must_use]
    pub fn has_room(&self, load: u32) -> bool {
        if self.in_flight == 0 {
            return load < self.slots;
        }
        let reserved = self.slots.div_ceil(RESERVED_SLOTS_DIVISOR);
        f64::from(self.in_flight + 1) <= self.limit && load + reserved < self.slots
    }

    /// Records that a call was sent.
    pub fn record_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a call ended.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Raises the limit after a call that succeeded.
    pub fn raise(&mut self) {
        self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.slots));
    }

    /// Lowers the limit after a sign of overload.
    pub fn lower(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.since(at) < DECREASE_INTERVAL;
        if self.decreased_at.is_some_and(is_recent) {
            return;
        }
        self.decreased_at = Some(now);
        self.limit = (self.limit * DECREASE).max(1.0);
    }
}
