//! Messages between gateways.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde_with::DurationMilliSeconds;
use tamaracksail_model::account::Caller;
use tamaracksail_model::batch::{ItemResult, PartialText};
use tamaracksail_model::carried::Carried;
use tamaracksail_model::plain;
use tamaracksail_model::rate::Rate;
use tamaracksail_model::usage::{Report, Window};

plain! {
    /// What a backend server stated about its request limit.
    #[serde_as]
    pub struct ServerLimit {
        /// The server's instance id.
        pub instance: String,
        /// When the server's process started, in milliseconds since the Unix epoch, if it states it.
        pub started_at_ms: Option<u64>,
        /// The limit; `None` if the server states none any more.
        pub limit: Option<Rate>,
        /// How long ago the server stated it.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        pub age_ms: Duration,
    }
}

plain! {
    /// Permits for requests to a backend server.
    #[serde_as]
    pub struct Permits {
        /// The position of the server in the request.
        pub server: usize,
        /// The number of requests.
        pub count: u32,
        /// The time until the permits become valid.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        pub delay_ms: Duration,
    }
}

plain! {
    /// Where a stream began.
    pub struct StreamOrigin {
        /// The id of the client attempt that brought the first event.
        pub attempt: String,
        /// The service.
        pub service: String,
        /// The version of the server's software.
        pub software: String,
    }
}

plain! {
    /// The true time as the sender of a message estimates it.
    #[serde_as]
    pub struct PeerTime {
        /// The sender's host.
        pub host: String,
        /// The time when the message was sent, in milliseconds since the Unix epoch.
        pub unix_ms: u64,
        /// For a response, how long after the arrival of the request it was sent.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        pub held_ms: Duration,
    }
}

plain! {
    /// The text of a configuration, in which keys are replaced by their digests.
    pub struct Configuration {
        /// The store's revision of the object.
        pub revision: u64,
        /// The text.
        pub text: String,
    }
}

plain! {
    /// A request to another gateway, the peer.
    pub enum Request {
        /// Asks whether the peer holds the scheduling lease under a fencing token. The response
        /// waits a while for a change.
        Holding {
            /// The fencing token.
            fence: u64,
            /// The address at which peers reach the sender.
            #[serde(rename = "asker")]
            sender: SocketAddr,
            /// Whether the sender has enough spare CPU time to schedule.
            #[serde(rename = "is_strong")]
            has_spare_cpu: bool,
            /// The sender's time, if it is known.
            #[serde(default)]
            time: Option<PeerTime>,
        },
        /// Asks a lease holder that cannot reach the store to stop scheduling.
        Yield {
            /// The fencing token under which the peer holds the lease.
            fence: u64,
            /// The address of the gateway that will take the lease.
            successor: SocketAddr,
        },
        /// Asks the peer to store a batch, from a gateway that cannot reach the store.
        Keep {
            /// The batch's id.
            batch: String,
            /// The host name of the client's request.
            host: String,
            /// The path of the submission.
            path: String,
            /// The prefix of the route under which the sender accepted the batch.
            #[serde(default)]
            prefix: Option<String>,
            /// The name of the client's account, if it has one.
            account: Option<String>,
            /// The body of the submission as the client sent it.
            body: Bytes,
            /// How long the client still waits, in milliseconds.
            limit_ms: u64,
            /// The version of the routes under which the sender accepted the batch.
            #[serde(default)]
            routes_version: u64,
        },
        /// Tells the peer, which schedules, that a batch was accepted.
        Accepted {
            /// The batch's id.
            batch: String,
        },
        /// Asks the peer to end a batch, from a gateway that cannot reach the store.
        End {
            /// The client.
            caller: Caller,
            /// The batch's id.
            batch: String,
        },
        /// Asks for results of a batch that the peer schedules.
        Results {
            /// The client.
            caller: Caller,
            /// The batch's id.
            batch: String,
            /// The first position wanted.
            from: usize,
            /// How long the response may wait for a result, in milliseconds.
            wait_ms: u64,
        },
        /// Asks for the body of an item of a batch that the peer schedules or has in memory.
        Item {
            /// The client.
            caller: Caller,
            /// The batch's id.
            batch: String,
            /// The item's id.
            item: String,
        },
        /// Asks a peer that has stopped scheduling for the partial texts of unfinished items.
        /// Several concurrent requests, each for one part, transfer them faster than one long
        /// response.
        Drafts {
            /// The number of the requested part, from 0.
            part: usize,
            /// The number of parts that the texts are split into.
            parts: usize,
        },
        /// Asks the lease holder for permits for requests to any of some backend servers.
        Permits {
            /// The address at which peers reach the sender.
            sender: SocketAddr,
            /// The servers, and what the sender knows of their limits.
            servers: Vec<ServerLimit>,
            /// The number of permits wanted. Zero only tells the peer of the limits.
            count: u32,
            /// How long the sender waits for a permit, in milliseconds.
            max_wait_ms: u64,
        },
        /// Asks the peer to keep copies of the origins of streams.
        KeepOrigins {
            /// The origins.
            origins: Vec<StreamOrigin>,
        },
        /// Asks for the origin of a stream.
        FindOrigin {
            /// The id of the client attempt that brought the first event.
            attempt: String,
        },
        /// Tells the peer the sender's usage counts, or only asks who reports usage.
        Usage {
            /// The incarnation of the sender's process.
            incarnation: u64,
            /// The sender's counts since its start, for windows in which they changed.
            reports: Vec<Report>,
        },
        /// Tells the peer who reports usage, and asks for all counts that it knows.
        PullUsage {
            /// The reporter.
            reporter: Reporter,
            /// The first window wanted.
            from: Window,
        },
        /// Asks for a newer configuration, from a gateway that the store does not serve.
        Configuration {
            /// The version that the sender uses.
            version: u64,
            /// How long ago the sender's version was confirmed to be the newest, in milliseconds.
            age_ms: Option<u64>,
        },
    }
}

