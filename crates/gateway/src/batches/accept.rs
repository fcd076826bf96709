//! Acceptance of batches. A batch is in the store before its client gets the response.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::select;
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use tamaracksail_adapter::store::{Error, Object};
use tamaracksail_adapter::{batch, ingress};
use tamaracksail_model::account::Caller;
use tamaracksail_model::batch::Item;
use tamaracksail_model::route::Route;
use tamaracksail_model::table::Table;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::peer::{Request as PeerRequest, Response as PeerResponse};

use super::schema::{self, Manifest, Part};
use super::{announcement, lease_loop, owner, reward_calls, takeover};
use crate::connection::Body;
use crate::gateway::{Gateway, now};
use crate::peer::{self, Error as PeerError};
use crate::request::{empty_response, retry_later};

/// The retry delay that clients are told while batches cannot be stored.
const RETRY_AFTER: Duration = Duration::from_millis(700);

/// The delay before a call whose outcome is unknown is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// How long the store may take to answer before a call is made again. In an undisturbed platform it takes
/// milliseconds.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// The divisor of the store's maximum value length that limits a part's text, which escaping
/// lengthens.
const PART_LENGTH_DIVISOR: usize = 2;

/// The outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The batch is stored.
    Stored,
    /// The batch is not stored and will not be.
    NotStored,
    /// The batch may be stored.
    Unknown,
    /// The body is malformed.
    Malformed,
}

/// A submission as its client sent it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The batch's id.
    pub id: String,
    /// The host name of the request.
    pub host: String,
    /// The path of the request.
    pub path: String,
    /// The prefix of its route; `None` if the gateway that accepted it did not state it.
    pub prefix: Option<String>,
    /// The name of the client's account, if it has one.
    pub account: Option<String>,
    /// The body.
    pub body: Bytes,
    /// The version of the routes under which it is accepted.
    pub routes_version: u64,
}

/// Stores a submitted batch, here or through a peer, and returns the response to its client.
pub async fn accept(
    gateway: &Rc<Gateway>,
    route: &Route,
    caller: &Caller,
    head: &Parts,
    id: &str,
    body: Bytes,
    deadline: Instant,
) -> Response<Body> {
    if id.is_empty() {
        log::info!(path = head.uri.path(); "batch without an id refused");
        return empty_response(StatusCode::BAD_REQUEST);
    }
    let submission = Submission {
        id: id.to_owned(),
        host: ingress::host(head).unwrap_or_default().to_owned(),
        path: head.uri.path().to_owned(),
        prefix: Some(route.prefix.clone()),
        account: caller.account().map(str::to_owned),
        body,
        routes_version: gateway.configuration.version().unwrap_or_default(),
    };
    let mut outcome = match check(gateway, caller, &submission).await {
        Ok(total) => match gateway.store_availability.check("batch") {
            Ok(()) => store_batch(gateway, &submission, total, deadline).await,
            Err(error) => {
                log::info!(batch = id, error:%, outcome = "not run"; "batch not stored");
                Outcome::NotStored
            }
        },
        // It is not known whether it was accepted before, and peers do not check its calls.
        Err(Outcome::NotStored) => return retry_later(RETRY_AFTER),
        Err(outcome) => outcome,
    };
    if matches!(outcome, Outcome::NotStored | Outcome::Unknown) {
        let relayed = relay(gateway, &submission, deadline).await;
        outcome = match (outcome, relayed) {
            (_, Outcome::Stored) => Outcome::Stored,
            (Outcome::NotStored, relayed) => relayed,
            (outcome, _) => outcome,
        };
    }
    let label = match outcome {
        Outcome::Stored => "accepted",
        Outcome::NotStored => "refused",
        Outcome::Unknown => "unclear",
        Outcome::Malformed => "malformed",
    };
    gateway.metrics.batches.with_label_values(&[label]).inc();
    log::info!(
        batch = id, route = route.name.as_str(), outcome = label;
        "batch submission answered"
    );
    match outcome {
        Outcome::Stored => empty_response(StatusCode::ACCEPTED),
        Outcome::NotStored => retry_later(RETRY_AFTER),
        Outcome::Unknown => empty_response(StatusCode::GATEWAY_TIMEOUT),
        Outcome::Malformed => empty_response(StatusCode::BAD_REQUEST),
    }
}

