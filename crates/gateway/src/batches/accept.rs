//! Accepts a batch: it is kept before the client hears so.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use tamaracksail_adapter::store::Error;
use tamaracksail_adapter::{batch, ingress};
use tamaracksail_model::route::Route;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::peer::{Request as PeerRequest, Response as PeerResponse};

use super::schema::{self, Manifest, Part};
use super::{lease_loop, takeover};
use crate::connection::Body;
use crate::gateway::{Gateway, now, unix_millis};
use crate::peer::{self, Error as PeerError};
use crate::request::{empty_response, retry_later};

/// When to come back while the store does not take batches.
const STORE_AWAY: Duration = Duration::from_millis(700);

/// The pause before a call whose outcome is unknown is made again.
const ASK_AGAIN: Duration = Duration::from_millis(150);

/// The share of the store's longest value that a part's text may fill: escapes make it longer.
const PART_SHARE: usize = 2;

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is kept.
    Kept,
    /// It is not kept and will not be.
    NotKept,
    /// It may be kept.
    Unclear,
    /// It cannot be read.
    Malformed,
}

/// A submission as its client sent it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The batch's id.
    pub id: String,
    /// The host name that the client asked for.
    pub host: String,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Bytes,
}

/// Answers a submission.
pub async fn accept(
    gateway: &Rc<Gateway>,
    route: &Route,
    head: &Parts,
    id: &str,
    body: Bytes,
    deadline: Instant,
) -> Response<Body> {
    if id.is_empty() {
        log::info!(path = head.uri.path(); "batch without an id refused");
        return empty_response(StatusCode::BAD_REQUEST);
    }
    let request = Submission {
        id: id.to_owned(),
        host: ingress::host(head).unwrap_or_default().to_owned(),
        path: head.uri.path().to_owned(),
        body,
    };
    let mut outcome = match gateway.store_availability.check("batch") {
        Ok(()) => keep(gateway, &request, deadline).await,
        Err(error) => {
            log::info!(batch = id, error:%, outcome = "not run"; "batch not kept");
            Outcome::NotKept
        }
    };
    if matches!(outcome, Outcome::NotKept | Outcome::Unclear) {
        let relayed = relay(gateway, &request, deadline).await;
        outcome = match (outcome, relayed) {
            (_, Outcome::Kept) => Outcome::Kept,
            (Outcome::NotKept, relayed) => relayed,
            (outcome, _) => outcome,
        };
    }
    let label = match outcome {
        Outcome::Kept => "accepted",
        Outcome::NotKept => "refused",
        Outcome::Unclear => "unclear",
        Outcome::Malformed => "malformed",
    };
    gateway.metrics.batches.with_label_values(&[label]).inc();
    log::info!(batch = id, route = route.name.as_str(), outcome = label; "batch answered");
    match outcome {
        Outcome::Kept => empty_response(StatusCode::ACCEPTED),
        Outcome::NotKept => retry_later(STORE_AWAY),
        Outcome::Unclear => empty_response(StatusCode::GATEWAY_TIMEOUT),
        Outcome::Malformed => empty_response(StatusCode::BAD_REQUEST),
    }
}

/// Lets a gateway that reaches the store keep a batch.
async fn relay(gateway: &Gateway, request: &Submission, deadline: Instant) -> Outcome {
    let peer_request = PeerRequest::Keep {
        batch: request.id.clone(),
        host: request.host.clone(),
        path: request.path.clone(),
        body: request.body.clone(),
        limit_ms: u64::try_from(deadline.since(now()).as_millis()).unwrap_or(0),
    };
    let mut outcome = Outcome::NotKept;
    for peer in gateway.coordinator.peers(gateway) {
        match peer::call(gateway, peer, &peer_request, deadline.since(now())).await {
            Ok(PeerResponse::Kept) => {
                log::info!(batch = request.id.as_str(), peer:%; "batch kept by a peer");
                return Outcome::Kept;
            }
            Ok(PeerResponse::NotKept) | Err(PeerError::NotListening(_)) => {}
            Ok(_) => outcome = Outcome::Unclear,
            Err(error) => {
                log::info!(batch = request.id.as_str(), error:%; "batch not relayed");
                outcome = Outcome::Unclear;
            }
        }
    }
    outcome
}

