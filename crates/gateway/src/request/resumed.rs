//! Requests in which a client takes up a stream.

use hyper::header::HeaderMap;
use tamaracksail_adapter::ingress;
use tamaracksail_model::route::{Kind, Route};

/// A stream that a request resumes.
pub(super) struct Resumed {
    /// The id of the client attempt that brought its first event, if the request names it.
    pub(super) attempt: Option<String>,
}

impl Resumed {
    /// Returns the stream that a request on `route` resumes; none if it begins one.
    pub(super) fn parse(route: &Route, headers: &HeaderMap) -> Option<Self> {
        if route.kind != Kind::Stream || !route.is_resumable {
            return None;
        }
        let attempt = ingress::resumed_attempt(headers).map(str::to_owned);
        let is_resumed = attempt.is_some() || ingress::has_last_event(headers);
        is_resumed.then_some(Self { attempt })
    }
}
