//! Relays of responses to clients.

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use tamaracksail_adapter::ingress;
use tamaracksail_http::IncomingResponse;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::memory::Use;
use tokio::sync::mpsc;

use super::admission::Admitted;
use super::execution::Execution;
use crate::connection::Body;
use crate::gateway::{Gateway, now};
use crate::memory;

/// The number of chunks of a streamed response that are buffered for a slow client.
pub(super) const MAX_BUFFERED_CHUNKS: usize = 4;

/// How long after its deadline a response may still be relayed. Servers stop at the deadline.
pub(super) const RELAY_MARGIN: Duration = Duration::from_millis(250);

/// The problem of a response that was cut off.
pub(super) const DEADLINE_PASSED: &str = "the deadline has passed";

/// Relays a response to the client chunk by chunk until `deadline`, beginning with the bytes already
/// read. `admitted` holds the request's slot meanwhile.
pub(super) fn relay_chunks(
    gateway: &Gateway,
    deadline: Instant,
    first: Bytes,
    mut reply: IncomingResponse,
    execution: Execution,
    admitted: Option<Admitted>,
) -> Response<Body> {
    let (sender, chunks) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let length = reply.length().map(|left| left + first.len() as u64);
    let head = reply.head.clone();
    let end = deadline.after(RELAY_MARGIN).since(now());
    let budget = gateway.memory.clone();
    actix_rt::spawn(async move {
        let _admitted = admitted;
        let mut left = reply.length();
        let mut end = pin!(tokio::time::sleep(end));
        if sender.send(Ok(first)).await.is_err() {
            return;
        }
        loop {
            let chunk = tokio::select! {
                chunk = reply.next() => chunk,
                () = sender.closed() => return,
                () = &mut end => Err(reply.body_error(DEADLINE_PASSED.to_owned())),
            };
            let chunk = match chunk {
                Ok(None) => return execution.complete(),
                Ok(Some(chunk)) => {
                    let bytes = chunk.len() as u64;
                    left = left.map(|left| left.saturating_sub(bytes));
                    let reservation = budget.count(Use::Response, None, bytes);
                    Ok(memory::hold(chunk, reservation))
                }
                Err(error) => Err(error),
            };
            let is_broken = chunk.is_err();
            if sender.send(chunk).await.is_err() {
                return;
            }
            if left == Some(0) && !is_broken {
                // The client's connection drops the body once it has all of it, which must not
                // count as abandoned.
                return execution.complete();
            }
            // While memory is short, one chunk at a time is buffered.
            if budget.is_tight() && sender.reserve_many(MAX_BUFFERED_CHUNKS).await.is_err() {
                return;
            }
            if is_broken {
                return execution.break_off().await;
            }
        }
    });
    client_response(head, Body::chunks(chunks, length))
}

/// Returns a server's response as it goes to the client, without hop-by-hop headers.
pub(super) fn client_response(
    mut head: hyper::http::response::Parts,
    body: Body,
) -> Response<Body> {
    ingress::strip_hop_by_hop(&mut head.headers);
    head.version = hyper::Version::HTTP_11;
    Response::from_parts(head, body)
}