/// Asks peers that probably reach the store to store a batch.
async fn relay(gateway: &Gateway, submission: &Submission, deadline: Instant) -> Outcome {
    let peer_request = PeerRequest::Keep {
        batch: submission.id.clone(),
        host: submission.host.clone(),
        path: submission.path.clone(),
        prefix: submission.prefix.clone(),
        account: submission.account.clone(),
        body: submission.body.clone(),
        limit_ms: u64::try_from(deadline.since(now()).as_millis()).unwrap_or(0),
        routes_version: submission.routes_version,
    };
    let mut outcome = Outcome::NotStored;
    for peer in gateway.coordinator.peers(gateway) {
        match peer::call(gateway, peer, &peer_request, deadline.since(now())).await {
            Ok(PeerResponse::Kept) => {
                log::info!(batch = submission.id.as_str(), peer:%; "batch stored by a peer");
                return Outcome::Stored;
            }
            Ok(PeerResponse::NotKept) | Err(PeerError::NotListening(_)) => {}
            Ok(_) => outcome = Outcome::Unknown,
            Err(error) => {
                log::info!(batch = submission.id.as_str(), error:%; "batch not relayed to a peer");
                outcome = Outcome::Unknown;
            }
        }
    }
    outcome
}

/// Checks the items of a submission, and that their reward calls have routes. Returns the number of
/// items.
///
/// # Errors
/// [`Outcome::Malformed`]. If only routes are missing, [`Outcome::Stored`] if the batch was accepted before,
/// and [`Outcome::NotStored`] if that cannot be read.
async fn check(
    gateway: &Gateway,
    caller: &Caller,
    submission: &Submission,
) -> Result<usize, Outcome> {
    let id = submission.id.as_str();
    let items = parse(submission)?;
    let mut calls = items.iter().filter_map(|item| item.reward.as_ref());
    let unroutable = gateway
        .table()
        .and_then(|table| calls.find(|call| reward_calls::find_route(&table, call).is_none()));
    if let Some(call) = unroutable {
        log::info!(
            batch = id, call = call.id.as_str(), host = call.host.as_str(),
            path = call.path.as_str();
            "a reward call of the batch has no route"
        );
        let Submission { host, path, .. } = submission;
        return Err(match is_accepted(gateway, caller, id, (host, path)).await {
            Ok(true) => Outcome::Stored,
            Ok(false) => Outcome::Malformed,
            Err(error) => {
                log::info!(batch = id, error:%, outcome = "not run"; "batch not read");
                Outcome::NotStored
            }
        });
    }
    Ok(items.len())
}

/// Returns whether a request repeats the submission of a batch that was accepted before, although its path
/// belongs to another route by now.
///
/// # Errors
/// If that cannot be read from the store.
pub async fn is_repeated(
    gateway: &Gateway,
    table: &Table,
    caller: &Caller,
    head: &Parts,
    id: &str,
    body: &[u8],
) -> Result<bool, Error> {
    let (host, path) = (ingress::host(head).unwrap_or_default(), head.uri.path());
    let is_possible = head.method == Method::POST
        && !id.is_empty()
        && table.find_batch(host, path).is_some()
        && batch::parse(body).is_ok();
    Ok(is_possible && is_accepted(gateway, caller, id, (host, path)).await?)
}

/// Returns whether `caller` has submitted the batch `id` at this host and path, and it was accepted.
///
/// # Errors
/// If the store cannot be read.
async fn is_accepted(
    gateway: &Gateway,
    caller: &Caller,
    id: &str,
    (host, path): (&str, &str),
) -> Result<bool, Error> {
    gateway.store_availability.check("batch")?;
    match gateway.store.get(schema::MANIFESTS, id).await {
        Ok(object) => Ok(object.spec::<Manifest>().is_ok_and(|manifest| {
            manifest.host == host
                && manifest.path == path
                && caller.may_use(manifest.account.as_deref())
        })),
        Err(Error::Missing { .. }) => Ok(false),
        Err(error) => Err(error),
    }
}

