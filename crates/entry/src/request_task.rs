//! The task of a request: carries out the directives of the control actor, which decides on
//! attempts, and passes the response to the caller.

use std::net::SocketAddr;

use actix::Addr;
use bytes::Bytes;
use tamaracksail_policy::entry::{Event, FinalResponse};
use tamaracksail_policy::request::arrival::Arrival;
use tamaracksail_wire::{Content, Dispatch, Header};
use tokio::sync::mpsc;

use crate::attempt;
use crate::control::{Control, Input, StartRequest};

/// A directive of the control actor to the task of a request.
#[derive(Debug)]
pub enum Directive {
    /// Send an attempt to an agent.
    Dispatch {
        /// The address of the agent.
        address: SocketAddr,
        /// The message.
        dispatch: Dispatch,
    },
    /// Start the streamed response.
    StartResponse {
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<Header>,
    },
    /// Send bytes of the streamed response to the caller.
    Relay(Bytes),
    /// Send the final response to the caller.
    Respond(Box<FinalResponse>),
}

/// A part of the response to the caller.
#[derive(Debug)]
pub enum ResponsePart {
    /// The start of a streamed response.
    Start {
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<Header>,
    },
    /// Bytes of a streamed response.
    Bytes(Bytes),
    /// The final response. It is the last part.
    Final(Box<FinalResponse>),
}

/// Returns the content of an attempt that continues after the given bytes of the response.
pub type ResumeFn = Box<dyn Fn(&Content, &[u8]) -> Content>;

/// A validated request.
pub struct PreparedRequest {
    /// The description of the request for the control actor.
    pub arrival: Arrival,
    /// The content for the backend server.
    pub content: Content,
    /// Builds the content that continues after the bytes that were relayed.
    pub resume: ResumeFn,
    /// The W3C trace context for the next hop.
    pub traceparent: Option<String>,
}

/// Starts the task of a request. The returned channel yields the parts of the response; dropping
/// it cancels the request.
pub fn start(
    control: &Addr<Control>,
    http: &awc::Client,
    request: PreparedRequest,
) -> mpsc::UnboundedReceiver<ResponsePart> {
    let (response_sender, receiver) = mpsc::unbounded_channel();
    let (directive_sender, directives) = mpsc::unbounded_channel();
    control.do_send(StartRequest {
        arrival: request.arrival.clone(),
        directive_sender,
    });
    actix_rt::spawn(run(
        control.clone(),
        http.clone(),
        request,
        directives,
        response_sender,
    ));
    receiver
}

async fn run(
    control: Addr<Control>,
    http: awc::Client,
    request: PreparedRequest,
    mut directives: mpsc::UnboundedReceiver<Directive>,
    response_sender: mpsc::UnboundedSender<ResponsePart>,
) {
    let mut relayed: Vec<u8> = Vec::new();
    let mut is_caller_connected = true;
    loop {
        let directive = tokio::select! {
            directive = directives.recv() => directive,
            () = response_sender.closed(), if is_caller_connected => {
                is_caller_connected = false;
                control.do_send(Input(Event::CallerGone(request.arrival.request)));
                continue;
            }
        };
        let part = match directive {
            None => return,
            Some(Directive::Dispatch { address, dispatch }) => {
                let content = if relayed.is_empty() {
                    request.content.clone()
                } else {
                    (request.resume)(&request.content, &relayed)
                };
                let traceparent = request.traceparent.clone();
                let attempt = attempt::Attempt {
                    address,
                    dispatch,
                    content,
                    traceparent,
                };
                actix_rt::spawn(attempt::run(control.clone(), http.clone(), attempt));
                continue;
            }
            Some(Directive::StartResponse { status, headers }) => {
                ResponsePart::Start { status, headers }
            }
            Some(Directive::Relay(bytes)) => {
                if request.arrival.resumable {
                    relayed.extend_from_slice(&bytes);
                }
                ResponsePart::Bytes(bytes)
            }
            Some(Directive::Respond(response)) => {
                response_sender.send(ResponsePart::Final(response)).ok();
                return;
            }
        };
        response_sender.send(part).ok();
    }
}
