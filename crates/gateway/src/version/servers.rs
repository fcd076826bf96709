//! The watch of backend servers.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use tamaracksail_adapter::backend::ResponseHead;
use tamaracksail_adapter::store::Object;
use tamaracksail_adapter::{discovery, names};
use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::expiry::{Expiry, Verdict};
use tamaracksail_policy::freshness::Fact;
use tamaracksail_policy::limit::Observation;
use tokio::sync::Notify;

use crate::batches;
use crate::gateway::{Gateway, now, sleep_until};
use crate::store::{self, Access, Availability, Event, Watched};
use crate::streams;

/// The share of the drain window of servers for which changes are coalesced. Loading of weights
/// changes registrations all the time, and each watch is charged. The rest of the window is for the
/// watch itself and for requests in flight.
const DEBOUNCE_SHARE: f64 = 0.5;

/// Watches the registrations of backend servers and keeps the fleet up to date.
pub async fn watch(gateway: Rc<Gateway>) {
    let client = gateway.store.clone();
    let availability = gateway.store_availability.clone();
    let debounce = gateway
        .settings
        .borrow()
        .drain_window
        .mul_f64(DEBOUNCE_SHARE);
    let departures = Departures::default();
    let watched = Watched {
        kind: names::SERVER_KIND,
        fact: Fact::Servers,
        debounce,
    };
    let watch = store::watch_kind(client, availability.clone(), watched, |event| {
        departures.observe(now(), &event, &availability);
        match event {
            Event::All(objects) => {
                let mut listed = BTreeSet::new();
                for object in objects {
                    listed.insert(&object.name);
                    departures.register(&object.name);
                    apply(&gateway, object);
                }
                let known: Vec<String> = gateway.fleet.borrow().instances().cloned().collect();
                for instance in known.iter().filter(|known| !listed.contains(known)) {
                    departures.remove(&gateway, instance);
                }
                gateway.has_server_list.set(true);
                gateway.streams.record_list();
            }
            Event::Changed(object) => {
                departures.register(&object.name);
                apply(&gateway, object);
            }
            Event::Removed(object) => departures.remove(&gateway, &object.name),
            Event::Answered(_) | Event::WatchLost | Event::StoreFailed | Event::Overdue => {}
        }
        departures.changed.notify_one();
    });
    tokio::join!(watch, departures.run(&gateway));
}

/// The servers whose registrations have disappeared.
#[derive(Debug, Default)]
struct Departures {
    expiry: RefCell<Expiry>,
    /// Wakes the task that removes servers.
    changed: Notify,
}

impl Departures {
    /// Records what an event of the watch and the probes tell of the store.
    fn observe(&self, now: Instant, event: &Event, availability: &Availability) {
        let mut expiry = self.expiry.borrow_mut();
        match event {
            Event::WatchLost | Event::Overdue => return,
            Event::StoreFailed => return expiry.record_failure(),
            _ => expiry.record_answer(now),
        }
        match availability.access(now) {
            Access::Undisturbed => {}
            Access::Unknown => expiry.record_failure(),
            Access::RecoveredAt(at) => expiry.record_recovery(at),
        }
    }

    fn register(&self, instance: &str) {
        self.expiry.borrow_mut().record_registration(instance);
    }

    /// Removes a server whose registration has disappeared, unless the store was away and it may
    /// register again.
    fn remove(&self, gateway: &Rc<Gateway>, instance: &str) {
        let at = now();
        match self.expiry.borrow_mut().record_removal(at, instance) {
            Verdict::Gone => remove(gateway, instance),
            Verdict::Kept(end) => {
                let left_ms = end.map(|end| end.since(at).as_millis());
                log::info!(server = instance, left_ms; "server registration expired");
            }
        }
    }

    /// Removes servers that have not registered again in time. Never returns.
    async fn run(&self, gateway: &Rc<Gateway>) {
        loop {
            let end = self.expiry.borrow().next_end();
            tokio::select! {
                () = self.changed.notified() => {}
                () = sleep_until(end) => {}
            }
            let gone = self.expiry.borrow_mut().take_gone(now());
            for instance in gone {
                log::info!(server = instance.as_str(); "server has not registered again");
                remove(gateway, &instance);
            }
        }
    }
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
