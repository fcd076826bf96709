//! The record of the software versions of each service with resumable streams, in the platform's
//! store. It outlives all gateways.
//!
//! A stream begins only at a server whose version the store has acknowledged in the record. So a stream
//! of which no gateway has a copy began at one of the versions that a read after the interruption
//! returns.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::store::{Error, Object};
use tamaracksail_adapter::{Malformed, discovery, names};
use tamaracksail_model::backend::Registration;
use tamaracksail_model::route::{Kind, Route};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::ServerKey;
use tamaracksail_policy::freshness::Fact;
use tamaracksail_policy::streams::{Observed, SETTLE_TIME, SoftwareRecord};
use tokio::sync::Notify;

use crate::gateway::{Gateway, now};
use crate::store::{self, Event, Watched};

/// The kind of the records. Each has the name of a service.
const KIND: &str = "software";

/// The longest random delay before a gateway writes a version that has just been registered. All see it
/// at once, and with the delay mostly a few write.
const MAX_RANDOM_DELAY: Duration = Duration::from_millis(100);

/// The time between two checks while a record is not complete or has a version that may be removed.
const CHECK_INTERVAL: Duration = Duration::from_millis(2500);

/// The pause before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// How long the first event of a stream waits for its version to be recorded. Clients give up after a
/// gap of two seconds.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// The time limit on the read of a record for a stream that a client takes up.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// A record as the store acknowledged it.
#[derive(Debug)]
struct Known {
    revision: u64,
    record: SoftwareRecord,
    /// Since when this process has known a record of the service.
    since: Instant,
}

/// The records that this process knows.
#[derive(Debug, Default)]
pub struct Software {
    /// By service; none until all have been read.
    known: RefCell<Option<BTreeMap<String, Known>>>,
    /// Whether a stream waits for a version to be recorded.
    is_urgent: Cell<bool>,
    /// Wakes the task that writes records.
    wake: Notify,
    /// Notifies of changes of `known`.
    changed: Notify,
}

impl Software {
    /// Makes the records be checked.
    pub(super) fn check(&self) {
        self.wake.notify_one();
    }

    /// Whether the record of a service is known and has a version.
    fn has(&self, service: &str, version: &str) -> bool {
        let known = self.known.borrow();
        let found = known.as_ref().and_then(|known| known.get(service));
        found.is_some_and(|found| found.record.versions.contains(version))
    }

    /// Records an object that the store returned.
    fn merge(&self, object: &Object) {
        let record = match object.spec::<SoftwareRecord>() {
            Ok(record) => record,
            Err(error) => {
                log::error!(service = object.name.as_str(), error:%; "record of software versions is malformed");
                return;
            }
        };
        let mut known = self.known.borrow_mut();
        let known = known.get_or_insert_default();
        let before = known.get(&object.name);
        if before.is_some_and(|before| before.revision >= object.revision) {
            return;
        }
        log::info!(
            service = object.name.as_str(), versions:? = record.versions,
            is_complete = record.is_complete, revision = object.revision;
            "record of software versions"
        );
        let since = before.map_or_else(now, |before| before.since);
        let revision = object.revision;
        let next = Known {
            revision,
            record,
            since,
        };
        known.insert(object.name.clone(), next);
        self.changed.notify_waiters();
    }
}

/// Starts to read and write the records.
pub(super) fn start(gateway: &Rc<Gateway>) {
    actix_rt::spawn(watch(Rc::clone(gateway)));
    actix_rt::spawn(maintain(Rc::clone(gateway)));
}

async fn watch(gateway: Rc<Gateway>) {
    let software = &gateway.streams.software;
    store::watch_kind(
        gateway.store.clone(),
        gateway.store_availability.clone(),
        Watched {
            kind: KIND,
            fact: Fact::Software,
            debounce: Duration::ZERO,
        },
        |event| {
            match event {
                Event::All(objects) => {
                    let exists = |service: &str| objects.iter().any(|found| found.name == service);
                    software
                        .known
                        .borrow_mut()
                        .get_or_insert_default()
                        .retain(|service, _| exists(service));
                    for object in objects {
                        software.merge(object);
                    }
                }
                Event::Changed(object) => software.merge(object),
                Event::Removed(object) => {
                    log::warn!(service = object.name.as_str(); "record of software versions was removed");
                    if let Some(known) = &mut *software.known.borrow_mut() {
                        known.remove(&object.name);
                    }
                }
                Event::Answered(_) | Event::WatchLost | Event::StoreFailed | Event::Overdue => return,
            }
            software.changed.notify_waiters();
            software.check();
        },
    )
    .await;
}

