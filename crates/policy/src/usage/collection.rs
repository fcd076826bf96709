//! The counts of all processes.

use std::collections::BTreeMap;

use super::{Counts, Report, Window};

/// Counts as the processes sent them, by window and by the incarnation of the process.
#[derive(Clone, Debug, Default)]
pub struct Collection {
    windows: BTreeMap<Window, BTreeMap<u64, Counts>>,
    first_open: Window,
}

impl Collection {
    /// Merges counts of a process. Repeated and older counts change nothing. Returns the number of
    /// requests that were not known before in a window that is closed already.
    pub fn merge(&mut self, incarnation: u64, report: &Report) -> u64 {
        let window = self.windows.entry(report.window).or_default();
        let known = window.entry(incarnation).or_default();
        let mut added = 0;
        for (account, count) in &report.counts {
            let before = known.get(account).copied().unwrap_or(0);
            if *count > before {
                added += count - before;
                known.insert(account.clone(), *count);
            }
        }
        if report.window < self.first_open {
            added
        } else {
            0
        }
    }

    /// Returns the sum over all processes.
    #[must_use]
    pub fn total(&self, window: Window) -> Counts {
        let mut total = Counts::new();
        for counts in self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(BTreeMap::values)
        {
            for (account, count) in counts {
                *total.entry(account.clone()).or_default() += count;
            }
        }
        total
    }

    /// Returns the counts of each process from a window on, by incarnation.
    #[must_use]
    pub fn processes(&self, from: Window) -> BTreeMap<u64, Vec<Report>> {
        let mut processes: BTreeMap<u64, Vec<Report>> = BTreeMap::new();
        for (window, counts) in self.windows.range(from..) {
            for (incarnation, counts) in counts {
                processes.entry(*incarnation).or_default().push(Report {
                    window: *window,
                    counts: counts.clone(),
                });
            }
        }
        processes
    }

    /// Records that the windows before `first_open` are closed.
    pub fn close_before(&mut self, first_open: Window) {
        self.first_open = self.first_open.max(first_open);
    }

    /// Forgets the windows before `first`.
    pub fn discard_before(&mut self, first: Window) {
        self.windows = self.windows.split_off(&first);
    }
}
