//! Orders to load weights: one at a time, from the newest owner only, read back afterwards.

use std::collections::BTreeMap;

use tamaracksail_model::id;
use tamaracksail_wire::{Order, Ordered};

use super::action::Action;
use super::machine::Agent;

/// The orders of an agent.
///
/// Invariant: `fences` only rise, and no order is given to the engine before the platform has
/// said, in this life of the agent, how far the fencing number of its model has risen.
#[derive(Clone, Debug, Default)]
pub(super) struct Orders {
    fences: BTreeMap<id::Object, id::Fence>,
    current: Option<Order>,
    reading: Option<Order>,
}

impl Orders {
    pub(super) fn is_busy(&self) -> bool {
        self.current.is_some()
    }
}

impl Agent {
    pub(super) fn take_order(&mut self, order: Order) {
        if self.orders.current.is_some() || self.orders.reading.is_some() || !self.is_up {
            return self.out.push(Action::Ordered(Ordered::Busy));
        }
        let Some(known) = self.orders.fences.get(&order.model).copied() else {
            self.out.push(Action::ReadFence(order.model.clone()));
            self.orders.reading = Some(order);
            return;
        };
        if order.fence < known {
            return self.out.push(Action::Ordered(Ordered::Fenced(known)));
        }
        self.orders.fences.insert(order.model.clone(), order.fence);
        if self.versions.get(&order.model) == Some(&order.version) {
            return self
                .out
                .push(Action::Ordered(Ordered::Loaded(order.version)));
        }
        self.orders.current = Some(order.clone());
        self.out.push(Action::Load(order));
    }

    pub(super) fn take_fence(&mut self, model: &id::Object, fence: Option<id::Fence>) {
        if let Some(fence) = fence {
            let known = self.orders.fences.entry(model.clone()).or_default();
            *known = (*known).max(fence);
        }
        let Some(order) = self.orders.reading.take() else {
            return;
        };
        if fence.is_some() && order.model == *model {
            self.take_order(order);
        } else {
            self.out.push(Action::Ordered(Ordered::Busy));
        }
    }

    /// Whatever the answer to the order was, only the engine's own report counts.
    pub(super) fn end_order(&mut self) {
        if self.orders.current.is_some() {
            self.out.push(Action::ReadBack);
        }
    }

    pub(super) fn take_read_back(&mut self, versions: Option<BTreeMap<id::Object, id::Version>>) {
        if let Some(versions) = versions {
            self.versions = versions;
        }
        let Some(order) = self.orders.current.take() else {
            return;
        };
        let loaded = self.versions.get(&order.model).copied();
        let ordered = match loaded {
            Some(version) if version == order.version => Ordered::Loaded(version),
            other => Ordered::Failed(other),
        };
        self.out.push(Action::Ordered(ordered));
    }

    /// The engine is up, perhaps with other weights than before.
    pub(super) fn gain_server(&mut self, versions: BTreeMap<id::Object, id::Version>) {
        self.is_up = true;
        self.versions = versions;
    }
}
