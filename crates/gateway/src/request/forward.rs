//! Forwarding of one request to backend servers, with retries and a hedged second attempt.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::{Response, StatusCode};
use tamaracksail_adapter::backend;
use tamaracksail_model::account::Caller;
use tamaracksail_model::route::{Kind, Route};
use tamaracksail_model::table::draw_target;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::ServerKey;
use tamaracksail_policy::request::suspects::Verdict;
use tamaracksail_process::trace::SpanKind;

use super::admission::{self, Admitted};
use super::attempt::{Attempt, Outcome};
use super::content::Content;
use super::pace;
use super::relay::{self, client_response};
use super::response::{UNAVAILABLE_RETRY_AFTER, empty_response, retry_later};
use super::resumed::Resumed;
use super::streaming::{self, Attempts, Stream};
use super::trial::Trial;
use crate::connection::Body;
use crate::gateway::{Gateway, now};
use crate::limits::{self, Candidates, Cause};
use crate::streams;

/// When clients should retry after all servers refused. Requests take tens of milliseconds, so a
/// slot is free soon.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The share of the route's latency objective after which an idempotent request is also sent to a
/// second server.
const HEDGE_AFTER_SHARE: f64 = 0.5;

/// When a second attempt that does not pay is considered again. Slots become free within this time.
const HEDGE_RETRY: Duration = Duration::from_millis(20);

/// The share of the route's latency objective for which a request waits for a permit.
const PERMIT_WAIT_SHARE: f64 = 0.5;

/// The longest time for which a request waits for a permit. One that would wait longer is refused at
/// once.
pub(super) const MAX_PERMIT_WAIT: Duration = Duration::from_millis(500);

/// An attempt in progress, with the server it was sent to.
type PendingAttempt<'a> = Pin<Box<dyn Future<Output = (ServerKey, Outcome)> + 'a>>;

/// The state of one request over all its attempts.
struct Forwarding<'a> {
    gateway: &'a Rc<Gateway>,
    route: &'a Route,
    service: &'a str,
    /// The version of the software that began the stream that the request resumes.
    software: Option<&'a str>,
    content: &'a Rc<Content>,
    id: &'a str,
    deadline: Instant,
    /// The servers of all attempts so far, in order.
    tried: Vec<ServerKey>,
    /// The servers of all attempts so far, and those at which no stream can begin yet.
    avoided: Vec<ServerKey>,
    /// Whether an attempt failed in such a way that the server may have executed the request.
    may_have_run: bool,
    /// When the client should retry, set once the request limits of all servers were used up.
    limit_retry_after: Option<Duration>,
    /// The request's slot; none without client accounts.
    admitted: Option<Admitted>,
}

/// Forwards a request and returns the response for the client.
pub async fn forward(
    gateway: &Rc<Gateway>,
    route: &Route,
    caller: &Caller,
    mut content: Content,
    id: &str,
    arrival: Instant,
    deadline: Instant,
) -> Response<Body> {
    let Some(target) = draw_target(&route.targets, rand::random()) else {
        log::warn!(request = id, route = route.name.as_str(), outcome = "not run"; "request refused, route has no target");
        return retry_later(UNAVAILABLE_RETRY_AFTER);
    };
    let mut service = target.service.clone();
    let mut software = None;
    if let Some(resumed) = Resumed::parse(route, &content.head.headers) {
        let attempt = resumed.attempt.as_deref();
        let is_only_service = is_only_service(route, &service);
        let origin = streams::find(gateway, attempt, &service, is_only_service).await;
        let origin = origin.filter(|origin| {
            let targets = &mut route.targets.iter();
            targets.any(|target| target.service == origin.service)
        });
        let Some(origin) = origin else {
            log::info!(
                request = id, resumes = resumed.attempt.as_deref(), outcome = "not run";
                "refused, it is not known where the stream began"
            );
            return retry_later(UNAVAILABLE_RETRY_AFTER);
        };
        log::info!(
            request = id, resumes = resumed.attempt.as_deref(), service = origin.service.as_str(),
            software = origin.software.as_str();
            "client resumes a stream"
        );
        service = origin.service;
        software = Some(origin.software);
        // It was counted when it brought its first event.
        content.usage = None;
    }
    let span = gateway.span("request", SpanKind::Server, &mut content.head.headers);
    let content = Rc::new(content);
    let admitted = admission::admit(gateway, route, &service, caller, deadline).await;
    let forwarding = admitted.map(|admitted| Forwarding {
        gateway,
        route,
        service: &service,
        software: software.as_deref(),
        content: &content,
        id,
        deadline,
        tried: Vec::new(),
        avoided: Vec::new(),
        may_have_run: false,
        limit_retry_after: None,
        admitted,
    });
    let response = match forwarding {
        Ok(forwarding) => forwarding.run().await,
        Err(retry_after) => retry_later(retry_after),
    };
    let latency = now().since(arrival);
    let code = response.status().as_u16();
    let kind = match route.kind {
        Kind::Idempotent => "idempotent",
        Kind::Once => "once",
        Kind::Stream => "stream",
        Kind::Batch => "batch",
    };
    gateway.metrics.record_response(kind, code, latency);
    if let Some(span) = span {
        span.set_attribute("request", id.to_owned());
        span.set_attribute("route", route.name.clone());
        span.end((code >= 500).then(|| code.to_string()));
    }
    log::info!(
        request = id, route = route.name.as_str(), status = code, millis = latency.as_millis();
        "answered"
    );
    response
}

