//! Log lines and counters for items that wait for an engine.

use tamaracksail_model::batch::Item;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::batch::{Requirement, Wait};

use crate::metrics::Metrics;

/// Logs which items wait, what they require, and what the engines offer.
pub(super) fn log_wait(metrics: &Metrics, now: Instant, wait: &Wait) {
    metrics.item_waits.with_label_values(&[wait.needs]).inc();
    let required = &wait.requirement;
    log::info!(
        service = required.service.as_str(), model = required.model.as_deref(),
        min_version = required.min_version, version = required.version,
        software = required.software.as_deref(), items = wait.items,
        waited_ms = now.since(wait.since).as_millis(), announced = wait.announced,
        engines = wait.engines, free_slots = wait.free_slots, outdated = wait.outdated,
        needs = wait.needs;
        "items wait"
    );
}

/// Logs that the text of an item is discarded, since no engine could continue it.
pub(super) fn log_discard(metrics: &Metrics, item: &Item, required: &Requirement, events: u64) {
    metrics.texts_discarded.inc();
    log::info!(
        item = item.id.as_str(), service = required.service.as_str(),
        model = required.model.as_deref(), min_version = required.min_version,
        version = required.version, software = required.software.as_deref(), events;
        "text discarded"
    );
}
