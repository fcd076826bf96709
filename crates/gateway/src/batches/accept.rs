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

use super::record::{self, Head, Part};
use super::{keeper, takeover};
use crate::connection::Body;
use crate::gateway::{Gateway, now, unix_millis};
use crate::request::{refusal, status};

/// When to come back while the store does not take batches.
const STORE_AWAY: Duration = Duration::from_millis(700);

/// The pause before a call whose outcome is unknown is made again.
const ASK_AGAIN: Duration = Duration::from_millis(150);

/// The share of the store's longest value that a part's text may fill: escapes make it longer.
const PART_SHARE: usize = 2;

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
        return status(StatusCode::BAD_REQUEST);
    }
    let total = match batch::parse(&body) {
        Ok(submission) => submission.items.len(),
        Err(error) => {
            log::info!(batch = id, error:%; "batch refused");
            return status(StatusCode::BAD_REQUEST);
        }
    };
    let Ok(text) = std::str::from_utf8(&body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let parts = split(text, gateway.settings.borrow().value_bytes / PART_SHARE);
    let stored = Head {
        host: ingress::host(head).unwrap_or_default().to_owned(),
        path: head.uri.path().to_owned(),
        parts: parts.len(),
        total,
        submitted: unix_millis(),
    };
    keeper::want(gateway);
    let kind = record::kind(id);
    for (number, part) in parts.into_iter().enumerate() {
        let part = Part {
            text: part.to_owned(),
        };
        let name = record::part(number);
        if let Err(error) = create(gateway, &kind, &name, &part, deadline).await {
            // Without its head a batch is not accepted, and no head was sent.
            log::warn!(batch = id, error:%, outcome = "not run"; "batch not kept");
            return refusal(STORE_AWAY);
        }
    }
    match create(gateway, record::HEADS, id, &stored, deadline).await {
        Ok(created) => {
            let is_new = created == Created::Now;
            log::info!(
                batch = id, route = route.name.as_str(), items = total, is_new;
                "batch accepted"
            );
            // One that stood before may have ended; the scheduling gateway knows.
            if is_new {
                takeover::take_in(gateway, id, &stored, &body, Vec::new(), 0);
            }
            status(StatusCode::ACCEPTED)
        }
        Err(Failure::NotKept(error)) => {
            log::warn!(batch = id, error:%, outcome = "not run"; "batch not kept");
            refusal(STORE_AWAY)
        }
        Err(Failure::Unknown(error)) => {
            log::warn!(batch = id, error:%, outcome = "unknown"; "batch perhaps kept");
            status(StatusCode::GATEWAY_TIMEOUT)
        }
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
