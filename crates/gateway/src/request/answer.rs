//! Answers of our own.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};

use crate::connection::Body;

/// When to come back while this process is starting or has lost the store: a few store calls.
pub const SOON: Duration = Duration::from_millis(300);

/// An answer without a body.
pub fn status(code: StatusCode) -> Response<Body> {
    with_body(code, Bytes::new())
}

/// An answer with a body.
pub fn with_body(code: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::whole(body));
    *response.status_mut() = code;
    response
}

/// States that a request has not run and never will, and when to send it again.
pub fn refusal(retry_after: Duration) -> Response<Body> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert("retry-after", value);
    }
    response
}
