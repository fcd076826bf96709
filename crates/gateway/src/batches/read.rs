//! Reads of results and item bodies, and ends of batches.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use tamaracksail_adapter::batch;
use tamaracksail_adapter::store::Error;
use tamaracksail_model::account::Caller;
use tamaracksail_model::batch::ItemResult;
use tamaracksail_wire::peer::{Request as PeerRequest, Response as PeerResponse};

use super::schema::{self, BatchStatus, Chunk, Manifest, Part};
use super::{lease_loop, owner, reload};
use crate::connection::Body;
use crate::gateway::{Gateway, now};
use crate::peer;
use crate::request::{empty_response, response_with_body, retry_later};
use crate::store;

/// The retry delay that clients are told while the store does not respond.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The number of attempts to write the end of a batch while the outcome is unknown.
const MAX_END_ATTEMPTS: usize = 3;

/// How long a peer may take to respond, in addition to the requested wait. It may have to read the
/// batch from the store. Clients wait 1.5 s in addition to the wait that they request.
const PEER_RESPONSE_ALLOWANCE: Duration = Duration::from_millis(900);

/// How long the store may take to answer a watch of results, in addition to its wait.
const WATCH_ALLOWANCE: Duration = Duration::from_millis(300);

/// How long a peer may take to store the end of a batch or to return the body of an item.
const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns results from position `from` on, after waiting up to `wait` for the first.
pub async fn results(
    gateway: &Rc<Gateway>,
    caller: &Caller,
    id: &str,
    from: usize,
    wait: Duration,
) -> Response<Body> {
    lease_loop::request_lease(gateway);
    let deadline = now().after(wait);
    let results = async {
        if let Some((total, results)) = loaded_results(gateway, caller, id, from, wait).await? {
            return Ok(page_response(total, from, results.iter()));
        }
        let left = deadline.since(now());
        if let Some((total, results)) = from_peer(gateway, caller, id, from, left).await? {
            return Ok(page_response(total, from, results.iter()));
        }
        owner::check(gateway, caller, id).await?;
        from_store(gateway, id, from, deadline.since(now())).await
    };
    match results.await {
        Ok(response) => response,
        Err(error) => error_response(id, &error),
    }
}

/// Returns results of a batch to a peer, if this process schedules.
pub async fn results_for_peer(
    gateway: &Rc<Gateway>,
    caller: &Caller,
    id: &str,
    from: usize,
    wait: Duration,
) -> PeerResponse {
    match loaded_results(gateway, caller, id, from, wait).await {
        Ok(Some((total, results))) => PeerResponse::Results { total, results },
        Ok(None) => PeerResponse::Unknown,
        Err(_) => PeerResponse::Foreign,
    }
}

/// Returns results from memory. An ended batch is reloaded into memory if necessary.
///
/// # Errors
/// [`Error::Missing`] if the caller may not use the batch.
async fn loaded_results(
    gateway: &Rc<Gateway>,
    caller: &Caller,
    id: &str,
    from: usize,
    wait: Duration,
) -> Result<Option<(usize, Vec<ItemResult>)>, Error> {
    if !reload::ensure_loaded(gateway, id).await {
        return Ok(None);
    }
    check_loaded(gateway, caller, id)?;
    Ok(from_memory(gateway, id, from, wait).await)
}

/// Checks that a caller may use a batch, if it is in memory.
///
/// # Errors
/// [`Error::Missing`] if the caller may not.
fn check_loaded(gateway: &Gateway, caller: &Caller, id: &str) -> Result<(), Error> {
    let batches = gateway.coordinator.batches.borrow();
    match batches.log(id) {
        Some(found) if !caller.may_use(found.account.as_deref()) => {
            log::info!(batch = id, account = caller.account(); "batch of another account requested");
            Err(owner::missing(id))
        }
        _ => Ok(()),
    }
}

