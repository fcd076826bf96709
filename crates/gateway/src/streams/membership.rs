//! The other gateways, as they register in the platform's store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::store::Object;
use tamaracksail_model::plain;
use tamaracksail_policy::freshness::Fact;

use super::software;
use crate::batches::has_spare_cpu;
use crate::gateway::Gateway;
use crate::store::{self, Event, Watched};

/// The kind of these objects. Each has the name of the gateway's host.
const KIND: &str = "gateways";

/// The pause before a failed registration is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The pause after a change, so that changes in quick succession cost one call.
const WATCH_DEBOUNCE: Duration = Duration::from_millis(500);

plain! {
    /// The record of a gateway.
    struct Record {
        /// The address at which it accepts requests of its peers.
        address: SocketAddr,
        /// Whether its host has CPU time to spare. Stated only where gateways have duties.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        has_spare_cpu: Option<bool>,
    }
}

/// Registers this gateway and starts to watch the others, once for the process.
pub fn join(gateway: &Rc<Gateway>) {
    // The routes may have further services with resumable streams.
    gateway.streams.software.check();
    if gateway.streams.has_joined.replace(true) {
        return;
    }
    software::start(gateway);
    actix_rt::spawn(register(Rc::clone(gateway)));
    actix_rt::spawn(watch(Rc::clone(gateway)));
}

async fn register(gateway: Rc<Gateway>) {
    let host = gateway.settings.borrow().host.clone();
    let record = Record {
        address: gateway.peer_address(),
        has_spare_cpu: gateway.usage.as_ref().map(|_| has_spare_cpu(&gateway)),
    };
    while let Err(error) = gateway.store.put(KIND, &host, &record).await {
        log::warn!(error:%; "gateway not registered");
        gateway.store_availability.pause(RETRY_DELAY).await;
    }
    log::info!(address:% = record.address; "gateway registered");
}

async fn watch(gateway: Rc<Gateway>) {
    let members = &gateway.streams.members;
    store::watch_kind(
        gateway.store.clone(),
        gateway.store_availability.clone(),
        Watched {
            kind: KIND,
            fact: Fact::Gateways,
            debounce: WATCH_DEBOUNCE,
        },
        |event| match event {
            Event::All(objects) => {
                let hosts: Vec<&str> = objects.iter().map(|object| &*object.name).collect();
                members.borrow_mut().retain(&hosts);
                for object in objects {
                    add(&gateway, object);
                }
            }
            Event::Changed(object) => add(&gateway, object),
            Event::Removed(object) => members.borrow_mut().remove(&object.name),
            Event::Answered(_) | Event::WatchLost | Event::StoreFailed | Event::Overdue => {}
        },
    )
    .await;
}

fn add(gateway: &Gateway, object: &Object) {
    let host = object.name.as_str();
    if host == gateway.settings.borrow().host {
        return;
    }
    let mut members = gateway.streams.members.borrow_mut();
    match object.spec::<Record>() {
        Ok(record) => {
            members.register(host, record.address, object.revision);
            members.set_spare_cpu(host, record.has_spare_cpu.unwrap_or(false));
        }
        Err(error) => {
            log::warn!(host, error:%; "malformed record of a gateway ignored");
            members.remove(host);
        }
    }
}

/// Records that a gateway did not respond, and removes its record if it has not for long.
pub(super) fn record_failure(gateway: &Rc<Gateway>, address: SocketAddr) {
    let mut members = gateway.streams.members.borrow_mut();
    let Some((host, revision)) = members.record_failure(crate::gateway::now(), address) else {
        return;
    };
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        match gateway.store.remove_at(KIND, &host, revision).await {
            Ok(()) => log::info!(host, revision; "record of a lost gateway removed"),
            Err(error) => {
                log::info!(host, revision, error:%; "record of a lost gateway not removed");
            }
        }
    });
}
