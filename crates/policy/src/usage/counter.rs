//! The counts of this process.

use std::collections::BTreeMap;

use super::{Counts, Report, Window};

/// The requests that servers began to run for this process, by window. Counts only rise, so they can be
/// sent repeatedly and in any order.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    /// The counts of a window, and the revision at which they last changed.
    windows: BTreeMap<Window, (u64, Counts)>,
    revision: u64,
}

impl Counter {
    /// Counts a request.
    pub fn add(&mut self, window: Window, account: &str) {
        self.revision += 1;
        let (revision, counts) = self.windows.entry(window).or_default();
        *revision = self.revision;
        match counts.get_mut(account) {
            Some(count) => *count += 1,
            None => {
                counts.insert(account.to_owned(), 1);
            }
        }
    }

    /// Returns the number of changes so far.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the counts of the windows that changed after a revision.
    #[must_use]
    pub fn changed_since(&self, revision: u64) -> Vec<Report> {
        let changed = self.windows.iter().filter(|(_, (at, _))| *at > revision);
        let reports = changed.map(|(window, (_, counts))| Report {
            window: *window,
            counts: counts.clone(),
        });
        reports.collect()
    }

    /// Forgets the windows before `first`.
    pub fn discard_before(&mut self, first: Window) {
        self.windows = self.windows.split_off(&first);
    }
}
