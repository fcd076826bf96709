//! What a process that schedules has in memory of each batch, and whether the batch has ended.
//!
//! The acceptance of a batch, the watch of manifests, loads from the store, reads by clients, ends and
//! removals meet in any order. Each goes through [`Register`], so that an end holds whatever comes after
//! it.

use std::collections::BTreeMap;

/// What is known of a batch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage<K> {
    /// Nothing but that it is being loaded.
    #[default]
    Unknown,
    /// It is scheduled under this key.
    Open(K),
    /// Its client has ended it.
    Ended,
    /// It was removed from the store while it was being loaded.
    Removed,
}

#[derive(Clone, Debug)]
struct Entry<K, L> {
    stage: Stage<K>,
    log: Option<L>,
    /// The number of loads in progress.
    loads: usize,
}

impl<K, L> Default for Entry<K, L> {
    fn default() -> Self {
        Self {
            stage: Stage::Unknown,
            log: None,
            loads: 0,
        }
    }
}

/// The batches of one process, with the scheduler's keys `K` and the logs of results `L`.
///
/// | call | not known | open | ended | removed |
/// |---|---|---|---|---|
/// | [`Self::open`] | opens it | refused | refused | refused |
/// | [`Self::end`] | ends it | ends it, returns its key | - | - |
/// | [`Self::restore`] | ends it, keeps the log | ends it, returns its key | keeps the log if there is none | refused |
/// | [`Self::forget`] | removes it | removes it, returns its key | removes it | - |
#[derive(Clone, Debug)]
pub struct Register<K, L> {
    entries: BTreeMap<String, Entry<K, L>>,
    open: BTreeMap<K, String>,
}

impl<K, L> Default for Register<K, L> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            open: BTreeMap::new(),
        }
    }
}

impl<K: Copy + Ord, L> Register<K, L> {
    /// Whether a batch may be opened: it is neither open, nor ended or removed as far as is known.
    #[must_use]
    pub fn may_open(&self, id: &str) -> bool {
        let entry = self.entries.get(id);
        entry.is_none_or(|entry| matches!(entry.stage, Stage::Unknown))
    }

    /// Opens a batch, unless [`Self::may_open`] is false, with the key and the log that `add` returns.
    /// Returns whether it was opened.
    pub fn open(&mut self, id: &str, add: impl FnOnce() -> (K, L)) -> bool {
        if !self.may_open(id) {
            return false;
        }
        let (key, log) = add();
        let entry = self.entries.entry(id.to_owned()).or_default();
        entry.stage = Stage::Open(key);
        entry.log = Some(log);
        self.open.insert(key, id.to_owned());
        true
    }

    /// Records that a batch has ended. Returns its key if it was open: the caller ends it in the
    /// scheduler.
    pub fn end(&mut self, id: &str) -> Option<K> {
        let entry = self.entries.entry(id.to_owned()).or_default();
        let key = match entry.stage {
            Stage::Open(key) => Some(key),
            Stage::Unknown => None,
            Stage::Ended | Stage::Removed => return None,
        };
        entry.stage = Stage::Ended;
        key.inspect(|key| drop(self.open.remove(key)))
    }

    /// Adds the log of an ended batch that was read from the store, unless there is one: that one may
    /// be ahead, and a write may be in progress for it. Returns the batch's key if it was open, as
    /// [`Self::end`].
    pub fn restore(&mut self, id: &str, log: L) -> Option<K> {
        let key = self.end(id);
        if let Some(entry) = self.entries.get_mut(id)
            && matches!(entry.stage, Stage::Ended)
        {
            entry.log.get_or_insert(log);
        }
        key
    }

    /// Removes a batch that was removed from the store. One that is being loaded cannot be opened
    /// until its loads have ended. Returns its key if it was open, as [`Self::end`].
    pub fn forget(&mut self, id: &str) -> Option<K> {
        let key = self.end(id);
        if let Some(entry) = self.entries.get_mut(id) {
            entry.stage = Stage::Removed;
            entry.log = None;
        }
        self.drop_unused(id);
        key
    }

    /// Records that a load of a batch from the store begins.
    pub fn begin_load(&mut self, id: &str) {
        self.entries.entry(id.to_owned()).or_default().loads += 1;
    }

    /// Records that a load of a batch has ended.
    pub fn end_load(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.loads = entry.loads.saturating_sub(1);
        }
        self.drop_unused(id);
    }

    /// Removes an entry that says nothing.
    fn drop_unused(&mut self, id: &str) {
        let is_unused = |entry: &Entry<K, L>| {
            entry.loads == 0 && matches!(entry.stage, Stage::Unknown | Stage::Removed)
        };
        if self.entries.get(id).is_some_and(is_unused) {
            self.entries.remove(id);
        }
    }

    /// Removes the log of a batch from memory. Reads of the batch go to the store.
    pub fn drop_log(&mut self, id: &str) -> Option<L> {
        self.entries.get_mut(id)?.log.take()
    }

    /// Removes all batches, as at the end of a term, and returns their logs. Loads in progress are
    /// still counted.
    pub fn clear(&mut self) -> Vec<L> {
        self.open.clear();
        let entries = std::mem::take(&mut self.entries);
        let mut logs = Vec::new();
        for (id, entry) in entries {
            logs.extend(entry.log);
            if entry.loads > 0 {
                let kept = self.entries.entry(id).or_default();
                kept.loads = entry.loads;
            }
        }
        logs
    }

    /// Returns the log of a batch.
    #[must_use]
    pub fn log(&self, id: &str) -> Option<&L> {
        self.entries.get(id)?.log.as_ref()
    }

    /// Returns the log of a batch.
    pub fn log_mut(&mut self, id: &str) -> Option<&mut L> {
        self.entries.get_mut(id)?.log.as_mut()
    }

    /// Returns all logs, with the ids of their batches and whether these are open.
    pub fn logs(&self) -> impl Iterator<Item = (&str, &L, bool)> {
        self.entries.iter().filter_map(|(id, entry)| {
            let is_open = matches!(entry.stage, Stage::Open(_));
            Some((id.as_str(), entry.log.as_ref()?, is_open))
        })
    }

    /// Whether a batch is open.
    #[must_use]
    pub fn is_open(&self, id: &str) -> bool {
        let stage = self.entries.get(id).map(|entry| entry.stage);
        matches!(stage, Some(Stage::Open(_)))
    }

    /// Returns the id of an open batch.
    #[must_use]
    pub fn id(&self, key: K) -> Option<&str> {
        self.open.get(&key).map(String::as_str)
    }

    /// Whether any batch is open.
    #[must_use]
    pub fn has_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// Returns the number of batches that take memory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no batch takes memory.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
