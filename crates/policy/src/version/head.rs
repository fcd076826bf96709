//! The stored form of a configuration in the platform.
//!
//! The objects of a generation are written first, split into parts below the platform's size
//! limit, under keys that no other writer uses. A conditional update of the head object then
//! accepts them.

use tamaracksail_model::config::{Objects, Snapshot};
use tamaracksail_model::id::{Generation, Nonce};
use tamaracksail_model::object::{Key, Spec};
use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;

use crate::store;

/// The key of the head object, which names the generation in force.
pub const HEAD_KEY: &str = "config/head";

/// The number of accepted changes that the head keeps.
const MAX_HISTORY: usize = 50;

/// The encoded size in bytes at which a part is complete and the next one starts.
const TARGET_PART_BYTES: usize = store::MAX_VALUE_BYTES / 2;

plain! {
    /// An accepted change of the configuration.
    pub struct AcceptedChange {
        /// The generation that the change created.
        pub generation: Generation,
        /// A nonce by which the publisher recognises its own change.
        pub change: Nonce,
        /// The prefix of the keys of its parts.
        pub prefix: Nonce,
        /// The author of the change.
        pub author: String,
        /// When the publisher wrote the change.
        pub at: Instant,
        /// The keys of the changed objects.
        pub objects: Vec<Key>,
        /// The number of parts that hold all objects of the generation.
        pub parts: u32,
    }
}

plain! {
    /// The value of the head object.
    #[derive(Default)]
    pub struct Head {
        /// The most recent accepted changes, oldest first.
        pub history: Vec<AcceptedChange>,
    }
}

impl Head {
    /// Returns the newest accepted change, whose generation is in force.
    #[must_use]
    pub fn current(&self) -> Option<&AcceptedChange> {
        self.history.last()
    }

    /// Returns the generation in force, or zero before the first change.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.current()
            .map_or(Generation(0), |accepted| accepted.generation)
    }

    /// Returns the change that created `generation`, if the history still has it.
    #[must_use]
    pub fn find(&self, generation: Generation) -> Option<&AcceptedChange> {
        self.history
            .iter()
            .find(|accepted| accepted.generation == generation)
    }

    /// Appends a change and removes the oldest ones beyond the limit.
    pub fn push(&mut self, accepted: AcceptedChange) {
        self.history.push(accepted);
        let excess = self.history.len().saturating_sub(MAX_HISTORY);
        self.history.drain(..excess);
    }
}

impl AcceptedChange {
    /// Returns the key of the part with the given index.
    #[must_use]
    pub fn part_key(&self, index: u32) -> String {
        format!("config/{:x}/{index}", self.prefix.0)
    }
}

/// Encodes objects into the values of one or more parts.
#[must_use]
pub fn encode_parts(objects: &Objects) -> Vec<Vec<u8>> {
    let mut parts = Vec::new();
    let mut part: Vec<(&Key, &Spec)> = Vec::new();
    let mut size = 0;
    for entry in objects {
        size += store::encode(&entry).len();
        part.push(entry);
        if size >= TARGET_PART_BYTES {
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

/// Decodes the values of all parts of a generation.
///
/// # Errors
/// Returns an error if a part cannot be decoded.
pub fn decode_parts(generation: Generation, parts: &[Vec<u8>]) -> Result<Snapshot, store::Error> {
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
