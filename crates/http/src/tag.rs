//! The identity of a request on a connection.

use hyper::header::HeaderValue;

/// The id by which the response to a request is told from responses to others, as an extension of the
/// request. A pooled connection does not carry two requests with the same tag one after the other: a
/// late second copy of the first response would be taken for the second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tag(pub HeaderValue);
