//! Bodies of responses to clients.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::mpsc;

use super::activity::RequestGuard;

/// The bytes of a body.
#[derive(Debug)]
enum Content {
    /// All of them; none once they have been sent, or if there are none.
    Full(Option<Bytes>),
    /// They arrive in chunks.
    Chunks {
        chunks: mpsc::Receiver<Result<Bytes, tamaracksail_http::Error>>,
        /// The total length in bytes, if it is known.
        length: Option<u64>,
    },
}

/// A response body, either complete or arriving in chunks.
#[derive(Debug)]
pub struct Body {
    content: Content,
    /// The request, which is in progress until the body has been sent.
    _request: Option<RequestGuard>,
}

impl Body {
    /// Returns a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self {
            content: Content::Full((!bytes.is_empty()).then_some(bytes)),
            _request: None,
        }
    }

    /// Returns a body that arrives in chunks, of `length` bytes in all if that is known. An error closes
    /// the connection, so that the client sees that the response is incomplete.
    pub fn chunks(
        chunks: mpsc::Receiver<Result<Bytes, tamaracksail_http::Error>>,
        length: Option<u64>,
    ) -> Self {
        Self {
            content: Content::Chunks { chunks, length },
            _request: None,
        }
    }

    /// Returns the body with the request that is in progress until it has been sent.
    pub fn with_request(self, request: RequestGuard) -> Self {
        Self {
            _request: Some(request),
            ..self
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = tamaracksail_http::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match &mut self.content {
            Content::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Chunks { chunks, .. } => chunks
                .poll_recv(cx)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Chunks { length, .. } => {
                length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
