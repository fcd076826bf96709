//! Messages to other processes of the system.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{PayloadError, SendRequestError};
use awc::http::StatusCode;
use tamaracksail_wire as wire;
use wire::Message;

/// How long a peer may take to answer a message.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The path of messages between control threads.
pub const CONTROL: &str = "/v1/control";

/// Why a message has no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It could not be sent.
    #[error("send {step} to {peer}: {source}")]
    Send {
        /// The step.
        step: &'static str,
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        source: SendRequestError,
    },
    /// The answer broke off.
    #[error("send {step} to {peer}: {source}")]
    Payload {
        /// The step.
        step: &'static str,
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        source: PayloadError,
    },
    /// The peer refused it.
    #[error("send {step} to {peer}: answer {status}")]
    Status {
        /// The step.
        step: &'static str,
        /// The peer.
        peer: SocketAddr,
        /// The HTTP status.
        status: StatusCode,
    },
    /// The answer is no message.
    #[error("send {step} to {peer}: {source}")]
    Decode {
        /// The step.
        step: &'static str,
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        source: wire::Error,
    },
}

/// Sends a message; the answer, if the peer gives one.
///
/// # Errors
/// Why there is no answer. The message may have arrived.
pub async fn send(
    http: &awc::Client,
    peer: SocketAddr,
    step: &'static str,
    message: &Message,
) -> Result<Option<Message>, Error> {
    send_with_timeout(http, peer, step, message, TIMEOUT).await
}

/// Sends a message whose answer may take as long as `timeout`.
///
/// # Errors
/// Why there is no answer. The message may have arrived.
pub async fn send_with_timeout(
    http: &awc::Client,
    peer: SocketAddr,
    step: &'static str,
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
        .map_err(|source| Error::Send { step, peer, source })?;
    let status = response.status();
    let body = response.body().limit(wire::codec::MAX_BYTES).await;
    let body = body.map_err(|source| Error::Payload { step, peer, source })?;
    match status.as_u16() {
        200 => {
            let answer = wire::decode(&body);
            answer
                .map(Some)
                .map_err(|source| Error::Decode { step, peer, source })
        }
        204 => Ok(None),
        _ => Err(Error::Status { step, peer, status }),
    }
}
