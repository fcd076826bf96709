//! Resumable streams: when a server breaks off, another continues after the last event relayed. A server
//! that is silent is given up only once another has taken the stream.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use tamaracksail_adapter::backend::{self, RequestHeaders};
use tamaracksail_http::{Error, IncomingResponse};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::ServerKey;
use tamaracksail_policy::request::standby::Standby;
use tamaracksail_policy::request::suspects::Verdict;
use tokio::sync::mpsc;

use super::admission::Admitted;
use super::attempt::{Attempt, Outcome};
use super::content::Content;
use super::execution::Execution;
use super::forward::MAX_PERMIT_WAIT;
use super::relay::{DEADLINE_PASSED, MAX_BUFFERED_CHUNKS, RELAY_MARGIN, client_response};
use super::server_stream::ServerStream;
use super::stream_servers::{Occurrence, Servers};
use super::trial::Trial;
use crate::connection::Body;
use crate::gateway::{Gateway, now};
use crate::limits::{self, Candidates, Cause};

/// The time between two attempts to resume a stream whose server broke off, after a refusal.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

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
    /// The attempts at servers.
    pub attempts: RefCell<Attempts>,
    /// The stream's slot, which it keeps until it ends; none without client accounts.
    pub admitted: Option<Admitted>,
}

/// The attempts of a stream.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// The number of attempts left.
    pub left: usize,
    /// The servers of all attempts so far, in order.
    pub tried: Vec<ServerKey>,
}

