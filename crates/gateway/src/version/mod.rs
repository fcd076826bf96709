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
    actix_rt::spawn(
        gateway
            .store_availability
            .clone()
            .run_probes(gateway.store.clone()),
    );
    actix_rt::spawn(routes::watch(Rc::clone(gateway)));
    actix_rt::spawn(servers::watch(Rc::clone(gateway)));
    actix_rt::spawn(retirements::watch(Rc::clone(gateway)));
}
