//! One connection to a peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tamaracksail_model::status;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use crate::error::{Error, Stage};
use crate::response::IncomingResponse;
use crate::send_mark::SendMark;
use crate::socket;
use crate::tag::Tag;

/// The limit on the bytes of a response that are buffered, and so on its head. Heads are a few hundred
/// bytes long.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// The limit on the interim responses to a request. Servers send one or two.
const MAX_INTERIM_RESPONSES: usize = 16;

/// A connection that carries one request at a time. Dropping it closes the socket immediately,
/// which tells the peer that the request was abandoned.
#[derive(Debug)]
pub struct Connection {
    peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// Whether it is closed after its first response.
    pub(crate) is_single_use: bool,
    /// The tag of the last request, if it had one.
    pub(crate) last_tag: Option<Tag>,
}

impl Connection {
    /// Connects within `timeout`. Must be called on a `LocalSet`.
    ///
    /// # Errors
    /// With [`Stage::Refused`] or [`Stage::Connect`]. Nothing was sent.
    pub async fn open(peer: SocketAddr, timeout: Duration) -> Result<Self, Error> {
        let failed = |problem: String| Error {
            stage: Stage::Connect,
            peer,
            problem,
        };
        let stream = tokio::time::timeout(timeout, TcpStream::connect(peer))
            .await
            .map_err(|_| failed(format!("no connection within {} ms", timeout.as_millis())))?
            .map_err(|error| Error {
                stage: if error.kind() == std::io::ErrorKind::ConnectionRefused {
                    Stage::Refused
                } else {
                    Stage::Connect
                },
                peer,
                problem: error.to_string(),
            })?;
        socket::set_options(&stream).map_err(|error| failed(error.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .title_case_headers(true)
            .max_buf_size(MAX_BUFFERED_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(error.to_string()))?;
        let driver = tokio::task::spawn_local(async move {
            // The request that fails because of an error reports it, together with its stage.
            drop(connection.await);
        });
        Ok(Self {
            peer,
            sender,
            driver: driver.abort_handle(),
            is_single_use: false,
            last_tag: None,
        })
    }

    /// Returns the peer's address.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns whether the peer has closed the connection or sent unexpected bytes.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the last response has ended, and returns whether the connection is still open.
    pub async fn is_reusable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and returns its response, which holds the connection.
    ///
    /// # Errors
    /// As [`Self::send`].
    pub async fn request(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<IncomingResponse, Error> {
        let (head, body) = self.send(request).await?.into_parts();
        Ok(IncomingResponse::new(head, body, self))
    }

    /// Sends a request and waits for the head of the response. The connection is closed if that has no
    /// final status.
    ///
    /// # Errors
    /// With [`Stage::Head`] if the request may have been sent; with [`Stage::Connect`] if the
    /// connection was closed before anything was sent.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let peer = self.peer;
        if self.sender.is_closed() || self.sender.ready().await.is_err() {
            return Err(Error {
                stage: Stage::Connect,
                peer,
                problem: "the idle connection had been closed".to_owned(),
            });
        }
        self.last_tag = request.extensions().get::<Tag>().cloned();
        let mark = request.extensions().get::<SendMark>().cloned();
        if let Some(mark) = &mark {
            mark.set(Some(Instant::now()));
        }
        let too_many = limit_interim_responses(&mut request);
        let response = tokio::select! {
            response = self.sender.send_request(request) => response,
            () = too_many.notified() => {
                let problem = format!("more than {MAX_INTERIM_RESPONSES} interim responses");
                return Err(self.fail_head(problem));
            }
        };
        let response = response.map_err(|error| {
            let is_unsent = error.is_canceled();
            if let Some(mark) = mark.filter(|_| is_unsent) {
                mark.set(None);
            }
            Error {
                stage: if is_unsent {
                    Stage::Connect
                } else {
                    Stage::Head
                },
                peer,
                problem: describe(&error),
            }
        })?;
        let code = response.status().as_u16();
        if !status::is_final(code) {
            return Err(self.fail_head(format!("{code} is no final status")));
        }
        Ok(response)
    }

    /// Closes the connection, which carried bytes that are no response, and returns the error.
    fn fail_head(&self, problem: String) -> Error {
        self.driver.abort();
        Error {
            stage: Stage::Head,
            peer: self.peer,
            problem,
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Limits the interim responses to a request, which the HTTP library passes over. Returns what is notified
/// when there are too many.
fn limit_interim_responses(request: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let exceeded = Arc::new(Notify::new());
    let notifier = Arc::clone(&exceeded);
    let count = AtomicUsize::new(0);
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
            notifier.notify_one();
        }
    });
    exceeded
}

/// Returns the text of an error, followed by those of its causes.
pub(crate) fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
