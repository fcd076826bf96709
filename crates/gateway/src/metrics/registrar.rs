//! Creates metrics and registers them.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, core::Collector,
};

use super::LATENCY_BUCKETS_S;

/// Creates metrics in one registry. Names and labels are literals, used once each.
#[derive(Debug, Default)]
pub(super) struct Registrar {
    pub(super) registry: Registry,
}

impl Registrar {
    /// Creates a counter with labels.
    pub(super) fn counters(&self, text: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let counters = IntCounterVec::new(Opts::new(name(text), help), labels);
        self.register(counters.expect("the name and labels are literals"))
    }

    /// Creates a counter.
    pub(super) fn counter(&self, text: &str, help: &str) -> IntCounter {
        let counter = IntCounter::new(name(text), help);
        self.register(counter.expect("the name is a literal"))
    }

    /// Creates a histogram of durations in seconds.
    pub(super) fn histogram(&self, text: &str, help: &str) -> Histogram {
        let options = HistogramOpts::new(name(text), help).buckets(LATENCY_BUCKETS_S.to_vec());
        self.register(Histogram::with_opts(options).expect("the name is a literal"))
    }

    /// Creates a gauge.
    pub(super) fn gauge(&self, text: &str, help: &str) -> IntGauge {
        let gauge = IntGauge::new(name(text), help);
        self.register(gauge.expect("the name is a literal"))
    }

    fn register<T: Collector + Clone + 'static>(&self, metric: T) -> T {
        self.registry
            .register(Box::new(metric.clone()))
            .expect("it is registered once");
        metric
    }
}

fn name(text: &str) -> String {
    format!("tamaracksail_gateway_{text}")
}
