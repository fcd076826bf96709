//! The lease whose holder schedules batches and sends load commands to engines.
//!
//! The lease is one object of the platform's store, which is only written on condition that its
//! revision has not changed. The holder measures the lease's duration from before the write that
//! acquired or renewed it, with a clock that also runs while the host is suspended. Other processes
//! measure it from when they last observed a change, and add a margin. So no two clocks are
//! compared, and a holder that was suspended finds its lease expired before it acts.

use std::net::SocketAddr;
use std::time::Duration;

use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;

/// How much longer than the lease's duration other processes wait. Covers clocks of different speed
/// and a load command in flight when the lease expires.
const EXPIRY_MARGIN: Duration = Duration::from_millis(700);

/// Added to the least gap between load commands of two holders, for a command in flight.
const COMMAND_MARGIN: Duration = Duration::from_millis(100);

/// The holder renews after one part in this many of the lease's duration, so that two renewals may
/// fail.
const RENEWALS_PER_LEASE: u32 = 3;

plain! {
    /// The lease as it is stored.
    pub struct Record {
        /// The host of the holder; `None` if the lease was released.
        pub holder: Option<String>,
        /// The address at which the holder, or the one that released the lease, accepts requests of its peers.
        pub address: Option<SocketAddr>,
        /// The incarnation of the holder's process.
        pub incarnation: u64,
        /// The fencing token, incremented whenever the lease is acquired.
        pub fence: u64,
        /// The number of writes. Makes each renewal change the object, so that others notice it.
        pub writes: u64,
        /// Whether load commands of the holder can no longer overlap with those of the holder before it.
        #[serde(default)]
        pub is_settled: bool,
    }
}

/// A process that may hold the lease.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The host it runs on.
    pub host: String,
    /// The address at which it accepts requests of its peers.
    pub address: SocketAddr,
    /// The incarnation of the process.
    pub incarnation: u64,
}

/// One process's view of the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    /// How long a write keeps the lease.
    duration: Duration,
    /// The least gap between load commands of two holders.
    command_gap: Duration,
    /// This process.
    candidate: Candidate,
    /// The revision observed last, and when it was first observed or last confirmed.
    observed: Option<(u64, Instant)>,
    /// The record observed last.
    record: Option<Record>,
    /// The record that was observed last of those that another process wrote since this one acquired the lease.
    /// The observation of a write of this process, whose answer was lost, leaves it.
    preceding: Option<Record>,
    /// The address of the last holder that was another process.
    previous_holder: Option<SocketAddr>,
    /// The holder that is known to have stopped.
    released: Option<Released>,
    /// The fencing token under which this process will not act any more.
    relinquished: Option<u64>,
    /// The lease, if this process has acquired it.
    held: Option<Held>,
}

/// A lease that this process has acquired.
#[derive(Clone, Copy, Debug)]
struct Held {
    fence: u64,
    expires_at: Instant,
    /// When load commands may be sent, at a safe distance from those of the previous holder.
    commands_from: Instant,
}

/// A holder that has stopped.
#[derive(Clone, Copy, Debug)]
struct Released {
    /// Its fencing token.
    fence: u64,
    /// The revision of the object at that time.
    revision: u64,
    /// When it last sent a load command.
    last_command: Instant,
}

/// What a process that wants the lease does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing for now.
    Wait,
    /// Read the object.
    Read,
    /// Ask the holder at this address whether it still holds the lease.
    QueryHolder(SocketAddr),
    /// Create the object.
    Create(Record),
    /// Replace the object if it is still at this revision.
    Replace(u64, Record),
}

impl Lease {
    /// Returns the view of a lease that was not observed yet. `duration` is how long a write keeps
    /// the lease, `command_gap` the least gap between load commands of two holders.
    #[must_use]
    pub fn new(duration: Duration, command_gap: Duration, candidate: Candidate) -> Self {
        Self {
            duration,
            command_gap,
            candidate,
            observed: None,
            record: None,
            preceding: None,
            previous_holder: None,
            released: None,
            relinquished: None,
            held: None,
        }
    }

