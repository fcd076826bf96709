//! Reads of batches, and their ends.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use tamaracksail_adapter::batch;
use tamaracksail_adapter::store::Error;
use tamaracksail_model::batch::ItemResult;
use tamaracksail_wire::peer::{Request as PeerRequest, Response as PeerResponse};

use super::schema::{self, BatchStatus, Chunk, Manifest, Part};
use super::{lease_loop, takeover};
use crate::connection::Body;
use crate::gateway::{Gateway, now};
use crate::peer;
use crate::request::{empty_response, response_with_body, retry_later};
use crate::store;

/// When to come back while the store does not answer.
const STORE_AWAY: Duration = Duration::from_millis(500);

/// How often an end whose outcome is unknown is written.
const END_TRIES: usize = 3;

/// How much longer than the wait a peer may take to answer. It may have to read the batch from the
/// store; clients wait 1.5 s longer than they ask the answer to wait.
const PEER: Duration = Duration::from_millis(900);

/// How long a peer may take to keep the end of a batch.
const RELAY: Duration = Duration::from_secs(1);

/// Results from position `from` on, waiting up to `wait` for one.
pub async fn results(
    gateway: &Rc<Gateway>,
    id: &str,
    from: usize,
    wait: Duration,
) -> Response<Body> {
    lease_loop::request_lease(gateway);
    if let Some((total, results)) = held(gateway, id, from, wait).await {
        return page(total, from, results.iter());
    }
    if let Some((total, results)) = from_peer(gateway, id, from, wait).await {
        return page(total, from, results.iter());
    }
    match from_store(gateway, id, from, wait).await {
        Ok(response) => response,
        Err(error) => unread(id, &error),
    }
}

/// Results for a peer.
pub async fn results_for_peer(
    gateway: &Rc<Gateway>,
    id: &str,
    from: usize,
    wait: Duration,
) -> PeerResponse {
    match held(gateway, id, from, wait).await {
        Some((total, results)) => PeerResponse::Results { total, results },
        None => PeerResponse::Unknown,
    }
}

/// The results from memory; those of an ended batch are brought there first.
async fn held(
    gateway: &Gateway,
    id: &str,
    from: usize,
    wait: Duration,
) -> Option<(usize, Vec<ItemResult>)> {
    if !has_batch(gateway, id).await {
        return None;
    }
    from_memory(gateway, id, from, wait).await
}

/// Whether this process schedules and has a batch at hand.
async fn has_batch(gateway: &Gateway, id: &str) -> bool {
    let coordinator = &gateway.coordinator;
    let is_current =
        coordinator.is_scheduling.get() && coordinator.lease.borrow().fence(now()).is_some();
    if !is_current || coordinator.result_logs.borrow().contains_key(id) {
        return is_current;
    }
    let reload = Rc::clone(
        coordinator
            .reloads
            .borrow_mut()
            .entry(id.to_owned())
            .or_default(),
    );
    let _guard = reload.lock().await;
    if coordinator.result_logs.borrow().contains_key(id) {
        return coordinator.is_scheduling.get();
    }
    let outcome = takeover::reload(gateway, id).await;
    coordinator.reloads.borrow_mut().remove(id);
    match outcome {
        Ok(is_reloaded) => is_reloaded,
        Err(error) => {
            log::info!(batch = id, error:%; "batch not recalled");
            false
        }
    }
}

/// The results as the scheduling gateway has them.
async fn from_peer(
    gateway: &Gateway,
    id: &str,
    from: usize,
    wait: Duration,
) -> Option<(usize, Vec<ItemResult>)> {
    let request = PeerRequest::Results {
        batch: id.to_owned(),
        from,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(0),
    };
    for peer in gateway.coordinator.peers(gateway) {
        match peer::call(gateway, peer, &request, wait + PEER).await {
            Ok(PeerResponse::Results { total, results }) => return Some((total, results)),
            Ok(_) => {}
            Err(error) => {
                gateway.coordinator.mark_unresponsive(peer);
                log::info!(batch = id, error:%; "results not had from a peer");
            }
        }
    }
    None
}

fn unread(id: &str, error: &Error) -> Response<Body> {
    if matches!(error, Error::Missing { .. }) {
        log::info!(batch = id; "no such batch");
        return empty_response(StatusCode::NOT_FOUND);
    }
    log::info!(batch = id, error:%; "batch not read");
    retry_later(STORE_AWAY)
}

