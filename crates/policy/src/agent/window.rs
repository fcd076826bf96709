//! What an agent remembers of attempts that are over.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tamaracksail_model::id;
use tamaracksail_model::time::Instant;

/// Attempts remembered of each entry.
const MAX_ATTEMPTS: usize = 4096;

/// How long an entry may be silent before its attempts are forgotten.
const ENTRY_LIFETIME: Duration = Duration::from_hours(1);

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mark {
    /// It was started.
    Started,
    /// It was refused or revoked before it started, and must not start.
    NeverStarted,
    /// It was forgotten: it may have started, and must not start.
    Forgotten,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    marks: BTreeMap<u64, Mark>,
    /// Attempts below this number are forgotten.
    floor: u64,
    heard: Instant,
}

/// The attempts of all entries.
///
/// Invariant: an attempt that was ever marked is never unmarked, only forgotten.
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    entries: BTreeMap<id::Incarnation, Entry>,
    /// Lives of entries that were forgotten as a whole. They do not come back.
    closed: BTreeSet<id::Incarnation>,
}

impl Window {
    /// What is known of an attempt; `None`: it is new.
    pub(super) fn get(&self, attempt: id::Attempt) -> Option<Mark> {
        if self.closed.contains(&attempt.entry) {
            return Some(Mark::Forgotten);
        }
        let entry = self.entries.get(&attempt.entry)?;
        if attempt.number < entry.floor {
            return Some(Mark::Forgotten);
        }
        entry.marks.get(&attempt.number).copied()
    }

    /// Marks an attempt.
    pub(super) fn mark(&mut self, now: Instant, attempt: id::Attempt, mark: Mark) {
        let entry = self.entries.entry(attempt.entry).or_default();
        entry.heard = now;
        entry.marks.insert(attempt.number, mark);
        if entry.marks.len() > MAX_ATTEMPTS
            && let Some((lowest, _)) = entry.marks.pop_first()
        {
            entry.floor = lowest + 1;
        }
    }

    /// Forgets entries that have been silent for long.
    pub(super) fn expire(&mut self, now: Instant) {
        let old = self
            .entries
            .iter()
            .filter(|(_, e)| now.since(e.heard) >= ENTRY_LIFETIME);
        let old: Vec<id::Incarnation> = old.map(|(id, _)| *id).collect();
        for entry in old {
            self.entries.remove(&entry);
            self.closed.insert(entry);
        }
    }
}
