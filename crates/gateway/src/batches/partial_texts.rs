//! Saves the partial texts of unfinished items in the store, and loads those of the previous holder
//! of the lease.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use tamaracksail_adapter::store::Error;
use tamaracksail_model::batch::PartialText;
use tamaracksail_model::carried::Carried;
use tamaracksail_model::checkpoint::Checkpoint;
use tamaracksail_policy::batch::{CHECKPOINT_SLOTS, join_segments};
use tamaracksail_wire::peer::{Request as PeerRequest, Response as PeerResponse};

use super::{lease_loop, schema};
use crate::gateway::{Gateway, now};
use crate::peer;

/// The time between two checkpoints. Text received since the last one is lost if the process is
/// lost. Each checkpoint is a paid call.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(1);

/// The divisor of the store's maximum value length that limits the text of a checkpoint: escaping
/// lengthens the text, and each segment has metadata.
pub(super) const TEXT_LENGTH_DIVISOR: usize = 3;

/// How long the previous holder may take to send the partial texts.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(700);

/// The number of parts in which partial texts are requested concurrently. A connection between
/// failure domains carries a few megabytes per second, and the texts of a few hundred items take as
/// much.
const TRANSFER_PARTS: usize = 6;

/// How long this process keeps running for requests for partial texts after it stopped scheduling.
/// The next holder checks the lease once a second, acquires it, and then requests them.
pub const RETENTION: Duration = Duration::from_millis(1900);

/// How long reading a checkpoint may take before scheduling starts without it. The store responds
/// in milliseconds, and all checkpoints together are a few megabytes.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Writes checkpoints periodically. The coordinator aborts it when scheduling stops.
pub async fn write_checkpoints(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(CHECKPOINT_INTERVAL).await;
        let Some(fence) = gateway.coordinator.lease.borrow().fence(now()) else {
            continue;
        };
        let max_bytes = gateway.settings.borrow().max_value_bytes / TEXT_LENGTH_DIVISOR;
        let (number, checkpoint) = {
            let mut scheduler = gateway.coordinator.scheduler.borrow_mut();
            (
                scheduler.checkpoint_count(),
                scheduler.checkpoint(fence, max_bytes),
            )
        };
        let Some(checkpoint) = checkpoint else {
            continue;
        };
        let name = schema::checkpoint_name(number);
        let call = gateway.store.put(schema::CHECKPOINTS, &name, &checkpoint);
        if let Err(error) = lease_loop::with_timeout(call).await {
            log::info!(save = number, error:%; "checkpoint not written");
            gateway.coordinator.scheduler.borrow_mut().checkpoint_lost();
        }
    }
}

/// Loads the partial texts of unfinished items: from the previous holder, if it is another process
/// that still runs, otherwise from the store. Both are read concurrently.
pub async fn load(gateway: Rc<Gateway>, previous_holder: Option<SocketAddr>) {
    let mut from_peer = pin!(from_peer(&gateway, previous_holder));
    let mut from_store = pin!(from_store(&gateway));
    let mut saved = None;
    let transferred = loop {
        tokio::select! {
            found = &mut from_peer => break found,
            found = &mut from_store, if saved.is_none() => saved = Some(found),
        }
    };
    let (partial_texts, groups) = match (transferred, saved) {
        (Some(found), _) if found.is_complete => (found.partial_texts, found.groups),
        (transferred, saved) => {
            let saved = match saved {
                Some(saved) => saved,
                None => from_store.await,
            };
            let (partial_texts, groups) = transferred.map_or_else(Default::default, |found| {
                (found.partial_texts, found.groups)
            });
            (
                [saved.0, partial_texts].concat(),
                [saved.1, groups].concat(),
            )
        }
    };
    log::info!(drafts = partial_texts.len(), groups = groups.len(); "partial texts loaded");
    let mut scheduler = gateway.coordinator.scheduler.borrow_mut();
    for (item, text) in partial_texts {
        scheduler.restore_partial_text(now(), item, text);
    }
    scheduler.restore_past_groups(now(), groups);
    drop(scheduler);
    gateway.coordinator.partial_texts.set_ready(true);
}

/// Partial texts by item, and groups that later batches may contain again.
type Loaded = (Vec<(Carried, PartialText)>, Vec<Carried>);

/// What the previous holder has sent.
#[derive(Debug, Default)]
struct Transferred {
    /// Partial texts by item.
    partial_texts: Vec<(Carried, PartialText)>,
    /// Groups that later batches may contain again.
    groups: Vec<Carried>,
    /// Whether all parts were received.
    is_complete: bool,
}

/// Requests the partial texts of the previous holder. Returns `None` if it sent none, since a
/// restarted process has none.
async fn from_peer(gateway: &Gateway, previous_holder: Option<SocketAddr>) -> Option<Transferred> {
    let previous_holder = previous_holder?;
    let calls = (0..TRANSFER_PARTS).map(|part| {
        let request = PeerRequest::Drafts {
            part,
            parts: TRANSFER_PARTS,
        };
        async move { peer::call(gateway, previous_holder, &request, TRANSFER_TIMEOUT).await }
    });
    let mut found = Transferred {
        is_complete: true,
        ..Transferred::default()
    };
    for response in join_all(calls).await {
        match response {
            Ok(PeerResponse::Drafts {
                partial_texts,
                groups,
            }) => {
                found.partial_texts.extend(partial_texts);
                found.groups = groups;
            }
            Ok(_) => found.is_complete = false,
            Err(error) => {
                log::info!(error:%; "no partial texts from the previous holder");
                found.is_complete = false;
            }
        }
    }
    (!found.partial_texts.is_empty()).then_some(found)
}

/// Reads all checkpoints. One that cannot be read in time is left out: the texts then end before
/// its segments.
async fn from_store(gateway: &Gateway) -> Loaded {
    // Each is read on a connection of its own, since a long response takes a round trip for every
    // few chunks of data.
    let reads = (0..CHECKPOINT_SLOTS).map(|number| async move {
        let name = schema::checkpoint_name(number);
        let read = gateway.store.get(schema::CHECKPOINTS, &name);
        let object = match tokio::time::timeout(READ_TIMEOUT, read).await {
            Ok(Ok(object)) => object,
            Ok(Err(Error::Missing { .. })) => return None,
            Ok(Err(error)) => {
                log::info!(save = number, error:%; "checkpoint not read");
                return None;
            }
            Err(_) => {
                log::info!(
                    save = number, limit_ms = READ_TIMEOUT.as_millis();
                    "checkpoint not read"
                );
                return None;
            }
        };
        match object.spec::<Checkpoint>() {
            Ok(checkpoint) => Some(checkpoint),
            Err(error) => {
                log::error!(save = number, error:%; "stored checkpoint is malformed");
                None
            }
        }
    });
    let checkpoints: Vec<Checkpoint> = join_all(reads).await.into_iter().flatten().collect();
    let newest = checkpoints.iter().map(|found| found.fence).max();
    let groups: BTreeSet<Carried> = checkpoints
        .iter()
        .filter(|found| Some(found.fence) == newest)
        .flat_map(|found| found.groups.iter().cloned())
        .collect();
    (join_segments(checkpoints), groups.into_iter().collect())
}
