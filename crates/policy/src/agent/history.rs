//! What an agent remembers of the attempts it has received, so that none is started twice.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tamaracksail_model::id;
use tamaracksail_model::time::Instant;

/// The most attempts remembered for each entry process.
const MAX_ATTEMPTS_PER_ENTRY: usize = 4096;

/// How long an entry may be silent before all of its attempts are forgotten.
const ENTRY_IDLE_TIMEOUT: Duration = Duration::from_hours(1);

/// What is remembered of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Record {
    /// The attempt was started.
    Started,
    /// The attempt was refused or revoked before it was started, and must not be started.
    NeverStarted,
    /// The record was removed: the attempt may have been started, and must not be started now.
    Forgotten,
}

/// The attempts of one entry process.
#[derive(Clone, Debug, Default)]
struct EntryHistory {
    records: BTreeMap<u64, Record>,
    /// The records of attempts with lower numbers were removed.
    lowest_known: u64,
    last_heard: Instant,
}

/// The attempts of all entries.
///
/// Invariant: once an attempt has a record, [`AttemptHistory::get`] never reports it as new.
#[derive(Clone, Debug, Default)]
pub(super) struct AttemptHistory {
    entries: BTreeMap<id::Incarnation, EntryHistory>,
    /// Entry processes whose attempts were all forgotten. An incarnation is never used again.
    expired_entries: BTreeSet<id::Incarnation>,
}

impl AttemptHistory {
    /// Returns what is remembered of an attempt, or `None` if the attempt is new.
    pub(super) fn get(&self, attempt: id::Attempt) -> Option<Record> {
        if self.expired_entries.contains(&attempt.entry) {
            return Some(Record::Forgotten);
        }
        let entry = self.entries.get(&attempt.entry)?;
        if attempt.number < entry.lowest_known {
            return Some(Record::Forgotten);
        }
        entry.records.get(&attempt.number).copied()
    }

    /// Adds or replaces the record of an attempt.
    pub(super) fn record(&mut self, now: Instant, attempt: id::Attempt, record: Record) {
        let entry = self.entries.entry(attempt.entry).or_default();
        entry.last_heard = now;
        entry.records.insert(attempt.number, record);
        if entry.records.len() > MAX_ATTEMPTS_PER_ENTRY
            && let Some((lowest, _)) = entry.records.pop_first()
        {
            entry.lowest_known = lowest + 1;
        }
    }

    /// Forgets the attempts of entries that have been silent for [`ENTRY_IDLE_TIMEOUT`].
    pub(super) fn expire(&mut self, now: Instant) {
        let expired = self
            .entries
            .iter()
            .filter(|(_, entry)| now.since(entry.last_heard) >= ENTRY_IDLE_TIMEOUT);
        let expired: Vec<id::Incarnation> = expired.map(|(id, _)| *id).collect();
        for entry in expired {
            self.entries.remove(&entry);
            self.expired_entries.insert(entry);
        }
    }
}