/// Returns the items of a submission.
///
/// # Errors
/// [`Outcome::Malformed`].
fn parse(submission: &Submission) -> Result<Vec<Item>, Outcome> {
    match batch::parse(&submission.body) {
        Ok(parsed) => Ok(parsed.items),
        Err(error) => {
            log::info!(batch = submission.id.as_str(), error:%; "malformed batch refused");
            Err(Outcome::Malformed)
        }
    }
}

/// Stores a batch of `total` items, and adds it to the scheduler if this process schedules.
async fn store_batch(
    gateway: &Rc<Gateway>,
    submission: &Submission,
    total: usize,
    deadline: Instant,
) -> Outcome {
    let id = submission.id.as_str();
    let Ok(text) = std::str::from_utf8(&submission.body) else {
        return Outcome::Malformed;
    };
    let parts = split(
        text,
        gateway.settings.borrow().max_value_bytes / PART_LENGTH_DIVISOR,
    );
    let Some(submitted) = gateway.clock.estimate() else {
        log::error!(batch = id, outcome = "not run"; "batch not stored, the time is not known");
        return Outcome::NotStored;
    };
    let manifest = Manifest {
        host: submission.host.clone(),
        path: submission.path.clone(),
        prefix: submission.prefix.clone(),
        parts: parts.len(),
        total,
        submitted: submitted.unix_ms,
        submitted_error_ms: Some(submitted.error_ms),
        account: submission.account.clone(),
        routes_version: submission.routes_version,
    };
    lease_loop::request_lease(gateway);
    let kind = schema::batch_kind(id);
    for (number, part) in parts.into_iter().enumerate() {
        let part = Part {
            text: part.to_owned(),
        };
        let name = schema::part_name(submission.account.as_deref(), number);
        if let Err(error) = create(gateway, &kind, &name, &part, deadline).await {
            // Without its manifest the batch is not accepted, and no manifest was sent.
            log::warn!(batch = id, error:%, outcome = "not run"; "batch not stored");
            return Outcome::NotStored;
        }
    }
    match create(gateway, schema::MANIFESTS, id, &manifest, deadline).await {
        Ok(Created::New) => {
            log::info!(batch = id, items = total, is_new = true; "batch accepted");
            announcement::send(gateway, id);
            takeover::schedule(gateway, id, &manifest, &submission.body, Vec::new(), 0);
            Outcome::Stored
        }
        Ok(Created::Existing(existing)) => {
            match check_account(gateway, submission, existing.as_deref()).await {
                // It may have ended, so it is left to the watch of manifests.
                Ok(()) => {
                    log::info!(batch = id, items = total, is_new = false; "batch accepted");
                    Outcome::Stored
                }
                Err(Error::Missing { .. }) => {
                    log::info!(batch = id, outcome = "not run"; "batch refused, the id is in use");
                    Outcome::NotStored
                }
                Err(error) => {
                    // If it is the caller's, it runs.
                    log::warn!(batch = id, error:%, outcome = "unknown"; "account of the batch not read");
                    Outcome::Unknown
                }
            }
        }
        Err(CreateError::NotDone(error)) => {
            log::warn!(batch = id, error:%, outcome = "not run"; "batch not stored");
            Outcome::NotStored
        }
        Err(CreateError::Unknown(error)) => {
            log::warn!(batch = id, error:%, outcome = "unknown"; "batch may be stored");
            Outcome::Unknown
        }
    }
}

