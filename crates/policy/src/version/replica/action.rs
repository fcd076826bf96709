//! What a follower asks its process to do.

use std::net::SocketAddr;
use std::sync::Arc;

use tamaracksail_model::config::Snapshot;
use tamaracksail_model::host::Host;
use tamaracksail_model::id;
use tamaracksail_wire::Message;

use crate::store::{Call, Ticket};

/// An action of a follower.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the platform.
    Store(Call),
    /// Wait until the object is beyond `after`, then reply with its value.
    Watch {
        /// The ticket of the reply.
        ticket: Ticket,
        /// The object.
        key: String,
        /// The revision known.
        after: id::Revision,
    },
    /// Send a message to a peer.
    Send(SocketAddr, Message),
    /// A configuration is in force.
    InForce(Arc<Snapshot>),
    /// A host list is in force.
    Hosts(Vec<Host>),
}
