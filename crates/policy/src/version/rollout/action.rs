//! The actions of a rollout controller.

use tamaracksail_model::host::Host;
use tamaracksail_wire::LoadCommand;

use crate::store::Call;

/// An action of a rollout controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the platform.
    Store(Call),
    /// Send a load command to an agent, then feed [`super::Event::LoadOutcome`] or
    /// [`super::Event::LoadOutcomeLost`].
    LoadCommand(Host, LoadCommand),
    /// The lease is released; the controller may be dropped.
    Released,
}
