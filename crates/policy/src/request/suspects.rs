//! Requests that may crash servers: their content was in flight when a server crashed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tamaracksail_model::id;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::Suspect;

/// How long content remains suspect after the latest crash.
pub const SUSPECT_LIFETIME: Duration = Duration::from_mins(10);

/// The number of crashes after which a request runs alone.
const ALONE_AFTER_CRASHES: usize = 2;

/// The capacity of the table. The least severe are removed first.
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

/// The end of a server's process: the host, and the number of the crash in its agent's count. Where
/// no agent runs, the server's instance id, and when its process started.
type Crash = (id::Host, u64);

#[derive(Clone, Debug)]
struct SuspectRecord {
    crashes: BTreeSet<Crash>,
    /// Crashes that the content did not cause, since it ran to its end later. Late reports of them
    /// are ignored.
    cleared: BTreeSet<Crash>,
    /// Whether a server crashed while the content ran alone on it.
    alone: bool,
    expires: Instant,
}

impl SuspectRecord {
    fn severity(&self) -> (bool, usize, Instant) {
        (self.alone, self.crashes.len(), self.expires)
    }

    fn suspect(&self, now: Instant, fingerprint: id::Fingerprint) -> Suspect {
        Suspect {
            fingerprint,
            crashes: self.crashes.clone(),
            alone: self.alone,
            valid: self.expires.since(now),
        }
    }
}

/// The suspect contents that a process knows of.
///
/// Merging two tables unites their crashes, so reports may arrive late, twice and in any order.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    records: BTreeMap<id::Fingerprint, SuspectRecord>,
}

impl SuspectTable {
    /// Records a crash with this content in flight.
    pub fn record(
        &mut self,
        now: Instant,
        fingerprint: id::Fingerprint,
        crash: Crash,
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

    /// Adds a suspect that a peer reported. Requests that are owed never become suspect.
    pub fn merge(&mut self, now: Instant, suspect: &Suspect) {
        self.expire(now);
        let expires = now.after(suspect.valid.min(SUSPECT_LIFETIME));
        let cleared = self.records.get(&suspect.fingerprint);
        let is_cleared =
            |crash: &Crash| cleared.is_some_and(|record| record.cleared.contains(crash));
        let crashes: Vec<Crash> = suspect
            .crashes
            .iter()
            .filter(|crash| !is_cleared(crash))
            .cloned()
            .collect();
        if crashes.is_empty() || suspect.fingerprint == id::Fingerprint::OWED {
            return;
        }
        let record = self
            .records
            .entry(suspect.fingerprint)
            .or_insert_with(|| SuspectRecord {
                crashes: BTreeSet::new(),
                cleared: BTreeSet::new(),
                alone: false,
                expires,
            });
        record.crashes.extend(crashes);
        record.alone |= suspect.alone;
        record.expires = record.expires.max(expires);
        if self.records.len() > MAX_SUSPECTS {
            self.remove_least_severe();
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

    /// Returns whether no content is suspect.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns how many crashes had this content in flight.
    #[must_use]
    pub fn crash_count(&self, now: Instant, fingerprint: id::Fingerprint) -> usize {
        let record = self.records.get(&fingerprint);
        record
            .filter(|record| record.expires > now)
            .map_or(0, |record| record.crashes.len())
    }

    /// Returns how long the content remains suspect.
    #[must_use]
    pub fn validity(&self, now: Instant, fingerprint: id::Fingerprint) -> Duration {
        let record = self.records.get(&fingerprint);
        record.map_or(Duration::ZERO, |record| record.expires.since(now))
    }

    /// Ends the suspicion of content that ran to its end, and so did not cause the crashes. Returns
    /// whether there was one.
    pub fn clear(&mut self, fingerprint: id::Fingerprint) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        let is_suspect = !record.crashes.is_empty();
        record.cleared.append(&mut record.crashes);
        record.alone = false;
        is_suspect
    }

    /// Returns the suspects that have not expired, to be sent to peers.
    #[must_use]
    pub fn unexpired(&self, now: Instant) -> Vec<Suspect> {
        let suspects = self.unexpired_records(now);
        let suspects = suspects.map(|(fingerprint, record)| record.suspect(now, *fingerprint));
        suspects.collect()
    }

    /// Returns the most severe of the suspects that have not expired: those that are refused, then
    /// those with the most crashes, then those that expire last.
    #[must_use]
    pub fn most_severe(&self, now: Instant, count: usize) -> Vec<Suspect> {
        let mut suspects: Vec<_> = self.unexpired_records(now).collect();
        suspects.sort_by_key(|(_, record)| std::cmp::Reverse(record.severity()));
        let most_severe = suspects.into_iter().take(count);
        let suspects = most_severe.map(|(fingerprint, record)| record.suspect(now, *fingerprint));
        suspects.collect()
    }

    fn unexpired_records(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&id::Fingerprint, &SuspectRecord)> {
        self.records
            .iter()
            .filter(move |(_, record)| record.expires > now && !record.crashes.is_empty())
    }

    fn expire(&mut self, now: Instant) {
        self.records.retain(|_, record| record.expires > now);
    }

    fn remove_least_severe(&mut self) {
        let severity = |(_, record): &(_, &SuspectRecord)| record.severity();
        let least = self.records.iter().min_by_key(severity);
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }
}
