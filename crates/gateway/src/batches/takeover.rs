//! Takes over all open batches from the store, and follows new ones.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tamaracksail_adapter::engine::AnnouncedVersion;
use tamaracksail_adapter::store::{Error, Object};
use tamaracksail_adapter::{batch, names};
use tamaracksail_model::batch::ItemResult;
use tamaracksail_policy::batch::{BatchKey, Submission};
use tokio::sync::Notify;

use super::coordinator::resolve_service;
use super::result_log::ResultLog;
use super::schema::{self, BatchStatus, Chunk, Manifest, Part};
use super::{partial_texts, retention};
use crate::gateway::{Gateway, now, unix_millis};
use crate::store::{self, Event};

/// The pause before a batch that could not be read is read again.
const REREAD: Duration = Duration::from_millis(300);

/// The share of the process's memory that results may fill, as a divisor.
const MEMORY_SHARE: usize = 4;

/// How long items of routes that do not say it may take.
const PATIENCE: Duration = Duration::from_mins(1);

/// Opens the desk: from now on this process schedules. `before` is the holder before, if it is
/// another process. Batches are read while the text of their items is on its way here, and taken in
/// once it has come.
pub fn open(gateway: &Rc<Gateway>, before: Option<SocketAddr>) {
    let coordinator = &gateway.coordinator;
    coordinator.start_scheduling();
    gateway.metrics.scheduling.set(1);
    log::info!("scheduling started");
    let mut abort_handles = coordinator.abort_handles.borrow_mut();
    for (slot, task) in [
        actix_rt::spawn(partial_texts::take_over(Rc::clone(gateway), before)),
        actix_rt::spawn(follow_heads(Rc::clone(gateway))),
        actix_rt::spawn(follow_versions(Rc::clone(gateway))),
        actix_rt::spawn(retention::run(Rc::clone(gateway))),
        actix_rt::spawn(partial_texts::save(Rc::clone(gateway))),
    ]
    .into_iter()
    .enumerate()
    {
        // Runs count up from one; these end with them.
        abort_handles.insert(u64::MAX - slot as u64, task.abort_handle());
    }
    drop(abort_handles);
    coordinator.wake_scheduler();
}

async fn follow_versions(gateway: Rc<Gateway>) {
    let client = gateway.store.clone();
    store::watch_kind(
        client,
        gateway.store_availability.clone(),
        names::VERSION_KIND,
        Duration::ZERO,
        |event| match event {
            Event::All(objects) => objects.iter().for_each(|object| named(&gateway, object)),
            Event::Changed(object) => named(&gateway, object),
            Event::Removed(_) | Event::Lost => {}
        },
    )
    .await;
}

fn named(gateway: &Gateway, object: &Object) {
    match AnnouncedVersion::parse(object) {
        Ok(named) => {
            log::info!(
                model = named.model.as_str(), version = named.version, revision = object.revision;
                "version named"
            );
            let mut scheduler = gateway.coordinator.scheduler.borrow_mut();
            scheduler.version_announced(&named.model, named.version);
        }
        Err(error) => log::warn!(name = object.name.as_str(), error:%; "version passed over"),
    }
    gateway.coordinator.wake_scheduler();
}

async fn follow_heads(gateway: Rc<Gateway>) {
    let client = gateway.store.clone();
    store::watch_kind(
        client,
        gateway.store_availability.clone(),
        schema::MANIFESTS,
        Duration::ZERO,
        |event| match event {
            // An earlier scheduler may have written results of what stands already.
            Event::All(objects) => objects
                .iter()
                .for_each(|object| apply_manifest(&gateway, object, Earlier::Possible)),
            Event::Changed(object) => apply_manifest(&gateway, object, Earlier::None),
            Event::Removed(object) => gateway.coordinator.end(&object.name),
            Event::Lost => {}
        },
    )
    .await;
}

/// Whether another process may have scheduled a batch before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Earlier {
    /// Results of it may still be on their way to the store.
    Possible,
    /// The batch was accepted after this process took the lease.
    None,
}

