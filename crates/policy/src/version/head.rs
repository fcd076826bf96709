//! How a configuration is stored in the platform.
//!
//! The objects of a generation are written first, in parts under the platform's size limit and
//! under names that nobody else uses. One conditional update of the head then accepts them.

use tamaracksail_model::config::{Objects, Snapshot};
use tamaracksail_model::id::{Generation, Nonce};
use tamaracksail_model::object::{Key, Spec};
use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;

use crate::store;

/// The object that names the generation in force.
pub const HEAD: &str = "config/head";

/// Accepted changes that the head lists.
const HISTORY: usize = 50;

/// The size at which a part is closed, in bytes.
const PART_BYTES: usize = store::MAX_VALUE_BYTES / 2;

plain! {
    /// One accepted change.
    pub struct Accepted {
        /// The generation that it made.
        pub generation: Generation,
        /// By which its author recognises it.
        pub change: Nonce,
        /// The name under which its parts are stored.
        pub prefix: Nonce,
        /// Who made it.
        pub author: String,
        /// When.
        pub at: Instant,
        /// The objects it touched.
        pub objects: Vec<Key>,
        /// The parts that hold the whole set.
        pub parts: u32,
    }
}

plain! {
    /// The value of the head object: accepted changes, the newest last.
    #[derive(Default)]
    pub struct Head {
        /// The changes; older ones are dropped.
        pub history: Vec<Accepted>,
    }
}

impl Head {
    /// The change in force.
    #[must_use]
    pub fn current(&self) -> Option<&Accepted> {
        self.history.last()
    }

    /// The generation in force; zero before the first change.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.current()
            .map_or(Generation(0), |accepted| accepted.generation)
    }

    /// The change that made `generation`, while it is listed.
    #[must_use]
    pub fn find(&self, generation: Generation) -> Option<&Accepted> {
        self.history
            .iter()
            .find(|accepted| accepted.generation == generation)
    }

    /// Adds a change, dropping the oldest beyond the limit.
    pub fn push(&mut self, accepted: Accepted) {
        self.history.push(accepted);
        let excess = self.history.len().saturating_sub(HISTORY);
        self.history.drain(..excess);
    }
}

impl Accepted {
    /// The name of one of its parts.
    #[must_use]
    pub fn part(&self, index: u32) -> String {
        format!("config/{:x}/{index}", self.prefix.0)
    }
}

/// Splits objects into the values of parts; at least one.
#[must_use]
pub fn split(objects: &Objects) -> Vec<Vec<u8>> {
    let mut parts = Vec::new();
    let mut part: Vec<(&Key, &Spec)> = Vec::new();
    let mut size = 0;
    for entry in objects {
        size += store::encode(&entry).len();
        part.push(entry);
        if size >= PART_BYTES {
            parts.push(store::encode(&part));
            part.clear();
            size = 0;
        }
    }
    if !part.is_empty() || parts.is_empty() {
        parts.push(store::encode(&part));
    }
    parts
}

/// Joins the values of all parts.
///
/// # Errors
/// If a part cannot be read.
pub fn join(generation: Generation, parts: &[Vec<u8>]) -> Result<Snapshot, store::Error> {
    let mut objects = Objects::new();
    for part in parts {
        let entries: Vec<(Key, Spec)> = store::decode("config part", part)?;
        objects.extend(entries);
    }
    Ok(Snapshot {
        generation,
        objects,
    })
}
