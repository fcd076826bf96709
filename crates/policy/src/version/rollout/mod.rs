//! The rollout of weights: which server loads which version when, and from where.
//!
//! One entry owns the rollout of a model by a lease. Load commands are idempotent, and an agent
//! that already has the version responds at once, so commands are also how the owner learns which
//! version a server has. The weight store serves a few servers at a time. Servers that have loaded
//! the version serve it to others, so the number of sources doubles with each round.

mod action;
mod event;
mod machine;
mod server;
mod settings;

pub use action::Action;
pub use event::Event;
pub use machine::RolloutController;
pub use settings::Settings;
