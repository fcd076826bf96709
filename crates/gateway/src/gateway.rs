//! What lives as long as the process.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use hyper::header::{HeaderMap, HeaderValue};
use rustix::time::{ClockId, clock_gettime};
use tamaracksail_adapter::settings::Settings;
use tamaracksail_adapter::store;
use tamaracksail_http as http;
use tamaracksail_model::table::Table;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::Fleet;
use tamaracksail_process::trace::{Span, SpanKind, TRACEPARENT, Tracer};

use crate::batches::Coordinator;
use crate::metrics::Metrics;
use crate::options::Options;
use crate::store::Availability;

/// The process. Shared by all tasks of its one thread.
#[derive(Debug)]
pub struct Gateway {
    /// The platform's settings.
    pub settings: RefCell<Settings>,
    /// The number that tells this life of the process from others.
    pub incarnation: u64,
    /// When it began.
    pub started_at: Instant,
    /// The port of the metrics.
    pub metrics_port: Option<u16>,
    /// Connections to backend servers.
    pub http: http::Client,
    /// The platform's store.
    pub store: store::Client,
    /// Whether the store answers.
    pub store_availability: Availability,
    /// The routes in force; none before the first are known.
    pub table: RefCell<Option<Rc<Table>>>,
    /// Backend servers.
    pub fleet: RefCell<Fleet>,
    /// Whether the list of backend servers was read.
    pub has_server_list: Cell<bool>,
    /// Since when the process is stopping.
    pub stopping_since: Cell<Option<Instant>>,
    /// Client requests that wait for an answer.
    pub active_requests: Cell<usize>,
    /// Batches.
    pub coordinator: Coordinator,
    /// What the process counts.
    pub metrics: Metrics,
    /// Makes spans, if they are wanted.
    pub tracer: Option<Tracer>,
}

impl Gateway {
    /// A process that knows nothing yet.
    pub fn new(settings: Settings, options: &Options, tracer: Option<Tracer>) -> Self {
        // JSON numbers are exact up to 53 bits.
        let incarnation = rand::random::<u64>() >> 11;
        let coordinator = Coordinator::new(&settings, incarnation);
        Self {
            incarnation,
            started_at: now(),
            metrics_port: options.metrics_port,
            http: http::Client::default(),
            store: store::Client::new(settings.store),
            store_availability: Availability::default(),
            settings: RefCell::new(settings),
            table: RefCell::new(None),
            fleet: RefCell::new(Fleet::default()),
            has_server_list: Cell::new(false),
            stopping_since: Cell::new(None),
            active_requests: Cell::new(0),
            coordinator,
            metrics: Metrics::new(),
            tracer,
        }
    }

    /// Whether new connections are welcome.
    pub fn is_ready(&self) -> bool {
        self.stopping_since.get().is_none()
            && self.table.borrow().is_some()
            && self.has_server_list.get()
    }

    /// Starts the span of a hop under the trace context of `headers`, and puts its own there.
    pub fn span(
        &self,
        name: &'static str,
        kind: SpanKind,
        headers: &mut HeaderMap,
    ) -> Option<Span> {
        let parent = headers
            .get(TRACEPARENT)
            .and_then(|value| value.to_str().ok());
        let span = self.tracer.as_ref()?.span(name, kind, parent);
        let own = span.traceparent()?;
        headers.insert(TRACEPARENT, HeaderValue::from_str(&own).ok()?);
        Some(span)
    }

    /// Where other gateways reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        peer_address(&self.settings.borrow())
    }

    /// The routes in force.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }
}

/// The present time, on a clock that goes on while the host is suspended. Its origin is the
/// host's start.
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    Instant(seconds * 1_000_000 + nanos / 1000)
}

/// The milliseconds since the Unix epoch, for what other hosts read.
pub fn unix_millis() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
}

/// Where other gateways reach the one with these settings.
pub fn peer_address(settings: &Settings) -> SocketAddr {
    SocketAddr::new(settings.address, settings.internal_ports.0)
}
