//! Metrics in Prometheus's format.

use prometheus::{Encoder, Registry, TextEncoder};

/// Returns the metrics of the registry in Prometheus's text format.
#[must_use]
pub fn render(registry: &Registry) -> String {
    let mut text = Vec::new();
    // Encoding into memory fails only for a malformed metric, which can't be registered.
    drop(TextEncoder::new().encode(&registry.gather(), &mut text));
    String::from_utf8_lossy(&text).into_owned()
}
