//! One attempt of a request at one backend server.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::http::response;
use tamaracksail_adapter::backend::{Origin, RequestHeaders, ResponseHead};
use tamaracksail_adapter::ingress;
use tamaracksail_http::IncomingResponse;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::{SendOutcome, ServerKey};
use tamaracksail_policy::memory::Use;
use tamaracksail_policy::request::survival::Interruption;
use tamaracksail_process::trace::{Span, SpanKind};

use super::content::Content;
use super::execution::Execution;
use super::locality;
use super::pace;
use super::trial::Trial;
use crate::gateway::{Gateway, now};
use crate::memory;
use crate::usage;
use crate::version::{self, Source, observe_response};

/// The time limit on connecting to a backend server. A healthy connect takes one round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The number of response bytes that are read before the response is relayed. Up to this size the
/// body is complete before the client sees any of it, so if the server fails midway the request
/// can still go to another server.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// The longest body of a refusal that is read so that its connection can be used again.
const MAX_DISCARDED_BYTES: usize = 4 << 10;

/// How long the body of a refusal may take to arrive for that.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// The outcome of an attempt.
#[derive(Debug)]
pub enum Outcome {
    /// The server responded, and its body is complete.
    Complete(response::Parts, Bytes),
    /// The server responded with a stream or a large body; these are the bytes read so far, the rest
    /// of the response, and the execution.
    Streaming(Bytes, Box<IncomingResponse>, Execution),
    /// The server did not execute the request, for the given reason.
    NotRun(String),
    /// The server may have executed the request, but there is no usable response, for the given
    /// reason.
    Failed(String),
}

/// An attempt in progress. Dropping it closes its connection and records it as abandoned.
pub struct Attempt {
    gateway: Rc<Gateway>,
    /// The server.
    pub key: ServerKey,
    /// Whether a successful response is relayed as it arrives.
    is_stream: bool,
    start: Instant,
    is_recorded: Cell<bool>,
    /// Set if the request runs alone.
    trial: Cell<Option<Trial>>,
    span: Cell<Option<Span>>,
}

impl Attempt {
    /// Records a new attempt at a server.
    pub fn new(gateway: &Rc<Gateway>, key: ServerKey, is_stream: bool) -> Self {
        gateway.fleet.borrow_mut().record_sent(key);
        Self::of_recorded_send(gateway, key, is_stream)
    }

