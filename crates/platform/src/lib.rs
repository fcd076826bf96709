//! A client of the platform's object API and host list, over HTTP.
//!
//! `GET /objects/{key}` returns the value and the header `x-revision`, or 404. With
//! `?after=N&wait_ms=T` it waits up to T milliseconds until the revision is above N, and returns
//! 304 if it is not. `PUT` with the header `if-revision` replaces the value, or returns 412 if the
//! object is at another revision. `GET /hosts` reads the host list in the same way as an object.
//! `GET /list/{prefix}` returns the names of objects.
//!
//! A call to an object or to the host list fails with an [`Error`] on any status but 200, 304, 404
//! and 412; whether a write took effect is then unknown.

use std::time::Duration;

use awc::error::{PayloadError, SendRequestError};
use awc::http::StatusCode;
use tamaracksail_model::id::Revision;
use tamaracksail_model::store::{Call, CallResult, MAX_VALUE_BYTES, Op};

/// How long a call may take that does not wait for a change.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The response header that carries an object's revision.
pub const REVISION: &str = "x-revision";

/// The request header with the revision that an object must have for a write to take effect.
pub const IF_REVISION: &str = "if-revision";

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request could not be sent, or no response came in time.
    #[error("{operation} {key} at {peer}: {source}")]
    Send {
        /// The operation: `read`, `write`, `watch` or `list`.
        operation: &'static str,
        /// The object's name, or the prefix of a list.
        key: String,
        /// The platform's URL.
        peer: String,
        /// The cause.
        source: SendRequestError,
    },
    /// The body of the response could not be read to its end.
    #[error("{operation} {key} at {peer}: {source}")]
    Payload {
        /// The operation: `read`, `write`, `watch` or `list`.
        operation: &'static str,
        /// The object's name, or the prefix of a list.
        key: String,
        /// The platform's URL.
        peer: String,
        /// The cause.
        source: PayloadError,
    },
    /// The platform responded with an unexpected status, without a revision, or with an invalid
    /// list.
    #[error("{operation} {key} at {peer}: unexpected response with status {status}")]
    Status {
        /// The operation: `read`, `write`, `watch` or `list`.
        operation: &'static str,
        /// The object's name, or the prefix of a list.
        key: String,
        /// The platform's URL.
        peer: String,
        /// The HTTP status.
        status: StatusCode,
    },
}

/// A client of the platform. Cannot be sent to another thread, because its HTTP client cannot.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    base: String,
}

impl Client {
    /// Returns a client of the platform at `base`, such as `http://10.0.0.1:8000`.
    #[must_use]
    pub fn new(base: &str) -> Self {
        Self {
            http: awc::Client::default(),
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    fn url(&self, key: &str) -> String {
        if key == "hosts" {
            format!("{}/hosts", self.base)
        } else {
            format!("{}/objects/{key}", self.base)
        }
    }

    /// Makes one call.
    ///
    /// # Errors
    /// If the call failed. A write may have taken effect nevertheless.
    pub async fn call(&self, call: &Call) -> Result<CallResult, Error> {
        match &call.op {
            Op::Get => {
                let request = self.http.get(self.url(&call.key)).timeout(CALL_TIMEOUT);
                self.read_response("read", &call.key, request.send().await)
                    .await
            }
            Op::Put { revision, value } => {
                let request = self
                    .http
                    .put(self.url(&call.key))
                    .timeout(CALL_TIMEOUT)
                    .insert_header((IF_REVISION, revision.0.to_string()));
                self.read_response("write", &call.key, request.send_body(value.clone()).await)
                    .await
            }
        }
    }

    /// Waits until the revision of an object is above `after`, and returns its new value. If it
    /// does not change within `wait`, returns an empty value at the current revision.
    ///
    /// # Errors
    /// If the watch failed, or has no response `margin` after its wait.
    pub async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
        margin: Duration,
    ) -> Result<CallResult, Error> {
        let millis = wait.as_millis();
        let url = format!("{}?after={}&wait_ms={millis}", self.url(key), after.0);
        let request = self.http.get(url).timeout(wait + margin);
        self.read_response("watch", key, request.send().await).await
    }

    /// Returns the names of the objects that start with `prefix`.
    ///
    /// # Errors
    /// If the call failed.
    pub async fn list(&self, prefix: &str) -> Result<Vec<String>, Error> {
        const OPERATION: &str = "list";
        let (key, peer) = (prefix.to_owned(), self.base.clone());
        let request = self
            .http
            .get(format!("{}/list/{prefix}", self.base))
            .timeout(CALL_TIMEOUT);
        let mut response = match request.send().await {
            Ok(response) => response,
            Err(source) => {
                return Err(Error::Send {
                    operation: OPERATION,
                    key,
                    peer,
                    source,
                });
            }
        };
        let status = response.status();
        match response
            .json::<Vec<String>>()
            .limit(MAX_VALUE_BYTES * 2)
            .await
        {
            Ok(names) if status.is_success() => Ok(names),
            _ => Err(Error::Status {
                operation: OPERATION,
                key,
                peer,
                status,
            }),
        }
    }

    async fn read_response<S>(
        &self,
        operation: &'static str,
        key: &str,
        response: Result<awc::ClientResponse<S>, SendRequestError>,
    ) -> Result<CallResult, Error>
    where
        S: futures_util::Stream<Item = Result<bytes::Bytes, PayloadError>>,
    {
        let (key, peer) = (key.to_owned(), self.base.clone());
        let mut response = match response {
            Ok(response) => response,
            Err(source) => {
                return Err(Error::Send {
                    operation,
                    key,
                    peer,
                    source,
                });
            }
        };
        let revision = response.headers().get(REVISION);
        let revision = revision.and_then(|text| text.to_str().ok()?.parse().ok().map(Revision));
        let status = response.status();
        let body = response.body().limit(MAX_VALUE_BYTES * 2).await;
        let body = match body {
            Ok(body) => body,
            Err(source) => {
                return Err(Error::Payload {
                    operation,
                    key,
                    peer,
                    source,
                });
            }
        };
        match (status.as_u16(), revision) {
            (200, Some(revision)) if operation == "write" => Ok(CallResult::Written { revision }),
            (200, Some(revision)) => Ok(CallResult::Value {
                revision,
                value: body.to_vec(),
            }),
            (304, Some(revision)) => Ok(CallResult::Value {
                revision,
                value: Vec::new(),
            }),
            (404, _) => Ok(CallResult::Missing),
            (412, _) => Ok(CallResult::Conflict),
            _ => Err(Error::Status {
                operation,
                key,
                peer,
                status,
            }),
        }
    }
}
