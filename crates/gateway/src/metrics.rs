//! Counters and latency histograms of the process.

use std::time::Duration;

use prometheus::{Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry};

/// Upper bounds of latencies, in seconds: from a store call to a whole training step.
const SECONDS: [f64; 14] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 24.0,
];

/// What the process counts.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Answers to clients, by route kind and status.
    pub responses: IntCounterVec,
    /// Seconds from a request's arrival to its answer.
    pub latency: Histogram,
    /// Sends to backend servers, by outcome.
    pub sends: IntCounterVec,
    /// Runs of items, by outcome.
    pub runs: IntCounterVec,
    /// Seconds of a run that finished its item.
    pub run_latency: Histogram,
    /// Batches, by what happened to them.
    pub batches: IntCounterVec,
    /// Results made durable, by how their item ended.
    pub results: IntCounterVec,
    /// Orders to engines, by outcome.
    pub load_commands: IntCounterVec,
    /// Whether this process schedules.
    pub scheduling: IntGauge,
    /// The version of the routes in force.
    pub routes_version: IntGauge,
}

impl Metrics {
    /// Registers everything.
    ///
    /// # Panics
    /// Never: names are literals and stand once each.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let name = |name: &str| format!("tamaracksail_gateway_{name}");
        let counter = |text: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name(text), help), labels)
                .expect("the name and labels are literals");
            registry
                .register(Box::new(counter.clone()))
                .expect("it is registered once");
            counter
        };
        let histogram = |text: &str, help: &str| {
            let options = HistogramOpts::new(name(text), help).buckets(SECONDS.to_vec());
            let histogram = Histogram::with_opts(options).expect("the name is a literal");
            registry
                .register(Box::new(histogram.clone()))
                .expect("it is registered once");
            histogram
        };
        let gauge = |text: &str, help: &str| {
            let gauge = IntGauge::new(name(text), help).expect("the name is a literal");
            registry
                .register(Box::new(gauge.clone()))
                .expect("it is registered once");
            gauge
        };
        Self {
            responses: counter("answers", "Answers to clients.", &["kind", "status"]),
            latency: histogram("latency_seconds", "From arrival to answer."),
            sends: counter("sends", "Sends to backend servers.", &["outcome"]),
            runs: counter("runs", "Runs of items.", &["outcome"]),
            run_latency: histogram("run_seconds", "Runs that finished their item."),
            batches: counter("batches", "Batches.", &["event"]),
            results: counter("results", "Durable results.", &["ending"]),
            load_commands: counter("orders", "Orders to engines.", &["outcome"]),
            scheduling: gauge("scheduling", "1 while this process schedules."),
            routes_version: gauge("routes_version", "The routes in force."),
            registry,
        }
    }

    /// The text that is served.
    #[must_use]
    pub fn render(&self) -> String {
        tamaracksail_process::metrics::render(&self.registry)
    }

    /// Counts an answer to a client.
    pub fn record_response(&self, kind: &str, status: u16, latency: Duration) {
        self.responses
            .with_label_values(&[kind, &status.to_string()])
            .inc();
        self.latency.observe(latency.as_secs_f64());
    }
}
