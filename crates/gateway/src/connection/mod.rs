//! Connections of clients.

mod activity;
mod body;
mod watched;

pub use body::Body;

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tamaracksail_http::socket;
use tokio::net::{TcpListener, TcpStream};

use activity::{Activity, Guard};
use watched::Watched;

use crate::gateway::{Gateway, now};
use crate::request;

/// How long a connection may be idle before the routes, which state it, are known.
const DEFAULT_IDLE: Duration = Duration::from_secs(30);

/// Beyond the stated idle time, so that a request that crosses the close is rare.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// How long a head may take before the routes, which state it, are known.
const DEFAULT_HEAD: Duration = Duration::from_secs(5);

/// The longest head in bytes before the routes, which state it, are known.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;

/// The shortest bound on heads that the HTTP library takes, in bytes.
const LEAST_HEAD_BYTES: usize = 8192;

/// Listens where clients, the balancer and the metrics' readers connect.
///
/// # Errors
/// If an address cannot be bound.
pub async fn listen(gateway: &Rc<Gateway>) -> std::io::Result<()> {
    let settings = gateway.settings.borrow().clone();
    let mut addresses: Vec<SocketAddr> = settings.ingress.into_iter().collect();
    addresses.extend(settings.readiness);
    if let Some(port) = gateway.metrics_port {
        addresses.push(SocketAddr::new(settings.address, port));
    }
    addresses.dedup();
    for address in addresses {
        let listener = TcpListener::bind(address).await?;
        log::info!(address:%; "listening");
        actix_rt::spawn(accept(Rc::clone(gateway), listener));
    }
    Ok(())
}

async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, client)) => {
                let gateway = Rc::clone(&gateway);
                actix_rt::spawn(async move {
                    if let Err(error) = serve(&gateway, stream).await {
                        log::debug!(client:%, error:%; "connection ended");
                    }
                });
            }
            Err(error) => {
                log::warn!(error:%; "connection not accepted");
                // Most often no descriptors are left; some come back soon.
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve(gateway: &Rc<Gateway>, stream: TcpStream) -> Result<(), Box<dyn std::error::Error>> {
    socket::tune(&stream)?;
    let activity = Rc::new(Activity::new(now()));
    let service = {
        let gateway = Rc::clone(gateway);
        let activity = Rc::clone(&activity);
        service_fn(move |request| {
            let gateway = Rc::clone(&gateway);
            let guard = Guard::new(Rc::clone(&activity));
            async move {
                let answer = request::handle(&gateway, request).await;
                drop(guard);
                answer
            }
        })
    };
    let table = gateway.table();
    let head_bytes = table.map_or(DEFAULT_HEAD_BYTES, |table| table.limits.header_bytes);
    let stream = Watched::new(stream, Rc::clone(&activity));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(head_bytes.max(LEAST_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    loop {
        let (idle, head) = gateway
            .table()
            .map_or((DEFAULT_IDLE, DEFAULT_HEAD), |table| {
                (table.limits.idle_timeout, table.limits.header_timeout)
            });
        let idle = idle + IDLE_MARGIN;
        let end = activity.deadline(now(), idle, head);
        tokio::select! {
            ended = connection.as_mut() => return Ok(ended?),
            () = tokio::time::sleep(end.since(now())) => {}
            () = activity.head_began() => {}
        }
        if activity.is_head_late(now(), head) {
            log::info!(limit_ms = head.as_millis(); "request head too slow, connection closed");
            return Ok(());
        }
        if activity.is_idle(now(), idle) {
            connection.as_mut().graceful_shutdown();
            return Ok(connection.await?);
        }
    }
}