/// Whether a service is the only one of a route.
fn is_only_service(route: &Route, service: &str) -> bool {
    route.targets.iter().all(|target| target.service == service)
}

impl<'a> Forwarding<'a> {
    /// Makes attempts until one yields the response, none is left or the deadline passes.
    async fn run(mut self) -> Response<Body> {
        let mut pending: FuturesUnordered<PendingAttempt<'a>> = FuturesUnordered::new();
        let overdue_at = now().after(self.route.objective);
        let mut hedge_at = now().after(self.route.objective.mul_f64(HEDGE_AFTER_SHARE));
        let mut last_failure = None;
        loop {
            if pending.is_empty() {
                match self.next_attempt().await {
                    Some(next) => pending.push(next),
                    None => return self.give_up(last_failure),
                }
            }
            let may_hedge = self.may_repeat()
                && pending.len() == 1
                && now() < self.deadline
                && !self.is_suspect();
            tokio::select! {
                Some((key, outcome)) = pending.next() => match self.count_outcome(outcome) {
                    Outcome::Complete(head, body) => {
                        self.record_served();
                        let is_failure = head.status.is_server_error();
                        if is_failure && self.may_repeat() {
                            self.log_failure(key, head.status.as_str());
                            self.may_have_run = true;
                            last_failure = Some((head, body));
                            continue;
                        }
                        return client_response(head, Body::full(body));
                    }
                    Outcome::Streaming(_, reply, execution)
                        if self.is_resumable() && backend::has_events(&reply.head) =>
                    {
                        if !self.may_begin(key).await {
                            self.log_failure(key, "the software version is not recorded");
                            // The server ends the stream when its connection is closed.
                            drop((reply, execution));
                            return empty_response(StatusCode::BAD_GATEWAY);
                        }
                        return streaming::relay(self.into_stream(key), key, *reply, execution);
                    }
                    Outcome::Streaming(first, reply, execution) => {
                        self.record_served();
                        let admitted = self.admitted.take();
                        return relay::relay_chunks(self.gateway, self.deadline, first, *reply, execution, admitted);
                    }
                    Outcome::NotRun(problem) => self.log_failure(key, &problem),
                    Outcome::Failed(problem) => {
                        self.log_failure(key, &problem);
                        self.may_have_run = true;
                        if self.route.kind != Kind::Idempotent && !self.is_resumable() {
                            return self.give_up(None);
                        }
                    }
                },
                () = tokio::time::sleep(hedge_at.since(now())), if may_hedge && self.tried.len() == 1 => {
                    if !self.hedge_pays(now() >= overdue_at) {
                        hedge_at = now().after(HEDGE_RETRY);
                    } else if let Some(next) = self.hedge() {
                        log::info!(request = self.id; "request hedged to a second server");
                        pending.push(next);
                    }
                }
                () = tokio::time::sleep(self.deadline.since(now())) => {
                    // An attempt is still pending, so the request may yet run.
                    log::info!(request = self.id, outcome = "unknown"; "deadline passed");
                    return empty_response(StatusCode::GATEWAY_TIMEOUT);
                }
            }
        }
    }

    fn record_served(&self) {
        if let Some(admitted) = &self.admitted {
            admitted.record_served();
        }
    }

