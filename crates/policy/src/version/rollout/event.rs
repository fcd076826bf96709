//! The events of a rollout controller.

use std::sync::Arc;

use tamaracksail_model::config::Snapshot;
use tamaracksail_model::host::Host;
use tamaracksail_model::id;
use tamaracksail_wire::LoadOutcome;

use crate::store::Reply;

/// An event of a rollout controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force.
    Config(Arc<Snapshot>),
    /// A new host list was read.
    Hosts(Vec<Host>),
    /// An agent reported the outcome of a load command.
    LoadOutcome(id::Host, LoadOutcome),
    /// A load command got no response.
    LoadOutcomeLost(id::Host),
    /// A call to the platform ended.
    Stored(Reply),
    /// Time has passed. Due at least every 100 ms.
    Tick,
    /// The process is to stop.
    Stop,
}
