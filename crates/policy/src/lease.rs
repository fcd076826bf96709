//! Who schedules batches and gives orders to engines.
//!
//! The lease is one object of the platform's store, changed only under the condition of its
//! revision. Its holder counts its span from before the write that took or renewed it, on a clock
//! that goes on while the host is suspended. Others count from when they saw it change last, and
//! a margin longer. So no two clocks are compared, and a holder that was frozen knows that it has
//! lost the lease before it acts.

use std::net::SocketAddr;
use std::time::Duration;

use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;

/// How much longer than the span others wait. Covers clocks that run at different speed and an
/// order that is on its way as the lease ends.
const EXPIRY_MARGIN: Duration = Duration::from_millis(700);

/// Added to the span by which orders of two holders must lie apart, for an order on its way.
const COMMAND_MARGIN: Duration = Duration::from_millis(100);

/// The holder renews when this share of the span is over, so that two renewals may fail.
const RENEWALS_PER_LEASE: u32 = 3;

plain! {
    /// The lease as it is stored.
    pub struct Record {
        /// The holder; none if it was given back.
        pub holder: Option<String>,
        /// Where the holder answers other processes.
        pub address: Option<SocketAddr>,
        /// The life of the holder's process.
        pub incarnation: u64,
        /// Raised whenever the holder or its life changes.
        pub fence: u64,
        /// Raised by each write, since a write that changes nothing shows no sign of life.
        pub writes: u64,
    }
}

/// Who this process is.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its host.
    pub host: String,
    /// Where it answers other processes.
    pub address: SocketAddr,
    /// Its life.
    pub incarnation: u64,
}

/// The lease as one process sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    /// How long a write keeps the lease.
    duration: Duration,
    /// How long orders of two holders must lie apart.
    command_gap: Duration,
    candidate: Candidate,
    /// The revision seen last and since when.
    seen: Option<(u64, Instant)>,
    record: Option<Record>,
    /// Where the last holder that was another process answers.
    previous_holder: Option<SocketAddr>,
    /// The revision at which the holder is known to have stopped, and when it last gave an order.
    released: Option<(u64, Instant)>,
    /// The fencing number under which this process has stopped for good.
    relinquished: Option<u64>,
    held: Option<Held>,
}

/// A lease that this process holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    fence: u64,
    expires_at: Instant,
    commands_from: Instant,
}

/// What to do about the lease.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// Read the object.
    Read,
    /// Ask the holder whether it still holds.
    QueryHolder(SocketAddr),
    /// Create the object.
    Create(Record),
    /// Replace the object that stands at the revision.
    Replace(u64, Record),
}

impl Lease {
    /// A lease unseen as yet. `pause` is how long orders of two holders must lie apart.
    #[must_use]
    pub fn new(duration: Duration, command_gap: Duration, candidate: Candidate) -> Self {
        Self {
            duration,
            command_gap,
            candidate,
            seen: None,
            record: None,
            previous_holder: None,
            released: None,
            relinquished: None,
            held: None,
        }
    }

    /// Notes the object as it was read.
    pub fn observe(&mut self, now: Instant, revision: u64, record: Record) {
        if self.seen.is_none_or(|(seen, _)| seen != revision) {
            self.seen = Some((revision, now));
        }
        if !self.is_own(&record) || self.held.is_some_and(|held| held.fence != record.fence) {
            self.held = None;
        }
        let other = record
            .address
            .filter(|address| *address != self.candidate.address);
        self.previous_holder = other.or(self.previous_holder);
        self.record = Some(record);
    }

    /// Where the last holder answers that was another process.
    #[must_use]
    pub fn previous_holder(&self) -> Option<SocketAddr> {
        self.previous_holder
    }

    /// Notes that a write of ours, sent at `asked`, was done.
    pub fn record_write(&mut self, sent_at: Instant, now: Instant, revision: u64, record: Record) {
        if self.relinquished == Some(record.fence) {
            // A renewal that was on its way as the lease was left to another.
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
        self.seen = Some((revision, now));
        self.record = Some(record);
        self.released = None;
    }

    /// When orders of this host no longer mix with those of the holder before.
    fn commands_from(&self, now: Instant) -> Instant {
        let previous_host = self
            .record
            .as_ref()
            .and_then(|record| record.holder.as_ref());
        if self.record.is_none() || previous_host == Some(&self.candidate.host) {
            return now;
        }
        match self.released {
            Some((_, last_command)) => last_command.after(self.command_gap + COMMAND_MARGIN),
            None => now.after(self.command_gap + COMMAND_MARGIN),
        }
    }

    /// Notes that there is no such object.
    pub fn record_absence(&mut self) {
        self.seen = None;
        self.record = None;
        self.held = None;
    }

    /// Notes that the holder under `fence` has stopped, and that it gave no order after
    /// `last_order`. Says nothing of a holder that came after it.
    pub fn record_release(&mut self, fence: u64, last_command: Instant) {
        let is_current = self
            .record
            .as_ref()
            .is_some_and(|record| record.fence == fence);
        if let Some((revision, _)) = self.seen.filter(|_| is_current) {
            self.released = Some((revision, last_command));
        }
    }

    /// Notes that the holder has said that it still holds, and the revision of its last renewal.
    pub fn record_confirmation(&mut self, now: Instant, revision: u64) {
        let newest = self.seen.map_or(revision, |(seen, _)| seen.max(revision));
        self.seen = Some((newest, now));
    }

    /// The revision seen last.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.seen.map_or(0, |(revision, _)| revision)
    }

