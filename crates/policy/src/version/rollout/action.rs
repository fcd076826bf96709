//! What a rollout asks its process to do.

use tamaracksail_model::host::Host;
use tamaracksail_wire::LoadCommand;

use crate::store::Call;

/// An action of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the platform.
    Store(Call),
    /// Send an order to an agent, then tell [`Event::Ordered`] or [`Event::Lost`].
    Order(Host, LoadCommand),
    /// The lease is given back: the machine may be dropped.
    Released,
}
