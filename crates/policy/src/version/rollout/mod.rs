//! The rollout of weights: which server loads which version when, and from where.
//!
//! One entry owns a model's rollout by lease. An order says the same each time it is sent, and an
//! agent that has the version answers at once; so orders are also how the owner learns what is
//! loaded. The weight store serves a few servers at a time; those that have loaded serve others,
//! so the number of sources doubles with each round.

mod action;
mod event;
mod machine;
mod server;
mod settings;

pub use action::Action;
pub use event::Event;
pub use machine::Controller;
pub use settings::Settings;
