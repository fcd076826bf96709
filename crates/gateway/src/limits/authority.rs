//! Where this process gets permits from.

use tamaracksail_policy::limit::Authority;

use crate::batches::Tenure;
use crate::gateway::{Gateway, now};

/// The share of the limits that a process grants whose lease has expired while it cannot reach the
/// store. Another process may have acquired the lease.
const LAPSED_SHARE: f64 = 0.5;

/// Updates where this process gets permits from. Called before permits are used.
pub fn refresh(gateway: &Gateway) {
    let at = now();
    let authority = match gateway.coordinator.tenure() {
        Tenure::Held => Authority::Own { share: 1.0 },
        Tenure::Lapsed => Authority::Own {
            share: LAPSED_SHARE,
        },
        Tenure::None if at < gateway.limits.unreachable_until.get() => Authority::Unreachable {
            gateways: gateway.limits.gateways(at),
        },
        Tenure::None => Authority::Peer,
    };
    let mut fleet = gateway.fleet.borrow_mut();
    let limiter = fleet.limiter_mut();
    let before = limiter.authority();
    if before == authority {
        return;
    }
    limiter.set_authority(at, authority);
    let servers = limiter.observed().count();
    if servers > 0 {
        log::info!(servers, authority:?, before:?; "source of permits changed");
        gateway.limits.record_change();
    }
}
