//! The server side of requests between gateways.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tamaracksail_http::socket;
use tamaracksail_policy::memory::Use;
use tamaracksail_wire::codec::MAX_BYTES;
use tamaracksail_wire::peer::{Request as PeerRequest, Response as PeerResponse};
use tokio::net::{TcpListener, TcpStream};

use super::PATH;
use crate::batches;
use crate::batches::Submission;
use crate::connection::{Activity, Body, ObservedStream, RequestGuard};
use crate::gateway::{Gateway, now};
use crate::limits;
use crate::memory::{self, Refusal};
use crate::request::{empty_response, response_with_body};
use crate::streams;
use crate::usage;
use crate::version;

/// Listens on the host's first internal port.
///
/// # Errors
/// If the port cannot be bound.
pub async fn listen(gateway: &Rc<Gateway>) -> std::io::Result<()> {
    let address = gateway.peer_address();
    let listener = TcpListener::bind(address).await?;
    log::info!(address:%; "listening for peers");
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    actix_rt::spawn(serve(Rc::clone(&gateway), stream, peer));
                }
                Err(error) => {
                    log::warn!(error:%; "accepting a peer's connection failed");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream, peer: SocketAddr) {
    if let Err(error) = socket::set_options(&stream) {
        log::warn!(peer:%, error:%; "setting options of a peer's socket failed");
    }
    let activity = Rc::new(Activity::new(now(), gateway.work.clone()));
    let service = service_fn(|request| {
        let gateway = Rc::clone(&gateway);
        let guard = RequestGuard::new(Rc::clone(&activity));
        async move {
            let response = respond(&gateway, request).await;
            Ok::<_, Infallible>(response.map(|body| body.with_request(guard)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .serve_connection(
            TokioIo::new(ObservedStream::new(stream, Rc::clone(&activity))),
            service,
        );
    if let Err(error) = connection.await {
        log::debug!(peer:%, error:%; "peer's connection failed");
    }
}

async fn respond(gateway: &Rc<Gateway>, request: hyper::Request<Incoming>) -> Response<Body> {
    if request.uri().path() != PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let body = request.into_body();
    let read = memory::read_body(body, MAX_BYTES, &gateway.memory, Use::Peer, None);
    let body = match read.await {
        Ok(body) => body,
        Err(Refusal::Exhausted(error)) => {
            log::warn!(error:%; "request of a peer refused");
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        Err(Refusal::TooLong | Refusal::Broken) => {
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let request: PeerRequest = match tamaracksail_wire::decode(&body) {
        Ok(request) => request,
        Err(error) => {
            log::warn!(error:%; "malformed request of a peer");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let response = handle(gateway, request).await;
    response_with_body(StatusCode::OK, tamaracksail_wire::encode(&response))
}

async fn handle(gateway: &Rc<Gateway>, request: PeerRequest) -> PeerResponse {
    match request {
        PeerRequest::Holding {
            fence,
            sender,
            has_spare_cpu,
            time,
        } => {
            if let Some(time) = &time {
                gateway.clock.record_request(time);
            }
            batches::answer_lease_query(gateway, fence, has_spare_cpu.then_some(sender)).await
        }
        PeerRequest::Yield { fence, successor } => {
            batches::yield_lease(gateway, fence, successor).await
        }
        PeerRequest::Keep {
            batch,
            host,
            path,
            prefix,
            account,
            body,
            limit_ms,
            routes_version,
        } => {
            let submission = Submission {
                id: batch,
                host,
                path,
                prefix,
                account,
                body,
                routes_version,
            };
            batches::store_for_peer(gateway, &submission, Duration::from_millis(limit_ms)).await
        }
        PeerRequest::Accepted { batch } => batches::receive_announcement(gateway, batch),
        PeerRequest::End { caller, batch } => batches::end_for_peer(gateway, &caller, &batch).await,
        PeerRequest::Results {
            caller,
            batch,
            from,
            wait_ms,
        } => {
            let wait = Duration::from_millis(wait_ms);
            batches::results_for_peer(gateway, &caller, &batch, from, wait).await
        }
        PeerRequest::Item {
            caller,
            batch,
            item,
        } => batches::item_body_for_peer(gateway, &caller, &batch, &item).await,
        PeerRequest::Permits {
            sender,
            servers,
            count,
            max_wait_ms,
        } => {
            let max_wait = Duration::from_millis(max_wait_ms);
            limits::grant_for_peer(gateway, sender, &servers, count, max_wait)
        }
        PeerRequest::KeepOrigins { origins } => {
            streams::copy(gateway, origins);
            PeerResponse::Kept
        }
        PeerRequest::FindOrigin { attempt } => streams::origin_for_peer(gateway, attempt),
        PeerRequest::Usage {
            incarnation,
            reports,
        } => usage::merge_for_peer(gateway, incarnation, &reports),
        PeerRequest::PullUsage { reporter, from } => {
            usage::counts_for_peer(gateway, reporter, from)
        }
        PeerRequest::Configuration {
            version: asked,
            age_ms,
        } => {
            log::debug!(version = asked, age_ms; "another gateway asks for newer routes");
            version::routes_for_peer(gateway, asked)
        }
        PeerRequest::Drafts { part, parts } => PeerResponse::Drafts {
            partial_texts: gateway.coordinator.partial_texts(part, parts),
            groups: gateway.coordinator.past_groups(),
        },
    }
}