    /// Returns a new attempt at a server whose use the fleet has recorded already.
    pub fn of_recorded_send(gateway: &Rc<Gateway>, key: ServerKey, is_stream: bool) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            key,
            is_stream,
            start: now(),
            is_recorded: Cell::new(false),
            trial: Cell::new(None),
            span: Cell::new(None),
        }
    }

    /// Records a new attempt that runs alone.
    pub fn alone(gateway: &Rc<Gateway>, trial: Trial, is_stream: bool) -> Self {
        let mut attempt = Self::new(gateway, trial.key, is_stream);
        attempt.trial = Cell::new(Some(trial));
        attempt
    }

    /// Sends the request and reads the response.
    pub async fn run(self, content: &Rc<Content>, id: &str, deadline: Instant) -> Outcome {
        let Content { head, body, .. } = &**content;
        let Some(registration) = self.gateway.fleet.borrow().registration(self.key).cloned() else {
            return Outcome::NotRun("the server is no longer registered".to_owned());
        };
        let gateway = &self.gateway;
        locality::review(now(), &gateway.fleet, &registration.service);
        let domain = gateway.locality_domain();
        locality::count(&gateway.metrics, domain.as_deref(), &registration);
        let sent_bytes = body.len();
        let mut headers = head.headers.clone();
        ingress::strip_hop_by_hop(&mut headers);
        for name in ["content-length", "expect"] {
            headers.remove(name);
        }
        let request_headers = RequestHeaders {
            instance: Some(&registration.instance),
            remaining: Some(deadline.since(now())),
            ..RequestHeaders::default()
        };
        let span = self.gateway.span("send", SpanKind::Client, &mut headers);
        if let Some(span) = &span {
            span.set_attribute("server", registration.instance.clone());
        }
        self.span.set(span);
        if let Err(error) = request_headers.write(&mut headers) {
            return Outcome::NotRun(error.to_string());
        }
        let mut request = Request::new(Full::new(body.clone()));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = head.uri.clone();
        *request.headers_mut() = headers;
        let is_continuation = ingress::has_last_event(request.headers());
        let trial = self.trial.take();
        let execution = Execution::begin(&self.gateway, registration.clone(), content, id, trial);
        let usage = content.usage.as_ref().map(usage::Request::send);
        if let Some(usage) = &usage {
            request.extensions_mut().insert(usage.mark());
        }
        let response = version::send(
            &self.gateway,
            &registration,
            request,
            is_continuation,
            CONNECT_TIMEOUT,
        );
        let response = usage::count_unanswered(usage.as_ref(), response).await;
        match response {
            Ok(reply) => {
                let response = ResponseHead::parse(&reply.head, (!id.is_empty()).then_some(id));
                if let Some(usage) = usage {
                    let is_foreign = response.origin == Origin::Foreign;
                    let is_refused = response.is_not_run || is_refusal(reply.head.status);
                    usage.settle(is_foreign || !is_refused);
                }
                observe_response(&self.gateway, &registration, &response, Source::Request);
                let (gateway, key) = (Rc::clone(&self.gateway), self.key);
                let outcome = self.read_response(reply, response, execution).await;
                if let Outcome::Complete(_, body) = &outcome {
                    let bytes = sent_bytes + body.len();
                    locality::record_bytes(&gateway.fleet, &gateway.metrics, key, bytes);
                }
                outcome
            }
            Err(error) => {
                self.record_outcome(SendOutcome::Failed);
                if let Some(usage) = usage {
                    usage.settle(!error.is_unsent());
                }
                if error.is_unsent() {
                    execution.settle();
                    return Outcome::NotRun(error.to_string());
                }
                execution.break_off().await;
                Outcome::Failed(error.to_string())
            }
        }
    }

    async fn read_response(
        self,
        mut reply: IncomingResponse,
        response: ResponseHead,
        execution: Execution,
    ) -> Outcome {
        if let Some(load) = response.load {
            let mut fleet = self.gateway.fleet.borrow_mut();
            fleet.record_load(now(), self.key, load.running + load.waiting);
        }
        pace::record(now(), &self.gateway.fleet, self.key, &response);
        let code = reply.head.status;
        // A response to an earlier request on the connection says nothing about this one, which may run
        // or have run, also if it is a refusal.
        if !response.matches_request && !response.is_not_run {
            log::info!(
                server:% = execution.address(), origin:? = response.origin,
                status = code.as_u16(); "response to another request"
            );
            self.gateway.http.distrust(execution.address());
            self.record_outcome(SendOutcome::Failed);
            execution.observe(Interruption::Broken);
            return Outcome::Failed(format!("status {code}, for another request"));
        }
        if code.is_success() && !response.is_attested {
            self.record_outcome(SendOutcome::Failed);
            execution.observe(Interruption::Broken);
            return Outcome::Failed(format!("status {code}, not attested by the server"));
        }
        if response.is_not_run {
            self.record_outcome(SendOutcome::Refused);
            execution.settle();
            if response.origin == Origin::Own {
                reply.discard(&self.gateway.http, MAX_DISCARDED_BYTES, DISCARD_TIMEOUT);
            }
            return Outcome::NotRun(format!("status {code}, not run"));
        }
        if self.is_stream && code.is_success() {
            self.record_outcome(SendOutcome::Responded(now().since(self.start)));
            return Outcome::Streaming(Bytes::new(), Box::new(reply), execution);
        }
        let mut body = Vec::new();
        let budget = &self.gateway.memory;
        let mut reservation = budget.count(Use::Response, None, 0);
        loop {
            match reply.next().await {
                Ok(Some(chunk)) => body.extend_from_slice(&chunk),
                Ok(None) => break,
                Err(error) => {
                    self.record_outcome(SendOutcome::Failed);
                    drop(reply);
                    execution.break_off().await;
                    return Outcome::Failed(error.to_string());
                }
            }
            if body.len() > MAX_BUFFERED_BYTES && !code.is_success() {
                self.record_outcome(SendOutcome::Failed);
                return Outcome::Failed(format!("status {code}, the body is too long"));
            }
            let fits = reservation.grow_to(body.capacity() as u64).is_ok();
            if !fits {
                reservation.count_to(body.capacity() as u64);
            }
            // Without memory for the whole body, it is relayed as it arrives.
            if body.len() > MAX_BUFFERED_BYTES || (!fits && code.is_success()) {
                self.record_outcome(SendOutcome::Responded(now().since(self.start)));
                let first = memory::hold(body, reservation);
                return Outcome::Streaming(first, Box::new(reply), execution);
            }
        }
        let head = reply.head.clone();
        if response.origin == Origin::Own {
            reply.release(&self.gateway.http);
        }
        execution.record_response(&response, code);
        self.record_outcome(if code == StatusCode::INTERNAL_SERVER_ERROR {
            SendOutcome::Failed
        } else {
            SendOutcome::Responded(now().since(self.start))
        });
        if body.is_empty() {
            return Outcome::Complete(head, Bytes::new());
        }
        Outcome::Complete(head, memory::hold(body, reservation))
    }

    /// Records the outcome in the fleet and ends the span. Only the first call has an effect.
    fn record_outcome(&self, report: SendOutcome) {
        if !self.is_recorded.replace(true) {
            let mut fleet = self.gateway.fleet.borrow_mut();
            fleet.record_outcome(now(), self.key, report);
            if let Some(span) = self.span.take() {
                let has_response = matches!(report, SendOutcome::Responded(_));
                span.end((!has_response).then(|| format!("{report:?}")));
            }
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.record_outcome(SendOutcome::Abandoned(now().since(self.start)));
    }
}

/// Whether a status guarantees that the request has not run and never will.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
