//! What the queue asks of its process, and what the process reports back.

use std::rc::Rc;

use tamaracksail_model::reward::Call;
use tamaracksail_model::time::Instant;

use super::pending::CallKey;
use crate::fleet::ServerKey;

/// What the process must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a call to a server, whose use is recorded in the fleet already.
    Send {
        /// The number of this send, unique within one queue.
        send: u64,
        /// The call.
        key: CallKey,
        /// What to send.
        call: Rc<Call>,
        /// The service of the server.
        service: String,
        /// The server.
        server: ServerKey,
        /// When the call is given up.
        deadline: Instant,
        /// The number of sends of the call so far, with this one.
        attempt: u32,
        /// Whether another send of the call waits for its response.
        is_hedge: bool,
    },
    /// Close the connection of a send. Nothing more is to be reported of it.
    Cancel {
        /// The send.
        send: u64,
        /// The reason, for the log.
        reason: &'static str,
    },
}

/// How a send ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server responded with a success whose body is complete, and with this score.
    Scored(String),
    /// The server responded that the call failed.
    Failed,
    /// The server did not execute the call.
    Refused,
    /// There is no response, or it is unusable.
    Broken,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The score of the text.
    Scored(String),
    /// Too many responses reported a failure. Their number is included.
    Failed(u32),
}

/// Where the route of a call leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: String,
    /// The number of attempts that the route allows.
    pub max_attempts: u32,
}

/// The rank of a call among those that wait. The lowest is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether no trainer waits for the item.
    pub is_optional: bool,
    /// The number of items of its group that have no result.
    pub unfinished: usize,
}
