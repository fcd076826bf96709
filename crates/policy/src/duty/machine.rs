//! Who holds the duty, and until when it may send.

use std::time::Duration;

use tamaracksail_model::time::Instant;
use tamaracksail_model::usage::{Report, Window};

use super::{Holder, Record};

/// The number of earlier holders that are recorded. With three candidates, a host cannot return within
/// the lease without being among them.
const PREVIOUS_HOLDERS: usize = 3;

/// The times of the duty.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The time between two renewals: the length of a window.
    pub renewal: Duration,
    /// The duration of the lease. The holder may send for half of it after the start of a write, and
    /// a host does not hold the duty again before it has passed since the next holder began.
    pub lease: Duration,
}

/// A write of the object.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// The revision that the object must have; none if it must not exist.
    pub revision: Option<u64>,
    /// The new content.
    pub record: Record,
}

#[derive(Debug)]
struct Observed {
    record: Record,
    revision: u64,
    /// When the object was first observed at this revision.
    changed_at: Instant,
    /// When it was first observed with this fencing token.
    fence_since: Instant,
    /// When the holder's process was found to be gone.
    gone_at: Option<Instant>,
}

#[derive(Debug)]
struct Pending {
    write: Write,
    /// The start of the first attempt.
    start: Instant,
    is_in_flight: bool,
    /// Whether an attempt without a response may have been applied, or may be applied later.
    may_be_applied: bool,
}

/// The state of the duty at one process.
///
/// A write without a response stays pending and is repeated unchanged until the object shows whether it
/// was applied. So counts that may be fixed in the store are never replaced by others.
#[derive(Debug)]
pub struct Duty {
    own: Holder,
    terms: Terms,
    observed: Option<Observed>,
    /// When the object was found not to exist, while it doesn't.
    absent_since: Option<Instant>,
    pending: Option<Pending>,
    /// The start of the write that this process holds.
    right_from: Option<Instant>,
    /// The highest fencing token observed.
    last_fence: u64,
}

impl Duty {
    /// Returns the state of a process that has not read the object.
    #[must_use]
    pub fn new(own: Holder, terms: Terms) -> Self {
        Self {
            own,
            terms,
            observed: None,
            absent_since: None,
            pending: None,
            right_from: None,
            last_fence: 0,
        }
    }

    /// Returns the record observed last.
    #[must_use]
    pub fn record(&self) -> Option<&Record> {
        self.observed.as_ref().map(|observed| &observed.record)
    }

    /// Whether this process is the holder as far as it knows.
    #[must_use]
    pub fn is_holder(&self) -> bool {
        self.record()
            .is_some_and(|record| record.holder == self.own)
    }

    /// Returns the fencing token if the process may send at `now`: within half of the lease from the
    /// start of the write that it holds.
    #[must_use]
    pub fn fence_to_send(&self, now: Instant) -> Option<u64> {
        let from = self.right_from?;
        let is_valid = now >= from && now.since(from) < self.terms.lease / 2;
        let record = self.record().filter(|_| is_valid && self.is_holder())?;
        Some(record.fence)
    }

    /// Records the object at a revision, from a read, a watch or a conflict. Older revisions are
    /// ignored. Returns whether the holder changed.
    pub fn observe(&mut self, now: Instant, revision: u64, record: Record) -> bool {
        let known = self.observed.as_ref();
        if known.is_some_and(|known| revision <= known.revision) {
            return false;
        }
        // A conditional write fails for good once the object is past its revision.
        let pending = self.pending.take();
        let own_write = pending.filter(|pending| pending.write.record == record);
        if record.holder != self.own {
            self.right_from = None;
        } else if let Some(pending) = own_write {
            self.right_from = Some(pending.start);
        }
        let same_term = known.filter(|known| known.record.fence == record.fence);
        let (fence_since, gone_at) =
            same_term.map_or((now, None), |known| (known.fence_since, known.gone_at));
        let is_new = same_term.is_none();
        self.last_fence = self.last_fence.max(record.fence);
        self.absent_since = None;
        self.observed = Some(Observed {
            record,
            revision,
            changed_at: now,
            fence_since,
            gone_at,
        });
        is_new
    }

    /// Records that the object does not exist.
    pub fn observe_absent(&mut self, now: Instant) {
        self.absent_since.get_or_insert(now);
        self.observed = None;
        self.right_from = None;
        self.pending = self
            .pending
            .take()
            .filter(|pending| pending.write.revision.is_none());
    }

    /// Records that the store does not answer, so that renewals cannot be observed.
    pub fn record_store_unavailable(&mut self, now: Instant) {
        if let Some(observed) = &mut self.observed {
            observed.changed_at = now;
        }
    }

