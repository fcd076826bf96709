//! Removes batches from the store that nobody may ask for any more.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::store::Error;

use super::schema::{self, BatchStatus, Manifest};
use crate::gateway::{Gateway, unix_millis};
use crate::store;

/// Sweeps in the time for which results are kept, so that a batch stays a quarter longer at most.
const SWEEPS: u32 = 4;

/// The shortest time between two sweeps: each lists all heads.
const SHORTEST: Duration = Duration::from_secs(1);

/// How many times longer a batch is kept that its client never ended.
const ABANDONED: u32 = 30;

/// Sweeps for as long as this process schedules.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        let retention = gateway.settings.borrow().retention;
        tokio::time::sleep((retention / SWEEPS).max(SHORTEST)).await;
        match old(&gateway, retention).await {
            Ok(batches) => {
                for id in batches {
                    if let Err(error) = remove(&gateway, &id).await {
                        log::warn!(batch = id.as_str(), error:%; "batch not removed");
                    }
                }
            }
            Err(error) => log::warn!(error:%; "old batches not listed"),
        }
    }
}

/// The batches whose time is over.
async fn old(gateway: &Gateway, retention: Duration) -> Result<Vec<String>, Error> {
    let (heads, _) = store::list(&gateway.store, schema::MANIFESTS).await?;
    let mut old = Vec::new();
    for object in heads {
        let manifest = match object.spec::<Manifest>() {
            Ok(manifest) => manifest,
            Err(error) => {
                log::error!(batch = object.name.as_str(), error:%; "batch cannot be read");
                continue;
            }
        };
        let progress = object.status::<BatchStatus>().unwrap_or_default();
        let is_ended = progress.is_some_and(|progress| progress.is_ended);
        let age = Duration::from_millis(unix_millis().saturating_sub(manifest.submitted));
        let limit = if is_ended {
            retention
        } else {
            retention * ABANDONED
        };
        if age > limit {
            old.push(object.name);
        }
    }
    Ok(old)
}

/// Removes a batch: its head last, so that an interrupted removal is taken up again.
async fn remove(gateway: &Gateway, id: &str) -> Result<(), Error> {
    let kind = schema::batch_kind(id);
    let (objects, _) = store::list(&gateway.store, &kind).await?;
    let count = objects.len();
    for object in objects {
        gone(gateway.store.remove(&kind, &object.name).await)?;
    }
    gone(gateway.store.remove(schema::MANIFESTS, id).await)?;
    let coordinator = &gateway.coordinator;
    coordinator.end(id);
    coordinator.result_logs.borrow_mut().remove(id);
    coordinator.ended_batches.borrow_mut().remove(id);
    log::info!(batch = id, objects = count; "batch removed");
    Ok(())
}

/// What is gone already counts as removed.
fn gone(outcome: Result<(), Error>) -> Result<(), Error> {
    match outcome {
        Err(Error::Missing { .. }) => Ok(()),
        other => other,
    }
}

/// Forgets results of ended batches in memory beyond `most` bytes, the oldest first. Reads then
/// go to the store.
pub fn trim(gateway: &Gateway, most: usize) {
    let mut result_logs = gateway.coordinator.result_logs.borrow_mut();
    let mut sizes: BTreeMap<u64, (String, usize)> = BTreeMap::new();
    let mut total = 0;
    for (id, result_log) in result_logs.iter() {
        total += result_log.bytes;
        if result_log.batch.is_none() {
            sizes.insert(result_log.sequence, (id.clone(), result_log.bytes));
        }
    }
    for (id, bytes) in sizes.into_values() {
        if total <= most {
            return;
        }
        total -= bytes;
        log::info!(batch = id.as_str(), bytes; "results left to the store");
        result_logs.remove(&id);
    }
}
