//! Asks another gateway.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use tamaracksail_wire::peer::{Ask, Reply};

use super::PATH;
use crate::gateway::Gateway;

/// How long a connection to another gateway may take. A healthy one takes a round trip.
const CONNECT: Duration = Duration::from_millis(400);

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum Trouble {
    /// The host is there and the process is not.
    #[error("peer {0}: no process listens")]
    Dead(SocketAddr),
    /// Nothing is known.
    #[error("peer {0}: {1}")]
    Silent(SocketAddr, String),
}

/// Asks and waits up to `limit`.
///
/// # Errors
/// See [`Trouble`].
pub async fn ask(
    gateway: &Gateway,
    peer: SocketAddr,
    question: &Ask,
    limit: Duration,
) -> Result<Reply, Trouble> {
    let silent = |problem: String| Trouble::Silent(peer, problem);
    let body = Bytes::from(tamaracksail_wire::encode(question));
    let request = Request::post(PATH)
        .header("host", peer.to_string())
        .body(Full::new(body))
        .map_err(|error| silent(error.to_string()))?;
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
            return Err(Trouble::Dead(peer));
        }
        Ok(Err(error)) => return Err(silent(error.to_string())),
        Err(_) => return Err(silent("no answer in time".to_owned())),
    };
    if code != StatusCode::OK {
        return Err(silent(format!("status {code}")));
    }
    tamaracksail_wire::decode(&body).map_err(|error| silent(error.to_string()))
}
