//! What an entry asks its process to do.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tamaracksail_model::id;
use tamaracksail_model::outcome::Outcome;
use tamaracksail_model::{key, plain};
use tamaracksail_wire::{Dispatch, Header, Hello, Reason, Revoke, Usage};

use crate::store::Call;

/// An action of an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the platform.
    Store(Call),
    /// Send an attempt to an agent.
    Dispatch {
        /// The request, whose content goes with it.
        request: id::Request,
        /// The agent's host.
        host: id::Host,
        /// Where it listens.
        address: SocketAddr,
        /// The message.
        dispatch: Dispatch,
    },
    /// Send a revocation to an agent.
    Revoke {
        /// The agent's host.
        host: id::Host,
        /// Where it listens.
        address: SocketAddr,
        /// The message.
        revoke: Revoke,
    },
    /// Send a heartbeat to an agent.
    Hello {
        /// The agent's host.
        host: id::Host,
        /// Where it listens.
        address: SocketAddr,
        /// The message.
        hello: Hello,
    },
    /// Start a streamed answer.
    StartResponse {
        /// The request.
        request: id::Request,
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<Header>,
    },
    /// Send bytes of a streamed answer.
    Relay {
        /// The request.
        request: id::Request,
        /// The version that the engine reported for the bytes.
        version: Option<id::Version>,
        /// The bytes.
        bytes: Bytes,
    },
    /// Give the final answer. Nothing follows for this request.
    Respond {
        /// The request.
        request: id::Request,
        /// The answer.
        response: Box<FinalResponse>,
    },
    /// End the process: nothing is in flight.
    Exit,
}

plain! {
    /// A request's final answer.
    pub struct FinalResponse {
        /// The outcome.
        pub outcome: Outcome,
        /// The HTTP status.
        pub status: u16,
        /// The headers of the backend server's answer.
        pub headers: Vec<Header>,
        /// The whole body, unless it was relayed.
        pub body: Bytes,
        /// The versions that produced it.
        pub versions: BTreeSet<id::Version>,
        /// What it cost.
        pub usage: Usage,
        /// The attempts made.
        pub attempts: u32,
        /// What went wrong, if anything.
        pub problem: Option<Problem>,
        /// When to come back, where that helps.
        pub retry_after: Option<Duration>,
        /// The generation in force.
        pub generation: id::Generation,
    }
}

key! {
    /// Where a request was when it ended.
    #[serde(rename_all = "kebab-case")]
    pub enum Stage {
        /// Before anything was done for it.
        Admit,
        /// Its claim.
        Claim,
        /// The wait for a server.
        Queue,
        /// The way to a server and the run there.
        Run,
        /// The answer on its way to the caller.
        Relay,
    }
}

key! {
    /// Why a request has no whole answer.
    #[serde(rename_all = "kebab-case")]
    pub enum Cause {
        /// The process has no configuration yet.
        NotReady,
        /// The process is stopping.
        Stopping,
        /// There is no such model or service.
        UnknownTarget,
        /// The deadline passed.
        Deadline,
        /// More waits than can be served in time.
        Overload,
        /// No server can take it.
        NoServer,
        /// Retries would exceed their budget.
        RetryBudget,
        /// Its content crashed too many servers.
        Suspect,
        /// The platform did not confirm the claim.
        Platform,
        /// A request with the same key is running.
        Running,
        /// A request with the same key may have run.
        MayHaveRun,
        /// The caller closed its connection.
        CallerGone,
        /// The link to the agent failed.
        Link,
        /// An agent said so.
        Server(Reason),
    }
}

plain! {
    /// What went wrong with a request, where, and at which peer.
    pub struct Problem {
        /// The step.
        #[serde(rename = "step")]
        pub stage: Stage,
        /// The peer, if one was involved.
        pub peer: Option<id::Host>,
        /// The cause.
        pub cause: Cause,
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {:?}", self.stage, self.cause)?;
        match &self.peer {
            Some(peer) => write!(f, " at {peer}"),
            None => Ok(()),
        }
    }
}