/// Makes the records be checked if a registered server's version is not recorded, or none of its
/// version may be left.
pub(super) fn observe(gateway: &Gateway, server: &Registration) {
    let software = &gateway.streams.software;
    let is_registered = gateway
        .fleet
        .borrow()
        .registered(&server.instance)
        .is_some_and(|found| found.software == server.software);
    if !is_registered || !software.has(&server.service, &server.software) {
        software.check();
    }
}

/// Writes what changes in the records. Never returns.
async fn maintain(gateway: Rc<Gateway>) {
    let software = &gateway.streams.software;
    loop {
        let resumable = services(&gateway);
        let is_changing = resumable
            .iter()
            .any(|service| is_changing(&gateway, service));
        if is_changing {
            // Whether it was notified or timed out, the records are checked.
            drop(tokio::time::timeout(CHECK_INTERVAL, software.wake.notified()).await);
        } else {
            software.wake.notified().await;
        }
        if !software.is_urgent.replace(false) {
            tokio::time::sleep(MAX_RANDOM_DELAY.mul_f64(rand::random())).await;
        }
        for service in services(&gateway) {
            if let Err(error) = update(&gateway, &service).await {
                log::warn!(service, error:%; "software versions not recorded");
                gateway.store_availability.pause(RETRY_DELAY).await;
                software.check();
            }
        }
    }
}

/// The services that have resumable streams.
fn services(gateway: &Gateway) -> BTreeSet<String> {
    let Some(table) = gateway.table() else {
        return BTreeSet::new();
    };
    let is_resumable = |route: &&Route| route.kind == Kind::Stream && route.is_resumable;
    let routes = table.routes().filter(is_resumable);
    let targets = routes.flat_map(|route| &route.targets);
    targets.map(|target| target.service.clone()).collect()
}

fn is_changing(gateway: &Gateway, service: &str) -> bool {
    let known = gateway.streams.software.known.borrow();
    let Some(found) = known.as_ref().and_then(|known| known.get(service)) else {
        return false;
    };
    found
        .record
        .is_changing(&observed(gateway, service, Some(found.since)))
}

/// Returns what this process has observed of a service, of which it has known a record since
/// `known_since`.
fn observed(gateway: &Gateway, service: &str, known_since: Option<Instant>) -> Observed {
    let at = now();
    let fleet = gateway.fleet.borrow();
    let versions = gateway.streams.versions.borrow();
    Observed {
        registered: fleet
            .registrations()
            .filter(|server| server.service == service)
            .map(|server| server.software.clone())
            .collect(),
        recent: versions.recent(at, service),
        is_settled: versions.is_settled(at),
        has_known_record: known_since.is_some_and(|since| at.since(since) >= SETTLE_TIME),
    }
}

/// Writes the record of a service if it changes.
async fn update(gateway: &Gateway, service: &str) -> Result<(), Error> {
    let software = &gateway.streams.software;
    let found = {
        let known = software.known.borrow();
        let Some(known) = known.as_ref() else {
            return Ok(());
        };
        known
            .get(service)
            .map(|found| (found.revision, found.record.clone(), found.since))
    };
    let observed = observed(gateway, service, found.as_ref().map(|found| found.2));
    let outcome = if let Some((revision, record, _)) = found {
        let mut removed = record.removable(&observed);
        if !removed.is_empty() {
            // The list of servers in memory may be late.
            let registered = read_registered(gateway, service).await?;
            removed.retain(|version| !registered.contains(version));
        }
        let next = record.updated(&observed, &removed);
        if next == record {
            return Ok(());
        }
        gateway.store.replace(KIND, service, revision, &next).await
    } else {
        if observed.registered.is_empty() {
            return Ok(());
        }
        let is_bootstrap = gateway.settings.borrow().is_bootstrap;
        let first = SoftwareRecord::first(&observed, is_bootstrap);
        gateway.store.create(KIND, service, &first).await
    };
    match outcome {
        Ok(object) => software.merge(&object),
        Err(Error::Conflict { object, .. }) => {
            // Another gateway has written. What is still missing is written in the next pass.
            if let Some(object) = object {
                software.merge(&object);
            }
            software.check();
        }
        Err(error) => return Err(error),
    }
    Ok(())
}

