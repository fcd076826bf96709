//! Connections of clients.

mod activity;
mod body;
mod observed_stream;
mod work;

pub use activity::{Activity, RequestGuard};
pub use body::Body;
pub use observed_stream::ObservedStream;
pub use work::Work;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tamaracksail_http::socket;
use tokio::net::{TcpListener, TcpStream};

use crate::gateway::{Gateway, now};
use crate::request;

/// How long a connection may be idle while the routes, which state the limit, are not known yet.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How much longer than the stated limit a connection may be idle, so that a request rarely
/// arrives just as the connection closes.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// How long a request head may take to arrive while the routes, which state the limit, are not
/// known yet.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// The longest request head while the routes, which state the limit, are not known yet.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;

/// The smallest limit on request heads that the HTTP library accepts.
const MIN_MAX_HEAD_BYTES: usize = 8192;

/// Listens on the addresses for clients, readiness checks and metrics.
///
/// # Errors
/// If an address cannot be bound.
pub async fn listen(gateway: &Rc<Gateway>) -> std::io::Result<()> {
    let settings = gateway.settings.borrow().clone();
    let mut addresses: Vec<SocketAddr> = settings.ingress.into_iter().collect();
    addresses.extend(settings.readiness);
    let metrics = gateway
        .metrics_port
        .map(|port| SocketAddr::new(settings.address, port));
    addresses.extend(metrics);
    addresses.dedup();
    for address in addresses {
        let listener = TcpListener::bind(address).await?;
        log::info!(address:%; "listening");
        let port = if Some(address) == metrics {
            Port::Metrics
        } else {
            Port::Clients
        };
        actix_rt::spawn(accept(Rc::clone(gateway), listener, port));
    }
    Ok(())
}

/// Whom a port is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// Clients and readiness checks. All paths but those of the platform belong to routes.
    Clients,
    /// The collector of metrics.
    Metrics,
}

async fn accept(gateway: Rc<Gateway>, listener: TcpListener, port: Port) {
    loop {
        match listener.accept().await {
            Ok((stream, client)) => {
                let gateway = Rc::clone(&gateway);
                actix_rt::spawn(async move {
                    if let Err(error) = serve(&gateway, stream, port).await {
                        log::debug!(client:%, error:%; "connection failed");
                    }
                });
            }
            Err(error) => {
                log::warn!(error:%; "accepting a connection failed");
                // Most often no file descriptors are left; some are closed soon.
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve(
    gateway: &Rc<Gateway>,
    stream: TcpStream,
    port: Port,
) -> Result<(), Box<dyn std::error::Error>> {
    socket::set_options(&stream)?;
    let activity = Rc::new(Activity::new(now(), gateway.work.clone()));
    let service = {
        let gateway = Rc::clone(gateway);
        let activity = Rc::clone(&activity);
        service_fn(move |request| {
            let gateway = Rc::clone(&gateway);
            let guard = RequestGuard::new(Rc::clone(&activity));
            async move {
                let response = request::handle(&gateway, port, request).await;
                Ok::<_, Infallible>(response.map(|body| body.with_request(guard)))
            }
        })
    };
    let table = gateway.table();
    let max_head_bytes = table.map_or(DEFAULT_MAX_HEAD_BYTES, |table| table.limits.header_bytes);
    let stream = ObservedStream::new(stream, Rc::clone(&activity));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(max_head_bytes.max(MIN_MAX_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    loop {
        let (idle_timeout, head_timeout) = gateway
            .table()
            .map_or((DEFAULT_IDLE_TIMEOUT, DEFAULT_HEAD_TIMEOUT), |table| {
                (table.limits.idle_timeout, table.limits.header_timeout)
            });
        let idle_timeout = idle_timeout + IDLE_TIMEOUT_MARGIN;
        let check_at = activity.next_check(now(), idle_timeout, head_timeout);
        tokio::select! {
            ended = connection.as_mut() => return Ok(ended?),
            () = tokio::time::sleep(check_at.since(now())) => {}
            () = activity.head_started() => {}
        }
        if activity.is_head_late(now(), head_timeout) {
            log::info!(limit_ms = head_timeout.as_millis(); "request head too slow, connection closed");
            return Ok(());
        }
        if activity.is_idle(now(), idle_timeout) {
            connection.as_mut().graceful_shutdown();
            return Ok(connection.await?);
        }
    }
}
