//! The agent, through which all traffic to its backend server passes.
//!
//! [`Agent`] runs each attempt at most once, reports the versions that the engine used, loads
//! weights for the newest owner of a rollout, and refuses new attempts once its host is leaving.
//! Its parts are `attempts` for dispatched attempts, `load_commands` for weights, and `history`
//! for what it remembers of past attempts.

mod action;
mod attempts;
mod event;
mod history;
mod load_commands;
mod machine;

pub use action::Action;
pub use event::Event;
pub use machine::{Agent, Settings};
