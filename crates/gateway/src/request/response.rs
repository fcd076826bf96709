//! Answers of our own.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};

use crate::connection::Body;

/// When to come back while this process is starting or has lost the store: a few store calls.
pub const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// An answer without a body.
pub fn empty_response(code: StatusCode) -> Response<Body> {
    response_with_body(code, Bytes::new())
}

/// An answer with a body.
pub fn response_with_body(code: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::whole(body));
    *response.status_mut() = code;
    response
}

/// States that a request has not run and never will, and when to send it again.
pub fn retry_later(retry_after: Duration) -> Response<Body> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert("retry-after", value);
    }
    response
}
