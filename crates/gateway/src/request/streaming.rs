//! Resumable streams: when a server breaks off, another continues after the last event relayed.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use tamaracksail_adapter::backend::{self, RequestHeaders};
use tamaracksail_adapter::event::Parser;
use tamaracksail_http::{Error, IncomingResponse};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::ServerKey;
use tamaracksail_policy::request::suspects::Verdict;
use tokio::sync::mpsc;

use super::admission::Admitted;
use super::attempt::{Attempt, Outcome};
use super::content::Content;
use super::execution::Execution;
use super::forward::MAX_PERMIT_WAIT;
use super::relay::{DEADLINE_PASSED, MAX_BUFFERED_CHUNKS, RELAY_MARGIN, client_response};
use super::trial::Trial;
use crate::connection::Body;
use crate::gateway::{Gateway, now};
use crate::limits::{self, Candidates, Cause};

/// How long a server may send no event within a stream. Clients give up after two seconds.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(900);

/// A streamed request and what is needed to resume it.
pub struct Stream {
    /// The gateway process.
    pub gateway: Rc<Gateway>,
    /// The service whose servers can continue the stream.
    pub service: String,
    /// The version of the software of the server that began the stream, if it is still known.
    pub began_at: Option<String>,
    /// The client's request.
    pub content: Rc<Content>,
    /// The id of the client's request.
    pub id: String,
    /// When the client no longer waits.
    pub deadline: Instant,
    /// The number of attempts left.
    pub attempts_left: usize,
    /// The servers of all attempts so far, in order.
    pub tried: Vec<ServerKey>,
    /// The stream's slot, which it keeps until it ends; none without client accounts.
    pub admitted: Option<Admitted>,
}

/// Relays a stream to the client event by event. The client gets the head of the first server's
/// response, also when other servers continue the stream.
pub fn relay(stream: Stream, reply: IncomingResponse, execution: Execution) -> Response<Body> {
    let (sender, chunks) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let head = reply.head.clone();
    let end = stream.deadline.after(RELAY_MARGIN).since(now());
    let late = reply.body_error(DEADLINE_PASSED.to_owned());
    actix_rt::spawn(async move {
        let client = sender.clone();
        tokio::select! {
            () = stream.run(reply, execution, sender) => {}
            () = client.closed() => {}
            () = tokio::time::sleep(end) => {
                // Breaks the client's connection. A client that has disconnected needs no error.
                drop(client.send(Err(late)).await);
            }
        }
    });
    let mut response = client_response(head, Body::chunks(chunks, None));
    response.headers_mut().remove("content-length");
    response
}

impl Stream {
    /// Relays `reply`, then those of further servers, until the stream ends or can't be resumed.
    async fn run(
        mut self,
        mut reply: IncomingResponse,
        mut execution: Execution,
        client: mpsc::Sender<Result<Bytes, Error>>,
    ) {
        let mut last = None;
        loop {
            // With no server left to go on at, the stream is not given up because this one is slow.
            let idle_timeout = (self.attempts_left > 0).then_some(STREAM_IDLE_TIMEOUT);
            let problem = match relay_events(&mut reply, &client, &mut last, idle_timeout).await {
                Ok(()) => {
                    execution.complete();
                    if let Some(admitted) = &self.admitted {
                        admitted.record_served();
                    }
                    if !self.id.is_empty() {
                        reply.release(&self.gateway.http);
                    }
                    return;
                }
                Err(error) => error,
            };
            log::info!(
                request = self.id.as_str(), after = last, error:% = problem;
                "stream interrupted"
            );
            // Closes the connection, so that the broken server doesn't run on beside the next.
            drop(reply);
            execution.break_off().await;
            let Some(next) = self.resume(last).await else {
                log::warn!(request = self.id.as_str(), after = last; "stream abandoned");
                // Breaks the client's connection, so that the response doesn't look complete. The
                // error of a client that has disconnected is of no use.
                drop(client.send(Err(problem)).await);
                return;
            };
            (reply, execution) = next;
        }
    }

