//! Messages between processes. Those between gateways are in [`peer`](crate::peer).
//!
//! Each message about an attempt contains the attempt's id, so that a delayed or reordered message
//! can't be mistaken for one about another attempt.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_with::DurationMilliSeconds;
use tamaracksail_model::config::Snapshot;
use tamaracksail_model::host::Host;
use tamaracksail_model::id;
use tamaracksail_model::outcome::Class;
use tamaracksail_model::{key, plain};

plain! {
    /// The sender of a message, and how recent its configuration is.
    #[serde(deny_unknown_fields)]
    pub struct Sender {
        /// The host.
        pub host: id::Host,
        /// The incarnation of its process.
        pub incarnation: id::Incarnation,
        /// The failure domain.
        pub domain: id::Domain,
        /// The generation of its configuration.
        pub generation: id::Generation,
    }
}

plain! {
    /// Asks an agent to run an attempt at most once.
    #[serde_as]
    #[serde(deny_unknown_fields)]
    pub struct Dispatch {
        /// The attempt.
        pub attempt: id::Attempt,
        /// The incarnation of the agent that the attempt is for. A restarted agent refuses it.
        pub agent: id::Incarnation,
        /// The priority class.
        pub class: Class,
        /// The time left until the caller's deadline.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        pub timeout: Duration,
        /// A digest of the content.
        pub fingerprint: id::Fingerprint,
        /// Whether it must run while the server runs no other request.
        pub alone: bool,
        /// Whether it must run at most once. If so, it is not cancelled while it runs.
        pub once: bool,
        /// The number of bytes of the response that an earlier attempt has delivered.
        pub resume: u64,
    }
}

plain! {
    /// The request that the backend server receives.
    #[serde(deny_unknown_fields)]
    pub struct Content {
        /// The HTTP method.
        pub method: String,
        /// The path and the query.
        pub path: String,
        /// The end-to-end headers.
        pub headers: Vec<Header>,
        /// The body.
        pub body: Bytes,
    }
}

plain! {
    /// An attempt, as it is sent to an agent.
    #[serde(deny_unknown_fields)]
    pub struct Attempt {
        /// How to run it.
        pub dispatch: Dispatch,
        /// The request to send to the backend server.
        pub content: Content,
        /// The W3C trace context.
        pub traceparent: Option<String>,
    }
}

key! {
    /// Why an attempt was refused or failed.
    #[serde(rename_all = "kebab-case")]
    pub enum Reason {
        /// The server accepts no new work since it is leaving.
        Leaving,
        /// The queue is full.
        Busy,
        /// The entry revoked it before it started.
        Revoked,
        /// Its deadline passed before it started.
        Expired,
        /// It was sent to another incarnation of the agent.
        OtherIncarnation,
        /// The agent has received it before.
        Duplicate,
        /// The backend server is not running.
        ServerDown,
        /// The backend server crashed while it ran.
        Crashed,
        /// The backend server's response was an error or incomplete.
        Failed,
        /// Too many servers crashed while they ran a request with this content.
        Suspect,
    }
}

plain! {
    /// How an attempt ended without a complete response.
    #[serde(deny_unknown_fields)]
    pub struct Failure {
        /// The reason.
        pub reason: Reason,
        /// Whether it is proved that it did not run and will not.
        pub not_run: bool,
        /// The number of the server crash that ended it, as the agent counts crashes.
        pub crash: Option<u64>,
    }
}

plain! {
    /// The tokens that an attempt used.
    #[derive(Copy, Default, Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Usage {
        /// Prompt tokens.
        pub prompt_tokens: u64,
        /// Prompt tokens that were in the prefix cache.
        pub cached_tokens: u64,
        /// Generated tokens.
        pub completion_tokens: u64,
    }
}

plain! {
    /// An HTTP header that is passed from end to end.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Header {
        /// The name.
        pub name: String,
        /// The value.
        pub value: String,
    }
}

plain! {
    /// A part of an attempt's response.
    #[serde(deny_unknown_fields, rename_all = "kebab-case")]
    pub enum Frame {
        /// The backend server's status and headers. The first frame.
        Head {
            /// The attempt.
            attempt: id::Attempt,
            /// The HTTP status.
            status: u16,
            /// The end-to-end headers.
            headers: Vec<Header>,
        },
        /// Bytes of the response body.
        Data {
            /// The attempt.
            attempt: id::Attempt,
            /// The position of the bytes in the body.
            offset: u64,
            /// The version that the engine reported for these bytes.
            version: Option<id::Version>,
            /// The bytes.
            bytes: Bytes,
        },
        /// The response is complete.
        End {
            /// The attempt.
            attempt: id::Attempt,
            /// The length of the whole body, in bytes.
            length: u64,
            /// The versions that the engine reported for the tokens.
            versions: BTreeSet<id::Version>,
            /// The tokens that the attempt used.
            usage: Usage,
            /// The server's load.
            load: Load,
        },
        /// The response will not be completed.
        Failed {
            /// The attempt.
            attempt: id::Attempt,
            /// How it ended.
            failure: Failure,
            /// The tokens that the attempt used until it failed.
            usage: Usage,
            /// The server's load.
            load: Load,
        },
    }
}

