//! Takeover of scheduling: loads all open batches from the store, and watches for new ones.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tamaracksail_adapter::engine::AnnouncedVersion;
use tamaracksail_adapter::store::{Error, Object};
use tamaracksail_adapter::{batch, names};
use tamaracksail_model::batch::ItemResult;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::batch::{Submission, item_expiry};
use tamaracksail_policy::freshness::Fact;
use tokio::sync::Notify;

use super::result_log::ResultLog;
use super::schema::{self, BatchStatus, Chunk, Manifest, Part};
use super::service::resolve_service;
use super::{lease_loop, partial_texts, retention};
use crate::gateway::{Gateway, now};
use crate::store::{self, Event, Watched};

/// The delay before a failed read of a batch is repeated.
const READ_RETRY_DELAY: Duration = Duration::from_millis(300);

/// How old a manifest may be when its batch is added to the scheduler without another look at it. Loads
/// take milliseconds unless connections to the store have gone silent, and then the watch is silent too.
const MAX_MANIFEST_AGE: Duration = Duration::from_millis(250);

/// The divisor of the process's memory that limits the result logs.
const MEMORY_DIVISOR: usize = 4;

/// How long the items of a batch may take if their route does not configure it.
const DEFAULT_PATIENCE: Duration = Duration::from_mins(1);

/// Starts scheduling. `previous_holder` is the address of the previous holder of the lease, if that
/// is another process. Batches are read while the partial texts of their items are loaded, and are
/// added to the scheduler afterwards.
pub fn start(gateway: &Rc<Gateway>, previous_holder: Option<SocketAddr>) {
    let coordinator = &gateway.coordinator;
    coordinator.start_scheduling();
    let max_bytes = gateway.settings.borrow().max_value_bytes;
    let mut scheduler = coordinator.scheduler.borrow_mut();
    scheduler.limit_writes(max_bytes / partial_texts::TEXT_LENGTH_DIVISOR, max_bytes);
    drop(scheduler);
    gateway.metrics.scheduling.set(1);
    log::info!("scheduling started");
    let mut abort_handles = coordinator.abort_handles.borrow_mut();
    for (index, task) in [
        actix_rt::spawn(partial_texts::load(Rc::clone(gateway), previous_holder)),
        actix_rt::spawn(watch_manifests(Rc::clone(gateway))),
        actix_rt::spawn(watch_versions(Rc::clone(gateway))),
        actix_rt::spawn(retention::run(Rc::clone(gateway))),
        actix_rt::spawn(partial_texts::write_checkpoints(Rc::clone(gateway))),
    ]
    .into_iter()
    .enumerate()
    {
        // Run numbers count up from one, so these numbers are free.
        abort_handles.insert(u64::MAX - index as u64, task.abort_handle());
    }
    drop(abort_handles);
    coordinator.wake_scheduler();
}

/// Watches the versions that trainers announce.
async fn watch_versions(gateway: Rc<Gateway>) {
    let client = gateway.store.clone();
    store::watch_kind(
        client,
        gateway.store_availability.clone(),
        Watched {
            kind: names::VERSION_KIND,
            fact: Fact::Versions,
            debounce: Duration::ZERO,
        },
        |event| match event {
            Event::All(objects) => objects
                .iter()
                .for_each(|object| apply_version(&gateway, object)),
            Event::Changed(object) => apply_version(&gateway, object),
            Event::Removed(_)
            | Event::Answered(_)
            | Event::WatchLost
            | Event::StoreFailed
            | Event::Overdue => {}
        },
    )
    .await;
}

fn apply_version(gateway: &Gateway, object: &Object) {
    match AnnouncedVersion::parse(object) {
        Ok(announced) => {
            log::info!(
                model = announced.model.as_str(), version = announced.version,
                revision = object.revision;
                "version announced"
            );
            let mut scheduler = gateway.coordinator.scheduler.borrow_mut();
            scheduler.version_announced(&announced.model, announced.version);
        }
        Err(error) => {
            log::warn!(name = object.name.as_str(), error:%; "announced version is malformed");
        }
    }
    gateway.coordinator.wake_scheduler();
}

