//! An answer whose body is still to be read.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::response::Parts;

use crate::client::Client;
use crate::connection::{Connection, describe};
use crate::error::{Error, Stage};

/// An answer. Dropped before its end it closes the connection.
#[derive(Debug)]
pub struct IncomingResponse {
    /// Status and headers.
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

    /// The next piece of the body; none at its end.
    ///
    /// # Errors
    /// With [`Stage::Body`] if the body breaks off.
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

    /// The length of the body, if the head states it.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Reads the whole body, at most `most` bytes.
    ///
    /// # Errors
    /// With [`Stage::Body`] if the body breaks off or is longer.
    pub async fn read(&mut self, most: usize) -> Result<Bytes, Error> {
        let mut whole = BytesMut::new();
        let mut first = Bytes::new();
        while let Some(piece) = self.next().await? {
            if whole.len() + first.len() + piece.len() > most {
                return Err(self.body_error(format!("longer than {most} bytes")));
            }
            if whole.is_empty() && first.is_empty() {
                first = piece;
                continue;
            }
            if whole.is_empty() {
                whole.extend_from_slice(&std::mem::take(&mut first));
            }
            whole.extend_from_slice(&piece);
        }
        Ok(if whole.is_empty() {
            first
        } else {
            whole.freeze()
        })
    }

    /// Gives the connection back for reuse, once the body was read to its end.
    pub fn release(self, client: &Client) {
        client.store_idle(self.connection);
    }

    /// An error of this answer's body.
    #[must_use]
    pub fn body_error(&self, problem: String) -> Error {
        Error {
            stage: Stage::Body,
            peer: self.connection.peer(),
            problem,
        }
    }
}
