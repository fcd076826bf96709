//! The status and costs that an entry writes to the platform, each as one object, at a low rate.

use std::collections::BTreeMap;

use tamaracksail_model::id;
use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;

use crate::entry::Counters;

/// Microseconds per day.
const MICROS_PER_DAY: u64 = 24 * 60 * 60 * 1_000_000;

plain! {
    /// An entry's view of a backend server.
    pub struct Server {
        /// The host that it runs on.
        pub host: id::Host,
        /// Whether the entry sends new requests to it.
        pub is_eligible: bool,
        /// The number of this entry's attempts that run on it.
        pub running: u32,
        /// The loaded weight version of each model.
        pub versions: BTreeMap<id::Object, id::Version>,
    }
}

plain! {
    /// The status of an entry.
    pub struct Status {
        /// The host.
        pub host: id::Host,
        /// The incarnation of its process.
        pub incarnation: id::Incarnation,
        /// When the status was written.
        pub at: Instant,
        /// The configuration generation in force.
        pub generation: id::Generation,
        /// Its counters.
        pub counters: Counters,
        /// The servers that it connects to.
        pub servers: Vec<Server>,
    }
}

/// Returns the number of whole days from the Unix epoch to `now`.
#[must_use]
pub fn days_since_epoch(now: Instant) -> u64 {
    now.0 / MICROS_PER_DAY
}

/// Returns the key of the object that holds an entry's status.
#[must_use]
pub fn status_key(host: &id::Host) -> String {
    format!("status/{host}")
}

/// Returns the key prefix of all cost objects of a day.
#[must_use]
pub fn cost_prefix(day: u64) -> String {
    format!("cost/{day}/")
}

/// Returns the key of the object that holds the costs of one process on one day.
#[must_use]
pub fn cost_key(day: u64, host: &id::Host, incarnation: id::Incarnation) -> String {
    format!("cost/{day}/{host}/{}", incarnation.0)
}
