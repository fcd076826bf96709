use std::time::Duration;

use tamaracksail_model::time::Instant;

use super::quiet::{OMISSION_TIME, Quiet, Quiets};
use super::{Fact, Index};

/// How long a watch waits for a change. Each watch is charged, but one that waits for longer than the platform keeps
/// its history, 20 s, ends with the history gone.
pub const MAX_WAIT: Duration = Duration::from_secs(18);

/// The pause before the first retry; it doubles with each failure up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The longest pause between retries. After an outage, server registrations must be read again within two
/// seconds.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1200);

/// The share of the bound before which a fact is not confirmed again.
const STALE_SHARE: f64 = 0.8;

/// The share of the bound after which a fact is read as the store has it.
const READ_SHARE: f64 = 0.92;

/// The share of the bound that a stale read is given to show a revision that was just learned, and the time
/// between two such reads.
const LAG_SHARE: f64 = 0.05;

/// The next call of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Lists all objects of the kind.
    List,
    /// Waits for changes after a revision, up to [`MAX_WAIT`]. Meanwhile [`Watch::check`] tells when the
    /// store is to be asked beside it.
    Wait {
        /// The revision.
        since: u64,
    },
    /// Reads the changes after a revision without a wait.
    Read {
        /// The revision.
        since: u64,
    },
}

/// A call beside a watch that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// Reads the changes after a revision, as a replica shows them that may lag behind.
    Stale {
        /// The revision.
        since: u64,
        /// What the response must show to confirm the fact.
        index: Index,
    },
    /// Reads the changes after a revision as the store has them.
    Current {
        /// The revision.
        since: u64,
    },
}

/// A response with objects or changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// When the call was sent.
    pub sent_at: Instant,
    /// The store's revision that the response shows.
    pub revision: u64,
    /// Whether it has objects or changes.
    pub has_changes: bool,
}

/// What a check tells of the fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// All changes until this time are known once those of the response are.
    Confirmed(Instant),
    /// The replica lags behind.
    Behind,
    /// A replica shows changes, which are to be read as the store has them.
    Changed,
}

/// A failure as the users of a watch are told of it, once until a call succeeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// A watch ended without an answer, or a check beside it did. The store may be well.
    Watch,
    /// A call failed that does not wait.
    Store,
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The store has discarded the changes after the revision.
    HistoryGone,
    /// There is no usable response.
    Other,
}

/// The watch of a kind of facts.
#[derive(Clone, Debug)]
pub struct Watch {
    fact: Fact,
    bound: Duration,
    /// All changes until this revision are known; `None` before the first list.
    revision: Option<u64>,
    /// The answers since then of the store as it is, without changes.
    current: Quiets,
    /// The same with those of replicas.
    shown: Quiets,
    /// When a wait last ended without changes. If a failure follows soon, its answer may have left some out.
    idle_at: Option<Instant>,
    /// All changes until this time are known, if no answer left any out.
    known_at: Option<Instant>,
    /// No stale read is sent before this time.
    stale_from: Instant,
    /// What was reported lost since the last success.
    lost: Option<Loss>,
    /// Whether the changes are to be read before the next wait.
    is_outdated: bool,
    retry_delay: Duration,
}

impl Watch {
    /// Returns a watch that has read nothing.
    #[must_use]
    pub fn new(fact: Fact, bound: Duration) -> Self {
        Self {
            fact,
            bound,
            revision: None,
            current: Quiets::default(),
            shown: Quiets::default(),
            idle_at: None,
            known_at: None,
            stale_from: Instant(0),
            lost: None,
            is_outdated: false,
            retry_delay: MIN_RETRY_DELAY,
        }
    }

    /// Returns the bound on the age of the fact.
    #[must_use]
    pub fn bound(&self) -> Duration {
        self.bound
    }

