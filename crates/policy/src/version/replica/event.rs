//! What a follower is told.

use tamaracksail_wire::Message;

use crate::store::Reply;

/// An event at a follower.
#[derive(Clone, Debug)]
pub enum Event {
    /// A peer sent a message: `Gossip`, `Pull`, `Config` or `Hosts`.
    Received(Message),
    /// A call or a watch ended.
    Stored(Reply),
    /// Time passed. Due at least every 500 ms.
    Tick,
}
