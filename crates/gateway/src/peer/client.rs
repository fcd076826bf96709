//! Asks another gateway.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use tamaracksail_wire::peer::{Request as PeerRequest, Response as PeerResponse};

use super::PATH;
use crate::gateway::Gateway;

/// How long a connection to another gateway may take. A healthy one takes a round trip.
const CONNECT: Duration = Duration::from_millis(400);

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The host is there and the process is not.
    #[error("peer {0}: no process listens")]
    NotListening(SocketAddr),
    /// Nothing is known.
    #[error("peer {0}: {1}")]
    NoResponse(SocketAddr, String),
}

/// Asks and waits up to `limit`.
///
/// # Errors
/// See [`Error`].
pub async fn call(
    gateway: &Gateway,
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
        let mut reply = gateway.http.send(peer, request, CONNECT).await?;
        let body = reply.read(tamaracksail_wire::codec::MAX_BYTES).await?;
        let code = reply.head.status;
        reply.keep(&gateway.http);
        Ok::<_, tamaracksail_http::Error>((code, body))
    };
    let (code, body) = match tokio::time::timeout(limit, exchange).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) if error.step == tamaracksail_http::Step::Refused => {
            return Err(Error::NotListening(peer));
        }
        Ok(Err(error)) => return Err(no_response(error.to_string())),
        Err(_) => return Err(no_response("no answer in time".to_owned())),
    };
    if code != StatusCode::OK {
        return Err(no_response(format!("status {code}")));
    }
    tamaracksail_wire::decode(&body).map_err(|error| no_response(error.to_string()))
}
