//! What one request does between the control thread and its caller.

use std::net::SocketAddr;

use actix::Addr;
use bytes::Bytes;
use tamaracksail_policy::entry::{Event, FinalResponse};
use tamaracksail_policy::request::arrival::Arrival;
use tamaracksail_wire::{Content, Dispatch, Header};
use tokio::sync::mpsc;

use crate::control::{Begin, Control, Input};
use crate::link;

/// An order of the control thread for one request.
#[derive(Debug)]
pub enum Directive {
    /// Send an attempt.
    Dispatch {
        /// Where the agent listens.
        address: SocketAddr,
        /// The message.
        dispatch: Dispatch,
    },
    /// Start the streamed answer.
    Start {
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<Header>,
    },
    /// Send bytes of the streamed answer.
    Relay(Bytes),
    /// Give the final answer.
    Answer(Box<FinalResponse>),
}

/// What the caller gets.
#[derive(Debug)]
pub enum Reply {
    /// The start of a streamed answer.
    Start {
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<Header>,
    },
    /// Bytes of a streamed answer.
    Bytes(Bytes),
    /// The final answer.
    Answer(Box<FinalResponse>),
}

/// Makes the content of an attempt that goes on after the given bytes of answer.
pub type Resume = Box<dyn Fn(&Content, &[u8]) -> Content>;

/// A request on its way.
pub struct Request {
    /// What the control thread is told.
    pub arrival: Arrival,
    /// What is sent to the backend server.
    pub content: Content,
    /// How to go on after bytes that were relayed.
    pub resume: Resume,
    /// The W3C trace context for the next hop.
    pub traceparent: Option<String>,
}

/// Starts a request. What the caller gets comes out of the channel; closing it gives the
/// request up.
pub fn start(
    control: &Addr<Control>,
    http: &awc::Client,
    request: Request,
) -> mpsc::UnboundedReceiver<Reply> {
    let (replies, receiver) = mpsc::unbounded_channel();
    let (directives, incoming) = mpsc::unbounded_channel();
    control.do_send(Begin {
        arrival: request.arrival.clone(),
        directives,
    });
    actix_rt::spawn(pump(
        control.clone(),
        http.clone(),
        request,
        incoming,
        replies,
    ));
    receiver
}

async fn pump(
    control: Addr<Control>,
    http: awc::Client,
    request: Request,
    mut directives: mpsc::UnboundedReceiver<Directive>,
    replies: mpsc::UnboundedSender<Reply>,
) {
    let mut relayed: Vec<u8> = Vec::new();
    let mut has_caller = true;
    loop {
        let directive = tokio::select! {
            directive = directives.recv() => directive,
            () = replies.closed(), if has_caller => {
                has_caller = false;
                control.do_send(Input(Event::CallerGone(request.arrival.request)));
                continue;
            }
        };
        let reply = match directive {
            None => return,
            Some(Directive::Dispatch { address, dispatch }) => {
                let content = if relayed.is_empty() {
                    request.content.clone()
                } else {
                    (request.resume)(&request.content, &relayed)
                };
                let traceparent = request.traceparent.clone();
                let attempt = link::Attempt {
                    address,
                    dispatch,
                    content,
                    traceparent,
                };
                actix_rt::spawn(link::run(control.clone(), http.clone(), attempt));
                continue;
            }
            Some(Directive::Start { status, headers }) => Reply::Start { status, headers },
            Some(Directive::Relay(bytes)) => {
                if request.arrival.resumable {
                    relayed.extend_from_slice(&bytes);
                }
                Reply::Bytes(bytes)
            }
            Some(Directive::Answer(answer)) => {
                replies.send(Reply::Answer(answer)).ok();
                return;
            }
        };
        replies.send(reply).ok();
    }
}
