//! Saves text of unfinished items in the store, and reads it back after the loss of the process
//! that made it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use tamaracksail_adapter::store::Error;
use tamaracksail_model::batch::PartialText;
use tamaracksail_model::checkpoint::Checkpoint;
use tamaracksail_policy::batch::{CHECKPOINT_SLOTS, join_segments};
use tamaracksail_wire::peer::{Request as PeerRequest, Response as PeerResponse};

use super::{lease_loop, schema};
use crate::gateway::{Gateway, now};
use crate::peer;

/// Between two saves. What is made meanwhile is lost with the process; each save is a paid call.
const SAVE: Duration = Duration::from_secs(1);

/// The share of the store's longest value that saved text may fill: escapes make it longer, and
/// each piece has a head.
const SHARE: usize = 3;

/// How long the holder before may take to hand over the text of unfinished items.
const HAND_OVER: Duration = Duration::from_millis(700);

/// The parts in which it is asked for: a connection between failure domains carries some megabytes a
/// second, and the text of a few hundred items is as long.
const PARTS: usize = 6;

/// How long text of unfinished items may be asked for after scheduling ended here: the next holder
/// looks at the lease once a second, takes it, and then asks.
pub const HELD: Duration = Duration::from_millis(1900);

/// How long reading a save may take before scheduling begins without it. The store answers in
/// milliseconds, and all saves together are some megabytes.
const READ: Duration = Duration::from_millis(700);

/// Saves for as long as this process schedules.
pub async fn save(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(SAVE).await;
        let Some(fence) = gateway.coordinator.lease.borrow().fence(now()) else {
            continue;
        };
        let most = gateway.settings.borrow().max_value_bytes / SHARE;
        let (number, checkpoint) = {
            let mut scheduler = gateway.coordinator.scheduler.borrow_mut();
            (
                scheduler.checkpoint_count(),
                scheduler.checkpoint(fence, most),
            )
        };
        let Some(checkpoint) = checkpoint else {
            continue;
        };
        let name = schema::checkpoint_name(number);
        let call = gateway.store.put(schema::CHECKPOINTS, &name, &checkpoint);
        if let Err(error) = lease_loop::with_timeout(call).await {
            log::info!(save = number, error:%; "text not saved");
            gateway.coordinator.scheduler.borrow_mut().checkpoint_lost();
        }
    }
}

/// Takes over the text of unfinished items: from the holder before, if it is another process that
/// still runs, else from the store. Both are asked at once.
pub async fn take_over(gateway: Rc<Gateway>, before: Option<SocketAddr>) {
    let mut from_peer = pin!(from_peer(&gateway, before));
    let mut from_store = pin!(from_store(&gateway));
    let mut saved = None;
    let handed_over = loop {
        tokio::select! {
            found = &mut from_peer => break found,
            found = &mut from_store, if saved.is_none() => saved = Some(found),
        }
    };
    let (partial_texts, groups) = match (handed_over, saved) {
        (Some(found), _) if found.is_all => (found.partial_texts, found.groups),
        (handed_over, saved) => {
            let saved = match saved {
                Some(saved) => saved,
                None => from_store.await,
            };
            let (partial_texts, groups) = handed_over.map_or_else(Default::default, |found| {
                (found.partial_texts, found.groups)
            });
            (
                [saved.0, partial_texts].concat(),
                [saved.1, groups].concat(),
            )
        }
    };
    log::info!(drafts = partial_texts.len(), groups = groups.len(); "text taken over");
    let mut scheduler = gateway.coordinator.scheduler.borrow_mut();
    for (item, text) in partial_texts {
        scheduler.restore_partial_text(now(), item, text);
    }
    scheduler.restore_past_groups(now(), groups);
    drop(scheduler);
    gateway.coordinator.partial_texts.set_ready(true);
}

/// Texts by item, and groups that later batches may bring again.
type Found = (Vec<(String, PartialText)>, Vec<String>);

/// What the holder before has handed over.
#[derive(Debug, Default)]
struct HandedOver {
    partial_texts: Vec<(String, PartialText)>,
    groups: Vec<String>,
    /// Whether all parts came.
    is_all: bool,
}

/// What the holder before hands over. A process that began anew has nothing.
async fn from_peer(gateway: &Gateway, before: Option<SocketAddr>) -> Option<HandedOver> {
    let before = before?;
    let questions = (0..PARTS).map(|part| {
        let request = PeerRequest::Drafts { part, parts: PARTS };
        async move { peer::call(gateway, before, &request, HAND_OVER).await }
    });
    let mut found = HandedOver {
        is_all: true,
        ..HandedOver::default()
    };
    for answer in join_all(questions).await {
        match answer {
            Ok(PeerResponse::Drafts {
                partial_texts,
                groups,
            }) => {
                found.partial_texts.extend(partial_texts);
                found.groups = groups;
            }
            Ok(_) => found.is_all = false,
            Err(error) => {
                log::info!(error:%; "no text from the holder before");
                found.is_all = false;
            }
        }
    }
    (!found.partial_texts.is_empty()).then_some(found)
}

/// What was saved. A save that cannot be read in time is left out: texts end before its pieces.
async fn from_store(gateway: &Gateway) -> Found {
    // Each on a connection of its own, since a long answer takes a round trip for every few pieces.
    let reads = (0..CHECKPOINT_SLOTS).map(|number| async move {
        let name = schema::checkpoint_name(number);
        let read = gateway.store.get(schema::CHECKPOINTS, &name);
        let object = match tokio::time::timeout(READ, read).await {
            Ok(Ok(object)) => object,
            Ok(Err(Error::Missing { .. })) => return None,
            Ok(Err(error)) => {
                log::info!(save = number, error:%; "saved text not read");
                return None;
            }
            Err(_) => {
                log::info!(save = number, limit_ms = READ.as_millis(); "saved text not read");
                return None;
            }
        };
        match object.spec::<Checkpoint>() {
            Ok(checkpoint) => Some(checkpoint),
            Err(error) => {
                log::error!(save = number, error:%; "saved text cannot be read");
                None
            }
        }
    });
    let checkpoints: Vec<Checkpoint> = join_all(reads).await.into_iter().flatten().collect();
    let newest = checkpoints.iter().map(|found| found.fence).max();
    let groups: BTreeSet<String> = checkpoints
        .iter()
        .filter(|found| Some(found.fence) == newest)
        .flat_map(|found| found.groups.iter().cloned())
        .collect();
    (join_segments(checkpoints), groups.into_iter().collect())
}