/// Watches manifests, to schedule new batches and end batches whose clients have ended them.
async fn watch_manifests(gateway: Rc<Gateway>) {
    let client = gateway.store.clone();
    store::watch_kind(
        client,
        gateway.store_availability.clone(),
        Watched {
            kind: schema::MANIFESTS,
            fact: Fact::Batches,
            debounce: Duration::ZERO,
        },
        |event| match event {
            // An earlier scheduler may have written results of batches that exist already.
            Event::All(objects) => objects
                .iter()
                .for_each(|object| apply_manifest(&gateway, object, EarlierScheduler::Possible)),
            Event::Changed(object) => apply_manifest(&gateway, object, EarlierScheduler::None),
            Event::Removed(object) => gateway.coordinator.forget_batch(&object.name),
            Event::Answered(_) | Event::WatchLost | Event::StoreFailed | Event::Overdue => {}
        },
    )
    .await;
}

/// Loads a batch of which another gateway has told. A holder before this process may have had it.
pub fn apply_announced(gateway: &Rc<Gateway>, object: &Object) {
    apply_manifest(gateway, object, EarlierScheduler::Possible);
}

/// Whether another process may have scheduled a batch before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EarlierScheduler {
    /// Writes of its results may still be in flight.
    Possible,
    /// The batch was accepted after this process acquired the lease.
    None,
}

/// Loads or ends a batch according to its manifest.
fn apply_manifest(gateway: &Rc<Gateway>, object: &Object, earlier_scheduler: EarlierScheduler) {
    let id = object.name.clone();
    let status = object.status::<BatchStatus>().unwrap_or_default();
    if status.is_some_and(|status| status.is_ended) {
        gateway.coordinator.end_batch(&id);
        return;
    }
    if !gateway.coordinator.batches.borrow().may_open(&id) {
        return;
    }
    match object.spec::<Manifest>() {
        Ok(manifest) => {
            actix_rt::spawn(load_batch(
                Rc::clone(gateway),
                id,
                manifest,
                earlier_scheduler,
            ));
        }
        Err(error) => log::error!(batch = id.as_str(), error:%; "stored batch is malformed"),
    }
}

/// Reads a batch from the store, and adds it to the scheduler.
async fn load_batch(
    gateway: Rc<Gateway>,
    id: String,
    manifest: Manifest,
    earlier_scheduler: EarlierScheduler,
) {
    let coordinator = &gateway.coordinator;
    let term = coordinator.term();
    let is_wanted = || {
        term.is_some() && coordinator.term() == term && coordinator.batches.borrow().may_open(&id)
    };
    let _load = Load::begin(&gateway, &id);
    let begin = now();
    if !gateway.configuration.has(manifest.routes_version) {
        log::info!(
            batch = id.as_str(), accepted_under = manifest.routes_version,
            in_force = gateway.configuration.version();
            "batch waits for newer routes"
        );
        gateway
            .metrics
            .batches
            .with_label_values(&["waiting"])
            .inc();
        gateway
            .configuration
            .wait_for(manifest.routes_version)
            .await;
    }
    loop {
        let reading = coordinator.reads.begin(manifest.parts).await;
        if !is_wanted() {
            return;
        }
        match read_batch(&gateway, &id, &manifest, earlier_scheduler).await {
            Ok((body, results, chunks)) => {
                // The read ends with the term: others wait for it.
                coordinator.partial_texts.wait_while(is_wanted).await;
                if now().since(begin) >= MAX_MANIFEST_AGE {
                    end_if_stored(&gateway, &id, begin).await;
                }
                if is_wanted() {
                    schedule(&gateway, &id, &manifest, &body, results, chunks);
                }
                return;
            }
            Err(error) => {
                drop(reading);
                log::warn!(batch = id.as_str(), error:%; "batch not read");
                tokio::time::sleep(READ_RETRY_DELAY).await;
            }
        }
    }
}

