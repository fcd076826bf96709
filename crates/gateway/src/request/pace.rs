//! Passes the pace that servers state on to the fleet, and logs what it changes.

use std::cell::RefCell;

use tamaracksail_adapter::backend::ResponseHead;
use tamaracksail_model::backend::Registration;
use tamaracksail_model::pace::Reading;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::{Fleet, Query, ServerKey};

/// Returns the pace that a response states. Logs a figure that is not usable.
pub fn reading(server: &Registration, response: &ResponseHead) -> Option<Reading> {
    response.pace.clone().unwrap_or_else(|error| {
        log::warn!(server = server.instance.as_str(), error:%; "pace ignored");
        None
    })
}

/// Records the pace that a response states in the fleet.
pub fn record(now: Instant, fleet: &RefCell<Fleet>, key: ServerKey, response: &ResponseHead) {
    let mut fleet = fleet.borrow_mut();
    let Some(server) = fleet.registration(key) else {
        return;
    };
    let Some(reading) = reading(server, response) else {
        return;
    };
    let instance = server.instance.clone();
    if let Some(trust) = fleet.record_pace(now, key, reading) {
        log::info!(
            server = instance, is_used = trust.is_trusted, pace = trust.reading,
            ratio_to_peers = trust.ratio, age_ms = 0;
            "use of a server's pace changed"
        );
    }
}

/// Whether a second attempt at a request pays now. Logs it if not.
pub fn hedge_pays(
    now: Instant,
    fleet: &Fleet,
    request: &str,
    key: ServerKey,
    query: Query,
    is_overdue: bool,
) -> bool {
    let pays = fleet.hedge_pays(now, key, query, is_overdue);
    if let (false, Some(pace)) = (pays, fleet.pace(key)) {
        log::debug!(
            request, is_overdue, pace = pace.momentary(now), lasting = pace.lasting(),
            age_ms = pace.age(now).map_or(0, |age| age.as_millis());
            "no second attempt, no server is fast and free enough"
        );
    }
    pays
}