    /// Whether the response is a stream that another server may continue.
    fn is_resumable(&self) -> bool {
        self.route.kind == Kind::Stream && self.route.is_resumable
    }

    /// Waits until the software version of a server is recorded, if a resumable stream begins at it.
    /// Returns `false` if that takes too long.
    async fn may_begin(&self, key: ServerKey) -> bool {
        if self.software.is_some() {
            return true;
        }
        let version = {
            let fleet = self.gateway.fleet.borrow();
            fleet.registration(key).map(|found| found.software.clone())
        };
        // A stream whose version is not known could be resumed at another one.
        let Some(version) = version else {
            return false;
        };
        streams::wait_until_recorded(self.gateway, self.service, &version).await
    }

    /// Hands the request over to the relay of a resumable stream.
    fn into_stream(self, key: ServerKey) -> Stream {
        let fleet = self.gateway.fleet.borrow();
        let began_at = fleet
            .registration(key)
            .map(|registration| registration.software.clone());
        drop(fleet);
        if let (Some(began_at), None) = (&began_at, self.software) {
            let is_only_service = is_only_service(self.route, self.service);
            streams::begin(
                self.gateway,
                self.id,
                self.service,
                began_at,
                is_only_service,
            );
        }
        Stream {
            began_at,
            gateway: Rc::clone(self.gateway),
            service: self.service.to_owned(),
            content: Rc::clone(self.content),
            id: self.id.to_owned(),
            deadline: self.deadline,
            attempts: RefCell::new(Attempts {
                left: (self.route.max_attempts as usize).saturating_sub(self.tried.len()),
                tried: self.tried,
            }),
            admitted: self.admitted,
        }
    }

    /// Whether the request may be sent again although an attempt may have run.
    fn may_repeat(&self) -> bool {
        self.route.kind == Kind::Idempotent && self.has_attempts()
    }

    fn has_attempts(&self) -> bool {
        self.tried.len() < self.route.max_attempts.max(1) as usize
    }

    /// Whether a server has ended under a request with this content.
    fn is_suspect(&self) -> bool {
        let suspects = &self.gateway.suspects;
        suspects.is_suspect(now(), || self.content.fingerprint())
    }

    fn verdict(&self) -> Verdict {
        let suspects = &self.gateway.suspects;
        suspects.verdict(now(), || self.content.fingerprint())
    }