    /// Notes a sign that another process has taken the lease: it counts as lost until it was
    /// written again.
    pub fn invalidate(&mut self) {
        self.held = None;
    }

    /// The fencing number, while the lease is held.
    #[must_use]
    pub fn fence(&self, now: Instant) -> Option<u64> {
        self.held
            .filter(|held| now < held.expires_at)
            .map(|held| held.fence)
    }

    /// The fencing number, while orders may be given.
    #[must_use]
    pub fn command_fence(&self, now: Instant) -> Option<u64> {
        let held = self.held.filter(|held| now < held.expires_at)?;
        (now >= held.commands_from).then_some(held.fence)
    }

    /// How long until the lease of another counts as lapsed, unless it shows signs of life.
    #[must_use]
    pub fn expires_in(&self, now: Instant) -> Option<Duration> {
        let (_, since) = self.seen?;
        Some(since.after(self.duration + EXPIRY_MARGIN).since(now))
    }

    /// Notes a write of ours, sent at `asked` and not answered, if the object as seen last shows
    /// it. Returns whether it does.
    pub fn confirm_write(&mut self, sent_at: Instant, now: Instant, record: Record) -> bool {
        let Some((revision, _)) = self.seen.filter(|_| self.record.as_ref() == Some(&record))
        else {
            return false;
        };
        self.record_write(sent_at, now, revision, record);
        true
    }

    /// Whether the object, as it was seen last, names this process, which has not said that it
    /// stopped. A holder whose span ended while the store was away may go on with what does no
    /// harm when another holds the lease: it gives no orders and lists nothing.
    #[must_use]
    pub fn is_last_known_holder(&self) -> bool {
        let record = self.record.as_ref();
        record.is_some_and(|record| self.is_own(record) && self.relinquished != Some(record.fence))
    }

    /// The record as it was seen last.
    #[must_use]
    pub fn record(&self) -> Option<&Record> {
        self.record.as_ref()
    }

    /// What a process does that wants to hold the lease. `is_fresh` says that the object was
    /// just read.
    #[must_use]
    pub fn step(&self, now: Instant, is_fresh: bool) -> Step {
        let (Some((revision, since)), Some(record)) = (self.seen, &self.record) else {
            return if is_fresh {
                Step::Create(self.next_record(0, 0))
            } else {
                Step::Read
            };
        };
        // One that has lapsed may have been promised to another: it is taken anew, not renewed.
        if let Some(held) = self.held.filter(|held| now < held.expires_at) {
            let is_due = now.after(self.duration * (RENEWALS_PER_LEASE - 1) / RENEWALS_PER_LEASE)
                >= held.expires_at;
            return if is_due {
                Step::Replace(revision, self.next_record(held.fence, record.writes))
            } else {
                Step::Wait
            };
        }
        let is_own_host = record.holder.as_ref() == Some(&self.candidate.host);
        let is_expired = now.since(since) >= self.duration + EXPIRY_MARGIN;
        let is_released = self.released.is_some_and(|(at, _)| at == revision);
        if record.holder.is_none() || is_own_host || is_expired || is_released {
            return Step::Replace(revision, self.next_record(record.fence + 1, record.writes));
        }
        match record.address {
            _ if is_fresh => Step::Wait,
            Some(address) => Step::QueryHolder(address),
            None => Step::Read,
        }
    }

    /// Promises not to act under a fencing number that is not held. A renewal on its way brings
    /// nothing back.
    pub fn relinquish(&mut self, fence: u64) {
        self.relinquished = Some(fence);
        self.held = self.held.filter(|held| held.fence != fence);
    }

    /// Gives the lease up. Returns the record that says so, with the revision at which the object
    /// stands; none if it was not held.
    #[must_use]
    pub fn release(&mut self) -> Option<(u64, Record)> {
        let held = self.held.take()?;
        self.relinquished = Some(held.fence);
        let (revision, _) = self.seen?;
        let writes = self.record.as_ref()?.writes;
        Some((
            revision,
            Record {
                holder: None,
                address: None,
                incarnation: self.candidate.incarnation,
                fence: held.fence,
                writes: writes + 1,
            },
        ))
    }

    fn is_own(&self, record: &Record) -> bool {
        record.holder.as_ref() == Some(&self.candidate.host)
            && record.incarnation == self.candidate.incarnation
    }

    fn next_record(&self, fence: u64, writes: u64) -> Record {
        Record {
            holder: Some(self.candidate.host.clone()),
            address: Some(self.candidate.address),
            incarnation: self.candidate.incarnation,
            fence,
            writes: writes + 1,
        }
    }
}