/// Checks that the stored batch with the id of a submission belongs to the same account. `existing` is its
/// manifest, if the store sent it.
///
/// # Errors
/// As [`owner::check`].
async fn check_account(
    gateway: &Gateway,
    submission: &Submission,
    existing: Option<&Object>,
) -> Result<(), Error> {
    let Some(account) = &submission.account else {
        return Ok(());
    };
    let caller = Caller::Account(account.clone());
    match existing.map(Object::spec::<Manifest>) {
        Some(Ok(manifest)) if caller.may_use(manifest.account.as_deref()) => Ok(()),
        Some(Ok(_)) => Err(owner::missing(&submission.id)),
        Some(Err(_)) | None => owner::check(gateway, &caller, &submission.id).await,
    }
}

/// Stores a batch for a peer, which has checked the routes of its reward calls: the routes here may be
/// older.
pub async fn store_for_peer(
    gateway: &Rc<Gateway>,
    submission: &Submission,
    limit: Duration,
) -> PeerResponse {
    let Ok(items) = parse(submission) else {
        return PeerResponse::NotKept;
    };
    match store_batch(gateway, submission, items.len(), now().after(limit)).await {
        Outcome::Stored => PeerResponse::Kept,
        Outcome::NotStored | Outcome::Malformed => PeerResponse::NotKept,
        Outcome::Unknown => PeerResponse::Unclear,
    }
}

/// How an object came to exist.
#[derive(Debug)]
enum Created {
    /// This call created it.
    New,
    /// It existed before, or an earlier call without a response created it; the object, if the store sent
    /// it.
    Existing(Option<Box<Object>>),
}

/// Why the creation of an object failed.
#[derive(Debug, thiserror::Error)]
enum CreateError {
    /// The object was not created and will not be.
    #[error(transparent)]
    NotDone(Error),
    /// The object may have been created, or may be later.
    #[error(transparent)]
    Unknown(Error),
}

/// Creates an object unless it exists. Repeats calls of unknown outcome until `deadline`.
async fn create<T: serde::Serialize>(
    gateway: &Gateway,
    kind: &str,
    name: &str,
    spec: &T,
    deadline: Instant,
) -> Result<Created, CreateError> {
    let mut is_unknown = false;
    loop {
        let error = match create_once(gateway, kind, name, spec).await {
            Ok(_) => return Ok(Created::New),
            Err(Error::Conflict { object, .. }) => return Ok(Created::Existing(object)),
            Err(error) => error,
        };
        is_unknown |= matches!(error, Error::Unknown { .. });
        if !is_unknown {
            return Err(CreateError::NotDone(error));
        }
        if now().after(RETRY_DELAY) >= deadline {
            return Err(CreateError::Unknown(error));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Creates an object. A call without an answer is made a second time beside the first, on a new connection: the
/// connections to the store may have gone silent. An object is created only once.
///
/// # Errors
/// As [`Client::create`](tamaracksail_adapter::store::Client::create); of unknown outcome if that of one of the
/// calls is.
async fn create_once<T: serde::Serialize>(
    gateway: &Gateway,
    kind: &str,
    name: &str,
    spec: &T,
) -> Result<Object, Error> {
    let mut first = pin!(gateway.store.create(kind, name, spec));
    tokio::select! {
        outcome = &mut first => return outcome,
        () = tokio::time::sleep(ANSWER_TIME) => {}
    }
    log::info!(kind, name, waited_ms = ANSWER_TIME.as_millis(); "store silent, object created on a new connection");
    gateway.store.close_idle();
    let second = pin!(gateway.store.create(kind, name, spec));
    let (outcome, other) = select(first, second).await.factor_first();
    let is_certain =
        |outcome: &Result<Object, Error>| matches!(outcome, Ok(_) | Err(Error::Conflict { .. }));
    if is_certain(&outcome) {
        return outcome;
    }
    let last = other.await;
    let is_unknown = matches!(outcome, Err(Error::Unknown { .. }));
    if is_unknown && !is_certain(&last) {
        return outcome;
    }
    last
}

/// Splits a text into parts of at most `max_bytes` bytes.
fn split(text: &str, max_bytes: usize) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while rest.len() > max_bytes {
        let end = rest.floor_char_boundary(max_bytes);
        let (part, after) = rest.split_at(end);
        parts.push(part);
        rest = after;
    }
    parts.push(rest);
    parts
}
