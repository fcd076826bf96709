//! The exchange of suspect contents between gateways, through the platform's store.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::store::Object;
use tamaracksail_wire::Suspect;

use super::publication::{KIND, Publication};
use crate::gateway::{Gateway, now, unix_millis};
use crate::store::{self, Event};

/// The delay before the first crash of a content is published. Most requests under which a server
/// ends for another reason complete at another server within this time, which ends the suspicion.
const PUBLISH_DELAY: Duration = Duration::from_millis(100);

/// The time limit on a write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The pause after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The pause after a change, so that changes in quick succession cost one call.
const WATCH_DEBOUNCE: Duration = Duration::from_millis(100);

/// Starts to publish the contents that this process suspects, and to read those of others.
pub fn share(gateway: &Rc<Gateway>) {
    actix_rt::spawn(publish(Rc::clone(gateway)));
    actix_rt::spawn(watch(Rc::clone(gateway)));
}

/// Reads what all gateways have published, and what they publish from then on.
async fn watch(gateway: Rc<Gateway>) {
    let client = gateway.store.clone();
    let availability = gateway.store_availability.clone();
    store::watch_kind(
        client,
        availability,
        KIND,
        WATCH_DEBOUNCE,
        |event| match event {
            Event::All(objects) => objects.iter().for_each(|object| merge(&gateway, object)),
            Event::Changed(object) => merge(&gateway, object),
            Event::Removed(_) | Event::StoreFailed => {}
        },
    )
    .await;
}

fn merge(gateway: &Rc<Gateway>, object: &Object) {
    let publication: Publication = match object.spec() {
        Ok(publication) => publication,
        Err(error) => {
            log::warn!(host = object.name.as_str(), error:%; "published suspects are malformed");
            return;
        }
    };
    let suspects: Vec<Suspect> = publication.suspects(unix_millis()).collect();
    if suspects.is_empty() {
        return remove(gateway, object);
    }
    let own_host = gateway.settings.borrow().host.clone();
    if object.name != own_host {
        log::info!(
            host = object.name.as_str(), contents = suspects.len(), revision = object.revision;
            "suspects of a peer read"
        );
    }
    let mut table = gateway.suspects.table.borrow_mut();
    for suspect in &suspects {
        table.merge(now(), suspect);
    }
}

/// Removes an object in which nothing is valid any more, as one of a host that no longer exists. Other
/// gateways do so too, so it may be gone already.
fn remove(gateway: &Rc<Gateway>, object: &Object) {
    let gateway = Rc::clone(gateway);
    let (host, revision) = (object.name.clone(), object.revision);
    actix_rt::spawn(async move {
        match gateway.store.remove_at(KIND, &host, revision).await {
            Ok(()) => log::info!(host, revision; "expired suspects removed"),
            Err(error) => log::info!(host, revision, error:%; "expired suspects not removed"),
        }
    });
}

/// Publishes the table after each record, unless the suspicion has ended meanwhile.
async fn publish(gateway: Rc<Gateway>) {
    let suspects = &gateway.suspects;
    loop {
        suspects.recorded.notified().await;
        if !suspects.is_urgent(now()) {
            tokio::time::sleep(PUBLISH_DELAY).await;
        }
        let recorded = std::mem::take(&mut *suspects.unpublished.borrow_mut());
        let unexpired = suspects.table.borrow().unexpired(now());
        let is_news = |suspect: &Suspect| recorded.contains(&suspect.fingerprint);
        if !unexpired.iter().any(is_news) {
            continue;
        }
        let count = unexpired.len();
        let publication = Publication::new(unix_millis(), unexpired);
        let host = gateway.settings.borrow().host.clone();
        let write = gateway.store.put(KIND, &host, &publication);
        let error = match tokio::time::timeout(WRITE_TIMEOUT, write).await {
            Ok(Ok(object)) => {
                log::info!(contents = count, revision = object.revision; "suspects published");
                continue;
            }
            Ok(Err(error)) => error.to_string(),
            Err(elapsed) => elapsed.to_string(),
        };
        log::warn!(contents = count, error = error.as_str(); "suspects not published");
        suspects.unpublished.borrow_mut().extend(recorded);
        gateway.store_availability.pause(RETRY_DELAY).await;
        suspects.recorded.notify_one();
    }
}