/// Requests results from peers that may be the scheduling gateway.
///
/// # Errors
/// [`Error::Missing`] if the caller may not use the batch.
async fn from_peer(
    gateway: &Gateway,
    caller: &Caller,
    id: &str,
    from: usize,
    wait: Duration,
) -> Result<Option<(usize, Vec<ItemResult>)>, Error> {
    let request = PeerRequest::Results {
        caller: caller.clone(),
        batch: id.to_owned(),
        from,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(0),
    };
    for peer in gateway.coordinator.peers(gateway) {
        match peer::call(gateway, peer, &request, wait + PEER_RESPONSE_ALLOWANCE).await {
            Ok(PeerResponse::Results { total, results }) => return Ok(Some((total, results))),
            Ok(PeerResponse::Foreign) => return Err(owner::missing(id)),
            Ok(_) => {}
            Err(error) => {
                gateway.coordinator.mark_unresponsive(peer);
                log::info!(batch = id, error:%; "results not received from a peer");
            }
        }
    }
    Ok(None)
}

/// Returns the response to a client whose request failed at the store.
fn error_response(id: &str, error: &Error) -> Response<Body> {
    if matches!(error, Error::Missing { .. }) {
        log::info!(batch = id; "batch not found");
        return empty_response(StatusCode::NOT_FOUND);
    }
    log::info!(batch = id, error:%; "store request for the batch failed");
    retry_later(RETRY_AFTER)
}

/// Returns the number of items of a batch and its results from position `from` on, after waiting up
/// to `wait` for the first. Returns `None` if this process does not schedule, the batch is not in
/// memory, or the store may have results at that position which are not in memory yet.
async fn from_memory(
    gateway: &Gateway,
    id: &str,
    from: usize,
    wait: Duration,
) -> Option<(usize, Vec<ItemResult>)> {
    let coordinator = &gateway.coordinator;
    let deadline = now().after(wait);
    loop {
        let is_holder =
            coordinator.is_scheduling.get() && coordinator.lease.borrow().fence(now()).is_some();
        if !is_holder {
            return None;
        }
        let changed = {
            let batches = coordinator.batches.borrow();
            let result_log = batches.log(id)?;
            let is_ended = !batches.is_open(id);
            let left = deadline.since(now());
            let has_results = result_log.results.len() > from;
            if (is_ended || left.is_zero()) && !has_results && result_log.is_writing {
                return None;
            }
            if has_results || is_ended || left.is_zero() {
                return Some((
                    result_log.total,
                    take_page(result_log.results.iter().skip(from)),
                ));
            }
            Rc::clone(&result_log.changed)
        };
        // Whether it was notified or timed out, the loop checks again.
        drop(tokio::time::timeout(deadline.since(now()), changed.notified()).await);
    }
}

/// Returns as many results as fit in one response, at least one if there is any.
fn take_page<'a>(results: impl Iterator<Item = &'a ItemResult>) -> Vec<ItemResult> {
    let mut bytes = 0;
    let mut page = Vec::new();
    for result in results {
        bytes += result.text.len();
        if bytes > batch::MAX_PAGE_TEXT_BYTES && !page.is_empty() {
            break;
        }
        page.push(result.clone());
    }
    page
}

/// Returns the response with a page of results.
fn page_response<'a>(
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

/// Returns results from the store, after waiting up to `wait` for the first.
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
        let (found, revision) = read_chunks(gateway, &kind).await?;
        // Each chunk states the number of items. Without chunks the batch may be new, or may not
        // exist.
        let (total, is_ended) = match found.first() {
            Some(chunk) => (chunk.total, false),
            None => match batch_size(gateway, id).await? {
                Some(found) => found,
                None => return Ok(retry_later(RETRY_AFTER)),
            },
        };
        let results: Vec<&ItemResult> = found.iter().flat_map(|chunk| &chunk.results).collect();
        let left = deadline.since(now());
        if results.len() > from || is_ended || results.len() >= total || left.is_zero() {
            return Ok(page_response(total, from, results.into_iter().skip(from)));
        }
        // Whatever the watch returns, the chunks are listed again, also if it gets no answer in time.
        let watch = gateway.store.watch(&kind, revision, left);
        match tokio::time::timeout(left + WATCH_ALLOWANCE, watch).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => log::debug!(batch = id, error:%; "watch ended"),
            Err(error) => log::info!(batch = id, error:%; "watch not answered in time"),
        }
    }
}

