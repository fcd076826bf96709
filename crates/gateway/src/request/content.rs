//! The content of a request, by which it is recognised when a client sends it again under a new id.

use bytes::Bytes;
use hyper::header::{AUTHORIZATION, HOST};
use hyper::http::request::Parts;
use tamaracksail_model::id::{Fingerprint, fingerprint_of_parts};

/// What a server works on: the head and the body of a request.
#[derive(Clone, Debug)]
pub struct Content {
    /// The request's head.
    pub head: Parts,
    /// The request's body.
    pub body: Bytes,
}

impl Content {
    /// Returns the fingerprint of the method, the host, the path and query, the caller's credentials
    /// and the body.
    pub fn fingerprint(&self) -> Fingerprint {
        let header = |name| {
            self.head
                .headers
                .get(name)
                .map_or(&[][..], |value| value.as_bytes())
        };
        let target = self.head.uri.path_and_query();
        fingerprint_of_parts(&[
            self.head.method.as_str().as_bytes(),
            header(HOST),
            target.map_or("", |target| target.as_str()).as_bytes(),
            header(AUTHORIZATION),
            &self.body,
        ])
    }
}
