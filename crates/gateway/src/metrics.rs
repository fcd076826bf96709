//! Counters and latency histograms of the process.

mod registrar;

use std::time::Duration;

use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge, Registry};

use registrar::Registrar;

/// The upper bounds of latency buckets, in seconds: from a store call to a whole training step.
const LATENCY_BUCKETS_S: [f64; 14] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 24.0,
];

/// The counters and histograms of the process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests of client accounts, by whether they began at once, waited or were refused.
    pub admissions: IntCounterVec,
    /// Bodies that were refused since they did not fit into memory.
    pub memory_refusals: IntCounter,
    /// Responses to clients, by route kind and status.
    pub responses: IntCounterVec,
    /// The seconds from a request's arrival to its response.
    pub latency: Histogram,
    /// Attempts of requests at backend servers, by outcome.
    pub sends: IntCounterVec,
    /// Requests sent to servers that state a request limit, by cause.
    pub limited_sends: IntCounterVec,
    /// Texts and streams that continue at another server, by whether its software has the version of
    /// the server that began them.
    pub continuations: IntCounterVec,
    /// Streams that clients took up, by what told where they began.
    pub resumptions: IntCounterVec,
    /// Searches for another server of a silent stream, by outcome.
    pub standbys: IntCounterVec,
    /// Responses that broke off, by the state of the server afterwards.
    pub broken_responses: IntCounterVec,
    /// Runs of items, by outcome.
    pub runs: IntCounterVec,
    /// The seconds that runs took that finished their item.
    pub run_latency: Histogram,
    /// Sends of reward calls, by outcome.
    pub reward_calls: IntCounterVec,
    /// Requests, also reward calls and runs of items, at servers in another failure domain, by
    /// service. Counted only if shares of requests leave.
    pub requests_left: IntCounterVec,
    /// Bytes of these requests, except runs, and of their responses that were read whole, by service.
    pub bytes_left: IntCounterVec,
    /// The seconds that sends of reward calls took that brought a score.
    pub reward_latency: Histogram,
    /// Events of batches, by kind.
    pub batches: IntCounterVec,
    /// Durable results, by how their item ended.
    pub results: IntCounterVec,
    /// Findings that items with the same requirements wait for an engine, by what they need.
    pub item_waits: IntCounterVec,
    /// Texts of items that were discarded since no engine could continue them.
    pub texts_discarded: IntCounter,
    /// Load commands to engines, by outcome.
    pub load_commands: IntCounterVec,
    /// Sends of usage reports, by outcome.
    pub usage_reports: IntCounterVec,
    /// Requests whose count arrived after their window was closed.
    pub usage_late: IntCounter,
    /// 1 while this process holds the lease and schedules, else 0.
    pub scheduling: IntGauge,
    /// The version of the routes in force.
    pub routes_version: IntGauge,
    /// How long ago the routes in force were confirmed to be the newest, in milliseconds.
    pub routes_age_ms: IntGauge,
    /// 1 while this age exceeds its bound, else 0.
    pub routes_overdue: IntGauge,
    /// Questions to other gateways for newer routes, by outcome.
    pub routes_questions: IntCounterVec,
    /// The error of the estimate of true time, in milliseconds.
    pub clock_error_ms: IntGauge,
    /// Calls beside watches of the store, by kind of objects and outcome.
    pub watch_checks: IntCounterVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    /// Never: the names are literals and registered once each.
    #[must_use]
    pub fn new() -> Self {
        let metrics = Registrar::default();
        Self {
            memory_refusals: metrics.counter(
                "memory_refusals",
                "Bodies refused since they did not fit into memory.",
            ),
            admissions: metrics.counters(
                "admissions",
                "Requests of client accounts, by how they got a slot.",
                &["outcome"],
            ),
            responses: metrics.counters("answers", "Responses to clients.", &["kind", "status"]),
            latency: metrics.histogram(
                "latency_seconds",
                "Time from a request's arrival to its response.",
            ),
            sends: metrics.counters("sends", "Attempts at backend servers.", &["outcome"]),
            limited_sends: metrics.counters(
                "limited_sends",
                "Requests sent to servers that state a request limit, by cause.",
                &["cause"],
            ),
            continuations: metrics.counters(
                "continuations",
                "Texts and streams that continue at another server, by its software version.",
                &["software"],
            ),
            resumptions: metrics.counters(
                "resumptions",
                "Streams that clients took up, by what told where they began.",
                &["origin"],
            ),
            standbys: metrics.counters("standbys", "Searches of silent streams.", &["outcome"]),
            broken_responses: metrics.counters(
                "broken_responses",
                "Responses that broke off, by the state of the server afterwards.",
                &["server"],
            ),
            runs: metrics.counters("runs", "Runs of batch items on engines.", &["outcome"]),
            run_latency: metrics
                .histogram("run_seconds", "Duration of runs that finished their item."),
            reward_calls: metrics.counters("reward_calls", "Sends of reward calls.", &["outcome"]),
            requests_left: metrics.counters(
                "requests_left",
                "Requests at servers in another failure domain.",
                &["service"],
            ),
            bytes_left: metrics.counters(
                "bytes_left",
                "Bytes to and from servers in another failure domain.",
                &["service"],
            ),
            reward_latency: metrics.histogram(
                "reward_seconds",
                "Duration of sends of reward calls that brought a score.",
            ),
            batches: metrics.counters("batches", "Batches.", &["event"]),
            results: metrics.counters("results", "Durable results of batch items.", &["ending"]),
            item_waits: metrics.counters("item_waits", "Findings that items wait.", &["needs"]),
            texts_discarded: metrics.counter("texts_discarded", "Texts of items given up."),
            load_commands: metrics.counters("orders", "Load commands to engines.", &["outcome"]),
            usage_reports: metrics.counters(
                "usage_reports",
                "Sends of usage reports.",
                &["outcome"],
            ),
            usage_late: metrics.counter(
                "usage_late",
                "Requests whose count arrived after their window was closed.",
            ),
            scheduling: metrics.gauge(
                "scheduling",
                "1 while this process schedules batches, else 0.",
            ),
            routes_age_ms: metrics.gauge(
                "routes_age_milliseconds",
                "How long ago the routes in force were confirmed to be the newest.",
            ),
            routes_overdue: metrics.gauge(
                "routes_overdue",
                "1 while the age of the routes in force exceeds its bound, else 0.",
            ),
            routes_questions: metrics.counters(
                "routes_questions",
                "Questions to other gateways for newer routes.",
                &["outcome"],
            ),
            routes_version: metrics.gauge("routes_version", "The version of the routes in force."),
            clock_error_ms: metrics.gauge(
                "clock_error_ms",
                "The error of the estimate of true time, in milliseconds.",
            ),
            watch_checks: metrics.counters(
                "watch_checks",
                "Calls beside watches of the store, by kind of objects and outcome.",
                &["kind", "outcome"],
            ),
            registry: metrics.registry,
        }
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        tamaracksail_process::metrics::render(&self.registry)
    }

    /// Counts a text or stream that was begun by a server with the software version `began_at` and
    /// continues at one with `software`.
    pub fn record_continuation(&self, began_at: Option<&str>, software: &str) {
        let label = match began_at {
            Some(began_at) if began_at == software => "same",
            Some(_) => "other",
            None => "unknown",
        };
        self.continuations.with_label_values(&[label]).inc();
    }

    /// Counts a request of a client account that got a slot or was refused.
    pub fn record_admission(&self, outcome: &str) {
        self.admissions.with_label_values(&[outcome]).inc();
    }

    /// Counts a response to a client and records its latency.
    pub fn record_response(&self, kind: &str, status: u16, latency: Duration) {
        self.responses
            .with_label_values(&[kind, &status.to_string()])
            .inc();
        self.latency.observe(latency.as_secs_f64());
    }
}
