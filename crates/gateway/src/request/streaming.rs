//! A stream that goes on at another server when its server breaks off.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::http::request::Parts;
use tamaracksail_adapter::backend::RequestHeaders;
use tamaracksail_adapter::event::Parser;
use tamaracksail_http::{Error, Reply};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::ServerKey;
use tokio::sync::mpsc;

use super::forward::{PIECES, pass};
use super::sending::{Outcome, Sending};
use crate::connection::Body;
use crate::gateway::{Gateway, now};

/// How long a server may stay silent within a stream. Clients leave after two seconds.
const SILENCE: Duration = Duration::from_millis(900);

/// A stream and what is needed to go on with it.
pub struct Stream {
    /// The process.
    pub gateway: Rc<Gateway>,
    /// The service that answers.
    pub service: String,
    /// The client's request.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
    /// Its id.
    pub id: String,
    /// When the client has no use for more.
    pub deadline: Instant,
    /// Servers that it may still be sent to.
    pub attempts_left: usize,
    /// Servers that it was sent to.
    pub tried: Vec<ServerKey>,
}

/// Passes a stream on, event by event. It keeps the head of its first server.
pub fn relay(stream: Stream, reply: Reply) -> Response<Body> {
    let (sender, pieces) = mpsc::channel(PIECES);
    let head = reply.head.clone();
    actix_rt::spawn(async move {
        let closed = sender.clone();
        tokio::select! {
            () = stream.run(reply, sender) => {}
            () = closed.closed() => {}
        }
    });
    let body = Body::Pieces {
        pieces,
        length: None,
    };
    let mut response = pass(head, body);
    response.headers_mut().remove("content-length");
    response
}

impl Stream {
    async fn run(mut self, mut reply: Reply, client: mpsc::Sender<Result<Bytes, Error>>) {
        let mut last = None;
        loop {
            let problem = match pump(&mut reply, &client, &mut last).await {
                Ok(()) => {
                    reply.keep(&self.gateway.http);
                    return;
                }
                Err(error) => error,
            };
            log::info!(
                request = self.id.as_str(), after = last, error:% = problem;
                "stream broken"
            );
            // The server before must not go on beside the next.
            drop(reply);
            let Some(next) = self.resume(last).await else {
                log::warn!(request = self.id.as_str(), after = last; "stream given up");
                // Breaks the client's connection, so that it does not look complete. If the
                // client has left there is nobody to tell.
                drop(client.send(Err(problem)).await);
                return;
            };
            reply = next;
        }
    }

    /// Sends to another server from the last event on.
    async fn resume(&mut self, last: Option<u64>) -> Option<Reply> {
        while self.attempts_left > 0 && now() < self.deadline {
            self.attempts_left -= 1;
            let key = {
                let settings = self.gateway.settings.borrow();
                let fleet = self.gateway.fleet.borrow();
                let choose = |except: &[ServerKey]| {
                    fleet.choose(now(), &self.service, &settings.domain, except)
                };
                // A server that broke off long ago is better than none.
                let broken_last = self.tried.last().copied();
                choose(&self.tried).or_else(|| choose(broken_last.as_slice()))?
            };
            self.tried.push(key);
            let mut head = self.head.clone();
            let request_headers = RequestHeaders {
                last_event: last,
                ..RequestHeaders::default()
            };
            if let Err(error) = request_headers.write(&mut head.headers) {
                log::error!(request = self.id.as_str(), error:%; "stream not resumed");
                return None;
            }
            let sending = Sending::new(&self.gateway, key, true);
            let outcome = sending
                .run(&head, self.body.clone(), &self.id, self.deadline)
                .await;
            match outcome {
                Outcome::Long(_, reply) => {
                    log::info!(request = self.id.as_str(), after = last; "stream resumed");
                    return Some(*reply);
                }
                Outcome::Whole(head, _) => {
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
}

/// Passes whole events on until the end of the answer.
async fn pump(
    reply: &mut Reply,
    client: &mpsc::Sender<Result<Bytes, Error>>,
    last: &mut Option<u64>,
) -> Result<(), Error> {
    let has_end = reply.head.headers.contains_key("transfer-encoding") || reply.length().is_some();
    let mut parser = Parser::default();
    loop {
        let piece = tokio::time::timeout(SILENCE, reply.next())
            .await
            .map_err(|_| reply.broken("the server is silent".to_owned()))??;
        let Some(piece) = piece else {
            break;
        };
        parser
            .push(&piece)
            .map_err(|error| reply.broken(error.to_string()))?;
        while let Some(event) = parser
            .next_event()
            .map_err(|error| reply.broken(error.to_string()))?
        {
            if last.is_some_and(|last| event.id != last + 1) {
                return Err(reply.broken(format!("event {} does not follow", event.id)));
            }
            *last = Some(event.id);
            if client.send(Ok(event.raw)).await.is_err() {
                return Err(reply.broken("the client has left".to_owned()));
            }
        }
    }
    if parser.has_partial_event() || !has_end {
        return Err(reply.broken("the stream has no proper end".to_owned()));
    }
    Ok(())
}
