//! Requests under which backend servers ended.
//!
//! Each gateway records the content of requests whose server ended before the response was complete,
//! and publishes what it observed in the store, where the other gateways and restarted ones read it.
//! Validity is counted from when a process reads an object, by its own monotonic clock, since clocks
//! of hosts differ. Nothing on the path of a request waits for the store. Items of batches are not
//! recorded: they are owed until they have a result, whatever happened to the servers that ran them.

mod publication;
mod sharing;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tamaracksail_model::backend::Registration;
use tamaracksail_model::id::{Fingerprint, Host};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::request::suspects::{SuspectTable, Verdict};
use tokio::sync::Notify;

pub use sharing::share;

/// The suspect contents that this process knows of.
#[derive(Debug, Default)]
pub struct Suspects {
    table: RefCell<SuspectTable>,
    /// The part of the table that this host observed, which it publishes.
    own: RefCell<SuspectTable>,
    /// Contents with a crash that this process observed and has not published.
    unpublished: RefCell<BTreeSet<Fingerprint>>,
    /// The revisions of the published objects, by host; none until they have been listed.
    revisions: RefCell<Option<BTreeMap<String, u64>>>,
    /// The contents that run alone on a server, or whose server is observed after that.
    pub trials: RefCell<BTreeSet<Fingerprint>>,
    /// The number of servers that are being observed after a request without a complete response.
    pub observations: Cell<usize>,
    /// Wakes the publishing task.
    recorded: Notify,
}

impl Suspects {
    /// Returns how a request may run. `fingerprint` is computed only if any content is suspect.
    pub fn verdict(&self, now: Instant, fingerprint: impl FnOnce() -> Fingerprint) -> Verdict {
        let table = self.table.borrow();
        if table.is_empty() {
            return Verdict::Unrestricted;
        }
        table.verdict(now, fingerprint())
    }

    /// Whether a server has ended under a request with this content.
    pub fn is_suspect(&self, now: Instant, fingerprint: impl FnOnce() -> Fingerprint) -> bool {
        let table = self.table.borrow();
        !table.is_empty() && table.crash_count(now, fingerprint()) > 0
    }

    /// Returns how long requests with this content are refused.
    pub fn validity(&self, now: Instant, fingerprint: Fingerprint) -> Duration {
        self.table.borrow().validity(now, fingerprint)
    }

    /// Records that a server ended under a request with this content, and whether the request ran
    /// alone. Returns the number of servers that have ended under this content.
    pub fn record_end(
        &self,
        now: Instant,
        fingerprint: Fingerprint,
        server: &Registration,
        is_alone: bool,
    ) -> usize {
        let instance = Host(server.instance.clone());
        let crash = (instance, server.started_at_ms.unwrap_or_default());
        let mut table = self.table.borrow_mut();
        let mut own = self.own.borrow_mut();
        own.record(now, fingerprint, crash.clone(), is_alone);
        table.record(now, fingerprint, crash, is_alone);
        self.unpublished.borrow_mut().insert(fingerprint);
        self.recorded.notify_one();
        table.crash_count(now, fingerprint)
    }

    /// Whether a content that is not published may only run alone, so that other gateways must know
    /// at once.
    fn is_urgent(&self, now: Instant) -> bool {
        let table = self.table.borrow();
        let unpublished = self.unpublished.borrow();
        unpublished
            .iter()
            .any(|fingerprint| table.verdict(now, *fingerprint) != Verdict::Unrestricted)
    }

    /// Records that a server responded in full to a request with this content. Returns whether that
    /// ends a suspicion.
    pub fn record_response(&self, fingerprint: impl FnOnce() -> Fingerprint) -> bool {
        let mut table = self.table.borrow_mut();
        if table.is_empty() {
            return false;
        }
        let fingerprint = fingerprint();
        self.own.borrow_mut().clear(fingerprint);
        table.clear(fingerprint)
    }
}