fn apply_manifest(gateway: &Rc<Gateway>, object: &Object, earlier: Earlier) {
    let id = object.name.clone();
    let progress = object.status::<BatchStatus>().unwrap_or_default();
    if progress.is_some_and(|progress| progress.is_ended) {
        gateway.coordinator.end(&id);
        return;
    }
    if gateway.coordinator.result_logs.borrow().contains_key(&id) {
        return;
    }
    match object.spec::<Manifest>() {
        Ok(manifest) => {
            actix_rt::spawn(load(Rc::clone(gateway), id, manifest, earlier));
        }
        Err(error) => log::error!(batch = id.as_str(), error:%; "batch passed over"),
    }
}

/// Reads a batch from the store and takes it in.
async fn load(gateway: Rc<Gateway>, id: String, manifest: Manifest, earlier: Earlier) {
    let coordinator = &gateway.coordinator;
    let term = coordinator.term();
    let is_wanted = || {
        term.is_some()
            && coordinator.term() == term
            && !coordinator.result_logs.borrow().contains_key(&id)
            && !coordinator.ended_batches.borrow().contains(&id)
    };
    while is_wanted() {
        match read(&gateway, &id, &manifest, earlier).await {
            Ok((body, results, chunks)) => {
                coordinator.partial_texts.wait().await;
                if is_wanted() {
                    take_in(&gateway, &id, &manifest, &body, results, chunks);
                }
                return;
            }
            Err(error) => {
                log::warn!(batch = id.as_str(), error:%; "batch not read");
                tokio::time::sleep(REREAD).await;
            }
        }
    }
}

/// Takes an ended batch into memory, so that reads at any gateway cost the store nothing. False
/// if it is open, and so on its way here already.
///
/// # Errors
/// If it cannot be read; [`Error::Missing`] if there is no such batch.
pub async fn reload(gateway: &Gateway, id: &str) -> Result<bool, Error> {
    let term = gateway.coordinator.term();
    let object = gateway.store.get(schema::MANIFESTS, id).await?;
    let progress = object.status::<BatchStatus>().unwrap_or_default();
    if !progress.is_some_and(|progress| progress.is_ended) {
        return Ok(false);
    }
    let manifest = match object.spec::<Manifest>() {
        Ok(manifest) => manifest,
        Err(error) => {
            log::error!(batch = id, error:%; "batch cannot be read");
            return Ok(false);
        }
    };
    let (body, results, chunks) = read(gateway, id, &manifest, Earlier::Possible).await?;
    if gateway.coordinator.term() != term {
        return Ok(false);
    }
    let items = match batch::parse(&body) {
        Ok(submission) => submission.items,
        Err(error) => {
            log::error!(batch = id, error:%; "batch cannot be read");
            return Ok(false);
        }
    };
    let bodies = items.into_iter().map(|item| (item.id, item.body)).collect();
    insert_result_log(gateway, id, None, (manifest.total, results, chunks), bodies);
    Ok(true)
}

/// Puts a batch into memory.
fn insert_result_log(
    gateway: &Gateway,
    id: &str,
    batch: Option<BatchKey>,
    (total, results, next_chunk): (usize, Vec<ItemResult>, usize),
    item_bodies: Vec<(String, Bytes)>,
) {
    let coordinator = &gateway.coordinator;
    let bytes = item_bodies
        .iter()
        .map(|(_, body)| body.len())
        .sum::<usize>()
        + results
            .iter()
            .map(|result| result.text.len())
            .sum::<usize>();
    let result_log = ResultLog {
        total,
        results,
        next_chunk,
        changed: Notify::new().into(),
        batch,
        sequence: coordinator.next_sequence(),
        bytes,
        item_bodies,
    };
    coordinator
        .result_logs
        .borrow_mut()
        .insert(id.to_owned(), result_log);
    let memory = usize::try_from(gateway.settings.borrow().memory_bytes).unwrap_or(usize::MAX);
    retention::evict(gateway, memory / MEMORY_SHARE);
}

