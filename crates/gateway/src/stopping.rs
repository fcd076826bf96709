//! Whether the process stops, as its requests are told.

use std::cell::Cell;

use tamaracksail_policy::stop::Stop;
use tokio::sync::Notify;

use crate::gateway::sleep_until;

/// The stop of the process, once it was asked to.
#[derive(Debug, Default)]
pub struct Stopping {
    stop: Cell<Option<Stop>>,
    begun: Notify,
}

impl Stopping {
    /// Returns the stop; none if the process was not asked to.
    pub fn get(&self) -> Option<Stop> {
        self.stop.get()
    }

    /// Records that the process was asked to stop.
    pub fn begin(&self, stop: Stop) {
        self.stop.set(Some(stop));
        self.begun.notify_waiters();
    }

    /// Waits until the time at which each request that has no response gets a final one.
    pub async fn last_answer(&self) {
        let begun = self.begun.notified();
        if self.stop.get().is_none() {
            begun.await;
        }
        sleep_until(self.stop.get().map(|stop| stop.last_answer())).await;
    }
}
