//! Watches of what changes while the process runs: routes, backend servers and requests to retire
//! a host.

mod confirmation;
mod retirements;
mod routes;
mod servers;

pub use confirmation::{identify, send};
pub use routes::for_peer as routes_for_peer;
pub use servers::{Source, observe_response};

use std::rc::Rc;

use crate::gateway::Gateway;

/// Starts the probes of the store and all watches.
pub fn watch_all(gateway: &Rc<Gateway>) {
    actix_rt::spawn(probe_store(Rc::clone(gateway)));
    actix_rt::spawn(routes::watch(Rc::clone(gateway)));
    actix_rt::spawn(routes::read_awaited(Rc::clone(gateway)));
    actix_rt::spawn(servers::watch(Rc::clone(gateway)));
    actix_rt::spawn(retirements::watch(Rc::clone(gateway)));
}

/// Probes the store, and samples the time of day with each probe.
async fn probe_store(gateway: Rc<Gateway>) {
    let availability = gateway.store_availability.clone();
    let sample = || {
        if let Some(time) = gateway.clock.estimate() {
            let error_ms = i64::try_from(time.error_ms).unwrap_or(i64::MAX);
            gateway.metrics.clock_error_ms.set(error_ms);
        }
    };
    availability.run_probes(gateway.store.clone(), sample).await;
}