/// Returns the number of items of a batch and whether it has ended, or `None` if its manifest is
/// malformed.
async fn batch_size(gateway: &Gateway, id: &str) -> Result<Option<(usize, bool)>, Error> {
    let object = gateway.store.get(schema::MANIFESTS, id).await?;
    let manifest = match object.spec::<Manifest>() {
        Ok(manifest) => manifest,
        Err(error) => {
            log::error!(batch = id, error:%; "stored batch is malformed");
            return Ok(None);
        }
    };
    let is_ended = object
        .status::<BatchStatus>()
        .is_ok_and(|status| status.is_some_and(|status| status.is_ended));
    Ok(Some((manifest.total, is_ended)))
}

/// Returns the chunks of a batch in order, and the revision from which to watch for more.
async fn read_chunks(gateway: &Gateway, kind: &str) -> Result<(Vec<Chunk>, u64), Error> {
    let (objects, revision) =
        store::list_after(&gateway.store, kind, Some(schema::name_before_chunk(0))).await?;
    let mut chunks = Vec::new();
    for object in objects {
        match object.spec::<Chunk>() {
            Ok(chunk) => chunks.push(chunk),
            Err(error) => {
                log::error!(
                    kind, name = object.name.as_str(), error:%;
                    "stored results are malformed"
                );
                break;
            }
        }
    }
    Ok((chunks, revision))
}

/// Returns the body of an item.
pub async fn item_body(
    gateway: &Rc<Gateway>,
    caller: &Caller,
    id: &str,
    item: &str,
) -> Response<Body> {
    lease_loop::request_lease(gateway);
    match find_item_body(gateway, caller, id, item).await {
        Ok(Some(body)) => response_with_body(StatusCode::OK, body),
        Ok(None) => empty_response(StatusCode::NOT_FOUND),
        Err(error) => error_response(id, &error),
    }
}

/// Returns the body of an item from memory, a peer or the store.
async fn find_item_body(
    gateway: &Rc<Gateway>,
    caller: &Caller,
    id: &str,
    item: &str,
) -> Result<Option<Bytes>, Error> {
    if let Some(found) = loaded_item_body(gateway, caller, id, item).await? {
        return Ok(found);
    }
    let request = PeerRequest::Item {
        caller: caller.clone(),
        batch: id.to_owned(),
        item: item.to_owned(),
    };
    for peer in gateway.coordinator.peers(gateway) {
        match peer::call(gateway, peer, &request, PEER_CALL_TIMEOUT).await {
            Ok(PeerResponse::Item { body }) => return Ok(body),
            Ok(PeerResponse::Foreign) => return Err(owner::missing(id)),
            _ => {}
        }
    }
    owner::check(gateway, caller, id).await?;
    stored_item_body(gateway, id, item).await
}

/// Returns the body of an item to a peer, if this process schedules.
pub async fn item_body_for_peer(
    gateway: &Rc<Gateway>,
    caller: &Caller,
    id: &str,
    item: &str,
) -> PeerResponse {
    match loaded_item_body(gateway, caller, id, item).await {
        Ok(Some(body)) => PeerResponse::Item { body },
        Ok(None) => PeerResponse::Unknown,
        Err(_) => PeerResponse::Foreign,
    }
}

