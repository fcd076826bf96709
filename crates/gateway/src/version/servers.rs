//! The watch of backend servers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::backend::ResponseHead;
use tamaracksail_adapter::store::Object;
use tamaracksail_adapter::{discovery, names};
use tamaracksail_model::backend::{Registration, State};
use tamaracksail_policy::limit::Observation;

use crate::batches;
use crate::gateway::{Gateway, now};
use crate::store::{self, Event};
use crate::streams;

/// How long a registration that disappeared in an outage of the store is still used. Running
/// servers register again within about two seconds after the outage.
const REMOVAL_GRACE: Duration = Duration::from_millis(2200);

/// How long after a failed call the store counts as recovering. A registration removed in that time
/// may have expired only because its server could not renew it.
const STORE_RECOVERY_TIME: Duration = Duration::from_secs(3);

/// The share of the drain window of servers for which changes are coalesced. Loading of weights
/// changes registrations all the time, and each watch is charged. The rest of the window is for the
/// watch itself and for requests in flight.
const DEBOUNCE_SHARE: f64 = 0.5;

/// Watches the registrations of backend servers and keeps the fleet up to date.
pub async fn watch(gateway: Rc<Gateway>) {
    let client = gateway.store.clone();
    let debounce = gateway
        .settings
        .borrow()
        .drain_window
        .mul_f64(DEBOUNCE_SHARE);
    // When a call to the store last failed.
    let failed_at = Cell::new(None);
    let pending_removals: Rc<RefCell<BTreeSet<String>>> = Rc::default();
    store::watch_kind(
        client,
        gateway.store_availability.clone(),
        names::SERVER_KIND,
        debounce,
        |event| match event {
            Event::All(objects) => {
                let mut listed = BTreeSet::new();
                for object in objects {
                    listed.insert(object.name.clone());
                    pending_removals.borrow_mut().remove(&object.name);
                    apply(&gateway, object);
                }
                let known: Vec<String> = gateway.fleet.borrow().instances().cloned().collect();
                for instance in known.into_iter().filter(|known| !listed.contains(known)) {
                    remove_later(&gateway, &pending_removals, instance, REMOVAL_GRACE);
                }
                gateway.has_server_list.set(true);
                gateway.streams.record_list();
            }
            Event::Changed(object) => {
                pending_removals.borrow_mut().remove(&object.name);
                apply(&gateway, object);
            }
            Event::Removed(object) => {
                let at = now();
                let is_recovering = failed_at.get().is_some_and(|failed_at| {
                    at.since(failed_at) < STORE_RECOVERY_TIME + REMOVAL_GRACE
                });
                if is_recovering {
                    remove_later(
                        &gateway,
                        &pending_removals,
                        object.name.clone(),
                        REMOVAL_GRACE,
                    );
                } else {
                    remove(&gateway, &object.name);
                }
            }
            Event::Answered(_) => {}
            Event::StoreFailed => failed_at.set(Some(now())),
        },
    )
    .await;
}

/// Removes a server after `grace`, unless it registers again meanwhile.
fn remove_later(
    gateway: &Rc<Gateway>,
    pending_removals: &Rc<RefCell<BTreeSet<String>>>,
    instance: String,
    grace: Duration,
) {
    if !pending_removals.borrow_mut().insert(instance.clone()) {
        return;
    }
    log::info!(server = instance.as_str(), grace_ms = grace.as_millis(); "server registration expired");
    let gateway = Rc::clone(gateway);
    let pending_removals = Rc::clone(pending_removals);
    actix_rt::spawn(async move {
        tokio::time::sleep(grace).await;
        if pending_removals.borrow_mut().remove(&instance) {
            remove(&gateway, &instance);
        }
    });
}

/// Updates the server of a registration; removes it if the registration is malformed.
fn apply(gateway: &Rc<Gateway>, object: &Object) {
    match discovery::parse(object) {
        Ok(registration) => {
            log::debug!(
                server = registration.instance.as_str(),
                service = registration.service.as_str(),
                is_ready = registration.state == State::Ready,
                revision = object.revision;
                "server registration"
            );
            let before = {
                let fleet = gateway.fleet.borrow();
                let other = |before: &&Registration| {
                    before.software != registration.software
                        || before.service != registration.service
                };
                fleet
                    .registered(&registration.instance)
                    .filter(other)
                    .cloned()
            };
            if let Some(before) = before {
                streams::record_server(gateway, &before);
            }
            streams::record_server(gateway, &registration);
            let registration = gateway.fleet.borrow_mut().register(registration);
            gateway.coordinator.update_engine(registration);
        }
        Err(error) => {
            log::warn!(server = object.name.as_str(), error:%; "malformed server registration, server removed");
            remove(gateway, &object.name);
        }
    }
}

/// What a response was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A request of a client, or an item.
    Request,
    /// A load command, or a request for a report.
    Control,
}

/// Sends nothing more to a server if the head of one of its responses states that it is leaving, and
/// records its request limit.
pub fn observe_response(
    gateway: &Gateway,
    server: &Registration,
    response: &ResponseHead,
    source: Source,
) {
    observe_limit(gateway, server, response, source);
    let is_leaving = response.state == State::Draining;
    if is_leaving && gateway.fleet.borrow_mut().record_departure(server) {
        log::info!(server = server.instance.as_str(); "server is leaving");
        gateway.coordinator.drain_engine(server);
    }
}

/// Records the request limit that a response states. A limit has ended only if a complete response to
/// a request states none: servers may leave it out of responses to control calls and of errors.
fn observe_limit(
    gateway: &Gateway,
    server: &Registration,
    response: &ResponseHead,
    source: Source,
) {
    let limit = match &response.limit {
        Ok(limit) => *limit,
        Err(error) => {
            log::warn!(server = server.instance.as_str(), error:%; "request limit ignored");
            return;
        }
    };
    let is_ended = source == Source::Request && response.is_attested && response.matches_request;
    if limit.is_none() && !is_ended {
        return;
    }
    let mut fleet = gateway.fleet.borrow_mut();
    let Some(key) = fleet.key_of(&server.instance, server.started_at_ms) else {
        return;
    };
    let at = now();
    let observation = Observation { limit, at };
    if !fleet.limiter_mut().observe(at, key, observation) {
        return;
    }
    drop(fleet);
    gateway.limits.record_change();
    if limit.is_some() && batches::known_holder(gateway).is_none() {
        // Requests will need a process that grants permits.
        batches::request_lease(gateway);
    }
    let server = server.instance.as_str();
    match limit {
        Some(limit) => {
            log::info!(server, per_second = limit.per_second(); "server states a request limit");
        }
        None => log::info!(server; "server states no request limit any more"),
    }
}

/// Removes a server and closes its idle connections.
fn remove(gateway: &Rc<Gateway>, instance: &str) {
    let Some(registration) = gateway.fleet.borrow_mut().remove(instance) else {
        return;
    };
    streams::record_server(gateway, &registration);
    log::info!(server = instance, service = registration.service.as_str(); "server removed");
    gateway.http.close_idle(registration.address);
    gateway.coordinator.remove_engine(instance);
}
