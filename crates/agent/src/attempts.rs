//! Handles requests from entries and operators.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix::Addr;
use actix_web::{HttpResponse, web};
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use tamaracksail_http as http;
use tamaracksail_model::id;
use tamaracksail_policy::agent::Event;
use tamaracksail_process::trace::{Span, SpanKind, Tracer};
use tamaracksail_wire as wire;
use tokio::sync::mpsc;
use tokio_util::codec::{Encoder, LengthDelimitedCodec};
use wire::Frame;

use crate::control::{Control, Input, StartAttempt};
use crate::server::{self, Server};

/// The state that the traffic threads share.
#[derive(Clone)]
pub struct State {
    /// The actor on the control thread.
    pub control: Addr<Control>,
    /// The backend server.
    pub server: Server,
    /// Starts trace spans.
    pub tracer: Tracer,
}

/// The clients of a traffic thread.
#[derive(Clone, Default)]
pub struct Clients {
    /// For requests to the server. It tells a body that was cut short from a complete one.
    pub server: http::Client,
    /// For probes of the server.
    pub probes: awc::Client,
}

/// Handles an attempt that an entry dispatched, and streams its frames back.
pub async fn receive(
    state: web::Data<State>,
    clients: web::Data<Clients>,
    body: web::Bytes,
) -> HttpResponse {
    let received = match wire::decode::<wire::Attempt>(&body) {
        Ok(received) => received,
        Err(error) => return HttpResponse::BadRequest().body(format!("{error}\n")),
    };
    let traceparent = received.traceparent.as_deref();
    let span = state
        .tracer
        .span("agent.attempt", SpanKind::Server, traceparent);
    let attempt = received.dispatch.attempt;
    span.set_attribute("attempt", attempt.to_string());
    let (frame_sender, frame_receiver) = mpsc::unbounded_channel();
    let (directive_sender, directive_receiver) = mpsc::unbounded_channel();
    let content = wire::Content {
        headers: with_traceparent(&span, received.content.headers),
        ..received.content
    };
    let task = server::run_attempt(
        state.control.clone(),
        clients.server.clone(),
        clients.probes.clone(),
        state.server.clone(),
        attempt,
        content,
        directive_receiver,
    );
    let start = StartAttempt {
        dispatch: received.dispatch,
        frame_sender,
        directive_sender,
    };
    match state.control.send(start).await {
        Ok(true) => {}
        Ok(false) => return HttpResponse::Conflict().finish(),
        Err(_) => return HttpResponse::ServiceUnavailable().finish(),
    }
    actix_rt::spawn(task);
    let control = state.control.clone();
    let frames = FrameStream {
        attempt,
        control,
        receiver: frame_receiver,
        span: Some(span),
    };
    HttpResponse::Ok()
        .content_type("application/octet-stream")
        .streaming(frames)
}

/// Replaces the `traceparent` header by that of the span, so that the server's spans become
/// children of it.
fn with_traceparent(span: &Span, mut headers: Vec<wire::Header>) -> Vec<wire::Header> {
    if let Some(value) = span.traceparent() {
        headers.retain(|header| header.name != "traceparent");
        headers.push(wire::Header {
            name: "traceparent".to_owned(),
            value,
        });
    }
    headers
}

/// The frames of an attempt as a stream of bytes. Dropping it notifies the control thread that the
/// entry has disconnected.
struct FrameStream {
    attempt: id::Attempt,
    control: Addr<Control>,
    receiver: mpsc::UnboundedReceiver<Frame>,
    span: Option<Span>,
}

impl Stream for FrameStream {
    type Item = Result<Bytes, std::io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let Poll::Ready(frame) = self.receiver.poll_recv(context) else {
            return Poll::Pending;
        };
        let Some(frame) = frame else {
            return Poll::Ready(None);
        };
        if let Frame::End { .. } | Frame::Failed { .. } = &frame
            && let Some(span) = self.span.take()
        {
            let error = match &frame {
                Frame::Failed { failure, .. } => Some(format!("{:?}", failure.reason)),
                _ => None,
            };
            span.end(error);
        }
        let mut bytes = BytesMut::new();
        let encoded = Bytes::from(wire::encode(&frame));
        let result = LengthDelimitedCodec::new().encode(encoded, &mut bytes);
        Poll::Ready(Some(result.map(|()| bytes.freeze())))
    }
}

impl Drop for FrameStream {
    fn drop(&mut self) {
        self.control
            .do_send(Input(Event::EntryDisconnected(self.attempt)));
    }
}

/// Handles an operator's request to drain the server.
pub async fn drain(state: web::Data<State>) -> HttpResponse {
    log::info!("drain requested by an operator");
    state.control.do_send(Input(Event::Drain));
    HttpResponse::Accepted().finish()
}
