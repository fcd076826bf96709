//! The exchange of suspect contents between gateways, through the platform's store.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::store::Object;
use tamaracksail_policy::freshness::Fact;
use tamaracksail_policy::request::suspects::SUSPECT_LIFETIME;
use tamaracksail_wire::Suspect;

use super::publication::{KIND, MAX_CONTENTS, Publication};
use crate::gateway::{Gateway, now};
use crate::store::{self, Event, Watched};

/// The delay before the first crash of a content is published. Most requests under which a server
/// ends for another reason complete at another server within this time, which ends the suspicion.
const PUBLISH_DELAY: Duration = Duration::from_millis(100);

/// The time limit on a write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The pause after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The pause after a change, so that changes in quick succession cost one call.
const WATCH_DEBOUNCE: Duration = Duration::from_millis(100);

/// The delay after which other gateways remove an object that its own host should have removed.
const REMOVAL_DELAY: Duration = Duration::from_secs(1);

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
        Watched {
            kind: KIND,
            fact: Fact::Suspects,
            debounce: WATCH_DEBOUNCE,
        },
        |event| match event {
            Event::All(objects) => {
                gateway.suspects.revisions.replace(Some(BTreeMap::new()));
                for object in objects {
                    merge(&gateway, object);
                }
                let host = gateway.settings.borrow().host.clone();
                if !objects.iter().any(|object| object.name == host) {
                    publish_missing(&gateway, &[]);
                }
            }
            Event::Changed(object) => merge(&gateway, object),
            Event::Removed(object) => {
                if let Some(revisions) = &mut *gateway.suspects.revisions.borrow_mut() {
                    revisions.remove(&object.name);
                }
                if object.name == gateway.settings.borrow().host {
                    publish_missing(&gateway, &[]);
                }
            }
            Event::Answered(_) | Event::WatchLost | Event::StoreFailed | Event::Overdue => {}
        },
    )
    .await;
}

fn merge(gateway: &Rc<Gateway>, object: &Object) {
    if let Some(revisions) = &mut *gateway.suspects.revisions.borrow_mut() {
        revisions.insert(object.name.clone(), object.revision);
    }
    let publication: Publication = match object.spec() {
        Ok(publication) => publication,
        Err(error) => {
            log::warn!(host = object.name.as_str(), error:%; "published suspects are malformed");
            return;
        }
    };
    let suspects = publication.into_suspects();
    let is_own = object.name == gateway.settings.borrow().host;
    if !is_own {
        log::info!(
            host = object.name.as_str(), contents = suspects.len(), revision = object.revision;
            "suspects of a peer read"
        );
    }
    let mut table = gateway.suspects.table.borrow_mut();
    let mut own = gateway.suspects.own.borrow_mut();
    for suspect in &suspects {
        table.merge(now(), suspect);
        if is_own {
            own.merge(now(), suspect);
        }
    }
    drop((table, own));
    if is_own {
        publish_missing(gateway, &suspects);
    }
    let valid = suspects.iter().map(|suspect| suspect.valid).max();
    remove_later(gateway, object, valid.unwrap_or_default());
}

/// Publishes what this host observed again, if its object in the store lacks some of it: another
/// host may have removed the object, or an earlier write may have been applied late.
fn publish_missing(gateway: &Rc<Gateway>, published: &[Suspect]) {
    let suspects = &gateway.suspects;
    let own = suspects.own.borrow().most_severe(now(), MAX_CONTENTS);
    let is_published = |suspect: &Suspect| {
        published.iter().any(|found| {
            found.fingerprint == suspect.fingerprint
                && found.crashes.is_superset(&suspect.crashes)
                && found.alone >= suspect.alone
        })
    };
    let missing: Vec<_> = own
        .iter()
        .filter(|suspect| !is_published(suspect))
        .map(|suspect| suspect.fingerprint)
        .collect();
    if !missing.is_empty() {
        suspects.unpublished.borrow_mut().extend(missing);
        suspects.recorded.notify_one();
    }
}

/// Removes an object that has not changed when nothing in it is valid any more. Its host may no longer
/// exist.
fn remove_later(gateway: &Rc<Gateway>, object: &Object, valid: Duration) {
    let gateway = Rc::clone(gateway);
    let (host, revision) = (object.name.clone(), object.revision);
    let is_own = host == gateway.settings.borrow().host;
    let delay = if is_own {
        Duration::ZERO
    } else {
        REMOVAL_DELAY
    };
    actix_rt::spawn(async move {
        tokio::time::sleep(valid.min(SUSPECT_LIFETIME) + delay).await;
        let is_current = gateway
            .suspects
            .revisions
            .borrow()
            .as_ref()
            .is_some_and(|revisions| revisions.get(&host) == Some(&revision));
        if !is_current {
            return;
        }
        match gateway.store.remove_at(KIND, &host, revision).await {
            Ok(()) => log::info!(host, revision; "expired suspects removed"),
            Err(error) => log::info!(host, revision, error:%; "expired suspects not removed"),
        }
    });
}

/// Publishes what this host observed after each record, unless the suspicion has ended meanwhile. An
/// earlier process of this host may have published more, so its object is read first.
async fn publish(gateway: Rc<Gateway>) {
    let suspects = &gateway.suspects;
    loop {
        suspects.recorded.notified().await;
        if !suspects.is_urgent(now()) {
            tokio::time::sleep(PUBLISH_DELAY).await;
        }
        let recorded = std::mem::take(&mut *suspects.unpublished.borrow_mut());
        if suspects.revisions.borrow().is_none() {
            suspects.unpublished.borrow_mut().extend(recorded);
            gateway.store_availability.pause(RETRY_DELAY).await;
            suspects.recorded.notify_one();
            continue;
        }
        let unexpired = suspects.own.borrow().most_severe(now(), MAX_CONTENTS);
        let is_news = |suspect: &Suspect| recorded.contains(&suspect.fingerprint);
        if !unexpired.iter().any(is_news) {
            continue;
        }
        let count = unexpired.len();
        let publication = Publication::new(gateway.clock.estimate(), unexpired);
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
