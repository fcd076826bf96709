//! The server side of requests between gateways.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tamaracksail_http::socket;
use tamaracksail_wire::codec::MAX_BYTES;
use tamaracksail_wire::peer::{Request as PeerRequest, Response as PeerResponse};
use tokio::net::{TcpListener, TcpStream};

use super::PATH;
use crate::batches;
use crate::batches::Submission;
use crate::connection::Body;
use crate::gateway::Gateway;
use crate::limits;
use crate::request::{empty_response, response_with_body};
use crate::streams;

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
    let service = service_fn(|request| {
        let gateway = Rc::clone(&gateway);
        async move { Ok::<_, Infallible>(respond(&gateway, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!(peer:%, error:%; "peer's connection failed");
    }
}

async fn respond(gateway: &Rc<Gateway>, request: hyper::Request<Incoming>) -> Response<Body> {
    if request.uri().path() != PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let Ok(body) = Limited::new(request.into_body(), MAX_BYTES).collect().await else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let request: PeerRequest = match tamaracksail_wire::decode(&body.to_bytes()) {
        Ok(request) => request,
        Err(error) => {
            log::warn!(error:%; "malformed request of a peer");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let response = match request {
        PeerRequest::Holding {
            fence,
            sender,
            has_spare_cpu,
        } => batches::answer_lease_query(gateway, fence, has_spare_cpu.then_some(sender)).await,
        PeerRequest::Yield { fence, successor } => batches::yield_lease(gateway, fence, successor),
        PeerRequest::Keep {
            batch,
            host,
            path,
            account,
            body,
            limit_ms,
        } => {
            let submission = Submission {
                id: batch,
                host,
                path,
                account,
                body,
            };
            batches::store_for_peer(gateway, &submission, Duration::from_millis(limit_ms)).await
        }
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
        PeerRequest::Drafts { part, parts } => PeerResponse::Drafts {
            partial_texts: gateway.coordinator.partial_texts(part, parts),
            groups: gateway.coordinator.past_groups(),
        },
    };
    response_with_body(StatusCode::OK, tamaracksail_wire::encode(&response))
}
