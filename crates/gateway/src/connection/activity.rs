//! Activity of a client's connection, for its time limits.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_model::time::Instant;
use tokio::sync::Notify;

use super::work::{Work, WorkGuard};
use crate::gateway::now;

/// The requests in progress on a connection, the request head that is arriving, and whether all of the
/// responses is written.
#[derive(Debug)]
pub struct Activity {
    /// The number of requests in progress.
    requests: Cell<usize>,
    /// When the last request ended, or the connection was accepted.
    idle_since: Cell<Instant>,
    /// When the first byte of a request head arrived that is still incomplete.
    head_since: Cell<Option<Instant>>,
    head_started: Notify,
    /// The work of the process.
    work: Work,
    /// Held while bytes of a response wait to be written to the socket.
    unwritten: RefCell<Option<WorkGuard>>,
}

impl Activity {
    /// Returns the activity of a connection that was just accepted. Its requests count as `work`.
    pub fn new(now: Instant, work: Work) -> Self {
        Self {
            requests: Cell::new(0),
            idle_since: Cell::new(now),
            head_since: Cell::new(None),
            head_started: Notify::new(),
            work,
            unwritten: RefCell::new(None),
        }
    }

    /// Records that there are bytes to be written to the socket.
    pub fn record_write(&self) {
        let mut unwritten = self.unwritten.borrow_mut();
        if unwritten.is_none() {
            *unwritten = Some(self.work.begin());
        }
    }

    /// Records that all bytes are written to the socket.
    pub fn record_written(&self) {
        self.unwritten.borrow_mut().take();
    }

    /// Records that bytes arrived.
    pub fn record_bytes(&self, now: Instant) {
        if self.requests.get() == 0 && self.head_since.get().is_none() {
            self.head_since.set(Some(now));
            self.head_started.notify_one();
        }
    }

    /// Waits until a request head starts to arrive.
    pub async fn head_started(&self) {
        self.head_started.notified().await;
    }

    /// Returns when to check the connection's limits again: it may be idle for `idle_timeout`, and
    /// a request head may take `head_timeout` to arrive.
    pub fn next_check(
        &self,
        now: Instant,
        idle_timeout: Duration,
        head_timeout: Duration,
    ) -> Instant {
        if self.requests.get() > 0 {
            return now.after(idle_timeout);
        }
        let idle_end = self.idle_since.get().after(idle_timeout);
        match self.head_since.get() {
            Some(since) => idle_end.min(since.after(head_timeout)),
            None => idle_end,
        }
    }

    /// Whether a request head has been arriving for `limit` or longer.
    pub fn is_head_late(&self, now: Instant, limit: Duration) -> bool {
        self.head_since
            .get()
            .is_some_and(|since| now.since(since) >= limit)
    }

    /// Whether no request has been in progress for `limit` or longer.
    pub fn is_idle(&self, now: Instant, limit: Duration) -> bool {
        self.requests.get() == 0 && now.since(self.idle_since.get()) >= limit
    }
}

/// Counts a request of a connection as in progress until it is dropped, which is when the last of its
/// response is taken to be written.
#[derive(Debug)]
pub struct RequestGuard {
    activity: Rc<Activity>,
    _work: WorkGuard,
}

impl RequestGuard {
    /// Records that the head of a request is complete and the request is in progress.
    pub fn new(activity: Rc<Activity>) -> Self {
        activity.requests.set(activity.requests.get() + 1);
        activity.head_since.set(None);
        let work = activity.work.begin();
        Self {
            activity,
            _work: work,
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let activity = &self.activity;
        activity.requests.set(activity.requests.get() - 1);
        activity.idle_since.set(now());
    }
}
