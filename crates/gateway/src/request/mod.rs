//! Handling of one request of a client.

mod admission;
mod attempt;
mod content;
mod execution;
mod forward;
mod identity;
mod liveness;
mod locality;
mod pace;
mod progress;
mod relay;
mod response;
mod resumed;
mod server_stream;
mod stream_servers;
mod streaming;
mod trial;

use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use tamaracksail_adapter::ingress::{self, Call};
use tamaracksail_model::route::Kind;
use tamaracksail_policy::memory::Use;
use tamaracksail_policy::stop::Admission;

use crate::batches;
use crate::connection::{Body, Port};
use crate::gateway::{Gateway, now};
use crate::memory::{self, Refusal};
use crate::usage;

pub use attempt::{Attempt, Outcome};
pub use content::Content;
pub use locality::count as count_left;
pub use pace::reading as stated_pace;
pub use progress::Progress;
pub use response::{empty_response, response_with_body, retry_later};
pub use trial::Trial;

/// When clients should retry whose body did not fit into memory, before it is randomized: large
/// bodies take some tenths of a second to pass on.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The path under which metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Handles a request. If the client disconnects, the future is dropped, and with it the work that
/// it had begun.
pub async fn handle(
    gateway: &Rc<Gateway>,
    port: Port,
    request: Request<Incoming>,
) -> Response<Body> {
    let progress = Progress::default();
    let mut response = tokio::select! {
        biased;
        response = respond(gateway, port, request, &progress) => response,
        () = gateway.stop.last_answer() => last_response(&progress),
    };
    if gateway.stop.get().is_some() {
        response
            .headers_mut()
            .insert("connection", HeaderValue::from_static("close"));
    }
    response
}

/// Returns the response to a request that has none when the process exits.
fn last_response(progress: &Progress) -> Response<Body> {
    let outcome = if progress.has_begun() {
        "unknown"
    } else {
        "not run"
    };
    log::info!(outcome; "final response before the exit");
    if progress.has_begun() {
        empty_response(StatusCode::GATEWAY_TIMEOUT)
    } else {
        retry_later(Duration::ZERO)
    }
}

async fn respond(
    gateway: &Rc<Gateway>,
    port: Port,
    request: Request<Incoming>,
    progress: &Progress,
) -> Response<Body> {
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
            handle_batch_call(gateway, call, &head, progress).await
        }
        Call::Routed if port == Port::Metrics && head.uri.path() == METRICS_PATH => {
            response_with_body(StatusCode::OK, gateway.metrics.render())
        }
        Call::Routed => handle_routed(gateway, head, body, progress).await,
    }
}

/// Handles a call to a batch that was accepted before.
async fn handle_batch_call(
    gateway: &Rc<Gateway>,
    call: Call,
    head: &hyper::http::request::Parts,
    progress: &Progress,
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
        Call::EndBatch { batch } => {
            progress.begin();
            batches::end(gateway, &caller, &batch).await
        }
        Call::Readiness | Call::Routed => empty_response(StatusCode::NOT_FOUND),
    }
}

/// Handles a request by its route: forwards it, or accepts it as a batch.
async fn handle_routed(
    gateway: &Rc<Gateway>,
    mut head: hyper::http::request::Parts,
    body: Incoming,
    progress: &Progress,
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
    let admission = match gateway.stop.get() {
        Some(stop) if !is_batch => stop.admit(arrival, route.kind, deadline),
        _ => Admission::Until(deadline),
    };
    let kind = if is_batch { Use::Batch } else { Use::Request };
    let max_bytes = table.limits.body_bytes;
    let read = memory::read_body(body, max_bytes, &gateway.memory, kind, caller.account());
    let body = match tokio::time::timeout(limit, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(refusal)) => return refuse_body(gateway, &id, refusal),
        Err(_) => {
            log::info!(request = id.as_str(), outcome = "not run"; "request body too slow");
            return empty_response(StatusCode::REQUEST_TIMEOUT);
        }
    };
    // A refusal while the body arrives could be lost with the connection.
    let Admission::Until(deadline) = admission else {
        log::info!(
            request = id.as_str(), route = route.name.as_str(), outcome = "not run";
            "request refused, it may outlast this process"
        );
        return retry_later(Duration::ZERO);
    };
    if is_batch {
        progress.begin();
        return batches::accept(gateway, route, &caller, &head, &id, body, deadline).await;
    }
    match batches::is_repeated(gateway, &table, &caller, &head, &id, &body).await {
        Ok(false) => {}
        Ok(true) => {
            log::info!(
                batch = id.as_str(), route = route.name.as_str();
                "repeated submission, its path has another route by now"
            );
            return empty_response(StatusCode::ACCEPTED);
        }
        Err(error) => {
            log::info!(batch = id.as_str(), error:%, outcome = "not run"; "batch not read");
            return retry_later(response::UNAVAILABLE_RETRY_AFTER);
        }
    }
    let mut content = Content::new(head, body, progress.clone());
    content.usage = usage::request(gateway, &caller);
    forward::forward(gateway, route, &caller, content, &id, arrival, deadline).await
}

/// Returns the response to a request whose body was not read.
fn refuse_body(gateway: &Gateway, id: &str, refusal: Refusal) -> Response<Body> {
    log::info!(
        request = id, reason:% = refusal, in_use = gateway.memory.used(), outcome = "not run";
        "request body not read"
    );
    match refusal {
        Refusal::TooLong => empty_response(StatusCode::PAYLOAD_TOO_LARGE),
        Refusal::Broken => empty_response(StatusCode::BAD_REQUEST),
        Refusal::Exhausted(_) => {
            gateway.metrics.memory_refusals.inc();
            retry_later(MEMORY_RETRY_AFTER.mul_f64(0.5 + rand::random::<f64>()))
        }
    }
}
