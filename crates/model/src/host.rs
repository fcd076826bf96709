//! The entries of the platform's host list.

use std::net::SocketAddr;

use crate::id;

key! {
    /// What a host runs for the system.
    #[serde(rename_all = "kebab-case")]
    pub enum Role {
        /// An entry host.
        Entry,
        /// A backend server host, reached through its agent.
        Agent,
        /// A host with a disk for sample payloads.
        Shelf,
    }
}

key! {
    /// Whether a host takes part.
    #[serde(rename_all = "kebab-case")]
    pub enum Phase {
        /// In service.
        Live,
        /// About to leave: no new work.
        Leaving,
    }
}

plain! {
    /// One host of the list.
    pub struct Host {
        /// The host's name.
        pub name: id::Host,
        /// What it runs.
        pub role: Role,
        /// Where its process listens.
        pub address: SocketAddr,
        /// The failure domain it stands in.
        pub domain: id::Domain,
        /// The pool or service that its backend server belongs to, for agents.
        #[serde(default)]
        pub serves: Option<id::Object>,
        /// Whether it takes part.
        pub phase: Phase,
    }
}
