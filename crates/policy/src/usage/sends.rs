//! When a request began, over all its attempts.

use tamaracksail_model::time::Instant;

/// What is known of one send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It is not complete.
    Unsent,
    /// It was complete at this time, and is not known to be refused.
    Sent(Instant),
    /// The server refused it, or nothing was sent.
    Refused,
}

/// The sends of one request to servers. The request is counted once, when the first of its sends began
/// that is not known to be refused.
#[derive(Clone, Debug, Default)]
pub struct Sends {
    states: Vec<State>,
    is_counted: bool,
}

impl Sends {
    /// Adds a send that is not complete. Returns its number.
    pub fn open(&mut self) -> usize {
        self.states.push(State::Unsent);
        self.states.len() - 1
    }

    /// Records that a send was complete at `at`.
    pub fn record_sent(&mut self, send: usize, at: Instant) {
        if let Some(state) = self.states.get_mut(send)
            && *state != State::Refused
        {
            *state = State::Sent(at);
        }
    }

    /// Records that the server refused a send and did not run the request, or that nothing was sent.
    pub fn record_refused(&mut self, send: usize) {
        if let Some(state) = self.states.get_mut(send) {
            *state = State::Refused;
        }
    }

    /// Records that the server ran the request, or that this will not be known. Returns the time at
    /// which the request is to be counted, the first time only.
    pub fn record_began(&mut self, send: usize) -> Option<Instant> {
        let is_sent = matches!(self.states.get(send), Some(State::Sent(_)));
        if !is_sent || std::mem::replace(&mut self.is_counted, true) {
            return None;
        }
        let times = self.states.iter().filter_map(|state| match state {
            State::Sent(at) => Some(*at),
            State::Unsent | State::Refused => None,
        });
        times.min()
    }
}
