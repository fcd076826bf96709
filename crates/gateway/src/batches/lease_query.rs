//! Answers peers that ask about the scheduling lease.

use std::net::SocketAddr;
use std::time::Duration;

use tamaracksail_wire::peer::Response as PeerResponse;

use crate::gateway::{Gateway, now};

/// How long a holder lets the question wait whether it still holds.
pub const HOLDING: Duration = Duration::from_secs(1);

/// How long calls to the store must fail before a holder says that it is cut off: longer than a
/// lost answer and its repetition take.
const CUT: Duration = Duration::from_millis(500);

/// The processor time, in cores, with which a host schedules readily. A calm day of 12 engines
/// takes 0.014 cores on average, and several times that where a step begins.
const STRONG: f64 = 0.15;

/// Answers a peer that asks whether this process still holds the lease. A host that is short of
/// processor time leaves it to a peer that is not.
pub async fn answer_lease_query(
    gateway: &Gateway,
    fence: u64,
    strong: Option<SocketAddr>,
) -> PeerResponse {
    let coordinator = &gateway.coordinator;
    if let Some(successor) = strong.filter(|_| !is_strong(gateway)) {
        let is_held = coordinator.lease.borrow().fence(now()) == Some(fence);
        if is_held && coordinator.store_failing_since.get().is_none() {
            leave(gateway, successor, "a peer has more processor time");
        }
    }
    let deadline = now().after(HOLDING);
    let first = coordinator.lease.borrow().revision();
    loop {
        if !holds(gateway, fence) {
            return released(gateway, fence);
        }
        let cut_at = coordinator
            .store_failing_since
            .get()
            .map(|since| since.after(CUT));
        let is_store_unreachable = cut_at.is_some_and(|cut_at| now() >= cut_at);
        let end = cut_at.map_or(deadline, |cut_at| cut_at.min(deadline));
        let revision = coordinator.lease.borrow().revision();
        // A renewal is told at once, so that peers need not wait for another after a loss.
        if is_store_unreachable || now() >= deadline || revision != first {
            return PeerResponse::Holding {
                is_store_unreachable,
                revision,
            };
        }
        let left = end.since(now());
        // Whichever comes first; the loop looks again.
        drop(tokio::time::timeout(left, coordinator.lease_changed.notified()).await);
    }
}

/// Stops scheduling for a peer that reaches the store, if this process does not.
pub fn yield_lease(gateway: &Gateway, fence: u64, successor: SocketAddr) -> PeerResponse {
    let coordinator = &gateway.coordinator;
    let is_held = holds(gateway, fence);
    // Calls may have succeeded again since the peer heard that they fail.
    if is_held && coordinator.store_failing_since.get().is_none() {
        return PeerResponse::Holding {
            is_store_unreachable: false,
            revision: coordinator.lease.borrow().revision(),
        };
    }
    if is_held {
        leave(
            gateway,
            successor,
            "a peer reaches the store and this process does not",
        );
    }
    released(gateway, fence)
}

/// Whether this process schedules under a fencing number. One whose span ended while it cannot
/// reach the store goes on until a peer that reaches it asks it to stop.
fn holds(gateway: &Gateway, fence: u64) -> bool {
    let coordinator = &gateway.coordinator;
    let lease = coordinator.lease.borrow();
    let is_current = lease.record().is_some_and(|record| record.fence == fence);
    let is_store_unreachable = coordinator.store_failing_since.get().is_some();
    lease.fence(now()) == Some(fence)
        || (is_current
            && is_store_unreachable
            && coordinator.is_scheduling.get()
            && lease.is_unchallenged())
}

/// Stops scheduling and leaves the lease to a peer, which takes it without waiting.
fn leave(gateway: &Gateway, successor: SocketAddr, reason: &str) {
    let coordinator = &gateway.coordinator;
    coordinator.successor.set(Some(successor));
    coordinator.stop_scheduling(reason);
    if let Some((_, record)) = coordinator.lease.borrow_mut().give_up() {
        log::info!(fence = record.fence, successor:%; "lease left to a peer");
    }
}

/// Whether this host has the processor time to schedule.
pub fn is_strong(gateway: &Gateway) -> bool {
    gateway.settings.borrow().cores >= STRONG
}

/// Says that this process does not hold the lease under a fencing number, and keeps to it.
fn released(gateway: &Gateway, fence: u64) -> PeerResponse {
    gateway.coordinator.lease.borrow_mut().forswear(fence);
    let age = now().since(gateway.coordinator.last_command.get());
    PeerResponse::Released {
        order_age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        successor: gateway.coordinator.successor.get(),
    }
}
