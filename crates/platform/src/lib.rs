//! The edge to the platform: its object API and host list, over HTTP.
//!
//! `GET /objects/{key}` answers with the value and the header `x-revision`, or 404; with
//! `?after=N&wait_ms=T` it waits until the revision is above N, or answers 304. `PUT` with the
//! header `if-revision` replaces the value, or answers 412. `GET /hosts` reads the host list
//! likewise. `GET /list/{prefix}` answers with the names of objects. Nothing but 200, 304, 404 and 412 is taken for an answer: the call then is lost.

use std::time::Duration;

use awc::error::{PayloadError, SendRequestError};
use awc::http::StatusCode;
use tamaracksail_model::id::Revision;
use tamaracksail_model::store::{Call, CallResult, MAX_VALUE_BYTES, Op};

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the platform holds a watch open.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// The header that carries an object's revision.
pub const REVISION: &str = "x-revision";

/// The header that a write is conditional on.
pub const IF_REVISION: &str = "if-revision";

/// Why a call was lost.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request could not be sent, or no answer came in time.
    #[error("{step} {key} at {peer}: {source}")]
    Send {
        /// The step.
        step: &'static str,
        /// The object.
        key: String,
        /// The platform.
        peer: String,
        /// The cause.
        source: SendRequestError,
    },
    /// The answer broke off.
    #[error("{step} {key} at {peer}: {source}")]
    Payload {
        /// The step.
        step: &'static str,
        /// The object.
        key: String,
        /// The platform.
        peer: String,
        /// The cause.
        source: PayloadError,
    },
    /// The platform answered with an error, or without a revision.
    #[error("{step} {key} at {peer}: unexpected answer {status}")]
    Status {
        /// The step.
        step: &'static str,
        /// The object.
        key: String,
        /// The platform.
        peer: String,
        /// The HTTP status.
        status: StatusCode,
    },
}

/// A client of the platform. Belongs to one thread, like the HTTP client in it.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    base: String,
}

impl Client {
    /// A client of the platform at `base`, such as `http://10.0.0.1:8000`.
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

    /// Carries out one call.
    ///
    /// # Errors
    /// Why the call was lost; a write may have taken effect.
    pub async fn call(&self, call: &Call) -> Result<CallResult, Error> {
        match &call.op {
            Op::Get => {
                let request = self.http.get(self.url(&call.key)).timeout(CALL_TIMEOUT);
                self.finish("read", &call.key, request.send().await).await
            }
            Op::Put { revision, value } => {
                let request = self
                    .http
                    .put(self.url(&call.key))
                    .timeout(CALL_TIMEOUT)
                    .insert_header((IF_REVISION, revision.0.to_string()));
                self.finish("write", &call.key, request.send_body(value.clone()).await)
                    .await
            }
        }
    }

    /// Waits until an object is beyond `after`, or for the platform's own limit.
    ///
    /// # Errors
    /// Why the watch was lost.
    pub async fn watch(&self, key: &str, after: Revision) -> Result<CallResult, Error> {
        let wait = WATCH_WAIT.as_millis();
        let url = format!("{}?after={}&wait_ms={wait}", self.url(key), after.0);
        let request = self.http.get(url).timeout(WATCH_WAIT + CALL_TIMEOUT);
        self.finish("watch", key, request.send().await).await
    }

    /// The names of the objects that start with `prefix`.
    ///
    /// # Errors
    /// Why the call was lost.
    pub async fn list(&self, prefix: &str) -> Result<Vec<String>, Error> {
        const STEP: &str = "list";
        let (key, peer) = (prefix.to_owned(), self.base.clone());
        let request = self
            .http
            .get(format!("{}/list/{prefix}", self.base))
            .timeout(CALL_TIMEOUT);
        let mut response = match request.send().await {
            Ok(response) => response,
            Err(source) => {
                return Err(Error::Send {
                    step: STEP,
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
                step: STEP,
                key,
                peer,
                status,
            }),
        }
    }

    async fn finish<S>(
        &self,
        step: &'static str,
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
                    step,
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
                    step,
                    key,
                    peer,
                    source,
                });
            }
        };
        match (status.as_u16(), revision) {
            (200, Some(revision)) if step == "write" => Ok(CallResult::Written { revision }),
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
                step,
                key,
                peer,
                status,
            }),
        }
    }
}
