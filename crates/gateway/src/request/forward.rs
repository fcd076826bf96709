//! A request on its way to a backend server and back.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use tamaracksail_adapter::ingress;
use tamaracksail_model::route::{Kind, Route};
use tamaracksail_model::table::draw_target;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::ServerKey;
use tamaracksail_process::trace::SpanKind;
use tokio::sync::mpsc;

use super::response::{UNAVAILABLE_RETRY_AFTER, empty_response, retry_later};
use super::sending::{Outcome, Sending};
use super::streaming::{self, Stream};
use crate::connection::Body;
use crate::gateway::{Gateway, now};

/// When to come back after all servers refused. Requests last tens of milliseconds, so a place
/// is free soon.
const FULL: Duration = Duration::from_millis(100);

/// The share of the objective after which a repeatable request is sent to a second server too.
const SECOND_SEND: f64 = 0.5;

/// Pieces of a long answer that wait for the client.
pub(super) const PIECES: usize = 4;

type Try<'a> = Pin<Box<dyn Future<Output = (ServerKey, Outcome)> + 'a>>;

/// The sends of one request.
struct Forwarding<'a> {
    gateway: &'a Rc<Gateway>,
    route: &'a Route,
    service: &'a str,
    head: &'a Parts,
    body: Bytes,
    id: &'a str,
    deadline: Instant,
    tried: Vec<ServerKey>,
    may_have_run: bool,
}

/// Forwards a request and returns the answer that the client gets.
pub async fn forward(
    gateway: &Rc<Gateway>,
    route: &Route,
    mut head: Parts,
    body: Bytes,
    id: &str,
    arrival: Instant,
    deadline: Instant,
) -> Response<Body> {
    let Some(target) = draw_target(&route.targets, rand::random()) else {
        log::warn!(request = id, route = route.name.as_str(), outcome = "not run"; "no service");
        return retry_later(UNAVAILABLE_RETRY_AFTER);
    };
    let span = gateway.span("request", SpanKind::Server, &mut head.headers);
    let forwarding = Forwarding {
        gateway,
        route,
        service: &target.service,
        head: &head,
        body,
        id,
        deadline,
        tried: Vec::new(),
        may_have_run: false,
    };
    let response = forwarding.run().await;
    let took = now().since(arrival);
    let code = response.status().as_u16();
    let kind = match route.kind {
        Kind::Idempotent => "idempotent",
        Kind::Once => "once",
        Kind::Stream => "stream",
        Kind::Batch => "batch",
    };
    gateway.metrics.record_response(kind, code, took);
    if let Some(span) = span {
        span.note("request", id.to_owned());
        span.note("route", route.name.clone());
        span.end((code >= 500).then(|| code.to_string()));
    }
    log::info!(
        request = id, route = route.name.as_str(), status = code, millis = took.as_millis();
        "answered"
    );
    response
}

impl<'a> Forwarding<'a> {
    async fn run(mut self) -> Response<Body> {
        let mut tries: FuturesUnordered<Try<'a>> = FuturesUnordered::new();
        let second = now().after(self.route.objective.mul_f64(SECOND_SEND));
        let mut last_failure = None;
        loop {
            if tries.is_empty() {
                match self.next() {
                    Some(next) => tries.push(next),
                    None => return self.give_up(last_failure),
                }
            }
            let may_hedge = self.may_repeat() && tries.len() == 1 && now() < self.deadline;
            tokio::select! {
                Some((key, outcome)) = tries.next() => match self.count(outcome) {
                    Outcome::Whole(head, body) => {
                        let is_failure = head.status.is_server_error();
                        if is_failure && self.may_repeat() {
                            self.note(key, head.status.as_str());
                            self.may_have_run = true;
                            last_failure = Some((head, body));
                            continue;
                        }
                        return pass(head, Body::whole(body));
                    }
                    Outcome::Long(_, reply) if self.is_resumable() => {
                        return streaming::relay(self.into_stream(), *reply);
                    }
                    Outcome::Long(first, reply) => return relay(first, *reply),
                    Outcome::NotRun(problem) => self.note(key, &problem),
                    Outcome::Failed(problem) => {
                        self.note(key, &problem);
                        self.may_have_run = true;
                        if self.route.kind != Kind::Idempotent && !self.is_resumable() {
                            return self.give_up(None);
                        }
                    }
                },
                () = tokio::time::sleep(second.since(now())), if may_hedge && self.tried.len() == 1 => {
                    if let Some(next) = self.next() {
                        log::info!(request = self.id; "sent to a second server");
                        tries.push(next);
                    }
                }
                () = tokio::time::sleep(self.deadline.since(now())) => {
                    // A send is still out, so the request may run.
                    log::info!(request = self.id, outcome = "unknown"; "deadline passed");
                    return empty_response(StatusCode::GATEWAY_TIMEOUT);
                }
            }
        }
    }

