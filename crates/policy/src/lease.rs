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
const MARGIN: Duration = Duration::from_millis(700);

/// Added to the span by which orders of two holders must lie apart, for an order on its way.
const ORDER_MARGIN: Duration = Duration::from_millis(100);

/// The holder renews when this share of the span is over, so that two renewals may fail.
const RENEWALS: u32 = 3;

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
    span: Duration,
    /// How long orders of two holders must lie apart.
    pause: Duration,
    own: Candidate,
    /// The revision seen last and since when.
    seen: Option<(u64, Instant)>,
    record: Option<Record>,
    /// Where the last holder that was another process answers.
    before: Option<SocketAddr>,
    /// The revision at which the holder is known to have stopped, and when it last gave an order.
    released: Option<(u64, Instant)>,
    /// The fencing number under which this process has stopped for good.
    given_up: Option<u64>,
    held: Option<Held>,
}

/// A lease that this process holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    fence: u64,
    until: Instant,
    orders_from: Instant,
}

/// What to do about the lease.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing.
    Rest,
    /// Read the object.
    Read,
    /// Ask the holder whether it still holds.
    Ask(SocketAddr),
    /// Create the object.
    Create(Record),
    /// Replace the object that stands at the revision.
    Replace(u64, Record),
}

impl Lease {
    /// A lease unseen as yet. `pause` is how long orders of two holders must lie apart.
    #[must_use]
    pub fn new(span: Duration, pause: Duration, own: Candidate) -> Self {
        Self {
            span,
            pause,
            own,
            seen: None,
            record: None,
            before: None,
            released: None,
            given_up: None,
            held: None,
        }
    }

    /// Notes the object as it was read.
    pub fn saw(&mut self, now: Instant, revision: u64, record: Record) {
        if self.seen.is_none_or(|(seen, _)| seen != revision) {
            self.seen = Some((revision, now));
        }
        if !self.is_ours(&record) || self.held.is_some_and(|held| held.fence != record.fence) {
            self.held = None;
        }
        let other = record
            .address
            .filter(|address| *address != self.own.address);
        self.before = other.or(self.before);
        self.record = Some(record);
    }

    /// Where the last holder answers that was another process.
    #[must_use]
    pub fn before(&self) -> Option<SocketAddr> {
        self.before
    }

    /// Notes that a write of ours, sent at `asked`, was done.
    pub fn wrote(&mut self, asked: Instant, now: Instant, revision: u64, record: Record) {
        if self.given_up == Some(record.fence) {
            // A renewal that was on its way as the lease was left to another.
            self.saw(now, revision, record);
            return;
        }
        let until = asked.after(self.span);
        let orders_from = match self.held {
            Some(held) if held.fence == record.fence => held.orders_from,
            _ => self.orders_from(now),
        };
        self.held = Some(Held {
            fence: record.fence,
            until,
            orders_from,
        });
        self.seen = Some((revision, now));
        self.record = Some(record);
        self.released = None;
    }

    /// When orders of this host no longer mix with those of the holder before.
    fn orders_from(&self, now: Instant) -> Instant {
        let before = self
            .record
            .as_ref()
            .and_then(|record| record.holder.as_ref());
        if self.record.is_none() || before == Some(&self.own.host) {
            return now;
        }
        match self.released {
            Some((_, last_order)) => last_order.after(self.pause + ORDER_MARGIN),
            None => now.after(self.pause + ORDER_MARGIN),
        }
    }

    /// Notes that there is no such object.
    pub fn missing(&mut self) {
        self.seen = None;
        self.record = None;
        self.held = None;
    }

    /// Notes that the holder under `fence` has stopped, and that it gave no order after
    /// `last_order`. Says nothing of a holder that came after it.
    pub fn released(&mut self, fence: u64, last_order: Instant) {
        let is_current = self
            .record
            .as_ref()
            .is_some_and(|record| record.fence == fence);
        if let Some((revision, _)) = self.seen.filter(|_| is_current) {
            self.released = Some((revision, last_order));
        }
    }

