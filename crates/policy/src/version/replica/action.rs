//! The actions of a configuration replica.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tamaracksail_model::config::Snapshot;
use tamaracksail_model::host::Host;
use tamaracksail_model::id;
use tamaracksail_wire::Message;

use crate::store::{Call, CallId};

/// An action of a configuration replica.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the platform.
    Store(Call),
    /// Wait until the object has a revision above `after`, then reply with its value.
    Watch {
        /// The id that the reply carries.
        call_id: CallId,
        /// The key of the object.
        key: String,
        /// The last known revision.
        after: id::Revision,
        /// How long the platform waits for a change. A watch without a response fails
        /// [`WATCH_MARGIN`](super::WATCH_MARGIN) later.
        wait: Duration,
    },
    /// Send a message to a peer.
    Send(SocketAddr, Message),
    /// A configuration came into force.
    InForce(Arc<Snapshot>),
    /// A host list came into force.
    Hosts(Vec<Host>),
    /// An entry of the host list, or the whole list, cannot be read, for this reason.
    UnreadableHost(String),
}
