use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use prometheus::IntCounterVec;
use tamaracksail_adapter::store::{Client, Error};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::freshness::{Bounds, Fact, Index};
use tokio::sync::Notify;

use crate::gateway::{now, sleep_until};

/// The longest pause between retries while probes fail. Retries go on because the probes read a
/// single object, and the store may still serve others.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_secs(3);

/// The time between two probes of the store. A store that stops answering may keep connections
/// open and never complete the watches on them, which the kernel's keep-alive probes can't detect.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two probes while the store does not answer. The partial texts of a process that stops in
/// an outage are kept for a short time after it.
const UNAVAILABLE_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The time limit on a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// The kind of the small object that probes read.
const PROBE_KIND: &str = "leases";

/// The name of the object that probes read.
const PROBE_NAME: &str = "scheduling";

/// How long after a probe another one must have begun. If none has, the process was suspended, and does
/// not know whether the store answered meanwhile.
const MAX_PROBE_GAP: Duration = Duration::from_millis(2500);

/// What the probes tell of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// It has answered all probes.
    Undisturbed,
    /// It does not answer, or there has been no probe for a while.
    Unknown,
    /// It has answered all probes since this time.
    RecoveredAt(Instant),
}

/// Whether the store answers this process, and what its answers tell all watches. Clones share their state.
#[derive(Clone, Debug)]
pub struct Availability {
    bounds: Bounds,
    /// The newest revision that the store is known to have reached.
    index: Rc<Cell<Option<Index>>>,
    learned: Rc<Notify>,
    /// Calls beside watches, by kind and outcome.
    checks: IntCounterVec,
    recovered: Rc<Notify>,
    is_unavailable: Rc<Cell<bool>>,
    probed: Rc<Notify>,
    /// When the store last answered again after it did not.
    recovered_at: Rc<Cell<Option<Instant>>>,
    /// When the last probe began or ended.
    last_probe: Rc<Cell<Option<Instant>>>,
    /// When the store last answered a call of a watch, which is as good as a probe.
    answered_at: Rc<Cell<Option<Instant>>>,
}

impl Availability {
    /// Returns the state of a process that has made no call. `checks` counts calls beside watches by kind and
    /// outcome.
    pub fn new(bounds: Bounds, checks: IntCounterVec) -> Self {
        Self {
            bounds,
            index: Rc::default(),
            learned: Rc::default(),
            checks,
            recovered: Rc::default(),
            is_unavailable: Rc::default(),
            probed: Rc::default(),
            recovered_at: Rc::default(),
            last_probe: Rc::default(),
            answered_at: Rc::default(),
        }
    }

    /// Returns the bound on the age of a fact.
    pub fn bound(&self, fact: Fact) -> Duration {
        fact.bound(&self.bounds)
    }

    /// Returns the newest revision that the store is known to have reached.
    pub fn index(&self) -> Option<Index> {
        self.index.get()
    }

    /// Waits until a newer revision is learned.
    pub async fn learned(&self) {
        self.learned.notified().await;
    }

    /// Records a revision that the store had reached.
    pub fn learn(&self, index: Index) {
        let known = self.index.get();
        let newest = index.newer(known);
        if known != Some(newest) {
            self.index.set(Some(newest));
            self.learned.notify_waiters();
        }
    }

    /// Records that the store answered a call.
    pub(super) fn record_answer(&self, now: Instant) {
        self.answered_at.set(Some(now));
    }

    /// Counts a call beside a watch.
    pub(super) fn count_check(&self, kind: &str, outcome: &str) {
        self.checks.with_label_values(&[kind, outcome]).inc();
    }

    /// Whether the store is known not to answer.
    pub fn is_unavailable(&self) -> bool {
        self.is_unavailable.get()
    }

    /// Returns what the probes tell of the store.
    pub fn access(&self, now: Instant) -> Access {
        let is_late = |at: Instant| now.since(at) > MAX_PROBE_GAP;
        if self.is_unavailable.get() || self.last_probe.get().is_some_and(is_late) {
            return Access::Unknown;
        }
        self.recovered_at
            .get()
            .map_or(Access::Undisturbed, Access::RecoveredAt)
    }

    /// Waits until the store answers again after it did not.
    pub async fn recovered(&self) {
        self.recovered.notified().await;
    }

    /// Waits for the end of a probe, and returns whether the store answered it. Only one task may
    /// wait.
    pub async fn probed(&self) -> bool {
        self.probed.notified().await;
        !self.is_unavailable.get()
    }

    /// Fails while the store is known not to answer, so that callers fail at once instead of after
    /// a timeout. `call` names the refused call in the error.
    ///
    /// # Errors
    /// [`Error::NotDone`] while probes fail.
    pub fn check(&self, call: &str) -> Result<(), Error> {
        if !self.is_unavailable.get() {
            return Ok(());
        }
        Err(Error::NotDone {
            call: call.to_owned(),
            problem: "the store does not answer probes".to_owned(),
        })
    }

    /// Waits `pause` before a failed call is retried, or longer while the store is known not to
    /// answer: calls are charged, and probes cost a tenth.
    pub async fn pause(&self, pause: Duration) {
        if !self.is_unavailable.get() {
            return tokio::time::sleep(pause).await;
        }
        tokio::select! {
            () = tokio::time::sleep(UNAVAILABLE_RETRY_DELAY) => {}
            () = self.recovered() => {}
        }
    }

    /// Probes the store in an endless loop. When it answers again, all tasks waiting in
    /// [`Availability::recovered`] are woken.
    ///
    /// Calls `before_probe` before each probe. A probe is left out if the store has just answered another
    /// call.
    pub async fn run_probes(self, client: Client, before_probe: impl Fn()) {
        let mut probed_at = Some(now());
        self.last_probe.set(probed_at);
        loop {
            // A store that did not answer a probe may still answer calls for some kinds.
            let (last, interval) = if self.is_unavailable() {
                (probed_at, UNAVAILABLE_PROBE_INTERVAL)
            } else {
                (probed_at.max(self.answered_at.get()), PROBE_INTERVAL)
            };
            sleep_until(last.map(|last| last.after(interval))).await;
            let was_suspended = self.access(now()) == Access::Unknown;
            self.last_probe.set(Some(now()));
            before_probe();
            let has_answered = self.answered_at.get() > last;
            if has_answered && !was_suspended && !self.is_unavailable.get() {
                self.probed.notify_one();
                continue;
            }
            let probe = client.get_stale(PROBE_KIND, PROBE_NAME);
            let is_answered = matches!(
                tokio::time::timeout(PROBE_TIMEOUT, probe).await,
                Ok(Ok(_) | Err(Error::Missing { .. }))
            );
            probed_at = Some(now());
            self.last_probe.set(probed_at);
            let was_unavailable = self.is_unavailable.replace(!is_answered);
            if is_answered && (was_unavailable || was_suspended) {
                self.recovered_at.set(Some(now()));
            }
            self.probed.notify_one();
            if is_answered && was_unavailable {
                log::info!("store available again, watches restarted");
                self.recovered.notify_waiters();
            } else if !is_answered && !was_unavailable {
                log::warn!("store unavailable");
            }
        }
    }
}
