//! Which gateways may acquire the duty.

use std::net::SocketAddr;

use tamaracksail_model::id;

/// A gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its host.
    pub host: String,
    /// The address at which it accepts requests of its peers.
    pub address: SocketAddr,
    /// Whether its host has CPU time to spare.
    pub has_spare_cpu: bool,
    /// Whether it schedules batches.
    pub is_scheduler: bool,
    /// Whether it did not respond lately.
    pub is_unresponsive: bool,
}

/// Returns the members in the order in which they should hold a duty: those that respond, then those
/// that do not schedule batches, then those with CPU time to spare, then by rendezvous hash.
#[must_use]
pub fn rank(duty: &str, mut members: Vec<Member>) -> Vec<Member> {
    let hash = |host: &str| {
        let parts = [duty.as_bytes(), host.as_bytes()];
        id::fingerprint_of_parts(&parts).spread()
    };
    members.sort_by_cached_key(|member| {
        (
            member.is_unresponsive,
            member.is_scheduler,
            !member.has_spare_cpu,
            std::cmp::Reverse(hash(&member.host)),
        )
    });
    members
}
