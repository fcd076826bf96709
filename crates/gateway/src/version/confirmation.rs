//! The check that a server is still the process that is registered.
//!
//! A server may restart under its id with other software, and its new record takes time to arrive. What a
//! server of one software version began must not continue at the new process.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use tamaracksail_adapter::backend::{Origin, RequestHeaders};
use tamaracksail_adapter::engine::REPORT_PATH;
use tamaracksail_adapter::identity::Identity;
use tamaracksail_adapter::names;
use tamaracksail_http::{Connection, Error, IncomingResponse, Stage, Tag};
use tamaracksail_model::backend::Registration;

use crate::gateway::Gateway;

/// How long the server may take to report its state.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// The largest report.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Why a request that continues a stream or a text was not sent, or has no response.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The server did not report its state, or another process did. The request was not sent.
    #[error("server {instance}: {problem}")]
    Unconfirmed {
        /// The server's instance id.
        instance: String,
        /// What happened.
        problem: String,
    },
    /// The request failed.
    #[error(transparent)]
    Request(#[from] Error),
}

impl Failure {
    /// Returns whether the request was not sent.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Unconfirmed { .. } => true,
            Self::Request(error) => error.is_unsent(),
        }
    }
}

/// Sends a request to a server. One that continues a stream or a text (`is_continuation`) is sent on a
/// connection on which the server has reported that its process is the registered one.
///
/// # Errors
/// See [`Failure`].
pub async fn send(
    gateway: &Gateway,
    server: &Registration,
    mut request: Request<Full<Bytes>>,
    is_continuation: bool,
    connect_timeout: Duration,
) -> Result<IncomingResponse, Failure> {
    if let Some(id) = request.headers().get(names::REQUEST_ID).cloned() {
        request.extensions_mut().insert(Tag(id));
    }
    if !is_continuation || server.started_at_ms.is_none() {
        let response = gateway.http.send(server.address, request, connect_timeout);
        return Ok(response.await?);
    }
    let unconfirmed = |problem: String| Failure::Unconfirmed {
        instance: server.instance.clone(),
        problem,
    };
    let confirmed = confirm(gateway, server, connect_timeout);
    let connection = tokio::time::timeout(connect_timeout + REPORT_TIMEOUT, confirmed)
        .await
        .map_err(|_| unconfirmed("no report in time".to_owned()))?
        .map_err(unconfirmed)?;
    Ok(connection.request(request).await?)
}

/// Returns a connection to the registered process of a server. A server that does not report when its
/// process started is trusted.
async fn confirm(
    gateway: &Gateway,
    server: &Registration,
    connect_timeout: Duration,
) -> Result<Connection, String> {
    let (identity, response) = identify(gateway, server, REPORT_PATH, connect_timeout)
        .await
        .map_err(|error| error.to_string())?;
    if identity == Identity::Other {
        return Err("another process answers".to_owned());
    }
    let connection = response.into_connection().await;
    connection.ok_or_else(|| "the server closed the connection".to_owned())
}

/// Sends a request for a report or a health check to a server. Returns what it says about its process,
/// and the response, which has been read.
///
/// # Errors
/// As [`tamaracksail_http::Client::send`] and [`IncomingResponse::read`].
pub async fn identify(
    gateway: &Gateway,
    server: &Registration,
    path: &str,
    connect_timeout: Duration,
) -> Result<(Identity, IncomingResponse), Error> {
    let failed = |problem: String| Error {
        stage: Stage::Connect,
        peer: server.address,
        problem,
    };
    let mut request = Request::builder()
        .method(Method::GET)
        .uri(path)
        .header("host", server.address.to_string())
        .body(Full::default())
        .map_err(|error| failed(error.to_string()))?;
    let request_headers = RequestHeaders {
        instance: Some(&server.instance),
        ..RequestHeaders::default()
    };
    request_headers
        .write(request.headers_mut())
        .map_err(|error| failed(error.to_string()))?;
    let response = gateway.http.send(server.address, request, connect_timeout);
    let mut response = response.await?;
    if Origin::parse(&response.head, None) == Origin::Foreign {
        gateway.http.distrust(server.address);
        return Err(response.body_error("the response is to another request".to_owned()));
    }
    let body = response.read(MAX_REPORT_BYTES).await?;
    let identity = Identity::parse(&response.head, &body, server);
    log::debug!(
        server = server.instance.as_str(), path, status = response.head.status.as_u16(),
        identity:? = identity;
        "server identified"
    );
    Ok((identity, response))
}