async fn read(
    gateway: &Gateway,
    id: &str,
    manifest: &Manifest,
    earlier: Earlier,
) -> Result<(Bytes, Vec<ItemResult>, usize), Error> {
    let kind = schema::batch_kind(id);
    let (objects, _) = store::list(&gateway.store, &kind).await?;
    let mut body = String::new();
    let mut results = Vec::new();
    let mut chunks = 0;
    for object in &objects {
        if schema::chunk_number(&object.name).is_some() {
            match object.spec::<Chunk>() {
                Ok(chunk) => results.extend(chunk.results),
                Err(error) => log::error!(batch = id, error:%; "results cannot be read"),
            }
            chunks += 1;
        } else {
            match object.spec::<Part>() {
                Ok(part) => body.push_str(&part.text),
                Err(error) => log::error!(batch = id, error:%; "part cannot be read"),
            }
        }
    }
    log::info!(batch = id, parts = manifest.parts, chunks, results = results.len(); "batch read");
    if earlier == Earlier::Possible {
        chunks = seal(gateway, id, manifest.total, &mut results, chunks).await?;
    }
    Ok((body.into(), results, chunks))
}

/// Writes an empty chunk after the last, so that a chunk of an earlier scheduler that is still on
/// its way can no longer be created. Returns the number of the next chunk.
async fn seal(
    gateway: &Gateway,
    id: &str,
    total: usize,
    results: &mut Vec<ItemResult>,
    mut next: usize,
) -> Result<usize, Error> {
    let kind = schema::batch_kind(id);
    loop {
        let empty = Chunk {
            total,
            first: results.len(),
            results: Vec::new(),
        };
        let name = schema::chunk_name(next);
        next += 1;
        match gateway.store.create(&kind, &name, &empty).await {
            Ok(_) => return Ok(next),
            Err(Error::Conflict { .. }) => {}
            Err(error) => return Err(error),
        }
        let object = gateway.store.get(&kind, &name).await?;
        match object.spec::<Chunk>() {
            Ok(chunk) if chunk == empty => return Ok(next),
            Ok(chunk) => results.extend(chunk.results),
            Err(error) => log::error!(batch = id, error:%; "results cannot be read"),
        }
    }
}

/// Takes a batch in that stands in the store.
pub fn take_in(
    gateway: &Gateway,
    id: &str,
    manifest: &Manifest,
    body: &Bytes,
    results: Vec<ItemResult>,
    chunks: usize,
) {
    let coordinator = &gateway.coordinator;
    let is_known = coordinator.result_logs.borrow().contains_key(id)
        || coordinator.ended_batches.borrow().contains(id);
    // Before texts are here, the watch of heads brings it in.
    if !coordinator.is_scheduling.get() || is_known || !coordinator.partial_texts.is_ready() {
        return;
    }
    let submission = match batch::parse(body) {
        Ok(submission) => submission,
        Err(error) => {
            log::error!(batch = id, error:%; "batch passed over");
            return;
        }
    };
    let Some(table) = gateway.table() else {
        log::warn!(batch = id; "batch waits for the first routes");
        return;
    };
    let route = table.find(&manifest.host, &manifest.path);
    let batching = route.and_then(|route| route.batching.as_ref());
    let patience = batching.map_or(PATIENCE, |batching| batching.patience);
    let age = Duration::from_millis(unix_millis().saturating_sub(manifest.submitted));
    let bodies: Vec<(String, Bytes)> = submission
        .items
        .iter()
        .map(|item| (item.id.clone(), item.body.clone()))
        .collect();
    let with_result: BTreeSet<String> = results.iter().map(|result| result.item.clone()).collect();
    let scheduled = Submission {
        host: manifest.host.clone(),
        model: submission.model,
        min_version: submission.min_version,
        target_groups: submission.target_groups,
        items: submission.items,
        with_result,
        is_single_version: batching.is_some_and(|batching| batching.is_single_version),
        max_attempts: route.map_or(1, |route| route.max_attempts),
        expires: now().after(patience.saturating_sub(age)),
    };
    log::info!(
        batch = id, step = submission.step, min_version = scheduled.min_version,
        items = scheduled.items.len(), listed = results.len(); "batch taken in"
    );
    let batch = coordinator
        .scheduler
        .borrow_mut()
        .submit(now(), scheduled, |host, path| {
            resolve_service(&table, host, path)
        });
    coordinator
        .batch_ids
        .borrow_mut()
        .insert(batch, id.to_owned());
    insert_result_log(
        gateway,
        id,
        Some(batch),
        (manifest.total, results, chunks),
        bodies,
    );
    coordinator.wake_scheduler();
}
