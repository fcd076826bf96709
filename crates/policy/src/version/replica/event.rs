//! The events of a configuration replica.

use tamaracksail_wire::Message;

use crate::store::Reply;

/// An event of a configuration replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// A peer sent a message: `Gossip`, `Pull`, `Config` or `Hosts`.
    Received(Message),
    /// A call or a watch ended.
    Stored(Reply),
    /// Time has passed. Due at least every 500 ms.
    Tick,
}
