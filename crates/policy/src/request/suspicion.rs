//! Requests whose content was in flight when servers crashed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tamaracksail_model::id;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::Suspect;

/// How long a suspicion lasts after its latest crash.
const LIFETIME: Duration = Duration::from_mins(10);

/// The crashes after which a request runs alone.
const ALONE_AFTER: usize = 2;

/// The most suspects that a table holds; the oldest leave first.
const MAX_SUSPECTS: usize = 1024;

/// How a request's content may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Beside others.
    Free,
    /// On a server with nothing else in flight.
    Alone,
    /// Not at all.
    Refused,
}

#[derive(Clone, Debug)]
struct Entry {
    crashes: BTreeSet<(id::Host, u64)>,
    alone: bool,
    expires: Instant,
}

/// The suspects that a process knows.
///
/// Merging is a union of crashes, so reports may arrive late, twice and in any order.
#[derive(Clone, Debug, Default)]
pub struct Suspicion {
    entries: BTreeMap<id::Fingerprint, Entry>,
}

impl Suspicion {
    /// Records a crash of `host`, its `count`th, with this content in flight.
    pub fn record(
        &mut self,
        now: Instant,
        fingerprint: id::Fingerprint,
        crash: (id::Host, u64),
        alone: bool,
    ) {
        let crashes = BTreeSet::from([crash]);
        self.merge(
            now,
            &Suspect {
                fingerprint,
                crashes,
                alone,
                valid: LIFETIME,
            },
        );
    }

    /// Takes over what a peer knows.
    pub fn merge(&mut self, now: Instant, suspect: &Suspect) {
        self.expire(now);
        let expires = now.after(suspect.valid.min(LIFETIME));
        let entry = self
            .entries
            .entry(suspect.fingerprint)
            .or_insert_with(|| Entry {
                crashes: BTreeSet::new(),
                alone: false,
                expires,
            });
        entry.crashes.extend(suspect.crashes.iter().cloned());
        entry.alone |= suspect.alone;
        entry.expires = entry.expires.max(expires);
        if self.entries.len() > MAX_SUSPECTS {
            self.drop_oldest();
        }
    }

    /// How content may run.
    #[must_use]
    pub fn verdict(&self, now: Instant, fingerprint: id::Fingerprint) -> Verdict {
        match self.entries.get(&fingerprint) {
            Some(entry) if entry.expires <= now => Verdict::Free,
            Some(entry) if entry.alone => Verdict::Refused,
            Some(entry) if entry.crashes.len() >= ALONE_AFTER => Verdict::Alone,
            _ => Verdict::Free,
        }
    }

    /// Forgets content that ran to its end alone: it did not cause the crashes.
    pub fn clear(&mut self, fingerprint: id::Fingerprint) {
        self.entries.remove(&fingerprint);
    }

    /// What to tell peers.
    #[must_use]
    pub fn report(&self, now: Instant) -> Vec<Suspect> {
        let valid = self.entries.iter().filter(|(_, entry)| entry.expires > now);
        let suspects = valid.map(|(fingerprint, entry)| Suspect {
            fingerprint: *fingerprint,
            crashes: entry.crashes.clone(),
            alone: entry.alone,
            valid: entry.expires.since(now),
        });
        suspects.collect()
    }

    fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, entry| entry.expires > now);
    }

    fn drop_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.expires);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&fingerprint);
        }
    }
}
