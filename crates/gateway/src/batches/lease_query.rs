//! Responses to peers that query the state of the scheduling lease.

use std::net::SocketAddr;
use std::time::Duration;

use tamaracksail_model::time::Instant;
use tamaracksail_wire::peer::{PeerTime, Response as PeerResponse, StoreIndex};

use super::lease_loop;
use crate::gateway::{Gateway, now};

/// How long a holder delays its response to a lease query while nothing changes.
pub const LEASE_QUERY_WAIT: Duration = Duration::from_secs(1);

/// How long calls to the store must fail before a holder reports that it cannot reach the store:
/// longer than a lost response and the repeated call take.
const STORE_LOST_AFTER: Duration = Duration::from_millis(500);

/// How long a holder that is asked to release the lease waits for the store. The store responds in
/// milliseconds.
const YIELD_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// The CPU time, in cores, that counts as enough to schedule. On a day of normal load, scheduling
/// 12 engines takes 0.014 cores on average, and several times that when a step begins.
const MIN_SPARE_CORES: f64 = 0.15;

/// Responds to a peer that asks whether this process still holds the lease, once that changes, the
/// lease is renewed or [`LEASE_QUERY_WAIT`] has passed. `candidate` is the peer, if its host has
/// enough CPU time to schedule. If this host has not, it releases the lease to the peer.
pub async fn answer_lease_query(
    gateway: &Gateway,
    fence: u64,
    candidate: Option<SocketAddr>,
) -> PeerResponse {
    let coordinator = &gateway.coordinator;
    if let Some(successor) = candidate.filter(|_| !has_spare_cpu(gateway)) {
        let is_held = coordinator.lease.borrow().fence(now()) == Some(fence);
        if is_held && coordinator.store_failing_since.get().is_none() {
            release_to(gateway, successor, "a peer has more CPU time");
        }
    }
    let arrival = now();
    let deadline = arrival.after(LEASE_QUERY_WAIT);
    let first = coordinator.lease.borrow().revision();
    loop {
        if !holds(gateway, fence) {
            return released(gateway, fence);
        }
        let lost_at = coordinator
            .store_failing_since
            .get()
            .map(|since| since.after(STORE_LOST_AFTER));
        let is_store_unreachable = lost_at.is_some_and(|lost_at| now() >= lost_at);
        let end = lost_at.map_or(deadline, |lost_at| lost_at.min(deadline));
        let revision = coordinator.lease.borrow().revision();
        // A renewal is reported at once. A peer that detected it only after the loss of this
        // process would wait for the whole duration of the lease again.
        if is_store_unreachable || now() >= deadline || revision != first {
            return PeerResponse::Holding {
                is_store_unreachable,
                revision,
                time: time_for_peer(gateway, arrival),
                index: index_for_peer(gateway, arrival),
            };
        }
        let left = end.since(now());
        // Whether it was notified or timed out, the loop checks again.
        drop(tokio::time::timeout(left, coordinator.lease_changed.notified()).await);
    }
}

/// The time to state in the response to a query that arrived at `arrival`.
fn time_for_peer(gateway: &Gateway, arrival: Instant) -> Option<PeerTime> {
    let settings = gateway.settings.borrow();
    let held = now().since(arrival);
    gateway.clock.for_peer(&settings.host, held)
}

/// The revision that the store is known to have reached, as stated in the response to a query that arrived at
/// `arrival`. A holder renews its lease about once a second, so that peers need not read the store for it.
fn index_for_peer(gateway: &Gateway, arrival: Instant) -> Option<StoreIndex> {
    let index = gateway.store_availability.index()?;
    let micros = |time: Instant| i64::try_from(time.0).ok();
    Some(StoreIndex {
        revision: index.revision,
        since_arrival_us: micros(index.at)? - micros(arrival)?,
    })
}

/// Stops scheduling in favour of a peer that reaches the store, if this process does not.
pub async fn yield_lease(gateway: &Gateway, fence: u64, successor: SocketAddr) -> PeerResponse {
    let coordinator = &gateway.coordinator;
    // The store may answer all gateways again, and the peer have noticed it first. Scheduling then
    // stays here, where the runs are.
    if holds(gateway, fence) && coordinator.store_failing_since.get().is_some() {
        let read = lease_loop::reaches_store(gateway);
        let reaches_store = tokio::time::timeout(YIELD_READ_TIMEOUT, read).await;
        if reaches_store == Ok(true) && is_last_holder(gateway, fence) {
            log::info!(fence, peer:% = successor; "lease not released, the store responds again");
            coordinator.wake_lease_loop();
            return PeerResponse::Holding {
                is_store_unreachable: false,
                revision: coordinator.lease.borrow().revision(),
                time: None,
                index: None,
            };
        }
    }
    let is_held = holds(gateway, fence);
    // Calls may have succeeded again since the peer was told that they fail.
    if is_held && coordinator.store_failing_since.get().is_none() {
        return PeerResponse::Holding {
            is_store_unreachable: false,
            revision: coordinator.lease.borrow().revision(),
            time: None,
            index: None,
        };
    }
    if is_held {
        release_to(
            gateway,
            successor,
            "a peer reaches the store and this process does not",
        );
    }
    released(gateway, fence)
}

/// Whether this process schedules under a fencing token. If its lease expires while it cannot reach
/// the store, it continues until a peer that reaches the store asks it to stop.
fn holds(gateway: &Gateway, fence: u64) -> bool {
    let coordinator = &gateway.coordinator;
    let is_store_unreachable = coordinator.store_failing_since.get().is_some();
    coordinator.lease.borrow().fence(now()) == Some(fence)
        || (is_store_unreachable && is_last_holder(gateway, fence))
}

/// Whether this process schedules, and no other has acquired the lease since it did under a fencing
/// token, as far as it knows.
fn is_last_holder(gateway: &Gateway, fence: u64) -> bool {
    let coordinator = &gateway.coordinator;
    let lease = coordinator.lease.borrow();
    let is_current = lease.record().is_some_and(|record| record.fence == fence);
    is_current && coordinator.is_scheduling.get() && lease.is_last_known_holder()
}

/// Stops scheduling and releases the lease to a peer, which acquires it without waiting for its
/// expiry.
fn release_to(gateway: &Gateway, successor: SocketAddr, reason: &str) {
    let coordinator = &gateway.coordinator;
    coordinator.successor.set(Some(successor));
    coordinator.stop_scheduling(reason);
    if let Some((_, record)) = coordinator.lease.borrow_mut().release() {
        log::info!(fence = record.fence, successor:%; "lease released to a peer");
    }
}

/// Whether this host has enough CPU time to schedule.
pub fn has_spare_cpu(gateway: &Gateway) -> bool {
    gateway.settings.borrow().cores >= MIN_SPARE_CORES
}

/// Responds that this process does not hold the lease under a fencing token, and makes sure that it
/// never does again.
fn released(gateway: &Gateway, fence: u64) -> PeerResponse {
    let coordinator = &gateway.coordinator;
    let is_current = coordinator
        .lease
        .borrow()
        .record()
        .is_some_and(|record| record.fence == fence);
    if is_current && gateway.stop.get().is_some() {
        // A process that stops schedules on without the lease while the store does not answer. The peer asks
        // for the partial texts next, which this process has once no item runs.
        coordinator.stop_scheduling("a peer was told that the lease has ended");
    }
    gateway.coordinator.lease.borrow_mut().relinquish(fence);
    let age = now().since(gateway.coordinator.last_command.get());
    PeerResponse::Released {
        order_age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        successor: gateway.coordinator.successor.get(),
    }
}
