//! The agent: the only way to its backend server.
//!
//! [`Agent`] runs each attempt at most once, passes on the versions that the engine reports,
//! obeys the newest owner of a rollout, and refuses new work once its host is leaving.
//! Its parts: `attempts` for what is dispatched, `orders` for weights, `window` for what it
//! remembers of past attempts.

mod action;
mod attempts;
mod event;
mod history;
mod load_commands;
mod machine;

pub use action::Action;
pub use event::Event;
pub use machine::{Agent, Settings};
