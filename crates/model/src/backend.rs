//! What a backend server says of itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;

key! {
    /// Whether a backend server takes work.
    pub enum State {
        /// It takes work.
        Ready,
        /// It finishes what it has and leaves.
        Draining,
    }
}

plain! {
    /// An entry of service discovery: one life of one backend server.
    pub struct Registration {
        /// Its id. A new life mostly has a new one.
        pub instance: String,
        /// When this life began, in milliseconds since the Unix epoch, where it says so.
        #[serde(rename = "born")]
        pub started_at_ms: Option<u64>,
        /// The service that it answers for.
        pub service: String,
        /// Where it listens.
        pub address: SocketAddr,
        /// Its failure domain.
        pub domain: String,
        /// How many requests it runs at once.
        pub slots: u32,
        /// Whether it takes work.
        pub state: State,
        /// The version of each model whose weights it holds.
        pub models: BTreeMap<String, u64>,
    }
}
