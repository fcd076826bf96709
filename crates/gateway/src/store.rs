//! Lists and watches of a kind of objects in the platform's store, and probes of whether the store
//! answers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::store::{Changes, Client, Error, Object};
use tamaracksail_model::time::Instant;
use tokio::sync::Notify;

use crate::gateway::now;

/// How long a watch waits for a change: the longest that the platform allows, because each watch is
/// charged. The kernel's keep-alive probes detect a dead connection much sooner.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// The pause before the first retry; it doubles with each failure up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The longest pause between retries. After an outage, server registrations must be read again
/// within two seconds.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1200);

/// The longest pause between retries while probes fail. Retries go on because the probes read a
/// single object, and the store may still serve others.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_secs(3);

/// The time between two probes of the store. A store that stops answering may keep connections
/// open and never complete the watches on them, which the kernel's keep-alive probes can't detect.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

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

/// Whether the store answers this process. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Availability {
    recovered: Rc<Notify>,
    is_unavailable: Rc<Cell<bool>>,
    probed: Rc<Notify>,
    /// When the store last answered again after it did not.
    recovered_at: Rc<Cell<Option<Instant>>>,
    /// When the last probe began or ended.
    last_probe: Rc<Cell<Option<Instant>>>,
}

impl Availability {
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
    /// Calls `before_probe` before each probe.
    pub async fn run_probes(self, client: Client, before_probe: impl Fn()) {
        self.last_probe.set(Some(now()));
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let was_suspended = self.access(now()) == Access::Unknown;
            self.last_probe.set(Some(now()));
            before_probe();
            let probe = client.get_stale(PROBE_KIND, PROBE_NAME);
            let is_answered = matches!(
                tokio::time::timeout(PROBE_TIMEOUT, probe).await,
                Ok(Ok(_) | Err(Error::Missing { .. }))
            );
            self.last_probe.set(Some(now()));
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

/// What a watch of a kind of objects reports.
#[derive(Debug)]
pub enum Event<'a> {
    /// All objects of the kind.
    All(&'a [Object]),
    /// An object was created or changed.
    Changed(&'a Object),
    /// An object was removed.
    Removed(&'a Object),
    /// The store answered a call, and all changes until this time are reported.
    Answered(Instant),
    /// A watch ended without an answer. A store that is well may cut off watches that wait; whether it
    /// answers is seen by the next call, which does not wait. Reported once until a call succeeds.
    WatchLost,
    /// A call failed that does not wait for a change; reported once until a call succeeds.
    StoreFailed,
}

/// The failures of a watch since its last success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    WatchLost,
    StoreFailed,
}

/// Reports all objects of `kind`, then each change, in an endless loop that retries failed calls.
///
/// After a change the next watch starts `debounce` later, so that changes in quick succession cost
/// one call.
pub async fn watch_kind(
    client: Client,
    availability: Availability,
    kind: &str,
    debounce: Duration,
    report: impl FnMut(Event),
) {
    watch_kind_within(client, availability, kind, debounce, || None, report).await;
}

/// As [`watch_kind`], with a limit on the time that a watch may take: a change whose report is lost
/// is seen by the next watch. `limit` returns it before each watch; without one, lost connections
/// alone end a watch early.
pub async fn watch_kind_within(
    client: Client,
    availability: Availability,
    kind: &str,
    debounce: Duration,
    limit: impl Fn() -> Option<Duration>,
    mut report: impl FnMut(Event),
) {
    let mut pause = MIN_RETRY_DELAY;
    let mut trouble = Trouble::None;
    let mut revision = None;
    loop {
        // After a failure, the answer to a call that does not wait tells that the store is back.
        let limit = match trouble {
            Trouble::None => limit(),
            Trouble::WatchLost | Trouble::StoreFailed => Some(Duration::ZERO),
        };
        let started_at = now();
        let mut known_at = started_at;
        let outcome = match revision {
            None => match list(&client, kind).await {
                Ok((objects, at)) => {
                    report(Event::All(&objects));
                    Ok(at)
                }
                Err(error) => Err(error),
            },
            Some(at) => match watch(&client, &availability, kind, at, limit).await {
                Ok(changes) => {
                    for change in &changes.events {
                        report(if change.is_removed {
                            Event::Removed(&change.object)
                        } else {
                            Event::Changed(&change.object)
                        });
                    }
                    if !changes.events.is_empty() {
                        if trouble == Trouble::None {
                            tokio::time::sleep(debounce).await;
                        }
                    } else if let Some(limit) = limit
                        && now() >= started_at.after(limit)
                    {
                        // The store waited that long for a change.
                        known_at = started_at.after(limit);
                    }
                    Ok(changes.revision)
                }
                Err(error) => Err(error),
            },
        };
        match outcome {
            Ok(at) => {
                if trouble != Trouble::None {
                    log::info!(kind, revision = at; "store calls succeed again");
                    trouble = Trouble::None;
                }
                report(Event::Answered(known_at));
                revision = Some(at);
                pause = MIN_RETRY_DELAY;
            }
            Err(Error::HistoryGone { .. }) => {
                log::info!(kind, revision; "store history gone, listing all objects");
                revision = None;
            }
            Err(error) => {
                let is_waiting = revision.is_some() && trouble == Trouble::None;
                if is_waiting {
                    log::info!(kind, error:%; "watch lost");
                    trouble = Trouble::WatchLost;
                    report(Event::WatchLost);
                } else if trouble != Trouble::StoreFailed {
                    log::warn!(kind, error:%; "store call failed");
                    trouble = Trouble::StoreFailed;
                    report(Event::StoreFailed);
                }
                availability.pause(pause).await;
                pause = (pause * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Watches until a change, or until `limit`. If the store recovers from an outage meanwhile, asks
/// again for changes since `at`, as the pending watch may never complete.
async fn watch(
    client: &Client,
    availability: &Availability,
    kind: &str,
    at: u64,
    limit: Option<Duration>,
) -> Result<Changes, Error> {
    let pending = async {
        let Some(limit) = limit.filter(|limit| !limit.is_zero()) else {
            let limit = limit.unwrap_or(WATCH_TIMEOUT);
            return client.watch(kind, at, limit).await;
        };
        let watch = client.watch(kind, at, limit);
        let changes = tokio::time::timeout(limit + PROBE_TIMEOUT, watch).await;
        changes.unwrap_or_else(|_| {
            Err(Error::Unknown {
                call: format!("watch of {kind}"),
                problem: "no response in time".to_owned(),
            })
        })
    };
    tokio::select! {
        changes = pending => changes,
        () = availability.recovered() => client.watch(kind, at, Duration::ZERO).await,
    }
}

/// Lists all objects of a kind. Also returns the revision from which to watch for changes.
///
/// # Errors
/// As [`Client::list`].
pub async fn list(client: &Client, kind: &str) -> Result<(Vec<Object>, u64), Error> {
    list_after(client, kind, None).await
}

/// Lists the objects of a kind whose names sort after `start`. Also returns the revision from which
/// to watch for changes.
///
/// # Errors
/// As [`Client::list`].
pub async fn list_after(
    client: &Client,
    kind: &str,
    start: Option<String>,
) -> Result<(Vec<Object>, u64), Error> {
    let mut objects: Vec<Object> = Vec::new();
    let mut revision = None;
    loop {
        let last = objects.last().map(|object| object.name.clone());
        let after = last.or_else(|| start.clone());
        let page = match client.list(kind, after.as_deref()).await {
            Ok(page) => page,
            Err(Error::Missing { .. }) => return Ok((objects, 0)),
            Err(error) => return Err(error),
        };
        // A watch from the first page's revision also reports changes made between two pages.
        let list_revision = *revision.get_or_insert(page.revision);
        let is_last = !page.has_more || page.items.is_empty();
        objects.extend(page.items);
        if is_last {
            return Ok((objects, list_revision));
        }
    }
}
