//! The waiting requests of one account at one priority.

use std::collections::VecDeque;
use std::time::Duration;

use tamaracksail_model::time::Instant;

use super::queue::Ticket;

/// How many requests an account that used less than its share may begin ahead of its turn. Without
/// it, an account that offers a little less than its share loses requests whenever two arrive close
/// to each other.
const CREDIT: f64 = 8.0;

/// One waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) ticket: Ticket,
    /// When it is refused if it has not begun.
    pub(super) begin_by: Instant,
}

/// The waiting requests of one account at one priority.
#[derive(Clone, Debug, Default)]
pub(super) struct Flow {
    /// The virtual time at which the account's turn after its last one begins.
    finish: f64,
    weight: f64,
    /// The requests, in the order of their arrival.
    pub(super) waiting: VecDeque<Waiter>,
    /// Requests that were refused and are expected again, and the time to which this refers.
    refused: (f64, Instant),
}

impl Flow {
    /// Sets the account's weight.
    pub(super) fn set_weight(&mut self, weight: f64) {
        self.weight = weight.max(f64::MIN_POSITIVE);
    }

    /// Returns the virtual start time of the account's request with the number `index` in the queue.
    pub(super) fn start(&self, virtual_time: f64, index: usize) -> f64 {
        let first = self.finish.max(virtual_time - CREDIT);
        #[allow(clippy::cast_precision_loss, reason = "queues are short")]
        let index = index as f64;
        first + index / self.weight
    }

    /// Returns the number of waiting requests that start no later than `start`.
    pub(super) fn ahead_of(&self, virtual_time: f64, start: f64) -> usize {
        let turns = (start - self.start(virtual_time, 0)) * self.weight;
        if turns < 0.0 {
            return 0;
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let count = turns as usize + 1;
        count.min(self.waiting.len())
    }

    /// Whether the account has begun fewer requests than it might have: its next turn is over by the
    /// virtual time.
    pub(super) fn is_behind(&self, virtual_time: f64) -> bool {
        self.start(virtual_time, 0) + 1.0 / self.weight <= virtual_time
    }

    /// Uses the account's turn, and returns the virtual time at which it began.
    pub(super) fn take_turn(&mut self, virtual_time: f64) -> f64 {
        let start = self.start(virtual_time, 0);
        self.finish = start + 1.0 / self.weight;
        start
    }

    /// Returns the number of waiting requests per weight, by which accounts over their share are
    /// found.
    pub(super) fn length(&self) -> f64 {
        #[allow(clippy::cast_precision_loss, reason = "queues are short")]
        let length = self.waiting.len() as f64;
        length / self.weight
    }

    /// Counts a refused request, and returns the number of the account's requests that are waiting
    /// or expected again, this one included. The account's turn comes each `round`.
    pub(super) fn record_refusal(&mut self, now: Instant, round: Duration) -> f64 {
        let (count, at) = self.refused;
        let turns = now.since(at).as_secs_f64() / round.as_secs_f64().max(f64::MIN_POSITIVE);
        self.refused = ((count - turns).max(0.0) + 1.0, now);
        #[allow(clippy::cast_precision_loss, reason = "queues are short")]
        let waiting = self.waiting.len() as f64;
        self.refused.0 + waiting
    }

    /// Whether the flow tells nothing that a new one would not.
    pub(super) fn is_forgettable(&self, now: Instant, virtual_time: f64) -> bool {
        const MEMORY: Duration = Duration::from_secs(10);
        self.waiting.is_empty()
            && self.finish <= virtual_time - CREDIT
            && now.since(self.refused.1) > MEMORY
    }
}
