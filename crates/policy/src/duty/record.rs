//! The object in the store.

use std::net::SocketAddr;

use tamaracksail_model::plain;
use tamaracksail_model::usage::{Report, Window};

plain! {
    /// A process that may hold the duty.
    pub struct Holder {
        /// Its host.
        pub host: String,
        /// The address at which it accepts requests of its peers.
        pub address: SocketAddr,
        /// The incarnation of the process.
        pub incarnation: u64,
    }
}

plain! {
    /// The object in the store: who holds the duty, and which counts are fixed.
    pub struct Record {
        /// The holder.
        pub holder: Holder,
        /// The fencing token, which rises with each change of holder.
        pub fence: u64,
        /// The number of writes. Makes each renewal change the object, so that others notice it.
        pub writes: u64,
        /// The hosts of the last holders before this one, the latest first.
        pub previous: Vec<String>,
        /// The first window whose counts are not fixed.
        pub next: Window,
        /// Whether the holder leaves the duty to another candidate.
        #[serde(default)]
        pub is_released: bool,
        /// The reports that are fixed and were not confirmed when the object was written.
        pub fixed: Vec<Report>,
    }
}