    /// Records the object as it was read.
    pub fn observe(&mut self, now: Instant, revision: u64, record: Record) {
        if self
            .observed
            .is_none_or(|(observed, _)| observed != revision)
        {
            self.observed = Some((revision, now));
        }
        if !self.is_own(&record) || self.held.is_some_and(|held| held.fence != record.fence) {
            self.held = None;
        }
        let other = record
            .address
            .filter(|address| *address != self.candidate.address);
        self.previous_holder = other.or(self.previous_holder);
        if !self.is_own(&record) {
            self.preceding = Some(record.clone());
        }
        // The next holder may have sent load commands since.
        self.released = self.released.filter(|found| found.fence == record.fence);
        self.record = Some(record);
    }

    /// Returns the address of the last holder that was another process.
    #[must_use]
    pub fn previous_holder(&self) -> Option<SocketAddr> {
        self.previous_holder
    }

    /// Records that a write of this process, sent at `sent_at`, succeeded.
    pub fn record_write(&mut self, sent_at: Instant, now: Instant, revision: u64, record: Record) {
        if self.relinquished == Some(record.fence) {
            // A renewal that was in flight when the lease was released.
            self.observe(now, revision, record);
            return;
        }
        let expires_at = sent_at.after(self.duration);
        let commands_from = match self.held {
            Some(held) if held.fence == record.fence => held.commands_from,
            _ => self.commands_from(now),
        };
        self.held = Some(Held {
            fence: record.fence,
            expires_at,
            commands_from,
        });
        self.observed = Some((revision, now));
        self.record = Some(record);
        self.preceding = None;
        self.released = None;
    }

    /// Returns when load commands of this process can no longer overlap with those of the previous
    /// holder.
    fn commands_from(&self, now: Instant) -> Instant {
        let Some(preceding) = &self.preceding else {
            return now;
        };
        // An earlier process of this host may itself have waited for the holder before it.
        if self.is_settled_here(preceding) {
            return now;
        }
        let last_command = self.released.map_or(now, |found| found.last_command);
        last_command.after(self.command_gap + COMMAND_MARGIN)
    }

    /// Records that the object does not exist.
    pub fn record_absence(&mut self) {
        self.observed = None;
        self.record = None;
        self.held = None;
    }

    /// Records that the holder under `fence` has stopped and sent no load command after
    /// `last_command`. Has no effect if another holder was observed since.
    pub fn record_release(&mut self, fence: u64, last_command: Instant) {
        let is_current = self
            .record
            .as_ref()
            .is_some_and(|record| record.fence == fence);
        if let Some((revision, _)) = self.observed.filter(|_| is_current) {
            self.released = Some(Released {
                fence,
                revision,
                last_command,
            });
        }
    }

    /// Records that the holder confirmed its lease, and the revision of its last renewal.
    pub fn record_confirmation(&mut self, now: Instant, revision: u64) {
        let newest = self
            .observed
            .map_or(revision, |(observed, _)| observed.max(revision));
        self.observed = Some((newest, now));
    }

