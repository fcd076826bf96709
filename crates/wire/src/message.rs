//! The typed messages.
//!
//! Each names its attempt, so that a late or crossed message cannot be taken for another's.

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
    /// Who sent a message, and how new its configuration is.
    #[serde(deny_unknown_fields)]
    pub struct Sender {
        /// The host.
        pub host: id::Host,
        /// The life of its process.
        pub incarnation: id::Incarnation,
        /// The failure domain.
        pub domain: id::Domain,
        /// The generation in force at the sender.
        pub generation: id::Generation,
    }
}

plain! {
    /// Orders an agent to run an attempt, at most once.
    #[serde_as]
    #[serde(deny_unknown_fields)]
    pub struct Dispatch {
        /// The attempt.
        pub attempt: id::Attempt,
        /// The life of the agent that is meant; its successor refuses.
        pub agent: id::Incarnation,
        /// The class.
        pub class: Class,
        /// The time left until the caller's deadline.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        pub timeout: Duration,
        /// A digest of the content.
        pub fingerprint: id::Fingerprint,
        /// Whether it must run with no other request beside it.
        pub alone: bool,
        /// Whether it may not be repeated, so that a running one is not cancelled.
        pub once: bool,
        /// The bytes of the answer that an earlier attempt already delivered.
        pub resume: u64,
    }
}

plain! {
    /// What a caller sent, as the backend server is to receive it.
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
    /// An attempt on its way to an agent.
    #[serde(deny_unknown_fields)]
    pub struct Attempt {
        /// What to do with it.
        pub dispatch: Dispatch,
        /// What to send.
        pub content: Content,
        /// The W3C trace context.
        pub traceparent: Option<String>,
    }
}

key! {
    /// Why an attempt was refused or failed.
    #[serde(rename_all = "kebab-case")]
    pub enum Reason {
        /// The server takes no new work since it is leaving.
        Leaving,
        /// The queue is full.
        Busy,
        /// The entry revoked it before it started.
        Revoked,
        /// Its deadline passed before it started.
        Expired,
        /// It was meant for another life of the agent.
        OtherIncarnation,
        /// It was seen before.
        Duplicate,
        /// The backend server is not up.
        ServerDown,
        /// The backend server crashed while it ran.
        Crashed,
        /// The backend server answered with an error or not in full.
        Failed,
        /// Its content crashed too many servers.
        Suspect,
    }
}

plain! {
    /// How an attempt ended without a whole answer.
    #[serde(deny_unknown_fields)]
    pub struct Failure {
        /// Why.
        pub reason: Reason,
        /// Whether it is proved that it did not run and will not.
        pub not_run: bool,
        /// The crash of the server that ended it, by the agent's count.
        pub crash: Option<u64>,
    }
}

plain! {
    /// What an attempt cost.
    #[derive(Copy, Default, Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Usage {
        /// Tokens read.
        pub prompt_tokens: u64,
        /// Tokens read from the prefix cache.
        pub cached_tokens: u64,
        /// Tokens generated.
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
    /// One piece of an attempt's answer.
    #[serde(deny_unknown_fields, rename_all = "kebab-case")]
    pub enum Frame {
        /// The start: the backend server's status and content type.
        Head {
            /// The attempt.
            attempt: id::Attempt,
            /// The HTTP status.
            status: u16,
            /// The end-to-end headers.
            headers: Vec<Header>,
        },
        /// Bytes of the answer.
        Data {
            /// The attempt.
            attempt: id::Attempt,
            /// The number of bytes before these.
            offset: u64,
            /// The version that the engine reported for these bytes.
            version: Option<id::Version>,
            /// The bytes.
            bytes: Bytes,
        },
        /// The whole answer was sent.
        End {
            /// The attempt.
            attempt: id::Attempt,
            /// The bytes of the whole answer.
            length: u64,
            /// The versions that the engine reported for the tokens.
            versions: BTreeSet<id::Version>,
            /// The cost.
            usage: Usage,
            /// The server's load.
            load: Load,
        },
        /// No whole answer will come.
        Failed {
            /// The attempt.
            attempt: id::Attempt,
            /// How it ended.
            failure: Failure,
            /// The cost until then.
            usage: Usage,
            /// The server's load.
            load: Load,
        },
    }
}

