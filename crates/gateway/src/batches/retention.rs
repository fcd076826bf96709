//! Removes batches from the store when their retention ends, and results from memory when they
//! exceed the limit.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::store::Error;
use tamaracksail_policy::batch::{Retention, Stored};

use super::schema::{self, BatchStatus, Manifest};
use crate::gateway::{Gateway, now};
use crate::store;

/// The number of removal passes per retention period, so that a batch stays at most a quarter
/// longer.
const PASSES_PER_RETENTION: u32 = 4;

/// The shortest time between two passes. Each lists all manifests.
const MIN_PASS_INTERVAL: Duration = Duration::from_secs(1);

/// Removes expired batches periodically. The coordinator aborts it when scheduling stops.
pub async fn run(gateway: Rc<Gateway>) {
    let mut known = Retention::default();
    loop {
        let retention = gateway.settings.borrow().retention;
        tokio::time::sleep((retention / PASSES_PER_RETENTION).max(MIN_PASS_INTERVAL)).await;
        match expired(&gateway, &mut known, retention).await {
            Ok(batches) => {
                for id in batches {
                    if let Err(error) = remove(&gateway, &id).await {
                        log::warn!(batch = id.as_str(), error:%; "batch not removed");
                    }
                }
            }
            Err(error) => log::warn!(error:%; "expired batches not listed"),
        }
    }
}

/// Returns the batches whose retention has ended.
async fn expired(
    gateway: &Gateway,
    known: &mut Retention,
    retention: Duration,
) -> Result<Vec<String>, Error> {
    let (manifests, _) = store::list(&gateway.store, schema::MANIFESTS).await?;
    let mut stored = Vec::new();
    for object in manifests {
        let manifest = match object.spec::<Manifest>() {
            Ok(manifest) => manifest,
            Err(error) => {
                log::error!(batch = object.name.as_str(), error:%; "stored batch is malformed");
                continue;
            }
        };
        let status = object.status::<BatchStatus>().unwrap_or_default();
        stored.push(Stored {
            id: object.name,
            submitted: manifest.submitted(),
            is_ended: status.is_some_and(|status| status.is_ended),
        });
    }
    Ok(known.expired(now(), gateway.clock.estimate(), stored, retention))
}

/// Removes a batch. The manifest is removed last, so that a later pass resumes an interrupted
/// removal.
async fn remove(gateway: &Gateway, id: &str) -> Result<(), Error> {
    let kind = schema::batch_kind(id);
    let (objects, _) = store::list(&gateway.store, &kind).await?;
    let count = objects.len();
    for object in objects {
        ignore_missing(gateway.store.remove(&kind, &object.name).await)?;
    }
    ignore_missing(gateway.store.remove(schema::MANIFESTS, id).await)?;
    gateway.coordinator.forget_batch(id);
    log::info!(batch = id, objects = count; "batch removed");
    Ok(())
}

/// Treats an object that no longer exists as removed.
fn ignore_missing(outcome: Result<(), Error>) -> Result<(), Error> {
    match outcome {
        Err(Error::Missing { .. }) => Ok(()),
        other => other,
    }
}

/// Evicts result logs of ended batches, the oldest first, while all logs together exceed
/// `max_bytes`. Reads of an evicted batch go to the store.
pub fn evict(gateway: &Gateway, max_bytes: usize) {
    let mut batches = gateway.coordinator.batches.borrow_mut();
    let mut ended: BTreeMap<u64, (String, usize)> = BTreeMap::new();
    let mut total = 0;
    for (id, result_log, is_open) in batches.logs() {
        total += result_log.bytes;
        if !is_open {
            ended.insert(result_log.sequence, (id.to_owned(), result_log.bytes));
        }
    }
    for (id, bytes) in ended.into_values() {
        if total <= max_bytes {
            return;
        }
        total -= bytes;
        log::info!(batch = id.as_str(), bytes; "results evicted from memory");
        batches.drop_log(&id);
    }
}
