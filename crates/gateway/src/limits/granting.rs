//! Responses to peers that ask for permits.

use std::net::SocketAddr;
use std::time::Duration;

use tamaracksail_policy::fleet::ServerKey;
use tamaracksail_policy::limit::{Authority, Grant};
use tamaracksail_wire::peer::{Permits, Response as PeerResponse, ServerLimit};

use super::acquisition::{describe, observe};
use super::authority::refresh;
use crate::batches;
use crate::gateway::{Gateway, now};

/// Grants permits to a peer if this process holds the scheduling lease.
pub fn grant_for_peer(
    gateway: &Gateway,
    sender: SocketAddr,
    servers: &[ServerLimit],
    count: u32,
    max_wait: Duration,
) -> PeerResponse {
    refresh(gateway);
    let authority = gateway.fleet.borrow().limiter().authority();
    if !matches!(authority, Authority::Own { .. }) {
        return PeerResponse::NotGranting;
    }
    // The peer relies on this process to keep the lease.
    batches::request_lease(gateway);
    let at = now();
    let gateways = gateway.limits.record_asker(at, sender);
    let mut keys: Vec<Option<ServerKey>> = Vec::new();
    for limit in servers {
        let (key, is_changed) = observe(gateway, limit);
        keys.push(key);
        if is_changed {
            gateway.limits.record_change();
        }
    }
    let registered: Vec<ServerKey> = keys.iter().copied().flatten().collect();
    let grant = if count == 0 {
        Grant::Permits(Vec::new())
    } else {
        let mut fleet = gateway.fleet.borrow_mut();
        fleet.limiter_mut().grant(at, &registered, count, max_wait)
    };
    let (permits, retry_after) = match grant {
        Grant::Permits(granted) => (granted, Duration::ZERO),
        Grant::Refused(retry_after) => (Vec::new(), retry_after),
    };
    let permits = permits.into_iter().filter_map(|(key, count, delay_ms)| {
        let server = keys.iter().position(|found| *found == Some(key))?;
        Some(Permits {
            server,
            count,
            delay_ms,
        })
    });
    PeerResponse::Permits {
        permits: permits.collect(),
        retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        servers: describe(gateway, at, &registered),
        gateways,
    }
}
