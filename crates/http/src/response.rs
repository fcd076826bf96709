//! Responses whose bodies are still to be read.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::response::Parts;

use crate::client::Client;
use crate::connection::{Connection, describe};
use crate::error::{Error, Stage};

/// A response whose body is still to be read. Dropping it closes its connection.
#[derive(Debug)]
pub struct IncomingResponse {
    /// The status and the headers.
    pub head: Parts,
    body: Incoming,
    connection: Connection,
}

impl IncomingResponse {
    pub(crate) fn new(head: Parts, body: Incoming, connection: Connection) -> Self {
        Self {
            head,
            body,
            connection,
        }
    }

    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    /// With [`Stage::Body`] if the body is cut short.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => return Err(self.body_error(describe(&error))),
            }
        }
    }

    /// Returns the length of the body, if the head states it.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Reads the whole body, which may have at most `max_bytes`.
    ///
    /// # Errors
    /// With [`Stage::Body`] if the body is cut short or too long.
    pub async fn read(&mut self, max_bytes: usize) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        let mut first = Bytes::new();
        while let Some(chunk) = self.next().await? {
            if body.len() + first.len() + chunk.len() > max_bytes {
                return Err(self.body_error(format!("longer than {max_bytes} bytes")));
            }
            if body.is_empty() && first.is_empty() {
                first = chunk;
                continue;
            }
            if body.is_empty() {
                body.extend_from_slice(&std::mem::take(&mut first));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(if body.is_empty() {
            first
        } else {
            body.freeze()
        })
    }

    /// Reads the rest of a body that is of no use, up to `max_bytes` and for `limit` at the longest, and
    /// returns the connection to the pool of `client`. Closes it if the body is longer.
    pub fn discard(mut self, client: &Client, max_bytes: usize, limit: Duration) {
        if self.length() == Some(0) {
            return self.release(client);
        }
        let client = client.clone();
        tokio::task::spawn_local(async move {
            if let Ok(Ok(_)) = tokio::time::timeout(limit, self.read(max_bytes)).await {
                self.release(&client);
            }
        });
    }

    /// Returns the connection to the pool of `client`. To be called once the body has been read to
    /// its end.
    pub fn release(self, client: &Client) {
        client.store_idle(self.connection);
    }

    /// Returns the connection for a further request, once the body has been read to its end. Returns
    /// `None` if the peer closes it.
    pub async fn into_connection(self) -> Option<Connection> {
        let mut connection = self.connection;
        connection.is_reusable().await.then_some(connection)
    }

    /// Creates an error that concerns the body of this response.
    #[must_use]
    pub fn body_error(&self, problem: String) -> Error {
        Error {
            stage: Stage::Body,
            peer: self.connection.peer(),
            problem,
        }
    }
}
