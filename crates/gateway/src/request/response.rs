//! Responses that the gateway itself makes.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};

use crate::connection::Body;

/// When clients should retry while this process has no routes or no server to send to, as at its
/// start or while the store is unavailable: the time of a few store calls.
pub const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Returns a response without a body.
pub fn empty_response(code: StatusCode) -> Response<Body> {
    response_with_body(code, Bytes::new())
}

/// Returns a response with a body.
pub fn response_with_body(code: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = code;
    response
}

/// Returns the response to a request that has not run and never will: status 503, with the time
/// after which the client should send it again.
pub fn retry_later(retry_after: Duration) -> Response<Body> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert("retry-after", value);
    }
    response
}