impl Frame {
    /// The attempt that the frame belongs to.
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
        /// The life of the agent that it was dispatched to.
        pub agent: id::Incarnation,
    }
}

plain! {
    /// The answer to [`Revoke`].
    #[serde(deny_unknown_fields)]
    pub struct Revoked {
        /// The attempt.
        pub attempt: id::Attempt,
        /// Whether it is proved that it did not run and will not.
        pub not_run: bool,
    }
}

plain! {
    /// A server's load, valid for a while after it was taken.
    #[serde_as]
    #[derive(Copy)]
    #[serde(deny_unknown_fields)]
    pub struct Load {
        /// Attempts that run.
        pub running: u32,
        /// Attempts that wait.
        pub queued: u32,
        /// Of those that run or wait, the ones of class training: others go before them.
        pub training: u32,
        /// Attempts that may run at a time.
        pub limit: u32,
        /// The mean time that an attempt runs.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        pub service: Duration,
        /// How long the report may be used.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        pub valid: Duration,
        /// Whether the server takes no new work.
        pub leaving: bool,
        /// Whether the backend server is up.
        pub up: bool,
    }
}

plain! {
    /// A request's content that was in flight when servers crashed.
    #[serde_as]
    #[serde(deny_unknown_fields)]
    pub struct Suspect {
        /// The digest of the content.
        pub fingerprint: id::Fingerprint,
        /// The crashes: the host and the count of its crashes then.
        pub crashes: BTreeSet<(id::Host, u64)>,
        /// Whether one of them happened while it ran alone.
        pub alone: bool,
        /// How long the suspicion lasts.
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
        /// Whether the host list says that the agent's host is leaving.
        pub leaving: bool,
        /// Suspects that the entry knows.
        pub suspects: Vec<Suspect>,
    }
}

plain! {
    /// The answer to [`Hello`].
    #[serde(deny_unknown_fields)]
    pub struct Report {
        /// The agent.
        pub sender: Sender,
        /// The load.
        pub load: Load,
        /// The version loaded for each model, as the engine reports it.
        pub versions: BTreeMap<id::Object, id::Version>,
        /// Suspects that the agent knows.
        pub suspects: Vec<Suspect>,
    }
}

plain! {
    /// A command to load a version.
    #[serde(deny_unknown_fields)]
    pub struct LoadCommand {
        /// The fencing number of the rollout's owner.
        pub fence: id::Fence,
        /// The model.
        pub model: id::Object,
        /// The version to load.
        pub version: id::Version,
        /// Where from: a peer agent's host, or the weight store.
        pub source: Option<Host>,
    }
}

plain! {
    /// How a load command ended.
    #[serde(deny_unknown_fields, rename_all = "kebab-case")]
    pub enum LoadOutcome {
        /// The engine reports the version.
        Loaded(id::Version),
        /// The engine still reports this version, or none.
        Failed(Option<id::Version>),
        /// The command carried an old fencing number; this is the highest known.
        Fenced(id::Fence),
        /// Another load command is in progress, or the fencing number is not yet known.
        Busy,
    }
}

plain! {
    /// How new the sender's configuration and host list are, so that whoever is behind pulls.
    #[serde(deny_unknown_fields)]
    pub struct Gossip {
        /// The sender.
        pub sender: Sender,
        /// Where it listens.
        pub address: SocketAddr,
        /// The revision of its host list.
        pub hosts: id::Revision,
        /// Whether it serves, so that its generation counts for a starting process.
        pub ready: bool,
    }
}

plain! {
    /// Every message, for drivers that carry all of them over one queue.
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
        /// See [`LoadOutcome`], with the host that responds.
        Ordered(id::Host, LoadOutcome),
        /// See [`Gossip`].
        Gossip(Gossip),
        /// Asks for what is newer than what the sender has.
        Pull(Gossip),
        /// A snapshot.
        Config(Gossip, Arc<Snapshot>),
        /// A host list.
        Hosts(Gossip, Vec<Host>),
    }
}
