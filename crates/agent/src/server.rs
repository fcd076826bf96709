//! Sends requests to the backend server.

use std::collections::BTreeSet;
use std::str::FromStr;
use std::time::Duration;

use actix::Addr;
use awc::error::SendRequestError;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt, TryStreamExt, stream};
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use tamaracksail_control::delivery::is_unsent;
use tamaracksail_control::headers::end_to_end;
use tamaracksail_http::{self as http, IncomingResponse};
use tamaracksail_model::id;
use tamaracksail_policy::agent::Event;
use tamaracksail_wire::{Content, LoadCommand, Usage};
use tokio::sync::mpsc;

use crate::body_counter::BodyCounter;
use crate::control::{Control, Input, ProbeResult};
use crate::probe;

/// How long a load command may take.
const LOAD_TIMEOUT: Duration = Duration::from_mins(2);

/// How long a connection to the server, on the same host, may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a request may take if its entry does not cancel it earlier.
const RUN_TIMEOUT: Duration = Duration::from_hours(1);

/// The kind of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A model engine, which streams its responses.
    Engine,
    /// A plain service.
    Service,
}

impl FromStr for Kind {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "engine" => Ok(Self::Engine),
            "service" => Ok(Self::Service),
            _ => Err("must be engine or service"),
        }
    }
}

impl std::fmt::Display for Kind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Engine => "engine",
            Self::Service => "service",
        })
    }
}

/// The backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its URL.
    pub url: String,
    /// Its kind.
    pub kind: Kind,
}

/// A directive to the task that runs an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Directive {
    /// Start the attempt.
    Run,
    /// Cancel the attempt.
    Cancel,
}

/// Why a request to the server failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The server's address is not known. Nothing was sent.
    #[error("{operation} at {peer}: {cause}")]
    Address {
        /// The operation: `run`.
        operation: &'static str,
        /// The server's URL.
        peer: String,
        /// The cause.
        cause: String,
    },
    /// The request of an attempt failed.
    #[error("run: {0}")]
    Run(#[from] http::Error),
    /// A load command could not be sent, or no response came in time.
    #[error("{operation} at {peer}: {source}")]
    Send {
        /// The operation: `load`.
        operation: &'static str,
        /// The server's URL.
        peer: String,
        /// The cause.
        source: SendRequestError,
    },
    /// The body of the response could not be read to its end, or is invalid.
    #[error("{operation} at {peer}: reading the response body failed: {cause}")]
    Body {
        /// The operation: `run` or `load`.
        operation: &'static str,
        /// The server's URL.
        peer: String,
        /// The cause.
        cause: String,
    },
    /// The server responded with an error status.
    #[error("{operation} at {peer}: unexpected status {status}")]
    Status {
        /// The operation: `run` or `load`.
        operation: &'static str,
        /// The server's URL.
        peer: String,
        /// The HTTP status.
        status: u16,
    },
}

impl Error {
    /// Returns whether the request may have reached the server.
    fn may_have_been_sent(&self) -> bool {
        match self {
            Self::Address { .. } => false,
            Self::Run(error) => !error.is_unsent(),
            Self::Send { source, .. } => !is_unsent(source),
            Self::Body { .. } | Self::Status { .. } => true,
        }
    }
}

/// Waits for the directive to start the attempt, sends its request to the server, and reports the
/// result to the control thread. The next directive, or the end of the channel, cancels it.
pub async fn run_attempt(
    control: Addr<Control>,
    client: http::Client,
    prober: awc::Client,
    server: Server,
    attempt: id::Attempt,
    content: Content,
    mut directives: mpsc::UnboundedReceiver<Directive>,
) {
    if directives.recv().await != Some(Directive::Run) {
        return;
    }
    let execution = execute(&control, &client, &server, attempt, content);
    // Dropping the execution closes the connection, upon which the server cancels the request.
    let execution = tokio::time::timeout(RUN_TIMEOUT, execution);
    let result = tokio::select! {
        result = execution => result.unwrap_or_else(|elapsed| {
            let (operation, peer) = ("run", server.url.clone());
            let cause = elapsed.to_string();
            Err(Error::Body { operation, peer, cause })
        }),
        _ = directives.recv() => return,
    };
    if let Err(error) = result {
        log::warn!("attempt {attempt}: {error}");
        // If the server crashed, the state machine must learn so before it learns that the attempt
        // failed.
        control.do_send(ProbeResult(probe::probe(&prober, &server).await));
        control.do_send(Input(Event::Failed {
            attempt,
            sent: error.may_have_been_sent(),
        }));
    }
}