/// Relays a stream to the client event by event. The client gets the head of the first server's
/// response, also when other servers continue the stream.
pub fn relay(
    stream: Stream,
    key: ServerKey,
    reply: IncomingResponse,
    execution: Execution,
) -> Response<Body> {
    let (sender, chunks) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let head = reply.head.clone();
    let end = stream.deadline.after(RELAY_MARGIN).since(now());
    let late = reply.body_error(DEADLINE_PASSED.to_owned());
    let first = ServerStream::new(key, reply, execution);
    actix_rt::spawn(async move {
        let client = sender.clone();
        tokio::select! {
            () = stream.run(first, sender) => {}
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

/// The outcome of an attempt to continue a stream at another server.
enum Continuation {
    /// The server has begun its response.
    Taken(Box<ServerStream>),
    /// The server did not run the request.
    NotRun,
    /// There is no response with events.
    Failed,
    /// There is no server.
    Unavailable,
}

impl Stream {
    /// Relays the events of `first`, then those of further servers, until the stream ends or can't be
    /// resumed.
    async fn run(self, first: ServerStream, client: mpsc::Sender<Result<Bytes, Error>>) {
        let mut standby = Standby::new(now());
        let mut last = None;
        let mut servers = Servers::of(first);
        loop {
            let attempts_left = self.attempts.borrow().left;
            let next_search = standby.next_search(attempts_left, servers.search.is_some());
            let received = match servers.next(last, next_search).await {
                Occurrence::Current(received) => received,
                Occurrence::Successor(position, Ok(event)) => {
                    self.switch(&mut servers, position, &standby, last);
                    Ok(event)
                }
                Occurrence::Successor(position, Err(error)) => {
                    log::info!(
                        request = self.id.as_str(), after = last, error:%;
                        "further server of the stream broke off"
                    );
                    let successor = servers.successors.remove(position);
                    drop(successor.reply);
                    actix_rt::spawn(successor.execution.break_off());
                    if servers.search.is_none() {
                        standby.record_failure(now());
                    }
                    continue;
                }
                Occurrence::Found(found) => {
                    servers.search = None;
                    match &found {
                        Some(_) => standby.record_taken(now()),
                        None => standby.record_failure(now()),
                    }
                    servers.successors.extend(found.map(|found| *found));
                    continue;
                }
                Occurrence::Due => {
                    let search = self.search(servers.newest(), last, standby.silence(now()));
                    servers.search = Some(Box::pin(search));
                    continue;
                }
            };
            let problem = match received {
                Ok(Some(event)) => {
                    last = Some(event.id);
                    self.end_search(&mut servers);
                    if client.send(Ok(event.raw)).await.is_err() {
                        return;
                    }
                    // The time that the client takes is no silence of the server.
                    standby.record_event(now());
                    continue;
                }
                Ok(None) => return self.complete(servers.current),
                Err(error) => error,
            };
            log::info!(
                request = self.id.as_str(), after = last, error:% = problem;
                "stream interrupted"
            );
            let Some(next) = self.replace(servers, last).await else {
                log::warn!(request = self.id.as_str(), after = last; "stream abandoned");
                // Breaks the client's connection, so that the response doesn't look complete. The
                // error of a client that has disconnected is of no use.
                drop(client.send(Err(problem)).await);
                return;
            };
            servers = next;
            standby.record_event(now());
        }
    }

    /// Gives up all servers but the one that sent the last event.
    fn end_search(&self, servers: &mut Servers<'_>) {
        let has_search = servers.search.take().is_some();
        if has_search || !servers.successors.is_empty() {
            servers.successors.clear();
            self.count_standby("unused");
        }
    }

    fn complete(&self, stream: ServerStream) {
        stream.execution.complete();
        if let Some(admitted) = &self.admitted {
            admitted.record_served();
        }
        if !self.id.is_empty() {
            stream.reply.release(&self.gateway.http);
        }
    }

    /// Makes the successor at `position`, which has sent the next event, the current server.
    fn switch(
        &self,
        servers: &mut Servers<'_>,
        position: usize,
        standby: &Standby,
        last: Option<u64>,
    ) {
        let successor = servers.successors.remove(position);
        log::info!(
            request = self.id.as_str(), after = last,
            silent_ms = standby.silence(now()).as_millis();
            "silent server given up for another"
        );
        self.count_standby("used");
        // Closes the connection of the silent server, which may still be sound.
        drop(std::mem::replace(&mut servers.current, successor));
        self.log_continuation(servers.current.key, last);
    }

    /// Returns the servers of a stream whose current server broke off; none if no other continues it.
    async fn replace<'a>(&'a self, servers: Servers<'a>, last: Option<u64>) -> Option<Servers<'a>> {
        let Servers {
            current,
            mut successors,
            search,
        } = servers;
        let broken = current.key;
        // Closes the connection, so that the broken server doesn't run on beside the next.
        drop(current.reply);
        if !successors.is_empty() {
            actix_rt::spawn(current.execution.break_off());
            let next = successors.remove(0);
            self.log_continuation(next.key, last);
            return Some(Servers {
                current: next,
                successors,
                search,
            });
        }
        current.execution.break_off().await;
        let found = match search {
            Some(search) => search.await,
            None => None,
        };
        let next = match found {
            Some(next) => *next,
            None => self.resume(broken, last).await?,
        };
        self.log_continuation(next.key, last);
        Some(Servers::of(next))
    }

    /// Seeks another server than `newest` for a stream that has had no event for `silence`. The servers
    /// before `newest` are asked again, on another connection, if there is no other.
    async fn search(
        &self,
        newest: ServerKey,
        last: Option<u64>,
        silence: Duration,
    ) -> Option<Box<ServerStream>> {
        // A request that may end servers is sent to one at a time.
        let suspects = &self.gateway.suspects;
        if suspects.is_suspect(now(), || self.content.fingerprint()) {
            return None;
        }
        log::info!(
            request = self.id.as_str(), after = last, silent_ms = silence.as_millis(),
            attempts_left = self.attempts.borrow().left;
            "stream silent, another server is sought"
        );
        if let Continuation::Taken(stream) = self.continue_elsewhere(newest, last).await {
            return Some(stream);
        }
        self.count_standby("not found");
        None
    }

    /// Sends the request to other servers than `broken`, to continue after the event `last`, until one
    /// takes it or no attempt is left. Here a refusal counts as an attempt.
    async fn resume(&self, broken: ServerKey, last: Option<u64>) -> Option<ServerStream> {
        let mut just_tried = broken;
        let mut refusals = 0;
        loop {
            let left = self.attempts.borrow().left;
            if refusals >= left || now() >= self.deadline {
                return None;
            }
            match self.continue_elsewhere(just_tried, last).await {
                Continuation::Taken(stream) => return Some(*stream),
                Continuation::NotRun => {
                    refusals += 1;
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
                Continuation::Failed => {}
                Continuation::Unavailable => return None,
            }
            let tried = self.attempts.borrow().tried.last().copied();
            just_tried = tried.unwrap_or(broken);
        }
    }

    /// Sends the request to a server other than `excluded`, to continue after the event `last`.
    async fn continue_elsewhere(&self, excluded: ServerKey, last: Option<u64>) -> Continuation {
        let Some(attempt) = self.next_attempt(excluded).await else {
            return Continuation::Unavailable;
        };
        let key = attempt.key;
        {
            let mut attempts = self.attempts.borrow_mut();
            attempts.left = attempts.left.saturating_sub(1);
            attempts.tried.push(key);
        }
        Cause::Resume.count(&self.gateway, key);
        let mut content = Content::clone(&self.content);
        let request_headers = RequestHeaders {
            last_event: last,
            ..RequestHeaders::default()
        };
        if let Err(error) = request_headers.write(&mut content.head.headers) {
            log::error!(request = self.id.as_str(), error:%; "stream not resumed");
            return Continuation::Unavailable;
        }
        let content = Rc::new(content);
        match attempt.run(&content, &self.id, self.deadline).await {
            Outcome::Streaming(_, reply, execution) if backend::has_events(&reply.head) => {
                Continuation::Taken(Box::new(ServerStream::new(key, *reply, execution)))
            }
            Outcome::Streaming(_, reply, execution) => {
                let status = reply.head.status.as_u16();
                drop(reply);
                log::info!(
                    request = self.id.as_str(), status, problem = "the response has no events";
                    "stream not resumed"
                );
                execution.break_off().await;
                Continuation::Failed
            }
            Outcome::Complete(head, _) => {
                log::info!(
                    request = self.id.as_str(), status = head.status.as_u16();
                    "stream not resumed"
                );
                Continuation::Failed
            }
            Outcome::NotRun(problem) => {
                log::info!(request = self.id.as_str(), problem; "stream not resumed");
                // A refusal is no run, so the attempt is left for another server.
                self.attempts.borrow_mut().left += 1;
                Continuation::NotRun
            }
            Outcome::Failed(problem) => {
                log::info!(request = self.id.as_str(), problem; "stream not resumed");
                Continuation::Failed
            }
        }
    }

    fn count_standby(&self, outcome: &str) {
        let metrics = &self.gateway.metrics;
        metrics.standbys.with_label_values(&[outcome]).inc();
    }

    fn log_continuation(&self, key: ServerKey, last: Option<u64>) {
        let fleet = self.gateway.fleet.borrow();
        let Some(server) = fleet.registration(key) else {
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

    /// Returns an attempt at a server other than `excluded`. Returns none if there is no server, or if the
    /// request may not run since servers ended under its content.
    async fn next_attempt(&self, excluded: ServerKey) -> Option<Attempt> {
        let gateway = &self.gateway;
        let tried = self.attempts.borrow().tried.clone();
        // With every server tried, any but the excluded one will do.
        let candidates = Candidates {
            service: &self.service,
            software: Some(self.began_at.as_deref()?),
            avoided: &tried,
            excluded: &[excluded],
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
