//! Bodies of responses to clients.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::mpsc;

/// A response body, either complete or arriving in chunks.
#[derive(Debug)]
pub enum Body {
    /// A complete body; none once it has been sent, or if it is empty.
    Full(Option<Bytes>),
    /// A body that arrives in chunks. An error closes the connection, so that the client sees that
    /// the response is incomplete.
    Chunks {
        /// The receiver of the chunks.
        chunks: mpsc::Receiver<Result<Bytes, tamaracksail_http::Error>>,
        /// The total length in bytes, if it is known.
        length: Option<u64>,
    },
}

impl Body {
    /// Returns a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = tamaracksail_http::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Chunks { chunks, .. } => chunks
                .poll_recv(cx)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Chunks { length, .. } => {
                length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
