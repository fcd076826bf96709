//! Backend servers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::store::Object;
use tamaracksail_adapter::{discovery, names};
use tamaracksail_model::backend::State;

use crate::gateway::{Gateway, now};
use crate::store::{self, Event};

/// How long after the store's return a lapsed entry is still believed. Living servers are back
/// within about two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);

/// How long the store counts as disturbed after a call failed.
const DISTURBED: Duration = Duration::from_secs(3);

/// The share of the time for which requests may still reach a server that leaves, in which
/// changes gather: loads of weights change entries all the time, and each watch is paid for. The
/// rest is for the watch itself and for requests on their way.
const GATHER_SHARE: f64 = 0.5;

/// Follows the entries of backend servers.
pub async fn watch(gateway: Rc<Gateway>) {
    let client = gateway.store.clone();
    let debounce = gateway.settings.borrow().drain_window.mul_f64(GATHER_SHARE);
    // When the store was last known to be away.
    let lost = Cell::new(None);
    let lapsed: Rc<RefCell<BTreeSet<String>>> = Rc::default();
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
                    lapsed.borrow_mut().remove(&object.name);
                    apply(&gateway, object);
                }
                let known: Vec<String> = gateway.fleet.borrow().instances().cloned().collect();
                for instance in known.into_iter().filter(|known| !listed.contains(known)) {
                    drop_later(&gateway, &lapsed, instance, LAPSE_GRACE);
                }
                gateway.has_server_list.set(true);
            }
            Event::Changed(object) => {
                lapsed.borrow_mut().remove(&object.name);
                apply(&gateway, object);
            }
            Event::Removed(object) => {
                let at = now();
                let is_disturbed = lost
                    .get()
                    .is_some_and(|lost| at.since(lost) < DISTURBED + LAPSE_GRACE);
                if is_disturbed {
                    drop_later(&gateway, &lapsed, object.name.clone(), LAPSE_GRACE);
                } else {
                    remove(&gateway, &object.name);
                }
            }
            Event::Lost => lost.set(Some(now())),
        },
    )
    .await;
}

fn drop_later(
    gateway: &Rc<Gateway>,
    lapsed: &Rc<RefCell<BTreeSet<String>>>,
    instance: String,
    grace: Duration,
) {
    if !lapsed.borrow_mut().insert(instance.clone()) {
        return;
    }
    log::info!(server = instance.as_str(), grace_ms = grace.as_millis(); "server registration lapsed");
    let gateway = Rc::clone(gateway);
    let lapsed = Rc::clone(lapsed);
    actix_rt::spawn(async move {
        tokio::time::sleep(grace).await;
        if lapsed.borrow_mut().remove(&instance) {
            remove(&gateway, &instance);
        }
    });
}

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
            gateway.coordinator.update_engine(registration.clone());
            gateway.fleet.borrow_mut().register(registration);
        }
        Err(error) => {
            log::warn!(server = object.name.as_str(), error:%; "server registration passed over");
            remove(gateway, &object.name);
        }
    }
}

fn remove(gateway: &Rc<Gateway>, instance: &str) {
    let Some(registration) = gateway.fleet.borrow_mut().remove(instance) else {
        return;
    };
    log::info!(server = instance, service = registration.service.as_str(); "server gone");
    gateway.http.forget(registration.address);
    gateway.coordinator.remove_engine(instance);
}
