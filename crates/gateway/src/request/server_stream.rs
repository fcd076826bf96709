//! The events that one server sends of a stream.

use tamaracksail_adapter::event::{Event, Parser};
use tamaracksail_http::{Error, IncomingResponse};
use tamaracksail_policy::fleet::ServerKey;

use super::execution::Execution;

/// The part of a stream that one server sends. Dropping it closes the connection to the server, which
/// then ends the request.
#[derive(Debug)]
pub struct ServerStream {
    /// The server.
    pub key: ServerKey,
    /// The response, whose head has been read.
    pub reply: IncomingResponse,
    /// The execution of the request at the server.
    pub execution: Execution,
    parser: Parser,
    has_framed_end: bool,
}

impl ServerStream {
    /// Returns the events of a response.
    pub fn new(key: ServerKey, reply: IncomingResponse, execution: Execution) -> Self {
        let has_framed_end =
            reply.head.headers.contains_key("transfer-encoding") || reply.length().is_some();
        Self {
            key,
            reply,
            execution,
            parser: Parser::default(),
            has_framed_end,
        }
    }

    /// Returns the event that follows the event `last`; none at the proper end of the stream. No event is
    /// lost if the future is dropped before it completes.
    ///
    /// # Errors
    /// If the event is malformed or another one, or the response ends without a proper end of the stream.
    pub async fn next_event(&mut self, last: Option<u64>) -> Result<Option<Event>, Error> {
        loop {
            let event = self.parser.next_event();
            let event = event.map_err(|error| self.reply.body_error(error.to_string()))?;
            if let Some(event) = event {
                if last.is_none_or(|last| event.id == last + 1) {
                    return Ok(Some(event));
                }
                let problem = format!("event {} does not follow the event before it", event.id);
                return Err(self.reply.body_error(problem));
            }
            let Some(chunk) = self.reply.next().await? else {
                break;
            };
            let pushed = self.parser.push(&chunk);
            pushed.map_err(|error| self.reply.body_error(error.to_string()))?;
        }
        if self.parser.has_partial_event() || !self.has_framed_end {
            let problem = "the stream ended without a proper end";
            return Err(self.reply.body_error(problem.to_owned()));
        }
        Ok(None)
    }
}
