//! Which registrations of backend servers that disappeared from the store are still used.
//!
//! A registration is removed when its server has left, and also when the server could not renew it
//! since the store did not answer. Servers that run register again soon after the store is back. So what
//! disappeared in an outage counts until then, and what disappears at any other time is gone at once.

use std::collections::BTreeSet;
use std::time::Duration;

use tamaracksail_model::time::Instant;

/// How long after the end of an outage servers may take to register again: about two seconds.
pub const GRACE: Duration = Duration::from_millis(2200);

/// Whether the store answers this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Access {
    /// It has answered every call.
    #[default]
    Undisturbed,
    /// It does not answer.
    Failing,
    /// It has answered again since this time.
    RecoveredAt(Instant),
}

/// What becomes of a server whose registration has disappeared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has left.
    Gone,
    /// It is used until this time unless it registers again; while the store does not answer, the time
    /// is not known yet.
    Kept(Option<Instant>),
}

/// The registrations that disappeared and still count.
#[derive(Clone, Debug, Default)]
pub struct Expiry {
    access: Access,
    kept: BTreeSet<String>,
}

impl Expiry {
    /// Records that the store did not answer a call that it answers at once if it is well. A watch that
    /// was cut off while it waited is no such call.
    pub fn record_failure(&mut self) {
        self.access = Access::Failing;
    }

    /// Records that the store answered a call.
    pub fn record_answer(&mut self, now: Instant) {
        if self.access == Access::Failing {
            self.access = Access::RecoveredAt(now);
        }
    }

    /// Records that an outage ended at `at` during which this process may have made no call of its own.
    pub fn record_recovery(&mut self, at: Instant) {
        match self.access {
            Access::Undisturbed => self.access = Access::RecoveredAt(at),
            Access::RecoveredAt(known) => self.access = Access::RecoveredAt(known.max(at)),
            Access::Failing => {}
        }
    }

    /// Records that a server is registered.
    pub fn record_registration(&mut self, instance: &str) {
        self.kept.remove(instance);
    }

    /// Decides about a server whose registration has disappeared.
    pub fn record_removal(&mut self, now: Instant, instance: &str) -> Verdict {
        let end = self.end();
        if end.is_some_and(|end| now >= end) {
            self.kept.remove(instance);
            return Verdict::Gone;
        }
        self.kept.insert(instance.to_owned());
        Verdict::Kept(end)
    }

    /// Returns the servers that have not registered again in time. They no longer count.
    pub fn take_gone(&mut self, now: Instant) -> BTreeSet<String> {
        if self.end().is_some_and(|end| now >= end) {
            std::mem::take(&mut self.kept)
        } else {
            BTreeSet::new()
        }
    }

    /// Returns when servers will be gone; `None` if none is kept, or while the store does not answer.
    #[must_use]
    pub fn next_end(&self) -> Option<Instant> {
        self.end().filter(|_| !self.kept.is_empty())
    }

    /// Returns until when registrations that disappear count; `None` while the store does not answer.
    fn end(&self) -> Option<Instant> {
        match self.access {
            Access::Undisturbed => Some(Instant(0)),
            Access::Failing => None,
            Access::RecoveredAt(at) => Some(at.after(GRACE)),
        }
    }
}
