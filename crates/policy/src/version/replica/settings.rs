//! The settings of a configuration replica.

use std::net::SocketAddr;

use tamaracksail_model::id;
use tamaracksail_model::plain;

plain! {
    /// A peer that is known from the settings.
    pub struct Seed {
        /// Its failure domain.
        pub domain: id::Domain,
        /// The address that it listens on.
        pub address: SocketAddr,
    }
}

plain! {
    /// The settings of a configuration replica.
    pub struct Settings {
        /// The host of this process.
        pub host: id::Host,
        /// The failure domain of this process.
        pub domain: id::Domain,
        /// The address that this process listens on.
        pub address: SocketAddr,
        /// The incarnation of this process.
        pub incarnation: id::Incarnation,
        /// The peers to contact at the start, in as many failure domains as there are.
        pub seeds: Vec<Seed>,
        /// The seed of the random generator.
        pub seed: u64,
    }
}
