//! The actions that an entry requests of its process.

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
    /// Call the platform's store.
    Store(Call),
    /// Send an attempt to an agent.
    Dispatch {
        /// The request whose content is sent with the message.
        request: id::Request,
        /// The agent's host.
        host: id::Host,
        /// The address of the agent.
        address: SocketAddr,
        /// The message.
        dispatch: Dispatch,
    },
    /// Send a revocation to an agent.
    Revoke {
        /// The agent's host.
        host: id::Host,
        /// The address of the agent.
        address: SocketAddr,
        /// The message.
        revoke: Revoke,
    },
    /// Send a heartbeat to an agent.
    Hello {
        /// The agent's host.
        host: id::Host,
        /// The address of the agent.
        address: SocketAddr,
        /// The message.
        hello: Hello,
    },
    /// Start a streamed response.
    StartResponse {
        /// The request.
        request: id::Request,
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<Header>,
    },
    /// Send bytes of a streamed response to the caller.
    Relay {
        /// The request.
        request: id::Request,
        /// The version that the engine reported for the bytes.
        version: Option<id::Version>,
        /// The bytes.
        bytes: Bytes,
    },
    /// Send the final response to the caller. It is the last action for the request.
    Respond {
        /// The request.
        request: id::Request,
        /// The response.
        response: Box<FinalResponse>,
    },
    /// End the process, since nothing is in flight any more.
    Exit,
}

plain! {
    /// The final response to a request.
    pub struct FinalResponse {
        /// The outcome.
        pub outcome: Outcome,
        /// The HTTP status.
        pub status: u16,
        /// The headers of the backend server's response.
        pub headers: Vec<Header>,
        /// The complete body, unless it was relayed.
        pub body: Bytes,
        /// The model versions that produced the response.
        pub versions: BTreeSet<id::Version>,
        /// The tokens that the request used.
        pub usage: Usage,
        /// The number of attempts made.
        pub attempts: u32,
        /// What went wrong, if anything.
        pub problem: Option<Problem>,
        /// How long the caller should wait before it retries, if a retry may succeed.
        pub retry_after: Option<Duration>,
        /// The generation of the configuration in force.
        pub generation: id::Generation,
    }
}

key! {
    /// The stage that a request had reached when it ended.
    #[serde(rename_all = "kebab-case")]
    pub enum Stage {
        /// Before any work was done for it.
        Admit,
        /// Waiting for its claim.
        Claim,
        /// Waiting for a server.
        Queue,
        /// Being sent to a server, or running there.
        Run,
        /// Sending the response to the caller.
        Relay,
    }
}

key! {
    /// Why a request got no complete response.
    #[serde(rename_all = "kebab-case")]
    pub enum Cause {
        /// The process has no configuration yet.
        NotReady,
        /// The process is stopping.
        Stopping,
        /// There is no such model or service.
        UnknownTarget,
        /// The deadline has passed.
        Deadline,
        /// More requests are waiting than can be served in time.
        Overload,
        /// No server is available for it.
        NoServer,
        /// Retries would exceed their budget.
        RetryBudget,
        /// Its content is suspected of crashing servers.
        Suspect,
        /// The platform did not confirm the claim.
        Platform,
        /// A request with the same key is running.
        Running,
        /// A request with the same key may have run.
        MayHaveRun,
        /// The caller closed its connection.
        CallerGone,
        /// The connection to the agent failed.
        Link,
        /// The agent reported this reason.
        Server(Reason),
    }
}

plain! {
    /// What went wrong with a request, where, and at which peer.
    pub struct Problem {
        /// The stage that the request had reached.
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
