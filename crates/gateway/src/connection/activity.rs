//! What a client's connection is doing, and since when.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_model::time::Instant;
use tokio::sync::Notify;

use crate::gateway::now;

/// Requests of a connection, and the head that is arriving.
#[derive(Debug)]
pub struct Activity {
    requests: Cell<usize>,
    last: Cell<Instant>,
    /// When the first byte of a head came that is not whole yet.
    head_since: Cell<Option<Instant>>,
    head_began: Notify,
}

impl Activity {
    /// A connection that was just accepted.
    pub fn new(now: Instant) -> Self {
        Self {
            requests: Cell::new(0),
            last: Cell::new(now),
            head_since: Cell::new(None),
            head_began: Notify::new(),
        }
    }

    /// Notes that bytes came.
    pub fn received(&self, now: Instant) {
        if self.requests.get() == 0 && self.head_since.get().is_none() {
            self.head_since.set(Some(now));
            self.head_began.notify_one();
        }
    }

    /// Returns when a head has begun to arrive.
    pub async fn head_began(&self) {
        self.head_began.notified().await;
    }

    /// When to look at the connection again, which may be idle for `idle` and take `head` to
    /// send a head.
    pub fn deadline(&self, now: Instant, idle: Duration, head: Duration) -> Instant {
        if self.requests.get() > 0 {
            return now.after(idle);
        }
        let idle_end = self.last.get().after(idle);
        match self.head_since.get() {
            Some(since) => idle_end.min(since.after(head)),
            None => idle_end,
        }
    }

    /// Whether a head has been arriving for `limit` or longer.
    pub fn is_head_late(&self, now: Instant, limit: Duration) -> bool {
        self.head_since
            .get()
            .is_some_and(|since| now.since(since) >= limit)
    }

    /// Whether nothing has been asked for `limit` or longer.
    pub fn is_idle(&self, now: Instant, limit: Duration) -> bool {
        self.requests.get() == 0 && now.since(self.last.get()) >= limit
    }
}

/// Counts a request of a connection while it is answered.
#[derive(Debug)]
pub struct Guard(Rc<Activity>);

impl Guard {
    /// Notes that the head of a request is whole.
    pub fn new(activity: Rc<Activity>) -> Self {
        activity.requests.set(activity.requests.get() + 1);
        activity.head_since.set(None);
        Self(activity)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
        self.0.last.set(now());
    }
}
