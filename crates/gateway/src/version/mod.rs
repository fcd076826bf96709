//! What changes while the process lives: routes, backend servers, requests to empty a host.

mod retirements;
mod routes;
mod servers;

use std::rc::Rc;

use crate::gateway::Gateway;

/// Starts watching all of them.
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
