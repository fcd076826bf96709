//! Sends messages to the control threads of other processes.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{PayloadError, SendRequestError};
use awc::http::StatusCode;
use tamaracksail_wire as wire;
use wire::Message;

/// How long a peer may take to respond to a message.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The HTTP path of messages between control threads.
pub const CONTROL: &str = "/v1/control";

/// Why a message could not be exchanged with a peer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The message could not be sent, or no response came in time.
    #[error("send {kind} to {peer}: {source}")]
    Send {
        /// The kind of message.
        kind: &'static str,
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        source: SendRequestError,
    },
    /// The body of the response could not be read to its end.
    #[error("send {kind} to {peer}: {source}")]
    Payload {
        /// The kind of message.
        kind: &'static str,
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        source: PayloadError,
    },
    /// The peer responded with an unexpected HTTP status.
    #[error("send {kind} to {peer}: unexpected status {status}")]
    Status {
        /// The kind of message.
        kind: &'static str,
        /// The peer.
        peer: SocketAddr,
        /// The HTTP status.
        status: StatusCode,
    },
    /// The response could not be decoded as a message.
    #[error("send {kind} to {peer}: {source}")]
    Decode {
        /// The kind of message.
        kind: &'static str,
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        source: wire::Error,
    },
}

/// Sends a message and returns the response, if the peer sends one.
///
/// # Errors
/// If the message or its response failed. The peer may still have handled the message.
pub async fn send(
    http: &awc::Client,
    peer: SocketAddr,
    kind: &'static str,
    message: &Message,
) -> Result<Option<Message>, Error> {
    send_with_timeout(http, peer, kind, message, RESPONSE_TIMEOUT).await
}

/// Sends a message to which the peer may take as long as `timeout` to respond.
///
/// # Errors
/// If the message or its response failed. The peer may still have handled the message.
pub async fn send_with_timeout(
    http: &awc::Client,
    peer: SocketAddr,
    kind: &'static str,
    message: &Message,
    timeout: Duration,
) -> Result<Option<Message>, Error> {
    let url = format!("http://{peer}{CONTROL}");
    let request = http
        .post(url)
        .timeout(timeout)
        .send_body(wire::encode(message));
    let mut response = request
        .await
        .map_err(|source| Error::Send { kind, peer, source })?;
    let status = response.status();
    let body = response.body().limit(wire::codec::MAX_BYTES).await;
    let body = body.map_err(|source| Error::Payload { kind, peer, source })?;
    match status.as_u16() {
        200 => {
            let decoded = wire::decode(&body);
            decoded
                .map(Some)
                .map_err(|source| Error::Decode { kind, peer, source })
        }
        204 => Ok(None),
        _ => Err(Error::Status { kind, peer, status }),
    }
}
