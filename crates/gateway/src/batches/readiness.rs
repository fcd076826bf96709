//! Whether the text of unfinished items has come.

use std::cell::Cell;

use tokio::sync::Notify;

/// Whether the text of unfinished items has come to this process, since it took the lease.
#[derive(Debug, Default)]
pub struct Readiness {
    is_ready: Cell<bool>,
    came: Notify,
}

impl Readiness {
    /// Notes whether it has come.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.set(is_ready);
        self.came.notify_waiters();
    }

    /// Whether it has come.
    pub fn is_ready(&self) -> bool {
        self.is_ready.get()
    }

    /// Returns when it has come.
    pub async fn ready(&self) {
        while !self.is_ready() {
            self.came.notified().await;
        }
    }
}