/// Sends the request of an attempt to the server and forwards the response to the control thread.
async fn execute(
    control: &Addr<Control>,
    client: &http::Client,
    server: &Server,
    attempt: id::Attempt,
    content: Content,
) -> Result<(), Error> {
    const OPERATION: &str = "run";
    let peer = server.url.clone();
    let unsent = |cause: String| Error::Address {
        operation: OPERATION,
        peer: server.url.clone(),
        cause,
    };
    let authority = server.url.trim_start_matches("http://");
    let addresses = tokio::net::lookup_host(authority).await;
    let address = addresses
        .map_err(|error| unsent(error.to_string()))?
        .next()
        .ok_or_else(|| unsent("the name has no address".to_owned()))?;
    let mut request = Request::builder()
        .method(content.method.as_str())
        .uri(&content.path)
        .header("host", authority);
    for header in content
        .headers
        .iter()
        .filter(|header| header.name != "host")
    {
        request = request.header(&header.name, &header.value);
    }
    let request = request
        .body(Full::new(content.body))
        .map_err(|error| unsent(error.to_string()))?;
    let response = client.send(address, request, CONNECT_TIMEOUT).await?;
    let status = response.head.status;
    if server.kind == Kind::Engine && status.is_server_error() {
        return Err(Error::Status {
            operation: OPERATION,
            peer,
            status: status.as_u16(),
        });
    }
    let headers = response.head.headers.iter();
    let headers = headers.map(|(name, value)| (name.as_str(), value.as_bytes()));
    let headers = end_to_end(headers, &["date"]);
    control.do_send(Input(Event::Head {
        attempt,
        status: status.as_u16(),
        headers,
    }));
    let is_stream = server.kind == Kind::Engine && status.is_success();
    let counter = BodyCounter::default();
    let body = std::pin::pin!(body(client, response, &counter));
    let result = if is_stream {
        forward_events(control, attempt, body, &counter).await
    } else {
        forward_bytes(control, attempt, body, &counter).await
    };
    let usage = result.map_err(|cause| Error::Body {
        operation: OPERATION,
        peer,
        cause,
    })?;
    let versions = BTreeSet::new();
    control.do_send(Input(Event::Finished {
        attempt,
        versions,
        usage,
    }));
    Ok(())
}

/// Returns the chunks of a body. Fails if the body ends before the end that its framing states, or exceeds
/// a limit of `counter`.
fn body(
    client: &http::Client,
    response: IncomingResponse,
    counter: &BodyCounter,
) -> impl Stream<Item = Result<Bytes, http::Error>> {
    stream::try_unfold(response, async |mut response| {
        let Some(chunk) = response.next().await? else {
            response.release(client);
            return Ok(None);
        };
        counter
            .record_chunk(chunk.len())
            .map_err(|problem| response.body_error(problem))?;
        Ok(Some((chunk, response)))
    })
}

/// Forwards the events of an engine's response, each as one line of JSON, and returns the token
/// usage that the engine reported.
async fn forward_events<S>(
    control: &Addr<Control>,
    attempt: id::Attempt,
    response: S,
    counter: &BodyCounter,
) -> Result<Usage, String>
where
    S: Stream<Item = Result<Bytes, http::Error>> + Unpin,
{
    let mut usage = Usage::default();
    let mut events = response.eventsource();
    while let Some(event) = events.next().await {
        let data = event.map_err(|error| error.to_string())?.data;
        counter.record_passed_on();
        if data == "[DONE]" {
            return Ok(usage);
        }
        let chunk: Value = serde_json::from_str(&data).map_err(|error| error.to_string())?;
        if let Some(reported) = read_usage(&chunk) {
            usage = reported;
        }
        let version = read_version(&chunk);
        let bytes = Bytes::from(data + "\n");
        control.do_send(Input(Event::Chunk {
            attempt,
            bytes,
            version,
        }));
    }
    Err("the event stream ended without [DONE]".to_owned())
}

/// Returns the number that follows `MODEL@` in `system_fingerprint`.
fn read_version(chunk: &Value) -> Option<id::Version> {
    let (_, number) = chunk["system_fingerprint"].as_str()?.rsplit_once('@')?;
    number.parse().ok().map(id::Version)
}

fn read_usage(chunk: &Value) -> Option<Usage> {
    let usage = chunk.get("usage")?.as_object()?;
    let count = |name: &str| usage.get(name).and_then(Value::as_u64).unwrap_or(0);
    let cached = usage
        .get("prompt_tokens_details")
        .and_then(|details| details.get("cached_tokens"));
    Some(Usage {
        prompt_tokens: count("prompt_tokens"),
        cached_tokens: cached.and_then(Value::as_u64).unwrap_or(0),
        completion_tokens: count("completion_tokens"),
    })
}

/// Forwards the body of a response as it arrives.
async fn forward_bytes<S>(
    control: &Addr<Control>,
    attempt: id::Attempt,
    mut response: S,
    counter: &BodyCounter,
) -> Result<Usage, String>
where
    S: Stream<Item = Result<Bytes, http::Error>> + Unpin,
{
    while let Some(bytes) = response
        .try_next()
        .await
        .map_err(|error| error.to_string())?
    {
        counter.record_passed_on();
        control.do_send(Input(Event::Chunk {
            attempt,
            bytes,
            version: None,
        }));
    }
    Ok(Usage::default())
}

/// Sends a load command to the engine and waits until the engine has carried it out.
///
/// # Errors
/// If the engine may not have carried it out. Callers must read the loaded versions from the engine
/// in any case.
pub async fn load(
    http: &awc::Client,
    server: &Server,
    platform: &str,
    command: &LoadCommand,
) -> Result<(), Error> {
    const OPERATION: &str = "load";
    let (model, version) = (&command.model, command.version.0);
    let url = match &command.source {
        Some(host) => format!("http://{}/v1/weights/{model}/{version}", host.address),
        None => format!("{platform}/weights/{model}/{version}"),
    };
    let body = serde_json::json!({
        "model": model, "version": version, "fence": command.fence, "url": url,
    });
    let peer = server.url.clone();
    let request = http
        .post(format!("{}/load", server.url))
        .timeout(LOAD_TIMEOUT);
    let response = request.send_json(&body).await;
    let response = response.map_err(|source| Error::Send {
        operation: OPERATION,
        peer: peer.clone(),
        source,
    })?;
    let status = response.status();
    if status.is_success() {
        Ok(())
    } else {
        Err(Error::Status {
            operation: OPERATION,
            peer,
            status: status.as_u16(),
        })
    }
}
