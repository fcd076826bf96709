//! State that lives as long as the process.

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
use tamaracksail_policy::freshness::Bounds;
use tamaracksail_policy::limit::Limiter;
use tamaracksail_policy::memory::Budget;
use tamaracksail_process::trace::{Span, SpanKind, TRACEPARENT, Tracer};

use crate::admission::Queues;
use crate::batches::Coordinator;
use crate::clock::ProcessClock;
use crate::configuration::Configuration;
use crate::connection::Work;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::options::Options;
use crate::stopping::Stopping;
use crate::store::Availability;
use crate::streams::Streams;
use crate::suspects::Suspects;
use crate::usage::{self, Usage};

/// The state of the process, shared by all tasks of its one thread.
#[derive(Debug)]
pub struct Gateway {
    /// The platform's settings.
    pub settings: RefCell<Settings>,
    /// The number that distinguishes this start of the process from others.
    pub incarnation: u64,
    /// When the process started.
    pub started_at: Instant,
    /// The estimate of true time.
    pub clock: ProcessClock,
    /// The port of the metrics; none if they are not served.
    pub metrics_port: Option<u16>,
    /// The HTTP client for backend servers and peers.
    pub http: http::Client,
    /// The client of the platform's store.
    pub store: store::Client,
    /// Whether the store answers this process.
    pub store_availability: Availability,
    /// The bytes that may be held for clients, servers and peers.
    pub memory: Budget,
    /// The routes in force; none until the first have been read.
    pub table: RefCell<Option<Rc<Table>>>,
    /// What is known of the newest routes.
    pub configuration: Configuration,
    /// The backend servers.
    pub fleet: RefCell<Fleet>,
    /// The requests of client accounts that run or wait.
    pub admission: Queues,
    /// The state of the servers' request limits.
    pub limits: Limits,
    /// The origins of streams.
    pub streams: Streams,
    /// The contents of requests under which servers ended.
    pub suspects: Suspects,
    /// Whether the list of backend servers has been read.
    pub has_server_list: Cell<bool>,
    /// The stop of the process, once it was asked to.
    pub stop: Stopping,
    /// The requests of clients and peers whose responses are not written to their end.
    pub work: Work,
    /// The scheduling of batches.
    pub coordinator: Coordinator,
    /// The counters and histograms of the process.
    pub metrics: Metrics,
    /// The counts of requests by account; none if usage is not reported.
    pub usage: Option<Rc<Usage>>,
    /// The source of spans; none if no endpoint for them is configured.
    pub tracer: Option<Tracer>,
}

impl Gateway {
    /// Returns the state of a process that has read nothing but its settings.
    pub fn new(settings: Settings, options: &Options, tracer: Option<Tracer>) -> Self {
        // JSON numbers are exact up to 53 bits.
        let incarnation = rand::random::<u64>() >> 11;
        let coordinator = Coordinator::new(&settings, incarnation);
        let store = store::Client::new(settings.store);
        let http = http::Client::default();
        let metrics = Metrics::new();
        let bounds = Bounds {
            configuration: settings.configuration_bound,
            drain: settings.drain_window,
            cancel: settings.cancel_bound,
            stable: settings.stable_time,
        };
        let store_availability = Availability::new(bounds, metrics.watch_checks.clone());
        let usage = Usage::new(&settings, incarnation, || usage::Connections {
            store: store.clone(),
            store_availability: store_availability.clone(),
            http: http.clone(),
            reports: metrics.usage_reports.clone(),
            late: metrics.usage_late.clone(),
        });
        let mut fleet = Fleet::new(Limiter::new(rand::random()));
        if settings.has_locality {
            fleet.enable_locality(&settings.domain, &settings.host);
            coordinator.prefer_domain(&settings.domain);
        }
        Self {
            incarnation,
            started_at: now(),
            clock: ProcessClock::start(options.time_offset_file.clone()),
            metrics_port: options.metrics_port,
            http,
            store,
            store_availability,
            memory: Budget::of_process(settings.memory_bytes),
            settings: RefCell::new(settings),
            table: RefCell::new(None),
            configuration: Configuration::new(rand::random()),
            fleet: RefCell::new(fleet),
            admission: Queues::default(),
            limits: Limits::default(),
            streams: Streams::default(),
            suspects: Suspects::default(),
            has_server_list: Cell::new(false),
            stop: Stopping::default(),
            work: Work::default(),
            coordinator,
            metrics,
            usage: usage.map(Rc::new),
            tracer,
        }
    }

    /// Returns the own failure domain if shares of requests leave it.
    pub fn locality_domain(&self) -> Option<String> {
        let settings = self.settings.borrow();
        settings.has_locality.then(|| settings.domain.clone())
    }

    /// Whether the process is ready for new connections: it has read the routes and the list of
    /// servers, and isn't stopping.
    pub fn is_ready(&self) -> bool {
        self.stop.get().is_none() && self.table.borrow().is_some() && self.has_server_list.get()
    }

    /// Starts a span as a child of the trace context in `headers`, and replaces that context with
    /// the span's own. Returns none if there is no span to propagate.
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
        let context = span.traceparent()?;
        headers.insert(TRACEPARENT, HeaderValue::from_str(&context).ok()?);
        Some(span)
    }

    /// The address at which other gateways reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        peer_address(&self.settings.borrow())
    }

    /// The routes in force; none until the first have been read.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }
}

/// The current time, on a clock that starts with the host and also advances while the host is
/// suspended.
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    Instant(seconds * 1_000_000 + nanos / 1000)
}

/// Waits until `at`; forever if there is none.
pub async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep(at.since(now())).await,
        None => std::future::pending().await,
    }
}

/// The address at which other gateways reach the gateway with these settings.
pub fn peer_address(settings: &Settings) -> SocketAddr {
    SocketAddr::new(settings.address, settings.internal_ports.0)
}
