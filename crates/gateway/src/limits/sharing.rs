//! The exchange of limits between gateways: each tells the lease holder what it observed, which
//! publishes it in the platform's store.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::store::Object;
use tamaracksail_policy::fleet::ServerKey;
use tamaracksail_policy::freshness::Fact;
use tamaracksail_policy::limit::Authority;
use tamaracksail_wire::peer::{Request as PeerRequest, ServerLimit};

use super::acquisition::{call_holder, describe, observe};
use super::authority::refresh;
use super::publication::{KIND, NAME, Publication};
use crate::batches;
use crate::gateway::{Gateway, now};
use crate::store::{self, Event, Watched};

/// The time over which changes are collected, and the time between two writes.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);

/// The time limit on a write or a message to the lease holder.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The pause after a change, so that changes in quick succession cost one call.
const WATCH_DEBOUNCE: Duration = Duration::from_millis(200);

/// Starts to share the limits that this process observes, and to read those of others.
pub fn share(gateway: &Rc<Gateway>) {
    actix_rt::spawn(share_changes(Rc::clone(gateway)));
    actix_rt::spawn(watch(Rc::clone(gateway)));
}

async fn share_changes(gateway: Rc<Gateway>) {
    loop {
        gateway.limits.changed.notified().await;
        tokio::time::sleep(SHARE_INTERVAL).await;
        refresh(&gateway);
        let authority = gateway.fleet.borrow().limiter().authority();
        match authority {
            Authority::Own { .. } => publish(&gateway).await,
            Authority::Peer => tell_holder(&gateway).await,
            // Requests for permits tell the limits as well, once a process that grants them is
            // reachable.
            Authority::Unreachable { .. } => {}
        }
    }
}

async fn publish(gateway: &Rc<Gateway>) {
    let servers: Vec<ServerKey> = gateway.fleet.borrow().limiter().observed().collect();
    let Some(written_at) = gateway.clock.estimate() else {
        log::warn!("request limits not published, the time is not known");
        gateway.store_availability.pause(SHARE_INTERVAL).await;
        return gateway.limits.record_change();
    };
    let publication = Publication::new(written_at, describe(gateway, now(), &servers));
    let write = gateway.store.put(KIND, NAME, &publication);
    let error = match tokio::time::timeout(TIMEOUT, write).await {
        Ok(Ok(object)) => {
            log::info!(servers = servers.len(), revision = object.revision; "request limits published");
            return;
        }
        Ok(Err(error)) => error.to_string(),
        Err(elapsed) => elapsed.to_string(),
    };
    log::warn!(servers = servers.len(), error = error.as_str(); "request limits not published");
    gateway.store_availability.pause(SHARE_INTERVAL).await;
    gateway.limits.record_change();
}

async fn tell_holder(gateway: &Rc<Gateway>) {
    let servers: Vec<ServerKey> = gateway.fleet.borrow().limiter().observed().collect();
    if servers.is_empty() {
        return;
    }
    let request = PeerRequest::Permits {
        sender: gateway.peer_address(),
        servers: describe(gateway, now(), &servers),
        count: 0,
        max_wait_ms: 0,
    };
    let holder = batches::find_holder(gateway).await;
    if call_holder(gateway, holder, &request, TIMEOUT)
        .await
        .is_none()
    {
        log::info!(servers = servers.len(); "lease holder not told of request limits");
    }
}

/// Reads what is published, and what is published from then on.
async fn watch(gateway: Rc<Gateway>) {
    store::watch_kind(
        gateway.store.clone(),
        gateway.store_availability.clone(),
        Watched {
            kind: KIND,
            fact: Fact::Limits,
            debounce: WATCH_DEBOUNCE,
        },
        |event| match event {
            Event::All(objects) => objects
                .iter()
                .for_each(|object| merge(&gateway, object, Written::Before)),
            Event::Changed(object) => merge(&gateway, object, Written::JustNow),
            Event::Removed(_)
            | Event::Answered(_)
            | Event::WatchLost
            | Event::StoreFailed
            | Event::Overdue => {}
        },
    )
    .await;
}

/// When an object that was read was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    /// Before this process began to watch it.
    Before,
    /// While this process watched it.
    JustNow,
}

fn merge(gateway: &Rc<Gateway>, object: &Object, written: Written) {
    let publication: Publication = match object.spec() {
        Ok(publication) => publication,
        Err(error) => {
            log::warn!(object = object.name.as_str(), error:%; "published request limits are malformed");
            return;
        }
    };
    for (limit, uncertainty) in publication.servers(gateway.clock.estimate()) {
        if written == Written::Before && is_known_later(gateway, &limit, uncertainty) {
            continue;
        }
        if let (Some(_), true) = observe(gateway, &limit) {
            gateway.limits.forget_refusals();
            log::info!(
                server = limit.instance.as_str(), per_second = limit.limit.map(f64::from);
                "request limit read"
            );
        }
    }
}

/// Whether what this process knows of a server may be newer than a published limit, which may be
/// older than it states by `uncertainty`.
fn is_known_later(gateway: &Gateway, limit: &ServerLimit, uncertainty: Duration) -> bool {
    let fleet = gateway.fleet.borrow();
    let key = fleet.key_of(&limit.instance, limit.started_at_ms);
    let Some(known) = key.and_then(|key| fleet.limiter().observation(key)) else {
        return false;
    };
    now().since(known.at) < limit.age_ms.saturating_add(uncertainty)
}
