//! Routes: which service handles the requests for a path, and how.

use std::time::Duration;

key! {
    /// How often a request may run, and the form of its response.
    pub enum Kind {
        /// A request that may run more than once.
        Idempotent,
        /// A request that may run at most once.
        Once,
        /// A request whose response is a stream of events. It runs again only to resume the stream.
        Stream,
        /// A set of items that are accepted together and run later.
        Batch,
    }
}

plain! {
    /// A service that handles requests of a route.
    pub struct Target {
        /// The service's name.
        pub service: String,
        /// Its weight: its share of the requests relative to the other targets of the route.
        pub weight: u32,
    }
}

plain! {
    /// How a batch of a route runs.
    pub struct Batching {
        /// How long after its submission the batch expires.
        pub patience: Duration,
        /// How long after its submission all results are due.
        pub due: Duration,
        /// Whether each text must come from one version of the weights.
        pub is_single_version: bool,
    }
}

plain! {
    /// A route.
    pub struct Route {
        /// Its name.
        pub name: String,
        /// The host name in the requests.
        pub host: String,
        /// The prefix of the paths that it handles. Begins and ends with a slash.
        pub prefix: String,
        /// How often a request may run, and the form of its response.
        pub kind: Kind,
        /// The maximum time that a request may take.
        pub timeout: Duration,
        /// The latency objective: the time within which a response should be complete.
        pub objective: Duration,
        /// Its priority; 0 is the highest.
        pub priority: u8,
        /// The services that handle the requests.
        pub targets: Vec<Target>,
        /// The maximum number of backend servers to which one client attempt may be sent.
        pub max_attempts: u32,
        /// How a batch runs. Only on routes of [`Kind::Batch`].
        pub batching: Option<Batching>,
        /// Whether a stream may be resumed at another backend server.
        pub is_resumable: bool,
        /// Whether requests need no key although accounts are configured.
        pub is_open: bool,
    }
}

plain! {
    /// What is known of a service.
    pub struct ServiceSettings {
        /// The maximum number of connections to one of its servers.
        pub max_connections: usize,
        /// The path of health checks, if it has one.
        pub health_path: Option<String>,
    }
}

plain! {
    /// Limits on what a client may send.
    pub struct Limits {
        /// The maximum size of a body, in bytes.
        pub body_bytes: usize,
        /// The maximum size of a request head, in bytes.
        pub header_bytes: usize,
        /// How long a client may take to send a request head.
        pub header_timeout: Duration,
        /// How long a client may leave a connection idle.
        pub idle_timeout: Duration,
    }
}