    /// Whether the answer is a stream that may go on at another server.
    fn is_resumable(&self) -> bool {
        self.route.kind == Kind::Stream && self.route.is_resumable
    }

    fn into_stream(self) -> Stream {
        Stream {
            gateway: Rc::clone(self.gateway),
            service: self.service.to_owned(),
            head: self.head.clone(),
            body: self.body,
            id: self.id.to_owned(),
            deadline: self.deadline,
            attempts_left: (self.route.max_attempts as usize).saturating_sub(self.tried.len()),
            tried: self.tried,
        }
    }

    /// Whether a request that may have run may be sent again.
    fn may_repeat(&self) -> bool {
        self.route.kind == Kind::Idempotent && self.has_attempts()
    }

    fn has_attempts(&self) -> bool {
        self.tried.len() < self.route.max_attempts.max(1) as usize
    }

    /// Sends to the next server, if there is one and an attempt is left.
    fn next(&mut self) -> Option<Try<'a>> {
        let at = now();
        if !self.has_attempts() || at >= self.deadline {
            return None;
        }
        let gateway = self.gateway;
        let key = {
            let settings = gateway.settings.borrow();
            let fleet = gateway.fleet.borrow();
            let choose =
                |except: &[ServerKey]| fleet.choose(at, self.service, &settings.domain, except);
            choose(&self.tried).or_else(|| choose(&[]))?
        };
        if let Some(registration) = gateway.fleet.borrow().registration(key) {
            log::debug!(
                request = self.id, server = registration.instance.as_str(), attempt = self.tried.len() + 1;
                "sent"
            );
        }
        self.tried.push(key);
        let sending = Sending::new(gateway, key, self.route.kind == Kind::Stream);
        let (head, body, id, deadline) = (self.head, self.body.clone(), self.id, self.deadline);
        Some(Box::pin(async move {
            (key, sending.run(head, body, id, deadline).await)
        }))
    }

    fn count(&self, outcome: Outcome) -> Outcome {
        let label = match &outcome {
            Outcome::Whole(..) | Outcome::Long(..) => "answered",
            Outcome::NotRun(_) => "not run",
            Outcome::Failed(_) => "failed",
        };
        self.gateway.metrics.sends.with_label_values(&[label]).inc();
        outcome
    }

    fn note(&self, key: ServerKey, problem: &str) {
        let fleet = self.gateway.fleet.borrow();
        let server = fleet
            .registration(key)
            .map_or("", |registration| &registration.instance);
        log::info!(
            request = self.id, server, problem, attempt = self.tried.len();
            "send failed"
        );
    }

    /// The final answer when no further send is made.
    fn give_up(
        &self,
        last_failure: Option<(hyper::http::response::Parts, Bytes)>,
    ) -> Response<Body> {
        if let Some((head, body)) = last_failure {
            return pass(head, Body::whole(body));
        }
        if self.may_have_run {
            return empty_response(StatusCode::BAD_GATEWAY);
        }
        log::info!(
            request = self.id, service = self.service, sends = self.tried.len(),
            outcome = "not run"; "refused"
        );
        retry_later(if self.tried.is_empty() {
            UNAVAILABLE_RETRY_AFTER
        } else {
            FULL
        })
    }
}

/// Passes an answer on.
pub(super) fn pass(mut head: hyper::http::response::Parts, body: Body) -> Response<Body> {
    ingress::strip_hop_by_hop(&mut head.headers);
    head.version = hyper::Version::HTTP_11;
    Response::from_parts(head, body)
}

/// Passes a long answer on as it arrives.
fn relay(first: Bytes, mut reply: tamaracksail_http::Reply) -> Response<Body> {
    let (sender, pieces) = mpsc::channel(PIECES);
    let length = reply.length().map(|left| left + first.len() as u64);
    let head = reply.head.clone();
    actix_rt::spawn(async move {
        if sender.send(Ok(first)).await.is_err() {
            return;
        }
        loop {
            let piece = tokio::select! {
                piece = reply.next() => piece,
                () = sender.closed() => return,
            };
            let piece = match piece {
                Ok(None) => return,
                Ok(Some(piece)) => Ok(piece),
                Err(error) => Err(error),
            };
            if sender.send(piece).await.is_err() {
                return;
            }
        }
    });
    pass(head, Body::Pieces { pieces, length })
}
