//! Connections of clients.

mod body;

pub use body::Body;

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tamaracksail_http::socket;
use tamaracksail_model::time::Instant;
use tokio::net::{TcpListener, TcpStream};

use crate::gateway::{Gateway, now};
use crate::request;

/// How long a connection may be idle before the routes, which state it, are known.
const DEFAULT_IDLE: Duration = Duration::from_secs(30);

/// Beyond the stated idle time, so that a request that crosses the close is rare.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// What a connection is doing.
#[derive(Debug)]
struct Activity {
    requests: Cell<usize>,
    last: Cell<Instant>,
}

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
    let activity = Rc::new(Activity {
        requests: Cell::new(0),
        last: Cell::new(now()),
    });
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
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    loop {
        let idle = gateway
            .table()
            .map_or(DEFAULT_IDLE, |table| table.limits.idle_timeout)
            + IDLE_MARGIN;
        let end = activity.last.get().after(idle);
        tokio::select! {
            ended = connection.as_mut() => return Ok(ended?),
            () = tokio::time::sleep(end.since(now())) => {}
        }
        if activity.requests.get() > 0 {
            activity.last.set(now());
        } else if now() >= activity.last.get().after(idle) {
            connection.as_mut().graceful_shutdown();
            return Ok(connection.await?);
        }
    }
}

/// Counts a request of a connection while it is answered.
struct Guard(Rc<Activity>);

impl Guard {
    fn new(activity: Rc<Activity>) -> Self {
        activity.requests.set(activity.requests.get() + 1);
        Self(activity)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
        self.0.last.set(now());
    }
}
