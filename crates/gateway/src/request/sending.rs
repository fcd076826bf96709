//! One send of a request to one backend server.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::http::request::Parts;
use hyper::http::response;
use tamaracksail_adapter::backend::{RequestHeaders, ResponseHead};
use tamaracksail_adapter::ingress;
use tamaracksail_http::Reply;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::{SendOutcome, ServerKey};
use tamaracksail_process::trace::{Span, SpanKind};

use crate::gateway::{Gateway, now};

/// How long a connection to a backend server may take. A healthy one takes a round trip.
const CONNECT: Duration = Duration::from_millis(400);

/// The longest body that is read whole before it is passed on, in bytes. A whole body may still
/// be replaced by another server's when it breaks off.
const WHOLE: usize = 256 * 1024;

/// What came of a send.
#[derive(Debug)]
pub enum Outcome {
    /// A whole answer.
    Whole(response::Parts, Bytes),
    /// The beginning of a long answer.
    Long(Bytes, Box<Reply>),
    /// The request did not run there.
    NotRun(String),
    /// The request may have run there; there is no usable answer.
    Failed(String),
}

/// A send on its way. Dropped, it closes its connection and reports itself abandoned.
pub struct Sending {
    gateway: Rc<Gateway>,
    key: ServerKey,
    /// Whether the answer is passed on as it arrives.
    is_stream: bool,
    start: Instant,
    is_reported: Cell<bool>,
    span: Cell<Option<Span>>,
}

impl Sending {
    /// Notes a send to a server.
    pub fn new(gateway: &Rc<Gateway>, key: ServerKey, is_stream: bool) -> Self {
        gateway.fleet.borrow_mut().record_sent(key);
        Self {
            gateway: Rc::clone(gateway),
            key,
            is_stream,
            start: now(),
            is_reported: Cell::new(false),
            span: Cell::new(None),
        }
    }

    /// Sends and reads the answer.
    pub async fn run(self, head: &Parts, body: Bytes, id: &str, deadline: Instant) -> Outcome {
        let Some(registration) = self.gateway.fleet.borrow().registration(self.key).cloned() else {
            return Outcome::NotRun("the server is gone".to_owned());
        };
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
            span.note("server", registration.instance.clone());
        }
        self.span.set(span);
        if let Err(error) = request_headers.write(&mut headers) {
            return Outcome::NotRun(error.to_string());
        }
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = head.uri.clone();
        *request.headers_mut() = headers;
        let sent = self
            .gateway
            .http
            .send(registration.address, request, CONNECT)
            .await;
        match sent {
            Ok(reply) => self.read(reply, id).await,
            Err(error) => {
                self.report(SendOutcome::Failed);
                if error.is_unsent() {
                    Outcome::NotRun(error.to_string())
                } else {
                    Outcome::Failed(error.to_string())
                }
            }
        }
    }

    async fn read(self, mut reply: Reply, id: &str) -> Outcome {
        let answer = ResponseHead::read(&reply.head, (!id.is_empty()).then_some(id));
        if let Some(load) = answer.load {
            let mut fleet = self.gateway.fleet.borrow_mut();
            fleet.record_load(now(), self.key, load.running + load.waiting);
        }
        let code = reply.head.status;
        // Without its id an answer may belong to an earlier request on the connection.
        if !answer.matches_request && !answer.is_not_run {
            self.report(SendOutcome::Failed);
            return Outcome::Failed(format!("{code} for another request"));
        }
        if code.is_success() && !answer.is_attested {
            self.report(SendOutcome::Failed);
            return Outcome::Failed(format!("{code} that the server does not vouch for"));
        }
        if self.is_stream && code.is_success() {
            self.report(SendOutcome::Responded(now().since(self.start)));
            return Outcome::Long(Bytes::new(), Box::new(reply));
        }
        let mut whole = Vec::new();
        loop {
            match reply.next().await {
                Ok(Some(piece)) => whole.extend_from_slice(&piece),
                Ok(None) => break,
                Err(error) => {
                    self.report(SendOutcome::Failed);
                    return Outcome::Failed(error.to_string());
                }
            }
            if whole.len() > WHOLE {
                self.report(SendOutcome::Responded(now().since(self.start)));
                return Outcome::Long(whole.into(), Box::new(reply));
            }
        }
        let head = reply.head.clone();
        reply.keep(&self.gateway.http);
        if answer.is_not_run {
            self.report(SendOutcome::Refused);
            return Outcome::NotRun(format!("{code}: not run"));
        }
        self.report(if code == StatusCode::INTERNAL_SERVER_ERROR {
            SendOutcome::Failed
        } else {
            SendOutcome::Responded(now().since(self.start))
        });
        Outcome::Whole(head, whole.into())
    }

    fn report(&self, report: SendOutcome) {
        if !self.is_reported.replace(true) {
            let mut fleet = self.gateway.fleet.borrow_mut();
            fleet.record_outcome(now(), self.key, report);
            if let Some(span) = self.span.take() {
                let is_answered = matches!(report, SendOutcome::Responded(_));
                span.end((!is_answered).then(|| format!("{report:?}")));
            }
        }
    }
}

impl Drop for Sending {
    fn drop(&mut self) {
        self.report(SendOutcome::Abandoned(now().since(self.start)));
    }
}
