//! Bodies of answers to clients.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::mpsc;

/// A body that is here, or that arrives in pieces.
#[derive(Debug)]
pub enum Body {
    /// It is here.
    Whole(Option<Bytes>),
    /// Pieces arrive. An error breaks the connection off, so that the client sees that the
    /// answer is not whole.
    Pieces {
        /// Where they arrive.
        pieces: mpsc::Receiver<Result<Bytes, tamaracksail_http::Error>>,
        /// The whole length, if it is known.
        length: Option<u64>,
    },
}

impl Body {
    /// A body that is here.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole((!bytes.is_empty()).then_some(bytes))
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
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces { pieces, .. } => pieces
                .poll_recv(cx)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Pieces { length, .. } => {
                length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
