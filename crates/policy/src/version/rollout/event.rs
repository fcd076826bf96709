//! What a rollout is told.

use std::sync::Arc;

use tamaracksail_model::config::Snapshot;
use tamaracksail_model::host::Host;
use tamaracksail_model::id;
use tamaracksail_wire::LoadOutcome;

use crate::store::Reply;

/// An event at a rollout.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration is in force.
    Config(Arc<Snapshot>),
    /// The host list as last read.
    Hosts(Vec<Host>),
    /// An agent answered an order.
    Ordered(id::Host, LoadOutcome),
    /// An order has no answer.
    Lost(id::Host),
    /// A call to the platform ended.
    Stored(Reply),
    /// Time passed. Due at least every 100 ms.
    Tick,
    /// The process is asked to stop.
    Stop,
}
