use std::time::Duration;

use tamaracksail_model::time::Instant;

use super::{Answer, Index};

/// How long the store may leave changes out of its answers before it reports them, or drops them with its
/// history.
pub(super) const OMISSION_TIME: Duration = Duration::from_secs(6);

/// An answer without changes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Quiet {
    /// When the call was sent.
    at: Instant,
    /// The store's revision that the answer states.
    revision: u64,
}

impl Quiet {
    pub(super) fn of(answer: Answer) -> Self {
        Self {
            at: answer.sent_at,
            revision: answer.revision,
        }
    }
}

/// Answers without changes to calls that asked for those after one revision. Each may have left some out;
/// the revision of one is settled by a later answer that has none either.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Quiets {
    settled: Option<u64>,
    /// The answer that the next to settle confirms.
    first: Option<Quiet>,
    last: Option<Quiet>,
}

impl Quiets {
    pub(super) fn record(&mut self, quiet: Quiet) {
        match self.first {
            Some(first) if first.at.after(OMISSION_TIME) <= quiet.at => {
                self.settled = self.settled.max(Some(first.revision));
                self.first = Some(quiet);
            }
            Some(_) => {}
            None => self.first = Some(quiet),
        }
        self.last = Some(quiet);
    }

    /// Returns until which revision no answer left changes out.
    pub(super) fn settled(&self) -> Option<u64> {
        self.settled
    }

    /// Returns until when an index confirms that there were no changes. An answer that is not settled does not
    /// count for longer than until it was asked for.
    pub(super) fn confirmed_until(&self, index: Index) -> Option<Instant> {
        if self.settled >= Some(index.revision) {
            return Some(index.at);
        }
        let last = self.last.filter(|last| last.revision >= index.revision)?;
        Some(index.at.min(last.at))
    }
}
