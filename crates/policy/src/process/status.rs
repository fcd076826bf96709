//! What an entry writes of itself to the platform: rarely, and in one object each.

use std::collections::BTreeMap;

use tamaracksail_model::id;
use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;

use crate::entry::Counters;

/// Microseconds of a day.
const DAY_MICROS: u64 = 24 * 60 * 60 * 1_000_000;

plain! {
    /// A backend server as an entry sees it.
    pub struct Server {
        /// The host.
        pub host: id::Host,
        /// Whether new work goes there.
        pub is_eligible: bool,
        /// Attempts that run there.
        pub running: u32,
        /// The versions loaded.
        pub versions: BTreeMap<id::Object, id::Version>,
    }
}

plain! {
    /// An entry's status.
    pub struct Status {
        /// The host.
        pub host: id::Host,
        /// The life of its process.
        pub incarnation: id::Incarnation,
        /// When it was written.
        pub at: Instant,
        /// The generation in force.
        pub generation: id::Generation,
        /// What it has counted.
        pub counters: Counters,
        /// The servers that it uses.
        pub servers: Vec<Server>,
    }
}

/// The day of an instant, counted since the Unix epoch.
#[must_use]
pub fn day(now: Instant) -> u64 {
    now.0 / DAY_MICROS
}

/// The object that holds an entry's status.
#[must_use]
pub fn status_key(host: &id::Host) -> String {
    format!("status/{host}")
}

/// The start of the names of a day's costs.
#[must_use]
pub fn cost_prefix(day: u64) -> String {
    format!("cost/{day}/")
}

/// The object that holds a process's costs of a day.
#[must_use]
pub fn cost_key(day: u64, host: &id::Host, incarnation: id::Incarnation) -> String {
    format!("cost/{day}/{host}/{}", incarnation.0)
}
