//! Usage: how many requests of each client account servers began to run, by window of time.

use std::collections::BTreeMap;
use std::fmt;

/// The number of requests by account name.
pub type Counts = BTreeMap<String, u64>;

key! {
    /// The number of a window, counted from the start of 1970 in windows of one length.
    #[serde(transparent)]
    pub struct Window(pub u64);
}

impl Window {
    /// Returns the window that follows.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the window `count` windows earlier, or the first.
    #[must_use]
    pub fn minus(self, count: u64) -> Self {
        Self(self.0.saturating_sub(count))
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

plain! {
    /// The counts of one window.
    pub struct Report {
        /// The window.
        pub window: Window,
        /// The requests that servers began to run in it. Accounts without requests are omitted.
        pub counts: Counts,
    }
}
