//! The watch of the routes.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::store::Object;
use tamaracksail_adapter::{manifest, names};
use tamaracksail_model::route::{Kind, Route};

use crate::gateway::Gateway;
use crate::store::{self, Event};
use crate::streams;

/// Watches the routes and puts new versions into force.
pub async fn watch(gateway: Rc<Gateway>) {
    let client = gateway.store.clone();
    store::watch_kind(
        client,
        gateway.store_availability.clone(),
        names::ROUTES_KIND,
        Duration::ZERO,
        |event| match event {
            Event::All(objects) => objects.iter().for_each(|object| apply(&gateway, object)),
            Event::Changed(object) => apply(&gateway, object),
            // Without newer routes, those in force stay.
            Event::Removed(_) | Event::StoreFailed => {}
        },
    )
    .await;
}

/// Puts the routes of an object into force if they are valid and newer.
fn apply(gateway: &Rc<Gateway>, object: &Object) {
    if object.name != names::ROUTES_NAME {
        return;
    }
    let table = match manifest::parse(object.spec_text()) {
        Ok(table) => table,
        Err(error) => {
            log::error!(revision = object.revision, error:%; "routes rejected");
            return;
        }
    };
    let in_force = gateway.table.borrow().as_ref().map(|table| table.version);
    let version = table.version;
    if in_force.is_some_and(|in_force| in_force >= version) {
        log::debug!(version, in_force; "routes not newer, ignored");
        return;
    }
    let is_resumable = |route: &Route| route.kind == Kind::Stream && route.is_resumable;
    if table.routes().any(is_resumable) {
        streams::join(gateway);
    }
    *gateway.table.borrow_mut() = Some(Rc::new(table));
    gateway
        .metrics
        .routes_version
        .set(i64::try_from(version).unwrap_or(i64::MAX));
    log::info!(version, before = in_force, revision = object.revision; "routes in force");
    gateway.coordinator.reroute(gateway);
}
