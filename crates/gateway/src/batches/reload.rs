//! Loads of ended batches into memory, so that reads at any gateway need no calls to the store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tamaracksail_adapter::batch;
use tamaracksail_adapter::store::Error;
use tokio::sync::{Mutex, OwnedMutexGuard};

use super::schema::{self, BatchStatus, Manifest};
use super::takeover;
use crate::gateway::{Gateway, now};

/// How long the reader of an ended batch waits until the batch is in memory, before it reads the results from
/// the store. The load also reads the items, which may be larger by far, and waits for other loads. Less
/// than the 2.5 s of clients, and long enough that loads on connections that have gone silent end first.
const RELOAD_WAIT: Duration = Duration::from_millis(1700);

/// Locks that are held while an ended batch is loaded, so that concurrent readers load it once.
#[derive(Debug, Default)]
pub struct Reloads(RefCell<BTreeMap<String, Arc<Mutex<()>>>>);

impl Reloads {
    fn lock(&self, id: &str) -> Arc<Mutex<()>> {
        Arc::clone(self.0.borrow_mut().entry(id.to_owned()).or_default())
    }

    fn remove(&self, id: &str) {
        self.0.borrow_mut().remove(id);
    }
}

/// Returns whether this process schedules and has a batch in memory. An ended batch is reloaded if
/// necessary, for which the caller waits up to [`RELOAD_WAIT`]; the load goes on without it.
pub(super) async fn ensure_loaded(gateway: &Rc<Gateway>, id: &str) -> bool {
    let coordinator = &gateway.coordinator;
    let is_holder =
        coordinator.is_scheduling.get() && coordinator.lease.borrow().fence(now()).is_some();
    let has_log = || coordinator.batches.borrow().log(id).is_some();
    if !is_holder || has_log() {
        return is_holder;
    }
    let load = async {
        let guard = coordinator.reloads.lock(id).lock_owned().await;
        if has_log() {
            return coordinator.is_scheduling.get();
        }
        let task = actix_rt::spawn(load(Rc::clone(gateway), id.to_owned(), guard));
        task.await.unwrap_or(false)
    };
    let outcome = tokio::time::timeout(RELOAD_WAIT, load).await;
    outcome.unwrap_or_else(|_| {
        let waited_ms = RELOAD_WAIT.as_millis();
        log::info!(batch = id, waited_ms; "ended batch not loaded in time, read from the store");
        false
    })
}

/// Loads an ended batch. The guard keeps others from loading it at the same time.
async fn load(gateway: Rc<Gateway>, id: String, _guard: OwnedMutexGuard<()>) -> bool {
    let outcome = reload(&gateway, &id).await;
    gateway.coordinator.reloads.remove(&id);
    outcome.unwrap_or_else(|error| {
        log::info!(batch = id.as_str(), error:%; "batch not reloaded");
        false
    })
}

/// Loads an ended batch into memory, so that reads at any gateway need no calls to the store.
/// Returns `false` if the batch is open, since it is then being loaded already.
///
/// # Errors
/// If the batch cannot be read: [`Error::Missing`] if there is none with this id.
async fn reload(gateway: &Gateway, id: &str) -> Result<bool, Error> {
    let term = gateway.coordinator.term();
    let object = gateway.store.get(schema::MANIFESTS, id).await?;
    let status = object.status::<BatchStatus>().unwrap_or_default();
    if !status.is_some_and(|status| status.is_ended) {
        return Ok(false);
    }
    let manifest = match object.spec::<Manifest>() {
        Ok(manifest) => manifest,
        Err(error) => {
            log::error!(batch = id, error:%; "stored batch is malformed");
            return Ok(false);
        }
    };
    if gateway.coordinator.term() != term {
        return Ok(false);
    }
    // It may be open here, or about to be, if the watch of manifests does not show its end yet.
    gateway.coordinator.end_batch(id);
    let _load = takeover::Load::begin(gateway, id);
    let _reading = gateway.coordinator.reads.begin(manifest.parts).await;
    let (body, results, chunks) =
        takeover::read_batch(gateway, id, &manifest, takeover::EarlierScheduler::Possible).await?;
    if gateway.coordinator.term() != term {
        return Ok(false);
    }
    let items = match batch::parse(&body) {
        Ok(submission) => submission.items,
        Err(error) => {
            log::error!(batch = id, error:%; "stored batch is malformed");
            return Ok(false);
        }
    };
    let item_bodies = items.into_iter().map(|item| (item.id, item.body)).collect();
    let result_log = takeover::result_log(gateway, &manifest, (results, chunks), item_bodies);
    gateway.coordinator.restore_batch(id, result_log);
    takeover::evict(gateway);
    Ok(true)
}
