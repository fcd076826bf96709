//! Handling of one request of a client.

mod attempt;
mod content;
mod execution;
mod forward;
mod identity;
mod liveness;
mod response;
mod streaming;
mod trial;

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use tamaracksail_adapter::ingress::{self, Call};
use tamaracksail_model::route::Kind;

use crate::batches;
use crate::connection::Body;
use crate::gateway::{Gateway, now};

pub use attempt::{Attempt, Outcome};
pub use content::Content;
pub use response::{empty_response, response_with_body, retry_later};
pub use trial::Trial;

/// The path under which metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Handles a request. If the client disconnects, the future is dropped, and with it the work that
/// it had begun.
pub async fn handle(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let _active = ActiveRequest::new(gateway);
    let mut response = respond(gateway, request).await;
    if gateway.stopping_since.get().is_some() {
        response
            .headers_mut()
            .insert("connection", HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn respond(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let call = match Call::parse(&head) {
        Ok(call) => call,
        Err(error) => {
            log::info!(path = head.uri.path(), error:%; "request refused");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    match call {
        Call::Readiness if gateway.is_ready() => empty_response(StatusCode::OK),
        Call::Readiness => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        Call::Results { .. } | Call::ItemBody { .. } | Call::EndBatch { .. } => {
            handle_batch_call(gateway, call, &head).await
        }
        Call::Routed if head.uri.path() == METRICS_PATH && gateway.metrics_port.is_some() => {
            response_with_body(StatusCode::OK, gateway.metrics.render())
        }
        Call::Routed => handle_routed(gateway, head, body).await,
    }
}

/// Handles a call to a batch that was accepted before.
async fn handle_batch_call(
    gateway: &Rc<Gateway>,
    call: Call,
    head: &hyper::http::request::Parts,
) -> Response<Body> {
    let Some(table) = gateway.table() else {
        log::info!(path = head.uri.path(), outcome = "not run"; "request refused, no routes yet");
        return retry_later(response::UNAVAILABLE_RETRY_AFTER);
    };
    let is_open = table.has_open_batches(ingress::host(head).unwrap_or_default());
    let caller = match identity::authenticate(&table, is_open, &head.headers) {
        Ok(caller) => caller,
        Err(code) => return identity::refuse(code),
    };
    match call {
        Call::Results { batch, from, wait } => {
            batches::results(gateway, &caller, &batch, from, wait).await
        }
        Call::ItemBody { batch, item } => batches::item_body(gateway, &caller, &batch, &item).await,
        Call::EndBatch { batch } => batches::end(gateway, &caller, &batch).await,
        Call::Readiness | Call::Routed => empty_response(StatusCode::NOT_FOUND),
    }
}

/// Handles a request by its route: forwards it, or accepts it as a batch.
async fn handle_routed(
    gateway: &Rc<Gateway>,
    mut head: hyper::http::request::Parts,
    body: Incoming,
) -> Response<Body> {
    let arrival = now();
    let id = ingress::request_id(&head.headers)
        .unwrap_or_default()
        .to_owned();
    let Some(table) = gateway.table() else {
        log::info!(request = id.as_str(), outcome = "not run"; "request refused, no routes yet");
        return retry_later(response::UNAVAILABLE_RETRY_AFTER);
    };
    let host = ingress::host(&head).unwrap_or_default();
    let Some(route) = table.find(host, head.uri.path()) else {
        log::info!(
            request = id.as_str(), host, path = head.uri.path(), routes = table.version,
            outcome = "no route"; "request refused"
        );
        return empty_response(StatusCode::NOT_FOUND);
    };
    let caller = match identity::authenticate(&table, route.is_open, &head.headers) {
        Ok(caller) => caller,
        Err(code) => return identity::refuse(code),
    };
    if table.accounts.is_some()
        && let Err(error) = ingress::set_account(&mut head.headers, caller.account())
    {
        log::error!(request = id.as_str(), error:%; "request refused");
        return empty_response(StatusCode::BAD_REQUEST);
    }
    let remaining = match ingress::remaining(&head.headers) {
        Ok(remaining) => remaining.unwrap_or(route.timeout),
        Err(error) => {
            log::info!(request = id.as_str(), error:%, outcome = "malformed"; "request refused");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let is_batch = route.kind == Kind::Batch && head.method == Method::POST;
    let limit = if is_batch {
        remaining
    } else {
        remaining.min(route.timeout)
    };
    let deadline = arrival.after(limit);
    let read = read_body(body, table.limits.body_bytes);
    let body = match tokio::time::timeout(limit, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(code)) => {
            log::info!(request = id.as_str(), status = code.as_u16(); "request body not read");
            return empty_response(code);
        }
        Err(_) => {
            log::info!(request = id.as_str(), outcome = "not run"; "request body too slow");
            return empty_response(StatusCode::REQUEST_TIMEOUT);
        }
    };
    if is_batch {
        return batches::accept(gateway, route, &caller, &head, &id, body, deadline).await;
    }
    let content = Content::new(head, body);
    forward::forward(gateway, route, content, &id, arrival, deadline).await
}

/// Reads a body of at most `max_bytes`.
///
/// # Errors
/// The status to respond with: 413 if the body is longer, 400 if it breaks off.
async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, StatusCode> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

/// Counts a request as active until it is dropped.
struct ActiveRequest<'a>(&'a Gateway);

impl<'a> ActiveRequest<'a> {
    fn new(gateway: &'a Gateway) -> Self {
        gateway
            .active_requests
            .set(gateway.active_requests.get() + 1);
        Self(gateway)
    }
}

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
    }
}