    /// Notes that the holder has said that it still holds, and the revision of its last renewal.
    pub fn confirmed(&mut self, now: Instant, revision: u64) {
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
    pub fn doubt(&mut self) {
        self.held = None;
    }

    /// The fencing number, while the lease is held.
    #[must_use]
    pub fn fence(&self, now: Instant) -> Option<u64> {
        self.held
            .filter(|held| now < held.until)
            .map(|held| held.fence)
    }

    /// The fencing number, while orders may be given.
    #[must_use]
    pub fn order_fence(&self, now: Instant) -> Option<u64> {
        let held = self.held.filter(|held| now < held.until)?;
        (now >= held.orders_from).then_some(held.fence)
    }

    /// How long until the lease of another counts as lapsed, unless it shows signs of life.
    #[must_use]
    pub fn lapses_in(&self, now: Instant) -> Option<Duration> {
        let (_, since) = self.seen?;
        Some(since.after(self.span + MARGIN).since(now))
    }

    /// Notes a write of ours, sent at `asked` and not answered, if the object as seen last shows
    /// it. Returns whether it does.
    pub fn found(&mut self, asked: Instant, now: Instant, record: Record) -> bool {
        let Some((revision, _)) = self.seen.filter(|_| self.record.as_ref() == Some(&record))
        else {
            return false;
        };
        self.wrote(asked, now, revision, record);
        true
    }

    /// Whether the object, as it was seen last, names this process, which has not said that it
    /// stopped. A holder whose span ended while the store was away may go on with what does no
    /// harm when another holds the lease: it gives no orders and lists nothing.
    #[must_use]
    pub fn is_unchallenged(&self) -> bool {
        let record = self.record.as_ref();
        record.is_some_and(|record| self.is_ours(record) && self.given_up != Some(record.fence))
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
                Step::Create(self.next(0, 0))
            } else {
                Step::Read
            };
        };
        // One that has lapsed may have been promised to another: it is taken anew, not renewed.
        if let Some(held) = self.held.filter(|held| now < held.until) {
            let is_due = now.after(self.span * (RENEWALS - 1) / RENEWALS) >= held.until;
            return if is_due {
                Step::Replace(revision, self.next(held.fence, record.writes))
            } else {
                Step::Rest
            };
        }
        let is_own_host = record.holder.as_ref() == Some(&self.own.host);
        let is_lapsed = now.since(since) >= self.span + MARGIN;
        let is_released = self.released.is_some_and(|(at, _)| at == revision);
        if record.holder.is_none() || is_own_host || is_lapsed || is_released {
            return Step::Replace(revision, self.next(record.fence + 1, record.writes));
        }
        match record.address {
            _ if is_fresh => Step::Rest,
            Some(address) => Step::Ask(address),
            None => Step::Read,
        }
    }

    /// Promises not to act under a fencing number that is not held. A renewal on its way brings
    /// nothing back.
    pub fn forswear(&mut self, fence: u64) {
        self.given_up = Some(fence);
        self.held = self.held.filter(|held| held.fence != fence);
    }

    /// Gives the lease up. Returns the record that says so, with the revision at which the object
    /// stands; none if it was not held.
    #[must_use]
    pub fn give_up(&mut self) -> Option<(u64, Record)> {
        let held = self.held.take()?;
        self.given_up = Some(held.fence);
        let (revision, _) = self.seen?;
        let writes = self.record.as_ref()?.writes;
        Some((
            revision,
            Record {
                holder: None,
                address: None,
                incarnation: self.own.incarnation,
                fence: held.fence,
                writes: writes + 1,
            },
        ))
    }

    fn is_ours(&self, record: &Record) -> bool {
        record.holder.as_ref() == Some(&self.own.host) && record.incarnation == self.own.incarnation
    }

    fn next(&self, fence: u64, writes: u64) -> Record {
        Record {
            holder: Some(self.own.host.clone()),
            address: Some(self.own.address),
            incarnation: self.own.incarnation,
            fence,
            writes: writes + 1,
        }
    }
}
