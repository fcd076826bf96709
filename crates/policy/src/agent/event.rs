//! What an agent is told.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use tamaracksail_model::id;
use tamaracksail_wire::{Dispatch, Header, Hello, LoadCommand, Revoke, Usage};

/// An event at an agent.
#[derive(Clone, Debug)]
pub enum Event {
    /// An entry dispatched an attempt.
    Dispatch(Dispatch),
    /// An entry revoked an attempt.
    Revoke(Revoke),
    /// The connection that brought an attempt was closed by the entry.
    EntryDisconnected(id::Attempt),
    /// An entry sent a heartbeat.
    Hello(Hello),
    /// The owner of a rollout ordered a version.
    LoadCommand(LoadCommand),
    /// The server began to answer.
    Head {
        /// The attempt.
        attempt: id::Attempt,
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<Header>,
    },
    /// The server sent bytes.
    Chunk {
        /// The attempt.
        attempt: id::Attempt,
        /// The bytes.
        bytes: Bytes,
        /// The version that the engine reported for them.
        version: Option<id::Version>,
    },
    /// The server answered in full.
    Finished {
        /// The attempt.
        attempt: id::Attempt,
        /// Further versions that the engine reported.
        versions: BTreeSet<id::Version>,
        /// The cost.
        usage: Usage,
    },
    /// The server did not answer in full.
    Failed {
        /// The attempt.
        attempt: id::Attempt,
        /// Whether the request may have reached the server.
        sent: bool,
    },
    /// The backend server is gone. Comes before the `Broken` of what was running on it.
    ServerDown,
    /// The backend server is up, with these versions loaded.
    ServerUp(BTreeMap<id::Object, id::Version>),
    /// The order was carried out, or failed, or its answer was lost.
    LoadEnded,
    /// The versions that the engine reports after an order; none if it did not answer.
    VersionsRead(Option<BTreeMap<id::Object, id::Version>>),
    /// The fencing number of a model's rollout, as the platform has it; none without an answer.
    FenceRead(id::Object, Option<id::Fence>),
    /// An operator drains the server.
    Drain,
    /// Time relayed. Due at least every 100 ms.
    Tick,
    /// The process is asked to stop.
    Stop,
}
