//! The events that an agent handles.

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
    /// The entry closed the connection over which it had dispatched the attempt.
    EntryDisconnected(id::Attempt),
    /// An entry sent a heartbeat.
    Hello(Hello),
    /// The owner of a rollout sent a load command.
    LoadCommand(LoadCommand),
    /// The backend server sent the head of its response.
    Head {
        /// The attempt.
        attempt: id::Attempt,
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<Header>,
    },
    /// The backend server sent bytes of its response.
    Chunk {
        /// The attempt.
        attempt: id::Attempt,
        /// The bytes.
        bytes: Bytes,
        /// The version that the engine reported for the bytes.
        version: Option<id::Version>,
    },
    /// The backend server completed its response.
    Finished {
        /// The attempt.
        attempt: id::Attempt,
        /// Further versions that the engine reported.
        versions: BTreeSet<id::Version>,
        /// The tokens that the attempt used.
        usage: Usage,
    },
    /// The backend server did not complete its response.
    Failed {
        /// The attempt.
        attempt: id::Attempt,
        /// Whether the request may have reached the server.
        sent: bool,
    },
    /// The backend server is down. Arrives before the [`Event::Failed`] of what was running on it.
    ServerDown,
    /// The backend server is up, with these versions loaded.
    ServerUp(BTreeMap<id::Object, id::Version>),
    /// The engine carried out the load command, or the command failed, or its response was lost.
    LoadEnded,
    /// The versions that the engine reports after a load command, or `None` if it did not respond.
    VersionsRead(Option<BTreeMap<id::Object, id::Version>>),
    /// The fencing token of a model's rollout as read from the platform, or `None` if the platform
    /// did not respond.
    FenceRead(id::Object, Option<id::Fence>),
    /// An operator drains the server.
    Drain,
    /// Time passed. Must arrive at least every 100 ms.
    Tick,
    /// The process is asked to stop.
    Stop,
}