    /// Starts an attempt. Returns none if there is no server, no attempt is left, the deadline has
    /// passed, or the request may not run since servers ended under its content.
    async fn next_attempt(&mut self) -> Option<PendingAttempt<'a>> {
        if !self.has_attempts() || now() >= self.deadline {
            return None;
        }
        self.avoided.clone_from(&self.tried);
        if self.is_resumable() && self.software.is_none() {
            let unrecorded = streams::unrecorded(self.gateway, self.service);
            self.avoided.extend(unrecorded);
        }
        match self.verdict() {
            Verdict::Unrestricted => return self.next_shared_attempt().await,
            Verdict::Refused => return None,
            Verdict::Alone => {}
        }
        let gateway = self.gateway;
        let trial = Trial::start(gateway, self.candidates(), self.content, self.deadline).await?;
        let cause = self.cause();
        self.tried.push(trial.key);
        let is_stream = self.route.kind == Kind::Stream;
        Some(self.send(Attempt::alone(gateway, trial, is_stream), cause))
    }

    /// Starts an attempt at the best server, preferring servers not tried yet. Returns none if there
    /// is no server that may take a request within its limit.
    async fn next_shared_attempt(&mut self) -> Option<PendingAttempt<'a>> {
        let objective_share = self.route.objective.mul_f64(PERMIT_WAIT_SHARE);
        let max_wait = objective_share
            .min(MAX_PERMIT_WAIT)
            .min(self.deadline.since(now()));
        match limits::acquire(self.gateway, self.candidates(), max_wait).await {
            Ok(key) => Some(self.start(key, self.cause())),
            Err(retry_after) => {
                self.limit_retry_after = retry_after;
                None
            }
        }
    }

    /// Whether a second attempt pays now. `is_overdue` says that the objective has passed.
    fn hedge_pays(&self, is_overdue: bool) -> bool {
        let settings = self.gateway.settings.borrow();
        let query = self.candidates().query(&settings.domain, &[]);
        let fleet = self.gateway.fleet.borrow();
        self.tried
            .first()
            .is_none_or(|first| pace::hedge_pays(now(), &fleet, self.id, *first, query, is_overdue))
    }

    /// The servers that may take the request. Those not tried yet are preferred.
    fn candidates(&self) -> Candidates<'_> {
        Candidates {
            service: self.service,
            software: self.software,
            avoided: &self.avoided,
            excluded: &[],
        }
    }

    /// Starts a second attempt at the best server that may take a request now. Returns none if there
    /// is no server or no attempt is left.
    fn hedge(&mut self) -> Option<PendingAttempt<'a>> {
        if !self.has_attempts() {
            return None;
        }
        let (at, gateway) = (now(), self.gateway);
        limits::refresh_authority(gateway);
        let key = {
            let settings = gateway.settings.borrow();
            let mut fleet = gateway.fleet.borrow_mut();
            let candidates = self.candidates();
            let choose =
                |except: &[ServerKey]| fleet.choose(at, candidates.query(&settings.domain, except));
            let key = choose(&self.tried).or_else(|| choose(&[]))?;
            fleet.limiter_mut().take(at, key);
            key
        };
        Some(self.start(key, Cause::Hedge))
    }

    /// Starts an attempt at a server.
    fn start(&mut self, key: ServerKey, cause: Cause) -> PendingAttempt<'a> {
        self.tried.push(key);
        let is_stream = self.route.kind == Kind::Stream;
        self.send(Attempt::new(self.gateway, key, is_stream), cause)
    }

    fn cause(&self) -> Cause {
        if self.tried.is_empty() {
            Cause::First
        } else {
            Cause::Retry
        }
    }

    fn send(&self, attempt: Attempt, cause: Cause) -> PendingAttempt<'a> {
        let key = attempt.key;
        cause.count(self.gateway, key);
        self.content.progress.begin();
        if let Some(admitted) = &self.admitted {
            admitted.record_sent();
        }
        if let Some(registration) = self.gateway.fleet.borrow().registration(key) {
            log::debug!(
                request = self.id, server = registration.instance.as_str(), attempt = self.tried.len();
                "sent"
            );
        }
        let (content, id, deadline) = (self.content, self.id, self.deadline);
        Box::pin(async move { (key, attempt.run(content, id, deadline).await) })
    }

    fn count_outcome(&self, outcome: Outcome) -> Outcome {
        let label = match &outcome {
            Outcome::Complete(..) | Outcome::Streaming(..) => "answered",
            Outcome::NotRun(_) => "not run",
            Outcome::Failed(_) => "failed",
        };
        self.gateway.metrics.sends.with_label_values(&[label]).inc();
        outcome
    }

    fn log_failure(&self, key: ServerKey, problem: &str) {
        let fleet = self.gateway.fleet.borrow();
        let server = fleet
            .registration(key)
            .map_or("", |registration| &registration.instance);
        log::info!(
            request = self.id, server, problem, attempt = self.tried.len();
            "attempt failed"
        );
    }

    /// Returns the response when no further attempt is made.
    fn give_up(
        &self,
        last_failure: Option<(hyper::http::response::Parts, Bytes)>,
    ) -> Response<Body> {
        if let Some((head, body)) = last_failure {
            return client_response(head, Body::full(body));
        }
        if self.may_have_run {
            return empty_response(StatusCode::BAD_GATEWAY);
        }
        if self.verdict() == Verdict::Refused {
            let fingerprint = self.content.fingerprint();
            let validity = self.gateway.suspects.validity(now(), fingerprint);
            log::info!(
                request = self.id, content:% = fingerprint, retry_after_s = validity.as_secs(),
                outcome = "not run"; "refused, servers ended under this content"
            );
            return retry_later(validity);
        }
        if let Some(retry_after) = self.limit_retry_after {
            log::info!(
                request = self.id, service = self.service, sends = self.tried.len(),
                retry_after_ms = retry_after.as_millis(), outcome = "not run";
                "refused, the request limits of all servers are used up"
            );
            return retry_later(retry_after);
        }
        log::info!(
            request = self.id, service = self.service, sends = self.tried.len(),
            outcome = "not run"; "refused"
        );
        retry_later(if self.tried.is_empty() {
            UNAVAILABLE_RETRY_AFTER
        } else {
            OVERLOAD_RETRY_AFTER
        })
    }
}
