//! The events that an entry handles.

use std::sync::Arc;

use tamaracksail_model::config::Snapshot;
use tamaracksail_model::host::Host;
use tamaracksail_model::id;
use tamaracksail_wire::{Frame, Report, Revoked};

use crate::request::arrival::Arrival;
use crate::store::Reply;

/// An event at an entry.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sent a request.
    Arrived(Arrival),
    /// The caller closed its connection.
    CallerGone(id::Request),
    /// An agent sent a part of an attempt's response.
    Frame(Frame),
    /// The connection of an attempt failed.
    LinkFailed {
        /// The attempt.
        attempt: id::Attempt,
        /// Whether its first byte may have reached the agent.
        sent: bool,
    },
    /// An agent responded to a revocation.
    Revoked(Revoked),
    /// An agent responded to a heartbeat.
    Report(Report),
    /// An agent did not respond to a heartbeat.
    HeartbeatFailed(id::Host),
    /// A new configuration is in force.
    Config(Arc<Snapshot>),
    /// The host list as last read.
    Hosts(Vec<Host>),
    /// A call to the platform's store ended.
    Stored(Reply),
    /// Time passed. Must arrive at least every 100 ms.
    Tick,
    /// The process is asked to stop.
    Stop,
}
