//! What an entry is told.

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
    /// An agent sent a piece of an attempt's answer.
    Frame(Frame),
    /// The connection of an attempt failed.
    LinkFailed {
        /// The attempt.
        attempt: id::Attempt,
        /// Whether its first byte may have reached the agent.
        sent: bool,
    },
    /// An agent answered a revocation.
    Revoked(Revoked),
    /// An agent answered a heartbeat.
    Report(Report),
    /// An agent did not answer a heartbeat.
    HeartbeatFailed(id::Host),
    /// A configuration is in force.
    Config(Arc<Snapshot>),
    /// The host list as last read.
    Hosts(Vec<Host>),
    /// A call to the platform ended.
    Stored(Reply),
    /// Time passed. Due at least every 100 ms.
    Tick,
    /// The process is asked to stop.
    Stop,
}