/// The results as this process has them, if it schedules the batch: its size, and what stands
/// from the position on.
async fn from_memory(
    gateway: &Gateway,
    id: &str,
    from: usize,
    wait: Duration,
) -> Option<(usize, Vec<ItemResult>)> {
    let coordinator = &gateway.coordinator;
    let deadline = now().after(wait);
    loop {
        let is_current =
            coordinator.is_scheduling.get() && coordinator.lease.borrow().fence(now()).is_some();
        if !is_current {
            return None;
        }
        let changed = {
            let result_logs = coordinator.result_logs.borrow();
            let result_log = result_logs.get(id)?;
            let is_ended = result_log.batch.is_none();
            let left = deadline.since(now());
            if result_log.results.len() > from || is_ended || left.is_zero() {
                return Some((result_log.total, some(result_log.results.iter().skip(from))));
            }
            Rc::clone(&result_log.changed)
        };
        // Whichever comes first; the loop looks again.
        drop(tokio::time::timeout(deadline.since(now()), changed.notified()).await);
    }
}

/// As many results as fit in one answer, at least one if there is one.
fn some<'a>(results: impl Iterator<Item = &'a ItemResult>) -> Vec<ItemResult> {
    let mut bytes = 0;
    let mut taken = Vec::new();
    for result in results {
        bytes += result.text.len();
        if bytes > batch::MAX_PAGE_TEXT_BYTES && !taken.is_empty() {
            break;
        }
        taken.push(result.clone());
    }
    taken
}

