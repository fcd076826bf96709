//! The watch of the routes, and the answers to gateways that the store does not serve.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::store::Object;
use tamaracksail_adapter::{manifest, names};
use tamaracksail_model::route::{Kind, Route};
use tamaracksail_model::table::Table;
use tamaracksail_policy::freshness::Fact;
use tamaracksail_policy::relay::{ANSWER_TIMEOUT, Source};
use tamaracksail_wire::peer::Response as PeerResponse;

use crate::configuration::{self, Links};
use crate::gateway::{Gateway, now};
use crate::peer;
use crate::store::{self, Event, Watched};
use crate::streams;

/// The pause before routes that another gateway already has are read again, after a read that did not
/// bring them. It doubles with each read up to [`MAX_READ_PAUSE`].
const MIN_READ_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause between two such reads.
const MAX_READ_PAUSE: Duration = Duration::from_secs(3);

/// Reads the routes whenever a task waits for a newer version than the one in force. Another gateway
/// has that version, so the watch is late or does not get an answer. Never returns.
pub async fn read_awaited(gateway: Rc<Gateway>) {
    let configuration = &gateway.configuration;
    let mut pause = MIN_READ_PAUSE;
    loop {
        let version = configuration.requested().await;
        let read = gateway
            .store
            .get(names::ROUTES_KIND, names::ROUTES_NAME)
            .await;
        match read {
            Ok(object) => apply(&gateway, &object),
            Err(error) => log::warn!(awaited = version, error:%; "awaited routes not read"),
        }
        if configuration.has(version) {
            pause = MIN_READ_PAUSE;
            continue;
        }
        let in_force = configuration.version();
        log::info!(awaited = version, in_force, pause_ms = pause.as_millis(); "awaited routes not in force yet");
        gateway.store_availability.pause(pause).await;
        pause = (pause * 2).min(MAX_READ_PAUSE);
    }
}

/// Watches the routes and puts new versions into force.
pub async fn watch(gateway: Rc<Gateway>) {
    let client = gateway.store.clone();
    let configuration = &gateway.configuration;
    let watched = Watched {
        kind: names::ROUTES_KIND,
        fact: Fact::Routes,
        debounce: Duration::ZERO,
    };
    store::watch_kind(
        client,
        gateway.store_availability.clone(),
        watched,
        |event| match event {
            Event::All(objects) => objects.iter().for_each(|object| apply(&gateway, object)),
            Event::Changed(object) => apply(&gateway, object),
            Event::Answered(known_at) => configuration.record_read(known_at),
            // Without newer routes, those in force stay.
            Event::Removed(_) => {}
            Event::WatchLost | Event::StoreFailed | Event::Overdue => {
                configuration.record_read_failure();
            }
        },
    )
    .await;
}

/// Puts the routes of an object into force if they are valid and newer.
fn apply(gateway: &Rc<Gateway>, object: &Object) {
    if object.name != names::ROUTES_NAME {
        return;
    }
    let (revision, text) = (object.revision, object.spec_text());
    let table = match manifest::parse(text) {
        Ok(table) => table,
        Err(error) => {
            log::error!(revision, error:%; "routes rejected");
            return;
        }
    };
    if !put_into_force(gateway, Source::Store, table, revision) {
        return;
    }
    if gateway.configuration.is_relayed() {
        match manifest::seal(text) {
            Ok(sealed) => gateway.configuration.keep(revision, sealed),
            Err(error) => log::error!(revision, error:%; "routes not kept for other gateways"),
        }
    }
}

/// Puts the routes that another gateway sent into force if they are valid and newer.
fn apply_from_peer(gateway: &Rc<Gateway>, revision: u64, sealed: String) {
    match manifest::parse_sealed(&sealed) {
        Ok(table) => {
            if put_into_force(gateway, Source::Peer, table, revision) {
                gateway.configuration.keep(revision, sealed);
            }
        }
        Err(error) => log::error!(revision, error:%; "routes of another gateway rejected"),
    }
}

/// Puts routes into force if they are newer. Returns whether they were.
fn put_into_force(gateway: &Rc<Gateway>, source: Source, table: Table, revision: u64) -> bool {
    let version = table.version;
    let before = gateway.configuration.version();
    if !gateway.configuration.adopt(source, version) {
        log::debug!(version, in_force = before; "routes not newer, ignored");
        return false;
    }
    let is_resumable = |route: &Route| route.kind == Kind::Stream && route.is_resumable;
    if table.accounts.is_some() || table.routes().any(is_resumable) {
        streams::join(gateway);
    }
    let accounts = table.accounts.as_ref().map(|list| list.names().count());
    *gateway.table.borrow_mut() = Some(Rc::new(table));
    gateway
        .metrics
        .routes_version
        .set(i64::try_from(version).unwrap_or(i64::MAX));
    let source = match source {
        Source::Store => "store",
        Source::Peer => "peer",
    };
    log::info!(version, before, revision, source, accounts; "routes in force");
    gateway.configuration.notify_changed();
    gateway.coordinator.reroute(gateway);
    if accounts.is_some() && gateway.configuration.start_relay() {
        actix_rt::spawn(relay(Rc::clone(gateway)));
    }
    true
}

/// Asks other gateways for newer routes while the store does not answer. Never returns.
async fn relay(gateway: Rc<Gateway>) {
    let (peers, call, apply) = (
        Rc::clone(&gateway),
        Rc::clone(&gateway),
        Rc::clone(&gateway),
    );
    let links = Links {
        availability: gateway.store_availability.clone(),
        bound: gateway.settings.borrow().configuration_bound,
        peers: move || peers.streams.peers(),
        call: move |peer, request| {
            let gateway = Rc::clone(&call);
            async move { peer::call(&gateway, peer, &request, ANSWER_TIMEOUT).await }
        },
        apply: move |revision, text| apply_from_peer(&apply, revision, text),
    };
    configuration::run(&gateway.configuration, &gateway.metrics, &links).await;
}

/// Answers a gateway that asks for routes newer than `version`.
pub fn for_peer(gateway: &Gateway, version: u64) -> PeerResponse {
    gateway.configuration.answer(now(), version)
}