    /// Sends the request to another server, to continue after the event `last`.
    async fn resume(&mut self, last: Option<u64>) -> Option<(IncomingResponse, Execution)> {
        while self.attempts_left > 0 && now() < self.deadline {
            self.attempts_left -= 1;
            let attempt = self.next_attempt().await?;
            self.tried.push(attempt.key);
            Cause::Resume.count(&self.gateway, attempt.key);
            let mut content = Content::clone(&self.content);
            let request_headers = RequestHeaders {
                last_event: last,
                ..RequestHeaders::default()
            };
            if let Err(error) = request_headers.write(&mut content.head.headers) {
                log::error!(request = self.id.as_str(), error:%; "stream not resumed");
                return None;
            }
            let content = Rc::new(content);
            let outcome = attempt.run(&content, &self.id, self.deadline).await;
            match outcome {
                Outcome::Streaming(_, reply, execution) if backend::has_events(&reply.head) => {
                    self.log_continuation(last);
                    return Some((*reply, execution));
                }
                Outcome::Streaming(_, reply, execution) => {
                    let status = reply.head.status.as_u16();
                    drop(reply);
                    log::info!(
                        request = self.id.as_str(), status, problem = "the response has no events";
                        "stream not resumed"
                    );
                    execution.break_off().await;
                }
                Outcome::Complete(head, _) => {
                    log::info!(
                        request = self.id.as_str(), status = head.status.as_u16();
                        "stream not resumed"
                    );
                }
                Outcome::NotRun(problem) | Outcome::Failed(problem) => {
                    log::info!(request = self.id.as_str(), problem; "stream not resumed");
                }
            }
        }
        None
    }

    fn log_continuation(&self, last: Option<u64>) {
        let fleet = self.gateway.fleet.borrow();
        let server = self.tried.last().and_then(|key| fleet.registration(*key));
        let Some(server) = server else {
            return;
        };
        let (began_at, software) = (self.began_at.as_deref(), server.software.as_str());
        self.gateway.metrics.record_continuation(began_at, software);
        log::info!(
            request = self.id.as_str(), after = last, server = server.instance.as_str(), began_at,
            software;
            "stream resumed"
        );
    }

    /// Returns an attempt at another server. Returns none if there is no server, or if the request may
    /// not run since servers ended under its content.
    async fn next_attempt(&self) -> Option<Attempt> {
        let gateway = &self.gateway;
        // With every server tried, any but the one that broke off just now will do.
        let just_broken = self.tried.last().copied();
        let candidates = Candidates {
            service: &self.service,
            software: Some(self.began_at.as_deref()?),
            avoided: &self.tried,
            excluded: just_broken.as_slice(),
        };
        match gateway
            .suspects
            .verdict(now(), || self.content.fingerprint())
        {
            Verdict::Unrestricted => {}
            Verdict::Refused => return None,
            Verdict::Alone => {
                let trial = Trial::start(gateway, candidates, &self.content, self.deadline).await?;
                return Some(Attempt::alone(gateway, trial, true));
            }
        }
        let max_wait = MAX_PERMIT_WAIT.min(self.deadline.since(now()));
        let key = limits::acquire(gateway, candidates, max_wait).await.ok()?;
        Some(Attempt::new(gateway, key, true))
    }
}

/// Relays complete events until the end of the response, keeping the last event's id in `last`.
///
/// # Errors
/// If the server is silent for longer than `idle_timeout`, skips an event, or ends without a proper end
/// of the stream; also if the client has disconnected.
async fn relay_events(
    reply: &mut IncomingResponse,
    client: &mpsc::Sender<Result<Bytes, Error>>,
    last: &mut Option<u64>,
    idle_timeout: Option<Duration>,
) -> Result<(), Error> {
    let has_framed_end =
        reply.head.headers.contains_key("transfer-encoding") || reply.length().is_some();
    let mut parser = Parser::default();
    let mut last_event = now();
    loop {
        let chunk = match idle_timeout {
            Some(timeout) => {
                let left = timeout.saturating_sub(now().since(last_event));
                let chunk = tokio::time::timeout(left, reply.next()).await;
                chunk.map_err(|_| {
                    reply.body_error("the server sent no event within the idle limit".to_owned())
                })??
            }
            None => reply.next().await?,
        };
        let Some(chunk) = chunk else {
            break;
        };
        parser
            .push(&chunk)
            .map_err(|error| reply.body_error(error.to_string()))?;
        while let Some(event) = parser
            .next_event()
            .map_err(|error| reply.body_error(error.to_string()))?
        {
            if last.is_some_and(|last| event.id != last + 1) {
                return Err(reply.body_error(format!(
                    "event {} does not follow the event before it",
                    event.id
                )));
            }
            *last = Some(event.id);
            last_event = now();
            if client.send(Ok(event.raw)).await.is_err() {
                return Err(reply.body_error("the client has disconnected".to_owned()));
            }
        }
    }
    if parser.has_partial_event() || !has_framed_end {
        return Err(reply.body_error("the stream ended without a proper end".to_owned()));
    }
    Ok(())
}