fn page<'a>(
    total: usize,
    from: usize,
    results: impl Iterator<Item = &'a ItemResult>,
) -> Response<Body> {
    let mut response = response_with_body(StatusCode::OK, batch::page(total, from, results));
    response.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

async fn from_store(
    gateway: &Gateway,
    id: &str,
    from: usize,
    wait: Duration,
) -> Result<Response<Body>, Error> {
    gateway.store_availability.check("results")?;
    let kind = schema::batch_kind(id);
    let deadline = now().after(wait);
    loop {
        let (found, revision) = chunks(gateway, &kind).await?;
        // Each chunk tells how many items there are. Without one the batch may be new, or gone.
        let (total, is_ended) = match found.first() {
            Some(chunk) => (chunk.total, false),
            None => match size(gateway, id).await? {
                Some(found) => found,
                None => return Ok(retry_later(STORE_AWAY)),
            },
        };
        let results: Vec<&ItemResult> = found.iter().flat_map(|chunk| &chunk.results).collect();
        let left = deadline.since(now());
        if results.len() > from || is_ended || results.len() >= total || left.is_zero() {
            return Ok(page(total, from, results.into_iter().skip(from)));
        }
        // Any news or none: the list tells.
        if let Err(error) = gateway.store.watch(&kind, revision, left).await {
            log::debug!(batch = id, error:%; "watch ended");
        }
    }
}

/// How many items a batch has, and whether it has ended. None if its head cannot be read.
async fn size(gateway: &Gateway, id: &str) -> Result<Option<(usize, bool)>, Error> {
    let object = gateway.store.get(schema::MANIFESTS, id).await?;
    let manifest = match object.spec::<Manifest>() {
        Ok(manifest) => manifest,
        Err(error) => {
            log::error!(batch = id, error:%; "batch cannot be read");
            return Ok(None);
        }
    };
    let is_ended = object
        .status::<BatchStatus>()
        .is_ok_and(|progress| progress.is_some_and(|progress| progress.is_ended));
    Ok(Some((manifest.total, is_ended)))
}

/// The chunks of a batch in their order.
async fn chunks(gateway: &Gateway, kind: &str) -> Result<(Vec<Chunk>, u64), Error> {
    let (objects, revision) =
        store::list_after(&gateway.store, kind, Some(schema::name_before_chunk(0))).await?;
    let mut chunks = Vec::new();
    for object in objects {
        match object.spec::<Chunk>() {
            Ok(chunk) => chunks.push(chunk),
            Err(error) => {
                log::error!(kind, name = object.name.as_str(), error:%; "results cannot be read");
                break;
            }
        }
    }
    Ok((chunks, revision))
}

/// The body of an item.
pub async fn item_body(gateway: &Rc<Gateway>, id: &str, item: &str) -> Response<Body> {
    lease_loop::request_lease(gateway);
    let mut found = loaded_item_body(gateway, id, item).await;
    if found.is_none() {
        let request = PeerRequest::Item {
            batch: id.to_owned(),
            item: item.to_owned(),
        };
        for peer in gateway.coordinator.peers(gateway) {
            if let Ok(PeerResponse::Item { body }) =
                peer::call(gateway, peer, &request, RELAY).await
            {
                found = Some(body);
                break;
            }
        }
    }
    let body = match found {
        Some(body) => Ok(body),
        None => stored_item_body(gateway, id, item).await,
    };
    match body {
        Ok(Some(body)) => response_with_body(StatusCode::OK, body),
        Ok(None) => empty_response(StatusCode::NOT_FOUND),
        Err(error) => unread(id, &error),
    }
}

/// The body of an item for a peer.
pub async fn item_body_for_peer(gateway: &Rc<Gateway>, id: &str, item: &str) -> PeerResponse {
    match loaded_item_body(gateway, id, item).await {
        Some(body) => PeerResponse::Item { body },
        None => PeerResponse::Unknown,
    }
}

/// The body of an item from memory; none if the batch is not there.
async fn loaded_item_body(gateway: &Gateway, id: &str, item: &str) -> Option<Option<Bytes>> {
    if !has_batch(gateway, id).await {
        return None;
    }
    let result_logs = gateway.coordinator.result_logs.borrow();
    let result_log = result_logs.get(id)?;
    let found = result_log.item_bodies.iter().find(|(name, _)| name == item);
    Some(found.map(|(_, body)| body.clone()))
}

async fn stored_item_body(gateway: &Gateway, id: &str, item: &str) -> Result<Option<Bytes>, Error> {
    gateway.store_availability.check("body of an item")?;
    let object = gateway.store.get(schema::MANIFESTS, id).await?;
    let parts = match object.spec::<Manifest>() {
        Ok(manifest) => manifest.parts,
        Err(error) => {
            log::error!(batch = id, error:%; "batch cannot be read");
            return Ok(None);
        }
    };
    let kind = schema::batch_kind(id);
    let mut text = String::new();
    for number in 0..parts {
        let object = gateway.store.get(&kind, &schema::part_name(number)).await?;
        match object.spec::<Part>() {
            Ok(part) => text.push_str(&part.text),
            Err(error) => log::error!(batch = id, number, error:%; "part cannot be read"),
        }
    }
    match batch::parse(text.as_bytes()) {
        Ok(submission) => Ok(submission
            .items
            .into_iter()
            .find(|found| found.id == item)
            .map(|found| found.body)),
        Err(error) => {
            log::error!(batch = id, error:%; "batch cannot be read");
            Ok(None)
        }
    }
}

/// Ends a batch.
pub async fn end(gateway: &Rc<Gateway>, id: &str) -> Response<Body> {
    match store_end(gateway, id).await {
        Ok(()) => empty_response(StatusCode::OK),
        Err(error @ Error::Missing { .. }) => unread(id, &error),
        Err(error) => {
            let request = PeerRequest::End {
                batch: id.to_owned(),
            };
            for peer in gateway.coordinator.peers(gateway) {
                if let Ok(PeerResponse::Kept) = peer::call(gateway, peer, &request, RELAY).await {
                    log::info!(batch = id, peer:%; "batch end kept by a peer");
                    gateway.coordinator.end(id);
                    return empty_response(StatusCode::OK);
                }
            }
            unread(id, &error)
        }
    }
}

/// Keeps the end of a batch for a peer.
pub async fn end_for_peer(gateway: &Rc<Gateway>, id: &str) -> PeerResponse {
    match store_end(gateway, id).await {
        Ok(()) => PeerResponse::Kept,
        Err(_) => PeerResponse::NotKept,
    }
}

async fn store_end(gateway: &Rc<Gateway>, id: &str) -> Result<(), Error> {
    gateway.store_availability.check("end of a batch")?;
    let progress = BatchStatus { is_ended: true };
    let mut tries = 1;
    loop {
        match gateway
            .store
            .put_status(schema::MANIFESTS, id, &progress)
            .await
        {
            Ok(_) => {
                log::info!(batch = id; "batch end kept");
                gateway.coordinator.end(id);
                return Ok(());
            }
            Err(error @ Error::Unknown { .. }) if tries < END_TRIES => {
                log::warn!(batch = id, error:%; "batch end perhaps kept");
                tries += 1;
            }
            Err(error) => return Err(error),
        }
    }
}
