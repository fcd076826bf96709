//! Takes over all open batches from the store, and follows new ones.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tamaracksail_adapter::engine::Named;
use tamaracksail_adapter::store::{Error, Object};
use tamaracksail_adapter::{batch, names};
use tamaracksail_model::batch::Listing;
use tamaracksail_policy::batch::Intake;
use tokio::sync::Notify;

use super::desk::service;
use super::record::{self, Chunk, Head, Part, Progress};
use super::shelf::Shelf;
use crate::gateway::{Gateway, now, unix_millis};
use crate::store::{self, News};

/// The pause before a batch that could not be read is read again.
const REREAD: Duration = Duration::from_millis(300);

/// How long items of routes that do not say it may take.
const PATIENCE: Duration = Duration::from_secs(60);

/// Opens the desk: from now on this process schedules.
pub async fn open(gateway: &Rc<Gateway>) {
    let desk = &gateway.desk;
    desk.is_open.set(true);
    log::info!("scheduling begins");
    let mut tasks = desk.tasks.borrow_mut();
    for (slot, task) in [
        actix_rt::spawn(follow_heads(Rc::clone(gateway))),
        actix_rt::spawn(follow_versions(Rc::clone(gateway))),
    ]
    .into_iter()
    .enumerate()
    {
        // Runs count up from one; these end with them.
        tasks.insert(u64::MAX - slot as u64, task.abort_handle());
    }
    drop(tasks);
    desk.turn_soon();
}

async fn follow_versions(gateway: Rc<Gateway>) {
    let client = gateway.store.clone();
    store::follow(client, names::VERSION_KIND, |news| match news {
        News::All(objects) => objects.iter().for_each(|object| named(&gateway, object)),
        News::Changed(object) => named(&gateway, object),
        News::Removed(_) | News::Lost => {}
    })
    .await;
}

fn named(gateway: &Gateway, object: &Object) {
    match Named::parse(object) {
        Ok(named) => {
            log::info!(
                model = named.model.as_str(), version = named.version, revision = object.revision;
                "version named"
            );
            let mut scheduler = gateway.desk.scheduler.borrow_mut();
            scheduler.version_named(&named.model, named.version);
        }
        Err(error) => log::warn!(name = object.name.as_str(), error:%; "version passed over"),
    }
    gateway.desk.turn_soon();
}

async fn follow_heads(gateway: Rc<Gateway>) {
    let client = gateway.store.clone();
    store::follow(client, record::HEADS, |news| match news {
        News::All(objects) => objects.iter().for_each(|object| head(&gateway, object)),
        News::Changed(object) => head(&gateway, object),
        News::Removed(object) => gateway.desk.end(&object.name),
        News::Lost => {}
    })
    .await;
}

fn head(gateway: &Rc<Gateway>, object: &Object) {
    let id = object.name.clone();
    let progress = object.status::<Progress>().unwrap_or_default();
    if progress.is_some_and(|progress| progress.is_ended) {
        gateway.desk.end(&id);
        return;
    }
    if gateway.desk.shelves.borrow().contains_key(&id) {
        return;
    }
    match object.spec::<Head>() {
        Ok(head) => {
            actix_rt::spawn(load(Rc::clone(gateway), id, head));
        }
        Err(error) => log::error!(batch = id.as_str(), error:%; "batch passed over"),
    }
}

/// Reads a batch from the store and takes it in.
async fn load(gateway: Rc<Gateway>, id: String, head: Head) {
    while gateway.desk.is_open.get() && !gateway.desk.shelves.borrow().contains_key(&id) {
        match read(&gateway, &id, &head).await {
            Ok((body, results, chunks)) => {
                take_in(&gateway, &id, &head, &body, results, chunks);
                return;
            }
            Err(error) => {
                log::warn!(batch = id.as_str(), error:%; "batch not read");
                tokio::time::sleep(REREAD).await;
            }
        }
    }
}

async fn read(
    gateway: &Gateway,
    id: &str,
    head: &Head,
) -> Result<(Bytes, Vec<Listing>, usize), Error> {
    let kind = record::kind(id);
    let (objects, _) = store::list(&gateway.store, &kind).await?;
    let mut body = String::new();
    let mut results = Vec::new();
    let mut chunks = 0;
    for object in &objects {
        if record::chunk_number(&object.name).is_some() {
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
    log::info!(batch = id, parts = head.parts, chunks, results = results.len(); "batch read");
    Ok((body.into(), results, chunks))
}

/// Takes a batch in that stands in the store.
pub fn take_in(
    gateway: &Gateway,
    id: &str,
    head: &Head,
    body: &Bytes,
    results: Vec<Listing>,
    chunks: usize,
) {
    let desk = &gateway.desk;
    if !desk.is_open.get() || desk.shelves.borrow().contains_key(id) {
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
    let route = table.find(&head.host, &head.path);
    let batching = route.and_then(|route| route.batching.as_ref());
    let patience = batching.map_or(PATIENCE, |batching| batching.patience);
    let age = Duration::from_millis(unix_millis().saturating_sub(head.submitted));
    let bodies = submission
        .items
        .iter()
        .map(|item| (item.id.clone(), item.body.clone()))
        .collect();
    let listed: BTreeSet<String> = results.iter().map(|result| result.item.clone()).collect();
    let intake = Intake {
        host: head.host.clone(),
        model: submission.model,
        min_version: submission.min_version,
        target_groups: submission.target_groups,
        items: submission.items,
        listed,
        is_single_version: batching.is_some_and(|batching| batching.is_single_version),
        max_attempts: route.map_or(1, |route| route.max_attempts),
        expires: now().after(patience.saturating_sub(age)),
    };
    log::info!(
        batch = id, step = submission.step, min_version = intake.min_version,
        items = intake.items.len(), listed = results.len(); "batch taken in"
    );
    let batch = desk
        .scheduler
        .borrow_mut()
        .submit(now(), intake, |host, path| service(&table, host, path));
    desk.names.borrow_mut().insert(batch, id.to_owned());
    let shelf = Shelf {
        total: head.total,
        results,
        next_chunk: chunks,
        changed: Notify::new().into(),
        batch: Some(batch),
        items: bodies,
    };
    desk.shelves.borrow_mut().insert(id.to_owned(), shelf);
    desk.turn_soon();
}
