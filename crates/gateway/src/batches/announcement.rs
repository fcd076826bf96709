//! Announcements of accepted batches to the gateway that schedules. Its watch of manifests shows them too, but not
//! while its connections to the store are silent.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::store::Error;
use tamaracksail_wire::peer::{Request as PeerRequest, Response as PeerResponse};

use super::{schema, takeover};
use crate::gateway::Gateway;
use crate::peer;

/// How long the scheduling gateway may take to answer: several round trips.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// The number of times that a batch is announced. The connections to a peer may be silent too.
const MAX_ATTEMPTS: usize = 2;

/// How long the scheduling gateway waits for its watch. A change arrives within some round trips.
const WATCH_TIME: Duration = Duration::from_millis(150);

/// Announces a batch that this process has accepted, unless it schedules itself.
pub fn send(gateway: &Rc<Gateway>, id: &str) {
    if gateway.coordinator.term().is_some() {
        return;
    }
    let gateway = Rc::clone(gateway);
    let request = PeerRequest::Accepted {
        batch: id.to_owned(),
    };
    actix_rt::spawn(async move {
        for _ in 0..MAX_ATTEMPTS {
            let Some(holder) = gateway.coordinator.scheduler_address() else {
                return;
            };
            match peer::call(&gateway, holder, &request, ANSWER_TIMEOUT).await {
                Ok(_) => return,
                Err(error) => {
                    log::info!(error:%; "batch not announced");
                    gateway.http.close_idle(holder);
                }
            }
        }
    });
}

/// Reads a batch that another gateway has accepted, if this process schedules and its watch does not show the
/// batch.
pub fn receive(gateway: &Rc<Gateway>, id: String) -> PeerResponse {
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        tokio::time::sleep(WATCH_TIME).await;
        let coordinator = &gateway.coordinator;
        let is_known = !coordinator.batches.borrow().may_open(&id);
        if is_known || coordinator.term().is_none() || !coordinator.partial_texts.is_ready() {
            return;
        }
        log::info!(batch = id.as_str(); "announced batch not shown by the watch");
        gateway.store.close_idle();
        match gateway.store.get(schema::MANIFESTS, &id).await {
            Ok(object) => takeover::apply_announced(&gateway, &object),
            // It has been removed, or the watch will show it.
            Err(Error::Missing { .. }) => {}
            Err(error) => log::info!(batch = id.as_str(), error:%; "announced batch not read"),
        }
    });
    PeerResponse::Kept
}
