//! The entry: admission, routing, retries, claims and responses.
//!
//! [`Entry`] is the state machine, which handles [`Event`]s and returns [`Action`]s. Its parts, in
//! the order in which a request passes through them, are `admit`, `route`, `frames` and `finish`.

mod action;
mod admit;
mod event;
mod finish;
mod frames;
mod machine;
mod request;
mod route;
mod settings;

pub use action::{Action, Cause, FinalResponse, Problem, Stage};
pub use event::Event;
pub use machine::{Counters, Entry};
pub use settings::{Builder, Settings};
