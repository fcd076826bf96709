//! Whether the partial texts of unfinished items were loaded.

use std::cell::Cell;

use tokio::sync::Notify;

/// Whether this process has loaded the partial texts of unfinished items since it acquired the
/// lease.
#[derive(Debug, Default)]
pub struct Readiness {
    is_ready: Cell<bool>,
    changed: Notify,
}

impl Readiness {
    /// Sets whether the texts are loaded, and wakes waiting tasks.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.set(is_ready);
        self.changed.notify_waiters();
    }

    /// Whether the texts are loaded.
    pub fn is_ready(&self) -> bool {
        self.is_ready.get()
    }

    /// Waits until the texts are loaded, or until a wait is of no use because the term has ended.
    pub async fn wait_while(&self, is_wanted: impl Fn() -> bool) {
        while !self.is_ready() && is_wanted() {
            self.changed.notified().await;
        }
    }
}
