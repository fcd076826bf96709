//! Metrics for Prometheus.

use prometheus::{Encoder, Registry, TextEncoder};

/// The registry in Prometheus's text form.
#[must_use]
pub fn render(registry: &Registry) -> String {
    let mut text = Vec::new();
    // Writing to memory fails only for a malformed metric, which registration refuses.
    drop(TextEncoder::new().encode(&registry.gather(), &mut text));
    String::from_utf8_lossy(&text).into_owned()
}