/// Ends a batch whose end the store has, although the watch of manifests does not show it. `since` is
/// when the load of the batch began.
async fn end_if_stored(gateway: &Gateway, id: &str, since: Instant) {
    let age_ms = now().since(since).as_millis();
    match lease_loop::with_timeout(gateway.store.get(schema::MANIFESTS, id)).await {
        Ok(object) => {
            let status = object.status::<BatchStatus>().unwrap_or_default();
            let is_ended = status.is_some_and(|status| status.is_ended);
            log::info!(batch = id, age_ms, is_ended; "manifest read again after a long load");
            if is_ended {
                gateway.coordinator.end_batch(id);
            }
        }
        Err(Error::Missing { .. }) => gateway.coordinator.forget_batch(id),
        // The watch will show the end.
        Err(error) => log::info!(batch = id, age_ms, error:%; "manifest not read again"),
    }
}

/// Returns the log of a batch that was read from the store.
pub(super) fn result_log(
    gateway: &Gateway,
    manifest: &Manifest,
    (results, next_chunk): (Vec<ItemResult>, usize),
    item_bodies: Vec<(String, Bytes)>,
) -> ResultLog {
    let bodies = item_bodies.iter().map(|(_, body)| body.len());
    let texts = results.iter().map(|result| result.text.len());
    let bytes = bodies.chain(texts).sum();
    ResultLog {
        account: manifest.account.clone(),
        total: manifest.total,
        results,
        is_writing: false,
        next_chunk,
        changed: Notify::new().into(),
        sequence: gateway.coordinator.next_sequence(),
        bytes,
        item_bodies,
    }
}

/// Evicts old result logs beyond the memory limit.
pub(super) fn evict(gateway: &Gateway) {
    let memory_bytes =
        usize::try_from(gateway.settings.borrow().memory_bytes).unwrap_or(usize::MAX);
    retention::evict(gateway, memory_bytes / MEMORY_DIVISOR);
}

/// A load of a batch from the store, which ends when it is dropped.
pub(super) struct Load<'a> {
    gateway: &'a Gateway,
    id: &'a str,
}

impl<'a> Load<'a> {
    pub(super) fn begin(gateway: &'a Gateway, id: &'a str) -> Self {
        gateway.coordinator.batches.borrow_mut().begin_load(id);
        Self { gateway, id }
    }
}

impl Drop for Load<'_> {
    fn drop(&mut self) {
        let coordinator = &self.gateway.coordinator;
        coordinator.batches.borrow_mut().end_load(self.id);
    }
}

/// Reads a batch from the store, and seals its results if an earlier scheduler may still write
/// some. Returns its body, its results and the number of the next chunk.
pub(super) async fn read_batch(
    gateway: &Gateway,
    id: &str,
    manifest: &Manifest,
    earlier_scheduler: EarlierScheduler,
) -> Result<(Bytes, Vec<ItemResult>, usize), Error> {
    let kind = schema::batch_kind(id);
    let account = manifest.account.as_deref();
    let parts: BTreeSet<String> = (0..manifest.parts)
        .map(|number| schema::part_name(account, number))
        .collect();
    // Another account may have stored parts under the same id before.
    let is_part = |name: &str| parts.contains(name);
    let mut body = String::new();
    let mut results = Vec::new();
    let mut chunks = 0;
    let visit = |object: Object| {
        if schema::chunk_number(&object.name).is_some() {
            match object.spec::<Chunk>() {
                Ok(chunk) => results.extend(chunk.results),
                Err(error) => log::error!(batch = id, error:%; "stored results are malformed"),
            }
            chunks += 1;
        } else if is_part(&object.name) {
            match object.spec::<Part>() {
                Ok(part) => {
                    body.reserve_exact(part.text.len());
                    body.push_str(&part.text);
                }
                Err(error) => log::error!(batch = id, error:%; "stored part is malformed"),
            }
        }
    };
    store::visit(&gateway.store, &kind, visit).await?;
    log::info!(batch = id, parts = manifest.parts, chunks, results = results.len(); "batch read");
    if earlier_scheduler == EarlierScheduler::Possible {
        chunks = seal(gateway, id, manifest.total, &mut results, chunks).await?;
    }
    Ok((body.into(), results, chunks))
}