    /// Records that the holder's process under a fencing token is gone: its host refuses connections,
    /// or another process responds there.
    pub fn record_gone(&mut self, now: Instant, fence: u64) {
        if let Some(observed) = &mut self.observed
            && observed.record.fence == fence
        {
            observed.gone_at.get_or_insert(now);
        }
    }

    /// Returns from when on this process may acquire the duty; none while it holds it, has a write
    /// pending or has not read the object.
    #[must_use]
    pub fn acquirable_from(&self) -> Option<Instant> {
        if self.pending.is_some() || self.is_holder() {
            return None;
        }
        let Some(observed) = &self.observed else {
            return self.absent_since;
        };
        let record = &observed.record;
        let expiry = observed
            .changed_at
            .after(self.terms.renewal + self.terms.lease);
        // Another process of the same host has taken its place.
        let is_restarted = record.holder.host == self.own.host;
        let gone_at = observed
            .gone_at
            .or(is_restarted.then_some(observed.fence_since));
        // The right to send of a holder that leaves the duty ends half a lease after its last write.
        let released_at = observed.changed_at.after(self.terms.lease / 2);
        let released_at = Some(released_at).filter(|_| record.is_released);
        let free_at = [gone_at, released_at].into_iter().flatten();
        let free_at = free_at.fold(expiry, Instant::min);
        if record.previous.contains(&self.own.host) {
            return Some(free_at.max(observed.fence_since.after(self.terms.lease)));
        }
        Some(free_at)
    }

    /// Returns the write that acquires the duty, with the counts that are fixed already. If the object
    /// does not exist, `first` is the first window to report.
    pub fn acquire(&mut self, now: Instant, first: Window) -> Write {
        let write = match &self.observed {
            Some(Observed {
                record, revision, ..
            }) => {
                let holders = std::iter::once(&record.holder.host).chain(&record.previous);
                let mut previous: Vec<String> = Vec::new();
                for host in holders.filter(|host| **host != self.own.host) {
                    if !previous.contains(host) {
                        previous.push(host.clone());
                    }
                }
                previous.truncate(PREVIOUS_HOLDERS);
                Write {
                    revision: Some(*revision),
                    record: Record {
                        holder: self.own.clone(),
                        fence: self.last_fence + 1,
                        writes: record.writes + 1,
                        previous,
                        next: record.next,
                        is_released: false,
                        fixed: record.fixed.clone(),
                    },
                }
            }
            None => Write {
                revision: None,
                record: Record {
                    holder: self.own.clone(),
                    fence: self.last_fence + 1,
                    writes: 1,
                    previous: Vec::new(),
                    next: first,
                    is_released: false,
                    fixed: Vec::new(),
                },
            },
        };
        self.begin(now, write)
    }

    /// Returns the write that renews the lease and fixes reports up to before the window `next`.
    /// `fixed` are those and the unconfirmed ones fixed before. None if this process is not the holder or has a
    /// write pending. With
    /// `is_released` another candidate may acquire the duty once the right to send has ended.
    pub fn renew(
        &mut self,
        now: Instant,
        next: Window,
        fixed: Vec<Report>,
        is_released: bool,
    ) -> Option<Write> {
        if self.pending.is_some() || !self.is_holder() {
            return None;
        }
        let observed = self.observed.as_ref()?;
        let write = Write {
            revision: Some(observed.revision),
            record: Record {
                writes: observed.record.writes + 1,
                next: next.max(observed.record.next),
                is_released,
                fixed,
                ..observed.record.clone()
            },
        };
        Some(self.begin(now, write))
    }

    fn begin(&mut self, now: Instant, write: Write) -> Write {
        self.pending = Some(Pending {
            write: write.clone(),
            start: now,
            is_in_flight: true,
            may_be_applied: false,
        });
        write
    }

    /// Returns the pending write if it is to be made again, since its outcome is unknown.
    pub fn retry(&mut self) -> Option<Write> {
        let pending = self
            .pending
            .as_mut()
            .filter(|pending| !pending.is_in_flight)?;
        pending.is_in_flight = true;
        Some(pending.write.clone())
    }

    /// Records that the store acknowledged a write at a revision. Returns whether the holder changed.
    pub fn record_written(&mut self, now: Instant, revision: u64, write: &Write) -> bool {
        self.observe(now, revision, write.record.clone())
    }

    /// Records that the pending write has failed, and whether it may have been applied or may be
    /// applied later.
    pub fn record_failure(&mut self, may_be_applied: bool) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        pending.is_in_flight = false;
        pending.may_be_applied |= may_be_applied;
        if !pending.may_be_applied {
            self.pending = None;
        }
    }
}
