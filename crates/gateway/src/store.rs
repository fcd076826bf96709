//! Following a kind of objects in the platform's store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::store::{Changes, Client, Error, Object};
use tokio::sync::Notify;

/// How long a watch waits for a change. The platform's longest. Every watch is paid for; the
/// kernel's probes find a connection that fell silent much sooner.
const WAIT: Duration = Duration::from_secs(30);

/// The pause after a first failure; doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause. After an outage entries must be here again within two seconds.
const LONGEST_PAUSE: Duration = Duration::from_millis(1200);

/// The longest pause while looks fail: they are of one object, and others may be served.
const LOST_PAUSE: Duration = Duration::from_secs(3);

/// Between two looks whether the store answers. A store that falls silent keeps connections alive
/// and swallows the watches that wait there, so the kernel's probes do not show it.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// The kind of the small object that is looked at.
const PROBE_KIND: &str = "leases";

/// Its name.
const PROBE_NAME: &str = "scheduling";

/// Whether the store answers this process. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Availability {
    recovered: Rc<Notify>,
    is_lost: Rc<Cell<bool>>,
}

impl Availability {
    /// Returns when the store answers again after it did not.
    pub async fn recovered(&self) {
        self.recovered.notified().await;
    }

    /// An error while the store is known not to answer, so that callers hear at once what would
    /// otherwise take a timeout.
    ///
    /// # Errors
    /// [`Error::NotDone`] while looks fail.
    pub fn check(&self, call: &str) -> Result<(), Error> {
        if !self.is_lost.get() {
            return Ok(());
        }
        Err(Error::NotDone {
            call: call.to_owned(),
            problem: "the store does not answer looks".to_owned(),
        })
    }

    /// Waits `pause` before a failed call is made again, or longer while the store is known not to
    /// answer: calls are paid for, and looks cost a tenth.
    pub async fn pause(&self, pause: Duration) {
        if !self.is_lost.get() {
            return tokio::time::sleep(pause).await;
        }
        tokio::select! {
            () = tokio::time::sleep(LOST_PAUSE) => {}
            () = self.recovered() => {}
        }
    }

    /// Looks for ever. Whoever waits for the store asks anew when it answers again.
    pub async fn run_probes(self, client: Client) {
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let probe = client.get_stale(PROBE_KIND, PROBE_NAME);
            let is_answered = matches!(
                tokio::time::timeout(PROBE_TIMEOUT, probe).await,
                Ok(Ok(_) | Err(Error::Missing { .. }))
            );
            let was_lost = self.is_lost.replace(!is_answered);
            if is_answered && was_lost {
                log::info!("store answers again, watches begin anew");
                self.recovered.notify_waiters();
            } else if !is_answered && !was_lost {
                log::warn!("store does not answer");
            }
        }
    }
}

/// News of a kind.
#[derive(Debug)]
pub enum Event<'a> {
    /// All objects of the kind.
    All(&'a [Object]),
    /// An object was created or changed.
    Changed(&'a Object),
    /// An object was removed.
    Removed(&'a Object),
    /// The store does not answer.
    Lost,
}

/// Reports all objects of `kind`, then each change, for ever.
/// After a change the next watch begins `gather` later, so that changes in quick succession cost
/// one call.
pub async fn watch_kind(
    client: Client,
    availability: Availability,
    kind: &str,
    debounce: Duration,
    mut report: impl FnMut(Event),
) {
    let mut pause = FIRST_PAUSE;
    let mut is_lost = false;
    let mut revision = None;
    loop {
        let outcome = match revision {
            None => match list(&client, kind).await {
                Ok((objects, at)) => {
                    report(Event::All(&objects));
                    Ok(at)
                }
                Err(error) => Err(error),
            },
            Some(at) => match watch(&client, &availability, kind, at).await {
                Ok(changes) => {
                    for change in &changes.events {
                        report(if change.is_removed {
                            Event::Removed(&change.object)
                        } else {
                            Event::Changed(&change.object)
                        });
                    }
                    if !changes.events.is_empty() {
                        tokio::time::sleep(debounce).await;
                    }
                    Ok(changes.revision)
                }
                Err(error) => Err(error),
            },
        };
        match outcome {
            Ok(at) => {
                if is_lost {
                    log::info!(kind, revision = at; "store regained");
                    is_lost = false;
                }
                revision = Some(at);
                pause = FIRST_PAUSE;
            }
            Err(Error::HistoryGone { .. }) => {
                log::info!(kind, revision; "store history gone, reading all");
                revision = None;
            }
            Err(error) => {
                if !is_lost {
                    log::warn!(kind, error:%; "store lost");
                    is_lost = true;
                    report(Event::Lost);
                }
                availability.pause(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Watches until a change, or until the store answers again after a silence.
async fn watch(
    client: &Client,
    availability: &Availability,
    kind: &str,
    at: u64,
) -> Result<Changes, Error> {
    tokio::select! {
        changes = client.watch(kind, at, WAIT) => changes,
        () = availability.recovered() => client.watch(kind, at, Duration::ZERO).await,
    }
}

/// Lists all objects of a kind, with the revision from which to watch on.
///
/// # Errors
/// As [`Client::list`].
pub async fn list(client: &Client, kind: &str) -> Result<(Vec<Object>, u64), Error> {
    list_after(client, kind, None).await
}

/// Lists the objects of a kind whose names come after `start`.
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
        // Changes between two pages come again with a watch from the first.
        let first = *revision.get_or_insert(page.revision);
        let is_last = !page.has_more || page.items.is_empty();
        objects.extend(page.items);
        if is_last {
            return Ok((objects, first));
        }
    }
}
