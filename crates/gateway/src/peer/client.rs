//! The client side of requests between gateways.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use tamaracksail_wire::peer::{Request as PeerRequest, Response as PeerResponse};

use super::PATH;
use crate::gateway::Gateway;

/// The time limit on connecting to another gateway. A healthy connect takes one round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Why a request to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The host refused the connection, so no gateway process is running there.
    #[error("peer {0}: no process listens")]
    NotListening(SocketAddr),
    /// There is no usable response, so the peer's state is unknown.
    #[error("peer {0}: {1}")]
    NoResponse(SocketAddr, String),
}

/// Sends a request to a peer and waits up to `limit` for its response.
///
/// # Errors
/// See [`Error`].
pub async fn call(
    gateway: &Gateway,
    peer: SocketAddr,
    request: &PeerRequest,
    limit: Duration,
) -> Result<PeerResponse, Error> {
    call_with(&gateway.http, peer, request, limit).await
}

/// Sends a request to a peer with an HTTP client and waits up to `limit` for its response.
///
/// # Errors
/// See [`Error`].
pub async fn call_with(
    http: &tamaracksail_http::Client,
    peer: SocketAddr,
    request: &PeerRequest,
    limit: Duration,
) -> Result<PeerResponse, Error> {
    let no_response = |problem: String| Error::NoResponse(peer, problem);
    let body = Bytes::from(tamaracksail_wire::encode(request));
    let request = Request::post(PATH)
        .header("host", peer.to_string())
        .body(Full::new(body))
        .map_err(|error| no_response(error.to_string()))?;
    let exchange = async {
        let mut reply = http.send(peer, request, CONNECT_TIMEOUT).await?;
        let body = reply.read(tamaracksail_wire::codec::MAX_BYTES).await?;
        let code = reply.head.status;
        reply.release(http);
        Ok::<_, tamaracksail_http::Error>((code, body))
    };
    let (code, body) = match tokio::time::timeout(limit, exchange).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.stage == tamaracksail_http::Stage::Refused => {
            return Err(Error::NotListening(peer));
        }
        Ok(Err(error)) => return Err(no_response(error.to_string())),
        Err(_) => return Err(no_response("no response in time".to_owned())),
    };
    if code != StatusCode::OK {
        return Err(no_response(format!("status {code}")));
    }
    tamaracksail_wire::decode(&body).map_err(|error| no_response(error.to_string()))
}
