//! The settings of a follower.

use std::net::SocketAddr;

use tamaracksail_model::id;
use tamaracksail_model::plain;

plain! {
    /// A peer that a process knows from its settings.
    pub struct Seed {
        /// Its failure domain.
        pub domain: id::Domain,
        /// Where it listens.
        pub address: SocketAddr,
    }
}

plain! {
    /// The settings of a follower.
    pub struct Settings {
        /// Its host.
        pub host: id::Host,
        /// Its failure domain.
        pub domain: id::Domain,
        /// Where it listens.
        pub address: SocketAddr,
        /// The life of its process.
        pub incarnation: id::Incarnation,
        /// Peers to ask at the start, in as many failure domains as there are.
        pub seeds: Vec<Seed>,
        /// The seed of its choices.
        pub seed: u64,
    }
}