/// Keeps a batch in the store.
pub async fn keep(gateway: &Rc<Gateway>, request: &Submission, deadline: Instant) -> Outcome {
    let id = request.id.as_str();
    let total = match batch::parse(&request.body) {
        Ok(submission) => submission.items.len(),
        Err(error) => {
            log::info!(batch = id, error:%; "batch refused");
            return Outcome::Malformed;
        }
    };
    let Ok(text) = std::str::from_utf8(&request.body) else {
        return Outcome::Malformed;
    };
    let parts = split(text, gateway.settings.borrow().max_value_bytes / PART_SHARE);
    let manifest = Manifest {
        host: request.host.clone(),
        path: request.path.clone(),
        parts: parts.len(),
        total,
        submitted: unix_millis(),
    };
    lease_loop::request_lease(gateway);
    let kind = schema::batch_kind(id);
    for (number, part) in parts.into_iter().enumerate() {
        let part = Part {
            text: part.to_owned(),
        };
        let name = schema::part_name(number);
        if let Err(error) = create(gateway, &kind, &name, &part, deadline).await {
            // Without its head a batch is not accepted, and no head was sent.
            log::warn!(batch = id, error:%, outcome = "not run"; "batch not kept");
            return Outcome::NotKept;
        }
    }
    match create(gateway, schema::MANIFESTS, id, &manifest, deadline).await {
        Ok(created) => {
            let is_new = created == Created::Now;
            log::info!(batch = id, items = total, is_new; "batch accepted");
            // One that stood before may have ended; the scheduling gateway knows.
            if is_new {
                takeover::take_in(gateway, id, &manifest, &request.body, Vec::new(), 0);
            }
            Outcome::Kept
        }
        Err(Failure::NotKept(error)) => {
            log::warn!(batch = id, error:%, outcome = "not run"; "batch not kept");
            Outcome::NotKept
        }
        Err(Failure::Unknown(error)) => {
            log::warn!(batch = id, error:%, outcome = "unknown"; "batch perhaps kept");
            Outcome::Unclear
        }
    }
}

/// Keeps a batch for a peer.
pub async fn store_for_peer(
    gateway: &Rc<Gateway>,
    request: &Submission,
    limit: Duration,
) -> PeerResponse {
    match keep(gateway, request, now().after(limit)).await {
        Outcome::Kept => PeerResponse::Kept,
        Outcome::NotKept | Outcome::Malformed => PeerResponse::NotKept,
        Outcome::Unclear => PeerResponse::Unclear,
    }
}

/// An object that stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Created {
    /// This call created it.
    Now,
    /// It stood before, or an earlier call without an answer created it.
    Before,
}

/// An object that may not stand.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    NotKept(Error),
    #[error(transparent)]
    Unknown(Error),
}

/// Creates an object, or finds that it was created before.
async fn create<T: serde::Serialize>(
    gateway: &Gateway,
    kind: &str,
    name: &str,
    spec: &T,
    deadline: Instant,
) -> Result<Created, Failure> {
    let mut is_unknown = false;
    loop {
        let error = match gateway.store.create(kind, name, spec).await {
            Ok(_) => return Ok(Created::Now),
            Err(Error::Conflict { .. }) => return Ok(Created::Before),
            Err(error) => error,
        };
        is_unknown |= matches!(error, Error::Unknown { .. });
        if !is_unknown {
            return Err(Failure::NotKept(error));
        }
        if now().after(ASK_AGAIN) >= deadline {
            return Err(Failure::Unknown(error));
        }
        tokio::time::sleep(ASK_AGAIN).await;
    }
}

/// Cuts a text into pieces of at most `most` bytes.
fn split(text: &str, most: usize) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while rest.len() > most {
        let end = rest.floor_char_boundary(most);
        let (part, after) = rest.split_at(end);
        parts.push(part);
        rest = after;
    }
    parts.push(rest);
    parts
}
