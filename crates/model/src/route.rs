//! What an operator declares about requests: which service answers a path, and how.

use std::time::Duration;

key! {
    /// What may be repeated.
    pub enum Kind {
        /// A request that may run more than once.
        Idempotent,
        /// A request that may run at most once.
        Once,
        /// A response in events. It may run again only by resumption.
        Stream,
        /// A set of items that is accepted at once and run later.
        Batch,
    }
}

plain! {
    /// A service that answers a route, with its share.
    pub struct Target {
        /// The service's name.
        pub service: String,
        /// Its share among the targets of the route.
        pub weight: u32,
    }
}

plain! {
    /// How a batch of a route runs.
    pub struct Batching {
        /// The time after its submission at which an item may be given up.
        pub patience: Duration,
        /// The time after its submission at which all results are due.
        pub due: Duration,
        /// Whether each text must come from one version of the weights.
        pub is_single_version: bool,
    }
}

plain! {
    /// One route.
    pub struct Route {
        /// Its name.
        pub name: String,
        /// The host name that clients ask for.
        pub host: String,
        /// The start of the paths that it answers. Begins and ends with a slash.
        pub prefix: String,
        /// What may be repeated.
        pub kind: Kind,
        /// The longest time that a request may be kept waiting.
        pub timeout: Duration,
        /// The time within which a response earns its full credit.
        pub objective: Duration,
        /// Its rank; 0 goes first.
        pub priority: u8,
        /// The services that answer.
        pub targets: Vec<Target>,
        /// The most backend servers that one client attempt may reach.
        pub max_attempts: u32,
        /// How a batch runs. Only on routes of [`Kind::Batch`].
        pub batching: Option<Batching>,
        /// Whether a stream may go on at another backend server.
        pub is_resumable: bool,
    }
}

plain! {
    /// What a client may send.
    pub struct Limits {
        /// The longest body, in bytes.
        pub body_bytes: usize,
        /// The longest head, in bytes.
        pub header_bytes: usize,
        /// How long a client may take to send a head.
        pub header_timeout: Duration,
        /// How long a client may leave a connection idle.
        pub idle_timeout: Duration,
    }
}