plain! {
    /// The gateway that reports usage.
    pub struct Reporter {
        /// Its fencing token. The reporter with the highest is the current one.
        pub fence: u64,
        /// The address at which it accepts requests of its peers.
        pub address: SocketAddr,
    }
}

plain! {
    /// The usage counts of one process.
    pub struct ProcessUsage {
        /// The incarnation of the process.
        pub incarnation: u64,
        /// Its counts.
        pub reports: Vec<Report>,
    }
}

plain! {
    /// A revision that the platform's store had reached.
    pub struct StoreIndex {
        /// The revision. No change that was confirmed before has a higher one.
        pub revision: u64,
        /// When that was, in microseconds since the arrival of the request; negative for a time before it.
        pub since_arrival_us: i64,
    }
}

plain! {
    /// A response to a [`Request`].
    pub enum Response {
        /// The peer holds the lease.
        Holding {
            /// Whether the peer cannot reach the store.
            #[serde(rename = "is_cut")]
            is_store_unreachable: bool,
            /// The store's revision of the lease at the peer's last renewal.
            revision: u64,
            /// The peer's time, if it is known.
            #[serde(default)]
            time: Option<PeerTime>,
            /// A revision that the store had reached, if the peer knows one.
            #[serde(default)]
            index: Option<StoreIndex>,
        },
        /// The peer does not hold the lease and will not act under the fencing token again.
        Released {
            /// How long ago the peer sent its last load command, in milliseconds. A process that has
            /// sent none states its own age, since it may have sent one before a restart.
            order_age_ms: u64,
            /// The address of the gateway that the peer left the lease to, if any.
            successor: Option<SocketAddr>,
        },
        /// The batch or its end is stored, or copies of origins are kept.
        Kept,
        /// The batch is not stored and will not be, or its end is not stored.
        NotKept,
        /// Whether the batch is stored is unknown.
        Unclear,
        /// Results of a batch.
        Results {
            /// The number of items of the batch.
            total: usize,
            /// The results from the requested position on.
            results: Vec<ItemResult>,
        },
        /// The body of an item; none if the batch has no such item.
        Item {
            /// The item's body.
            body: Option<Bytes>,
        },
        /// The peer does not schedule the batch.
        Unknown,
        /// The batch belongs to another account than the client.
        Foreign,
        /// Partial texts of unfinished items.
        Drafts {
            /// Pairs of an item's id and its text so far.
            #[serde(rename = "drafts")]
            partial_texts: Vec<(Carried, PartialText)>,
            /// Groups that later batches may submit again.
            groups: Vec<Carried>,
        },
        /// Permits for requests to backend servers.
        Permits {
            /// The permits; none if the request is refused.
            permits: Vec<Permits>,
            /// When to ask again if the request is refused, in milliseconds.
            retry_after_ms: u64,
            /// What the peer knows of the servers in the request.
            servers: Vec<ServerLimit>,
            /// The number of gateways that ask for permits.
            gateways: u32,
        },
        /// The peer grants no permits.
        NotGranting,
        /// The origin of a stream; none if the peer does not know it.
        Origin {
            /// The origin.
            origin: Option<StreamOrigin>,
        },
        /// The peer has merged the sender's usage counts.
        Usage {
            /// The incarnation of the peer's process.
            incarnation: u64,
            /// Who reports usage, as far as the peer knows.
            reporter: Option<Reporter>,
        },
        /// All usage counts that the peer knows.
        UsageCounts {
            /// The counts by process, the peer's own included.
            processes: Vec<ProcessUsage>,
        },
        /// The peer's configuration.
        Configuration {
            /// The version that the peer uses; none if it has none or no accounts are configured.
            version: Option<u64>,
            /// How long ago it was confirmed to be the newest, in milliseconds.
            age_ms: Option<u64>,
            /// The configuration, if it is newer than the sender's.
            newer: Option<Configuration>,
        },
    }
}