    /// Returns the revision observed last, or 0.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.observed.map_or(0, |(revision, _)| revision)
    }

    /// Treats the lease as lost until it is written again, since another process seems to have
    /// acquired it.
    pub fn invalidate(&mut self) {
        self.held = None;
    }

    /// Returns the fencing token while this process holds the lease.
    #[must_use]
    pub fn fence(&self, now: Instant) -> Option<u64> {
        self.held
            .filter(|held| now < held.expires_at)
            .map(|held| held.fence)
    }

    /// Returns the fencing token while this process may send load commands.
    #[must_use]
    pub fn command_fence(&self, now: Instant) -> Option<u64> {
        let held = self.held.filter(|held| now < held.expires_at)?;
        (now >= held.commands_from).then_some(held.fence)
    }

    /// Returns how long until the lease of another holder expires, unless it is renewed.
    #[must_use]
    pub fn expires_in(&self, now: Instant) -> Option<Duration> {
        let (_, since) = self.observed?;
        Some(since.after(self.duration + EXPIRY_MARGIN).since(now))
    }

    /// Records that a write of this process, sent at `sent_at` and left without a response,
    /// succeeded after all, if the object observed last is `record`. Returns whether it is.
    pub fn confirm_write(&mut self, sent_at: Instant, now: Instant, record: Record) -> bool {
        let Some((revision, _)) = self
            .observed
            .filter(|_| self.record.as_ref() == Some(&record))
        else {
            return false;
        };
        self.record_write(sent_at, now, revision, record);
        true
    }

    /// Whether the object observed last names this process, which has not relinquished the lease.
    ///
    /// If the lease expires while the store is unavailable, such a holder may continue with what
    /// does no harm even if another process holds the lease. It sends no load commands and writes
    /// no results.
    #[must_use]
    pub fn is_last_known_holder(&self) -> bool {
        let record = self.record.as_ref();
        record.is_some_and(|record| self.is_own(record) && self.relinquished != Some(record.fence))
    }

    /// Returns the record observed last.
    #[must_use]
    pub fn record(&self) -> Option<&Record> {
        self.record.as_ref()
    }

    /// Returns the address of the process that holds the lease according to the record observed last.
    #[must_use]
    pub fn holder_address(&self) -> Option<SocketAddr> {
        let record = self.record.as_ref()?;
        record.address.filter(|_| record.holder.is_some())
    }

    /// Returns what this process does next to acquire or keep the lease. `is_fresh` says that the
    /// object was just read.
    #[must_use]
    pub fn step(&self, now: Instant, is_fresh: bool) -> Step {
        let (Some((revision, since)), Some(record)) = (self.observed, &self.record) else {
            return if is_fresh {
                Step::Create(self.next_record(now, 0, 0))
            } else {
                Step::Read
            };
        };
        // An expired lease may have been left to another process: it is acquired anew, not renewed.
        if let Some(held) = self.held.filter(|held| now < held.expires_at) {
            let is_due = now.after(self.duration * (RENEWALS_PER_LEASE - 1) / RENEWALS_PER_LEASE)
                >= held.expires_at;
            return if is_due {
                Step::Replace(revision, self.next_record(now, held.fence, record.writes))
            } else {
                Step::Wait
            };
        }
        let is_own_host = record.holder.as_ref() == Some(&self.candidate.host);
        let is_expired = now.since(since) >= self.duration + EXPIRY_MARGIN;
        let is_released = self
            .released
            .is_some_and(|found| found.revision == revision);
        if record.holder.is_none() || is_own_host || is_expired || is_released {
            return Step::Replace(
                revision,
                self.next_record(now, record.fence + 1, record.writes),
            );
        }
        match record.address {
            _ if is_fresh => Step::Wait,
            Some(address) => Step::QueryHolder(address),
            None => Step::Read,
        }
    }

    /// Promises never to act again under a fencing token that this process does not hold. A renewal
    /// in flight does not restore it.
    pub fn relinquish(&mut self, fence: u64) {
        self.relinquished = Some(fence);
        self.held = self.held.filter(|held| held.fence != fence);
    }

    /// Releases the lease. Returns the record to write and the revision to replace; `None` if the
    /// lease was not acquired.
    #[must_use]
    pub fn release(&mut self) -> Option<(u64, Record)> {
        let held = self.held.take()?;
        self.relinquished = Some(held.fence);
        let (revision, _) = self.observed?;
        let writes = self.record.as_ref()?.writes;
        Some((
            revision,
            Record {
                holder: None,
                // The next holder asks this process for the texts of unfinished items.
                address: Some(self.candidate.address),
                incarnation: self.candidate.incarnation,
                fence: held.fence,
                writes: writes + 1,
                is_settled: false,
            },
        ))
    }

    fn is_own(&self, record: &Record) -> bool {
        record.holder.as_ref() == Some(&self.candidate.host)
            && record.incarnation == self.candidate.incarnation
    }

    /// Whether a process of this host wrote a record, and no earlier holder's commands have to be waited for.
    fn is_settled_here(&self, record: &Record) -> bool {
        record.is_settled && record.holder.as_ref() == Some(&self.candidate.host)
    }

    fn next_record(&self, now: Instant, fence: u64, writes: u64) -> Record {
        let preceding = self.preceding.as_ref();
        let is_settled = match self.held {
            Some(held) if held.fence == fence => now >= held.commands_from,
            _ => preceding.is_none_or(|record| self.is_settled_here(record)),
        };
        Record {
            holder: Some(self.candidate.host.clone()),
            address: Some(self.candidate.address),
            incarnation: self.candidate.incarnation,
            fence,
            writes: writes + 1,
            is_settled,
        }
    }
}
