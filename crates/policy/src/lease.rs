//! Who schedules batches and gives orders to engines.
//!
//! The lease is one object of the platform's store, changed only under the condition of its
//! revision. Its holder counts its span from before the write that took or renewed it, on a clock
//! that goes on while the host is suspended. Others count from when they saw it change last, and
//! a margin longer. So no two clocks are compared, and a holder that was frozen knows that it has
//! lost the lease before it acts.

use std::time::Duration;

use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;

/// How much longer than the span others wait. Covers clocks that run at different speed and an
/// order that is on its way as the lease ends.
const MARGIN: Duration = Duration::from_millis(700);

/// The holder renews when this share of the span is over, so that two renewals may fail.
const RENEWALS: u32 = 3;

plain! {
    /// The lease as it is stored.
    pub struct Record {
        /// The holder; none if it was given back.
        pub holder: Option<String>,
        /// The life of the holder's process.
        pub incarnation: u64,
        /// Raised whenever the holder or its life changes.
        pub fence: u64,
        /// Raised by each write, since a write that changes nothing shows no sign of life.
        pub writes: u64,
    }
}

/// The lease as one process sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    span: Duration,
    host: String,
    incarnation: u64,
    /// The revision seen last and since when.
    seen: Option<(u64, Instant)>,
    record: Option<Record>,
    held: Option<Held>,
}

/// A lease that this process holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    fence: u64,
    since: Instant,
    until: Instant,
}

/// What to do about the lease.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing.
    Rest,
    /// Read the object.
    Read,
    /// Create the object.
    Create(Record),
    /// Replace the object that stands at the revision.
    Replace(u64, Record),
}

impl Lease {
    /// A lease of the given span, unseen as yet.
    #[must_use]
    pub fn new(span: Duration, host: String, incarnation: u64) -> Self {
        Self {
            span,
            host,
            incarnation,
            seen: None,
            record: None,
            held: None,
        }
    }

    /// Notes the object as it was read or written. `asked` is when the call was made.
    pub fn saw(&mut self, asked: Instant, now: Instant, revision: u64, record: Record) {
        if self.seen.is_none_or(|(seen, _)| seen != revision) {
            self.seen = Some((revision, now));
        }
        let is_ours =
            record.holder.as_ref() == Some(&self.host) && record.incarnation == self.incarnation;
        if !is_ours {
            self.held = None;
        } else if self.held.is_none_or(|held| held.fence != record.fence) {
            // The span counts from the write, which came after `asked` only if this was its call.
            self.held = Some(Held {
                fence: record.fence,
                since: asked,
                until: asked,
            });
        }
        self.record = Some(record);
    }

    /// Notes that a write of ours, sent at `asked`, was done.
    pub fn wrote(&mut self, asked: Instant, now: Instant, revision: u64, record: Record) {
        self.saw(asked, now, revision, record);
        if let Some(held) = &mut self.held {
            held.until = asked.after(self.span);
        }
    }

    /// Notes that there is no such object.
    pub fn missing(&mut self) {
        self.seen = None;
        self.record = None;
        self.held = None;
    }

    /// The fencing number, while the lease is held.
    #[must_use]
    pub fn fence(&self, now: Instant) -> Option<u64> {
        self.held
            .filter(|held| now < held.until)
            .map(|held| held.fence)
    }

    /// The fencing number, while orders may be given: not before the orders of an earlier holder
    /// are over.
    #[must_use]
    pub fn order_fence(&self, now: Instant) -> Option<u64> {
        let held = self.held.filter(|held| now < held.until)?;
        (now.since(held.since) >= self.span + MARGIN).then_some(held.fence)
    }

    /// Lets orders be given at once: the earlier holder was this host or nobody.
    pub fn skip_pause(&mut self) {
        if let Some(held) = &mut self.held {
            held.since = Instant(0);
        }
    }

    /// The holder, as far as it is known.
    #[must_use]
    pub fn holder(&self) -> Option<&str> {
        self.record.as_ref()?.holder.as_deref()
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
        if let Some(held) = self.held {
            let renewal = held.until.since(Instant(0)) - self.span * (RENEWALS - 1) / RENEWALS;
            return if now.since(Instant(0)) >= renewal {
                Step::Replace(revision, self.next(held.fence, record.writes))
            } else {
                Step::Rest
            };
        }
        let is_own_host = record.holder.as_ref() == Some(&self.host);
        let is_lapsed = now.since(since) >= self.span + MARGIN;
        if record.holder.is_none() || is_own_host || is_lapsed {
            return Step::Replace(revision, self.next(record.fence + 1, record.writes));
        }
        if is_fresh { Step::Rest } else { Step::Read }
    }

    /// The record that gives the lease back, with the revision at which it stands.
    #[must_use]
    pub fn give_back(&mut self) -> Option<(u64, Record)> {
        let held = self.held.take()?;
        let (revision, _) = self.seen?;
        let writes = self.record.as_ref()?.writes;
        Some((
            revision,
            Record {
                holder: None,
                incarnation: self.incarnation,
                fence: held.fence,
                writes: writes + 1,
            },
        ))
    }

    fn next(&self, fence: u64, writes: u64) -> Record {
        Record {
            holder: Some(self.host.clone()),
            incarnation: self.incarnation,
            fence,
            writes: writes + 1,
        }
    }
}