impl Frame {
    /// Returns the attempt that the frame belongs to.
    #[must_use]
    pub fn attempt(&self) -> id::Attempt {
        match self {
            Self::Head { attempt, .. }
            | Self::Data { attempt, .. }
            | Self::End { attempt, .. }
            | Self::Failed { attempt, .. } => *attempt,
        }
    }
}

plain! {
    /// Asks an agent not to start an attempt, or to cancel it.
    #[serde(deny_unknown_fields)]
    pub struct Revoke {
        /// The attempt.
        pub attempt: id::Attempt,
        /// The incarnation of the agent that it was sent to.
        pub agent: id::Incarnation,
    }
}

plain! {
    /// The response to [`Revoke`].
    #[serde(deny_unknown_fields)]
    pub struct Revoked {
        /// The attempt.
        pub attempt: id::Attempt,
        /// Whether it is proved that it did not run and will not.
        pub not_run: bool,
    }
}

plain! {
    /// A server's load.
    #[serde_as]
    #[derive(Copy)]
    #[serde(deny_unknown_fields)]
    pub struct Load {
        /// The number of running attempts.
        pub running: u32,
        /// The number of queued attempts.
        pub queued: u32,
        /// The number of running and queued attempts of class training, over which other classes take
        /// priority.
        pub training: u32,
        /// The maximum number of running attempts.
        pub limit: u32,
        /// The mean run time of an attempt.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        pub service: Duration,
        /// How long the report is valid after it was made.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        pub valid: Duration,
        /// Whether the server accepts no new work.
        pub leaving: bool,
        /// Whether the backend server is running.
        pub up: bool,
    }
}

plain! {
    /// The content of a request that was in flight when servers crashed.
    #[serde_as]
    #[serde(deny_unknown_fields)]
    pub struct Suspect {
        /// The digest of the content.
        pub fingerprint: id::Fingerprint,
        /// The crashes, each as the host and its crash count.
        pub crashes: BTreeSet<(id::Host, u64)>,
        /// Whether one of the crashes happened while no other request ran.
        pub alone: bool,
        /// How long the suspicion remains valid.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        pub valid: Duration,
    }
}

plain! {
    /// A heartbeat from an entry to an agent.
    #[serde(deny_unknown_fields)]
    pub struct Hello {
        /// The entry.
        pub sender: Sender,
        /// Whether the agent's host is leaving according to the host list.
        pub leaving: bool,
        /// The suspects that the entry knows of.
        pub suspects: Vec<Suspect>,
    }
}

plain! {
    /// The response to [`Hello`].
    #[serde(deny_unknown_fields)]
    pub struct Report {
        /// The agent.
        pub sender: Sender,
        /// The load.
        pub load: Load,
        /// The loaded version of each model, as the engine reports it.
        pub versions: BTreeMap<id::Object, id::Version>,
        /// The suspects that the agent knows of.
        pub suspects: Vec<Suspect>,
    }
}

plain! {
    /// A command to an agent to load a version of a model's weights.
    #[serde(deny_unknown_fields)]
    pub struct LoadCommand {
        /// The fencing token of the owner of the rollout.
        pub fence: id::Fence,
        /// The model.
        pub model: id::Object,
        /// The version to load.
        pub version: id::Version,
        /// The host of the peer agent to load from. `None` means the weight store.
        pub source: Option<Host>,
    }
}

plain! {
    /// How a load command ended.
    #[serde(deny_unknown_fields, rename_all = "kebab-case")]
    pub enum LoadOutcome {
        /// The engine has loaded this version.
        Loaded(id::Version),
        /// The engine has not loaded the version. It still reports this one, or none.
        Failed(Option<id::Version>),
        /// The command was rejected since its fencing token is old. This is the highest token that
        /// the agent has received.
        Fenced(id::Fence),
        /// Another load command is in progress, the engine is not running, or the agent doesn't know
        /// the current fencing token yet.
        Busy,
    }
}

plain! {
    /// How recent the sender's configuration and host list are. A receiver with older ones pulls the
    /// newer ones.
    #[serde(deny_unknown_fields)]
    pub struct Gossip {
        /// The sender.
        pub sender: Sender,
        /// The address on which it listens.
        pub address: SocketAddr,
        /// The revision of its host list.
        pub hosts: id::Revision,
        /// Whether it is ready. A starting process considers the generations of ready peers only.
        pub ready: bool,
    }
}

plain! {
    /// Any message. For drivers that transfer all messages through one queue.
    #[serde(deny_unknown_fields, rename_all = "kebab-case")]
    pub enum Message {
        /// See [`Dispatch`].
        Dispatch(Dispatch),
        /// See [`Frame`].
        Frame(Frame),
        /// See [`Revoke`].
        Revoke(Revoke),
        /// See [`Revoked`].
        Revoked(Revoked),
        /// See [`Hello`].
        Hello(Hello),
        /// See [`Report`].
        Report(Report),
        /// See [`LoadCommand`].
        Order(LoadCommand),
        /// The host that responds, and its [`LoadOutcome`].
        Ordered(id::Host, LoadOutcome),
        /// See [`Gossip`].
        Gossip(Gossip),
        /// A request for a configuration or host list newer than the sender's.
        Pull(Gossip),
        /// A snapshot of the configuration.
        Config(Gossip, Arc<Snapshot>),
        /// A host list.
        Hosts(Gossip, Vec<Host>),
    }
}
