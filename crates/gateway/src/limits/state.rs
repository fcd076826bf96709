//! State of the limits that lives as long as the process.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tamaracksail_model::time::Instant;
use tokio::sync::Notify;

/// How long a gateway counts among those that share the limits after it last asked for a permit.
const ASKER_VALIDITY: Duration = Duration::from_mins(1);

/// State of the limits that lives as long as the process.
#[derive(Debug, Default)]
pub struct Limits {
    /// Until when no permits are asked for, by service: they were refused.
    refused_until: RefCell<BTreeMap<String, Instant>>,
    /// Until when no gateway that grants permits counts as reachable.
    pub(super) unreachable_until: Cell<Instant>,
    /// The number of gateways that asked for permits as the lease holder stated it, and when.
    gateways: Cell<Option<(u32, Instant)>>,
    /// The gateways that asked this one for permits, and when they last did.
    askers: RefCell<BTreeMap<SocketAddr, Instant>>,
    /// Wakes the task that shares what servers state.
    pub(super) changed: Notify,
}

impl Limits {
    /// Records that a server stated another limit than before.
    pub fn record_change(&self) {
        self.forget_refusals();
        self.changed.notify_one();
    }

    /// Makes permits be asked for again at once.
    pub(super) fn forget_refusals(&self) {
        self.refused_until.borrow_mut().clear();
    }

    /// Returns until when permits for a service are refused.
    pub(super) fn refused_until(&self, service: &str) -> Instant {
        let refused = self.refused_until.borrow();
        refused.get(service).copied().unwrap_or_default()
    }

    /// Records that permits for a service are refused.
    pub(super) fn record_refusal(&self, service: &str, until: Instant) {
        let mut refused = self.refused_until.borrow_mut();
        refused.insert(service.to_owned(), until);
    }

    /// Records that a gateway asked this one for permits. Returns the number of gateways that use
    /// permits, with this one.
    pub(super) fn record_asker(&self, now: Instant, asker: SocketAddr) -> u32 {
        let mut askers = self.askers.borrow_mut();
        askers.insert(asker, now);
        askers.retain(|_, at| now.since(*at) < ASKER_VALIDITY);
        u32::try_from(askers.len() + 1).unwrap_or(u32::MAX)
    }

    /// Records the number of gateways that use permits.
    pub(super) fn record_gateways(&self, now: Instant, gateways: u32) {
        self.gateways.set(Some((gateways, now)));
    }

    /// Returns the number of gateways that use permits, if it was recorded recently.
    pub(super) fn gateways(&self, now: Instant) -> Option<u32> {
        let (gateways, at) = self.gateways.get()?;
        (now.since(at) < ASKER_VALIDITY).then_some(gateways)
    }
}
