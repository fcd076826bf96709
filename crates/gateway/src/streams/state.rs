//! State of the streams' origins that lives as long as the process.

use std::cell::{Cell, Ref, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;

use tamaracksail_policy::streams::{Members, Origins, Versions};
use tamaracksail_wire::peer::StreamOrigin;
use tokio::sync::Notify;

use super::software::Software;
use crate::gateway::{Gateway, now};

/// State of the streams' origins that lives as long as the process.
#[derive(Debug, Default)]
pub struct Streams {
    pub(super) origins: RefCell<Origins>,
    pub(super) members: RefCell<Members>,
    pub(super) versions: RefCell<Versions>,
    pub(super) software: Software,
    /// Copies that have not been sent, by the gateway that shall keep them.
    pub(super) unsent: RefCell<BTreeMap<SocketAddr, Vec<StreamOrigin>>>,
    /// Wakes the task that sends copies.
    pub(super) wake: Notify,
    /// Whether this process has joined the other gateways.
    pub(super) has_joined: Cell<bool>,
}

impl Streams {
    /// Returns the addresses of the other gateways.
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.members.borrow().addresses()
    }

    /// Records that the list of backend servers has been read.
    pub fn record_list(&self) {
        self.versions.borrow_mut().record_list(now());
    }

    /// Returns the other gateways.
    pub fn members(&self) -> Ref<'_, Members> {
        self.members.borrow()
    }

    /// Returns the only version that servers of a service have had for long enough that every stream
    /// began there; `None` also while the store does not answer.
    pub(super) fn settled(&self, gateway: &Gateway, service: &str) -> Option<String> {
        gateway.store_availability.check("software versions").ok()?;
        let fleet = gateway.fleet.borrow();
        let versions = self.versions.borrow();
        let settled = versions.settled(now(), service, fleet.registrations());
        settled.map(str::to_owned)
    }
}
