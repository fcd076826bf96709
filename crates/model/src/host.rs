//! Hosts on the platform's host list.

use std::net::SocketAddr;

use crate::id;

key! {
    /// What a host runs for the system.
    #[serde(rename_all = "kebab-case")]
    pub enum Role {
        /// An entry host.
        Entry,
        /// A host with a backend server, which is reached through an agent.
        Agent,
        /// A host that stores the payloads of samples on disk.
        Shelf,
    }
}

key! {
    /// Whether a host is in service.
    #[serde(rename_all = "kebab-case")]
    pub enum Phase {
        /// In service.
        Live,
        /// About to be removed: it accepts no new work.
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
        /// The address on which its process listens.
        pub address: SocketAddr,
        /// Its failure domain.
        pub domain: id::Domain,
        /// The pool or service that its backend server belongs to. Only for agents.
        #[serde(default)]
        pub serves: Option<id::Object>,
        /// Whether it is in service.
        pub phase: Phase,
    }
}
