//! Requests that may crash servers: their content was in flight when a server crashed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tamaracksail_model::id;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::Suspect;

/// How long content remains suspect after the latest crash.
const SUSPECT_LIFETIME: Duration = Duration::from_mins(10);

/// The number of crashes after which a request runs alone.
const ALONE_AFTER_CRASHES: usize = 2;

/// The capacity of the table. Those that expire first are removed first.
const MAX_SUSPECTS: usize = 1024;

/// How a request with this content may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Beside other requests.
    Unrestricted,
    /// Only on a server with no other request in flight.
    Alone,
    /// Never, while the content is suspect.
    Refused,
}

#[derive(Clone, Debug)]
struct SuspectRecord {
    /// The crashes: the host, and the number of the crash in its agent's count.
    crashes: BTreeSet<(id::Host, u64)>,
    /// Whether a server crashed while the content ran alone on it.
    alone: bool,
    expires: Instant,
}

/// The suspect contents that a process knows of.
///
/// Merging two tables unites their crashes, so reports may arrive late, twice and in any order.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    records: BTreeMap<id::Fingerprint, SuspectRecord>,
}

impl SuspectTable {
    /// Records a crash, given as a host and the number of its crash, with this content in flight.
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
                valid: SUSPECT_LIFETIME,
            },
        );
    }

    /// Adds a suspect that a peer reported.
    pub fn merge(&mut self, now: Instant, suspect: &Suspect) {
        self.expire(now);
        let expires = now.after(suspect.valid.min(SUSPECT_LIFETIME));
        let record = self
            .records
            .entry(suspect.fingerprint)
            .or_insert_with(|| SuspectRecord {
                crashes: BTreeSet::new(),
                alone: false,
                expires,
            });
        record.crashes.extend(suspect.crashes.iter().cloned());
        record.alone |= suspect.alone;
        record.expires = record.expires.max(expires);
        if self.records.len() > MAX_SUSPECTS {
            self.remove_first_to_expire();
        }
    }

    /// Returns how a request with this content may run.
    #[must_use]
    pub fn verdict(&self, now: Instant, fingerprint: id::Fingerprint) -> Verdict {
        match self.records.get(&fingerprint) {
            Some(record) if record.expires <= now => Verdict::Unrestricted,
            Some(record) if record.alone => Verdict::Refused,
            Some(record) if record.crashes.len() >= ALONE_AFTER_CRASHES => Verdict::Alone,
            _ => Verdict::Unrestricted,
        }
    }

    /// Removes content that ran alone to its end, and so did not cause the crashes.
    pub fn clear(&mut self, fingerprint: id::Fingerprint) {
        self.records.remove(&fingerprint);
    }

    /// Returns the suspects that have not expired, to be sent to peers.
    #[must_use]
    pub fn unexpired(&self, now: Instant) -> Vec<Suspect> {
        let valid = self
            .records
            .iter()
            .filter(|(_, record)| record.expires > now);
        let suspects = valid.map(|(fingerprint, record)| Suspect {
            fingerprint: *fingerprint,
            crashes: record.crashes.clone(),
            alone: record.alone,
            valid: record.expires.since(now),
        });
        suspects.collect()
    }

    fn expire(&mut self, now: Instant) {
        self.records.retain(|_, record| record.expires > now);
    }

    fn remove_first_to_expire(&mut self) {
        let first = self.records.iter().min_by_key(|(_, record)| record.expires);
        if let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }
}
