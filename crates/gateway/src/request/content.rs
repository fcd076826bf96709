//! The content of a request, by which it is recognised when a client sends it again under a new id.

use std::cell::OnceCell;
use std::rc::Rc;

use bytes::Bytes;
use hyper::header::{AUTHORIZATION, HOST, HeaderValue};
use hyper::http::request::Parts;
use tamaracksail_adapter::names;
use tamaracksail_model::id::{Fingerprint, fingerprint_of_parts};

use super::progress::Progress;
use crate::usage;

/// What a server works on: the head and the body of a request.
#[derive(Clone, Debug)]
pub struct Content {
    /// The request's head.
    pub head: Parts,
    /// The request's body.
    pub body: Bytes,
    /// The usage that the request is counted in, if it is.
    pub usage: Option<Rc<usage::Request>>,
    /// Whether it may have run.
    pub progress: Progress,
    fingerprint: OnceCell<Fingerprint>,
}

impl Content {
    /// Returns the content of a request.
    pub fn new(head: Parts, body: Bytes, progress: Progress) -> Self {
        Self {
            head,
            body,
            usage: None,
            progress,
            fingerprint: OnceCell::new(),
        }
    }

    /// Returns the fingerprint of the method, the host, the path and query, the caller's account or
    /// else its credentials, and the body. Computed once.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let headers = &self.head.headers;
            let target = self.head.uri.path_and_query();
            let caller = headers.get(names::ACCOUNT).or(headers.get(AUTHORIZATION));
            fingerprint_of_parts(&[
                self.head.method.as_str().as_bytes(),
                bytes(headers.get(HOST)),
                target.map_or("", |target| target.as_str()).as_bytes(),
                bytes(caller),
                &self.body,
            ])
        })
    }
}

fn bytes(value: Option<&HeaderValue>) -> &[u8] {
    value.map_or(&[], HeaderValue::as_bytes)
}
