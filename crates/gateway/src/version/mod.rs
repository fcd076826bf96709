//! What changes while the process lives: routes, backend servers, requests to empty a host.

mod retirements;
mod routes;
mod servers;

use std::rc::Rc;

use crate::gateway::Gateway;

/// Starts following all of it.
pub fn follow(gateway: &Rc<Gateway>) {
    actix_rt::spawn(gateway.pulse.clone().beat(gateway.store.clone()));
    actix_rt::spawn(routes::follow(Rc::clone(gateway)));
    actix_rt::spawn(servers::follow(Rc::clone(gateway)));
    actix_rt::spawn(retirements::follow(Rc::clone(gateway)));
}