/// Looks up the body of an item in memory. Returns `None` if the batch cannot be loaded there, and
/// `Some(None)` if it has no such item.
///
/// # Errors
/// [`Error::Missing`] if the caller may not use the batch.
async fn loaded_item_body(
    gateway: &Rc<Gateway>,
    caller: &Caller,
    id: &str,
    item: &str,
) -> Result<Option<Option<Bytes>>, Error> {
    if !reload::ensure_loaded(gateway, id).await {
        return Ok(None);
    }
    check_loaded(gateway, caller, id)?;
    let batches = gateway.coordinator.batches.borrow();
    let Some(result_log) = batches.log(id) else {
        return Ok(None);
    };
    let found = result_log.item_bodies.iter().find(|(name, _)| name == item);
    Ok(Some(found.map(|(_, body)| body.clone())))
}

/// Reads the body of an item from the store. Returns `None` if the batch has no such item.
async fn stored_item_body(gateway: &Gateway, id: &str, item: &str) -> Result<Option<Bytes>, Error> {
    gateway.store_availability.check("body of an item")?;
    let object = gateway.store.get(schema::MANIFESTS, id).await?;
    let manifest = match object.spec::<Manifest>() {
        Ok(manifest) => manifest,
        Err(error) => {
            log::error!(batch = id, error:%; "stored batch is malformed");
            return Ok(None);
        }
    };
    let kind = schema::batch_kind(id);
    let mut text = String::new();
    for number in 0..manifest.parts {
        let name = schema::part_name(manifest.account.as_deref(), number);
        let object = gateway.store.get(&kind, &name).await?;
        match object.spec::<Part>() {
            Ok(part) => text.push_str(&part.text),
            Err(error) => log::error!(batch = id, number, error:%; "stored part is malformed"),
        }
    }
    match batch::parse(text.as_bytes()) {
        Ok(submission) => Ok(submission
            .items
            .into_iter()
            .find(|found| found.id == item)
            .map(|found| found.body)),
        Err(error) => {
            log::error!(batch = id, error:%; "stored batch is malformed");
            Ok(None)
        }
    }
}

/// Ends a batch for its client, here or through a peer.
pub async fn end(gateway: &Rc<Gateway>, caller: &Caller, id: &str) -> Response<Body> {
    match store_end(gateway, caller, id).await {
        Ok(()) => empty_response(StatusCode::OK),
        Err(error @ Error::Missing { .. }) => error_response(id, &error),
        Err(error) => {
            let request = PeerRequest::End {
                caller: caller.clone(),
                batch: id.to_owned(),
            };
            for peer in gateway.coordinator.peers(gateway) {
                if let Ok(PeerResponse::Kept) =
                    peer::call(gateway, peer, &request, PEER_CALL_TIMEOUT).await
                {
                    log::info!(batch = id, peer:%; "batch end stored by a peer");
                    gateway.coordinator.end_batch(id);
                    return empty_response(StatusCode::OK);
                }
            }
            error_response(id, &error)
        }
    }
}

/// Ends a batch for a peer.
pub async fn end_for_peer(gateway: &Rc<Gateway>, caller: &Caller, id: &str) -> PeerResponse {
    match store_end(gateway, caller, id).await {
        Ok(()) => PeerResponse::Kept,
        Err(_) => PeerResponse::NotKept,
    }
}

/// Stores the end of a batch, and ends it in this process.
async fn store_end(gateway: &Rc<Gateway>, caller: &Caller, id: &str) -> Result<(), Error> {
    gateway.store_availability.check("end of a batch")?;
    owner::check(gateway, caller, id).await?;
    let status = BatchStatus { is_ended: true };
    let mut attempt = 1;
    loop {
        match gateway
            .store
            .put_status(schema::MANIFESTS, id, &status)
            .await
        {
            Ok(_) => {
                log::info!(batch = id; "batch end stored");
                gateway.coordinator.end_batch(id);
                return Ok(());
            }
            Err(error @ Error::Unknown { .. }) if attempt < MAX_END_ATTEMPTS => {
                log::warn!(batch = id, error:%; "batch end may be stored");
                attempt += 1;
            }
            Err(error) => return Err(error),
        }
    }
}
