//! The software versions that began streams.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tamaracksail_model::time::Instant;

/// How long the origin of a stream is kept. A client takes a stream up within its own time limit.
const RETENTION: Duration = Duration::from_mins(1);

/// The number of origins that are kept.
const MAX_ORIGINS: usize = 1 << 16;

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The service.
    pub service: String,
    /// The version of the server's software.
    pub software: String,
}

#[derive(Clone, Debug)]
struct Entry {
    origin: Origin,
    /// Whether the stream began at this gateway and no other knows of it.
    is_unshared: bool,
}

/// The origins of streams, by the id of the client attempt that brought the first event.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    entries: BTreeMap<String, Entry>,
    /// The ids, oldest first.
    by_age: VecDeque<(Instant, String)>,
}

impl Origins {
    /// Keeps the origin of a stream that began at this gateway.
    pub fn begin(&mut self, now: Instant, attempt: &str, origin: Origin) {
        let is_unshared = true;
        self.insert(now, attempt, origin, is_unshared);
    }

    /// Keeps the origin of a stream that began at another gateway.
    pub fn copy(&mut self, now: Instant, attempt: &str, origin: Origin) {
        let is_unshared = false;
        self.insert(now, attempt, origin, is_unshared);
    }

    /// Returns where a stream began.
    #[must_use]
    pub fn get(&self, attempt: &str) -> Option<&Origin> {
        Some(&self.entries.get(attempt)?.origin)
    }

    /// Returns the streams of `service` that began at this gateway and that no other knows of. They
    /// count as shared from then on.
    pub fn take_unshared(&mut self, service: &str) -> Vec<(String, Origin)> {
        let unshared = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| entry.is_unshared && entry.origin.service == service);
        unshared
            .map(|(attempt, entry)| {
                entry.is_unshared = false;
                (attempt.clone(), entry.origin.clone())
            })
            .collect()
    }

    fn insert(&mut self, now: Instant, attempt: &str, origin: Origin, is_unshared: bool) {
        while let Some((at, _)) = self.by_age.front()
            && (now.since(*at) >= RETENTION || self.by_age.len() >= MAX_ORIGINS)
        {
            if let Some((_, expired)) = self.by_age.pop_front() {
                self.entries.remove(&expired);
            }
        }
        let entry = Entry {
            origin,
            is_unshared,
        };
        if self.entries.insert(attempt.to_owned(), entry).is_none() {
            self.by_age.push_back((now, attempt.to_owned()));
        }
    }
}