/// Reads the versions of the servers of a service that are registered.
async fn read_registered(gateway: &Gateway, service: &str) -> Result<BTreeSet<String>, Error> {
    let (objects, _) = store::list(&gateway.store, names::SERVER_KIND).await?;
    let servers = objects.iter().filter_map(|object| {
        let parsed = discovery::parse(object);
        parsed
            .inspect_err(|error| {
                log::warn!(server = object.name.as_str(), error:%; "malformed server registration");
            })
            .ok()
    });
    let of_service = servers.filter(|server| server.service == service);
    Ok(of_service.map(|server| server.software).collect())
}

/// Returns the servers of a service at which no stream can begin yet, as their versions are not
/// recorded.
pub fn unrecorded(gateway: &Gateway, service: &str) -> Vec<ServerKey> {
    let fleet = gateway.fleet.borrow();
    let servers = fleet.ready_servers(service);
    let software = &gateway.streams.software;
    let unrecorded = servers.filter(|(_, server)| !software.has(service, &server.software));
    unrecorded.map(|(key, _)| key).collect()
}

/// Waits until a version of a service is recorded, so that a stream can begin at it. Returns `false`
/// if that takes too long.
///
/// Before there is any record, a stream also begins without: nothing relies on the record until it has
/// existed for long, except in a new deployment.
pub async fn wait_until_recorded(gateway: &Gateway, service: &str, version: &str) -> bool {
    let software = &gateway.streams.software;
    let deadline = now().after(RECORD_TIMEOUT);
    loop {
        let changed = software.changed.notified();
        if software.has(service, version) {
            return true;
        }
        let left = deadline.since(now());
        if left.is_zero() {
            break;
        }
        software.is_urgent.set(true);
        software.check();
        // Whether it was notified or timed out, the loop checks again.
        drop(tokio::time::timeout(left, changed).await);
    }
    let is_absent = {
        let known = software.known.borrow();
        known
            .as_ref()
            .is_some_and(|known| !known.contains_key(service))
    };
    log::warn!(service, version, is_absent; "software version not recorded in time");
    is_absent && !gateway.settings.borrow().is_bootstrap
}

/// Reads the record of a service, for a stream that a client takes up. Returns `None` if there is none.
///
/// # Errors
/// If the store does not answer, or the record is malformed.
pub(super) async fn read(
    gateway: &Gateway,
    service: &str,
) -> Result<Option<SoftwareRecord>, Unread> {
    gateway.store_availability.check("software versions")?;
    let read = gateway.store.get(KIND, service);
    match tokio::time::timeout(READ_TIMEOUT, read).await? {
        Ok(object) => Ok(Some(object.spec::<SoftwareRecord>()?)),
        Err(Error::Missing { .. }) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

/// Returns whether all servers of a service that are registered have a version, from a list read now.
///
/// # Errors
/// If the store does not answer.
pub(super) async fn is_only_registered(
    gateway: &Gateway,
    service: &str,
    version: &str,
) -> Result<bool, Unread> {
    let list = read_registered(gateway, service);
    let registered = tokio::time::timeout(READ_TIMEOUT, list).await??;
    Ok(registered.iter().all(|found| found == version))
}

/// Why software versions could not be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum Unread {
    /// The call failed.
    #[error(transparent)]
    Failed(#[from] Error),
    /// The store did not answer in time.
    #[error("no answer of the store in time: {0}")]
    Late(#[from] tokio::time::error::Elapsed),
    /// The record is malformed.
    #[error(transparent)]
    Malformed(#[from] Malformed),
}