/// Writes an empty chunk, the seal, after the last chunk, so that a chunk of an earlier scheduler
/// that is still in flight can no longer be created. Adds results of chunks that were created
/// meanwhile to `results`. Returns the number of the next chunk.
async fn seal(
    gateway: &Gateway,
    id: &str,
    total: usize,
    results: &mut Vec<ItemResult>,
    mut next_chunk: usize,
) -> Result<usize, Error> {
    let kind = schema::batch_kind(id);
    loop {
        let empty = Chunk {
            total,
            first: results.len(),
            results: Vec::new(),
        };
        let name = schema::chunk_name(next_chunk);
        next_chunk += 1;
        match gateway.store.create(&kind, &name, &empty).await {
            Ok(_) => return Ok(next_chunk),
            Err(Error::Conflict { .. }) => {}
            Err(error) => return Err(error),
        }
        let object = gateway.store.get(&kind, &name).await?;
        match object.spec::<Chunk>() {
            Ok(chunk) if chunk == empty => return Ok(next_chunk),
            Ok(chunk) => results.extend(chunk.results),
            Err(error) => log::error!(batch = id, error:%; "stored results are malformed"),
        }
    }
}

/// Adds a stored batch to the scheduler, unless this process does not schedule or already has the
/// batch. One that was accepted under newer routes than those in force is left to the watch of
/// manifests: its route would seem to have ended.
pub fn schedule(
    gateway: &Gateway,
    id: &str,
    manifest: &Manifest,
    body: &Bytes,
    results: Vec<ItemResult>,
    chunks: usize,
) {
    let coordinator = &gateway.coordinator;
    let is_wanted = coordinator.batches.borrow().may_open(id);
    // Until the partial texts are loaded, batches are only added by the watch of manifests.
    if !coordinator.is_scheduling.get() || !is_wanted || !coordinator.partial_texts.is_ready() {
        return;
    }
    let table = gateway.table();
    let Some(table) = table.filter(|table| table.version >= manifest.routes_version) else {
        return;
    };
    let submission = match batch::parse(body) {
        Ok(submission) => submission,
        Err(error) => {
            log::error!(batch = id, error:%; "stored batch is malformed");
            return;
        }
    };
    let submission_route = manifest.submission_route();
    let route = table.find_submission(&submission_route);
    let batching = route.and_then(|route| route.batching.as_ref());
    let patience = batching.map_or(DEFAULT_PATIENCE, |batching| batching.patience);
    let due = batching.map_or(patience, |batching| batching.due);
    let (at, time) = (now(), gateway.clock.estimate());
    let expires = item_expiry(at, time, manifest.submitted(), patience);
    let item_bodies: Vec<(String, Bytes)> = submission
        .items
        .iter()
        .map(|item| (item.id.clone(), item.body.clone()))
        .collect();
    let with_result: BTreeSet<String> = results.iter().map(|result| result.item.clone()).collect();
    let scheduler_submission = Submission {
        route: submission_route,
        account: manifest.account.clone(),
        model: submission.model,
        min_version: submission.min_version,
        target_groups: submission.target_groups,
        items: submission.items,
        with_result,
        is_single_version: batching.is_some_and(|batching| batching.is_single_version),
        max_attempts: route.map_or(1, |route| route.max_attempts),
        due: item_expiry(at, time, manifest.submitted(), due),
        expires,
    };
    log::info!(
        batch = id, step = submission.step, min_version = scheduler_submission.min_version,
        items = scheduler_submission.items.len(), listed = results.len(),
        left_ms = expires.since(at).as_millis(), time_error_ms = time.map(|time| time.error_ms);
        "batch added to the scheduler"
    );
    let submit = || {
        let mut scheduler = coordinator.scheduler.borrow_mut();
        let batch = scheduler.submit(now(), scheduler_submission, |route, preferred| {
            resolve_service(&table, route, preferred)
        });
        let result_log = result_log(gateway, manifest, (results, chunks), item_bodies);
        (batch, result_log)
    };
    coordinator.batches.borrow_mut().open(id, submit);
    evict(gateway);
    coordinator.wake_scheduler();
}
