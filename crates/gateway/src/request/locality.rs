//! Reviews which share of requests leaves the failure domain, and counts what left.

use std::cell::RefCell;
use std::time::Duration;

use tamaracksail_model::backend::Registration;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::{Fleet, ServerKey};

use crate::metrics::Metrics;

/// Reviews the share of a service's requests if that is due, and logs its change.
pub fn review(now: Instant, fleet: &RefCell<Fleet>, service: &str) {
    let Some(change) = fleet.borrow_mut().review_locality(now, service) else {
        return;
    };
    let millis = |age: Duration| age.as_millis();
    let here = change.facts.here.as_ref();
    log::info!(
        service, from = change.from, to = change.to, cost_here_s:? = change.cost_here,
        cost_there_s:? = change.cost_there, bytes = change.facts.bytes,
        utilization_here:? = here.map(|here| here.utilization),
        age_here_ms:? = here.and_then(|here| here.age).map(millis),
        others:? = change.facts.others;
        "share of requests that leave the failure domain changed"
    );
}

/// Counts a request at a server if it left. `domain` is the own failure domain, if shares of requests
/// leave it.
pub fn count(metrics: &Metrics, domain: Option<&str>, server: &Registration) {
    if domain.is_some_and(|domain| domain != server.domain) {
        let left = &metrics.requests_left;
        left.with_label_values(&[server.service.as_str()]).inc();
    }
}

/// Records the bytes of a request and its response, and counts them if they left.
pub fn record_bytes(fleet: &RefCell<Fleet>, metrics: &Metrics, key: ServerKey, bytes: usize) {
    let mut fleet = fleet.borrow_mut();
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    if let Some(left) = fleet.record_bytes(key, bytes)
        && let Some(server) = fleet.registration(key)
    {
        let counter = &metrics.bytes_left;
        let counter = counter.with_label_values(&[server.service.as_str()]);
        counter.inc_by(left);
    }
}
