//! Registrations of backend servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

key! {
    /// Whether a backend server accepts requests.
    pub enum State {
        /// It accepts requests.
        Ready,
        /// It finishes its requests and then stops.
        Draining,
    }
}

plain! {
    /// A record in service discovery: one process start of one backend server.
    pub struct Registration {
        /// The server's instance id. A restarted server mostly has a new one.
        pub instance: String,
        /// When the server's process started, in milliseconds since the Unix epoch, if it states
        /// it.
        #[serde(rename = "born")]
        pub started_at_ms: Option<u64>,
        /// The service that it belongs to.
        pub service: String,
        /// The version of its software. A stream may only continue at a server with the version of
        /// the one that began it.
        pub software: String,
        /// The address on which it listens.
        pub address: SocketAddr,
        /// Its failure domain.
        pub domain: String,
        /// The number of requests that it can run at once.
        pub slots: u32,
        /// Whether it accepts requests.
        pub state: State,
        /// The version of the loaded weights of each model.
        pub models: BTreeMap<String, u64>,
    }
}

impl Registration {
    /// Whether this and `other`, two records of one server, describe the same process.
    #[must_use]
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.started_at_ms == other.started_at_ms
            && self.address == other.address
            && self.software == other.software
    }
}