    /// Returns how long ago all changes were known; `None` before the first list.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.known_at.map(|at| now.since(at))
    }

    /// Whether the fact is older than its bound.
    #[must_use]
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age > self.bound)
    }

    /// Whether a call failed since the last success.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// Returns the next call. After a failure, the answer to one that does not wait tells that the store is
    /// back.
    #[must_use]
    pub fn next(&self) -> Call {
        let is_read = self.lost.is_some() || self.is_outdated;
        match self.revision {
            None => Call::List,
            Some(since) if is_read => Call::Read { since },
            Some(since) => Call::Wait { since },
        }
    }

    /// Records that a watch that waits may never be answered: the store answers again after it did not.
    pub fn recovered(&mut self, now: Instant) {
        self.is_outdated = true;
        self.doubt(now);
    }

    /// Returns the next call beside a watch that waits, and when it is due. `index` is the newest that this
    /// process knows. Returns none before the first list.
    #[must_use]
    pub fn check(&self, index: Option<Index>) -> Option<(Instant, Check)> {
        let (since, known_at) = (self.revision?, self.known_at?);
        let part = |share| known_at.after(self.bound.mul_f64(share));
        if let Some(index) = index.filter(|index| index.at > known_at) {
            let shown_at = index.learned_at.after(self.bound.mul_f64(LAG_SHARE));
            let due = part(STALE_SHARE).max(shown_at).max(self.stale_from);
            let last = part(READ_SHARE);
            return Some(if due < last {
                (due, Check::Stale { since, index })
            } else {
                (last, Check::Current { since })
            });
        }
        Some((
            part(self.fact.read_share().unwrap_or(READ_SHARE)),
            Check::Current { since },
        ))
    }

    /// Records that the process learned of an index. Returns until when that confirms the fact without a call:
    /// the store had not changed since the fact was read. Returns none if more is known already.
    pub fn learn(&mut self, index: Index) -> Option<Instant> {
        let at = if self.revision >= Some(index.revision) {
            index.at
        } else {
            self.shown.confirmed_until(index)?
        };
        if self.known_at? >= at {
            return None;
        }
        self.known_at = Some(at);
        Some(at)
    }

    /// Records the answer to a call that shows the store as it is. Returns the index that it tells; all
    /// changes until then are known.
    pub fn answered(&mut self, now: Instant, call: Call, answer: Answer) -> Index {
        let waited_until = answer.sent_at.after(MAX_WAIT);
        let is_waiting = matches!(call, Call::Wait { .. });
        self.lost = None;
        self.is_outdated = false;
        self.retry_delay = MIN_RETRY_DELAY;
        // The store waited that long for a change.
        let is_idle = is_waiting && !answer.has_changes && now >= waited_until;
        let at = if is_idle {
            waited_until
        } else {
            answer.sent_at
        };
        if is_idle {
            self.idle_at = Some(at);
            self.settle(answer.revision);
            self.known_at = self.known_at.max(Some(at));
        } else {
            self.advance(answer);
        }
        Index {
            at,
            revision: answer.revision,
            learned_at: now,
        }
    }

    /// Records the answer to a check. Returns what it tells of the fact.
    pub fn checked(&mut self, now: Instant, check: Check, answer: Answer) -> Finding {
        match check {
            Check::Current { .. } => {
                self.advance(answer);
                Finding::Confirmed(answer.sent_at)
            }
            Check::Stale { .. } if answer.has_changes => {
                self.is_outdated = true;
                Finding::Changed
            }
            Check::Stale { index, .. } if answer.revision >= index.revision => {
                self.shown.record(Quiet::of(answer));
                self.known_at = self.known_at.max(Some(index.at));
                Finding::Confirmed(index.at)
            }
            Check::Stale { .. } => {
                self.delay_stale(now);
                Finding::Behind
            }
        }
    }

    /// Records that a stale read got no usable response. The current read that follows tells whether the
    /// store is well.
    pub fn stale_failed(&mut self, now: Instant) {
        self.delay_stale(now);
    }

    /// Records that a call failed. Returns what is to be reported, and the pause before the next call.
    pub fn failed(&mut self, now: Instant, failure: Failure) -> (Option<Loss>, Duration) {
        if failure == Failure::HistoryGone {
            self.forget();
            return (None, Duration::ZERO);
        }
        let is_waiting = self.revision.is_some() && self.lost.is_none();
        let loss = if is_waiting { Loss::Watch } else { Loss::Store };
        self.doubt(now);
        let is_new = self.lost != Some(Loss::Store);
        self.lost = Some(loss);
        let pause = self.retry_delay;
        self.retry_delay = (pause * 2).min(MAX_RETRY_DELAY);
        (is_new.then_some(loss), pause)
    }

    /// Records an answer that shows the store as it was when the call was sent.
    fn advance(&mut self, answer: Answer) {
        self.known_at = self.known_at.max(Some(answer.sent_at));
        if answer.has_changes {
            return self.settle(answer.revision);
        }
        let quiet = Quiet::of(answer);
        self.shown.record(quiet);
        self.current.record(quiet);
        self.revision = self.revision.max(self.current.settled());
    }

    /// Records that all changes until a revision are known.
    fn settle(&mut self, revision: u64) {
        self.revision = self.revision.max(Some(revision));
        self.forget_quiets();
    }

    /// Forgets the revision if the answer that told it may have left changes out.
    fn doubt(&mut self, now: Instant) {
        if self.idle_at.is_some_and(|at| now < at.after(OMISSION_TIME)) {
            self.forget();
        }
    }

    /// Forgets until which revision changes are known, so that all objects are listed next.
    fn forget(&mut self) {
        self.revision = None;
        self.forget_quiets();
    }

    fn forget_quiets(&mut self) {
        self.current = Quiets::default();
        self.shown = Quiets::default();
    }

    fn delay_stale(&mut self, now: Instant) {
        self.stale_from = now.after(self.bound.mul_f64(LAG_SHARE));
    }
}
