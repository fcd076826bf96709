//! The entry: admission, routing, retries, claims and answers.
//!
//! [`Entry`] is the machine, driven by [`Event`]s and answering with [`Action`]s. Its parts, in
//! the order in which a request meets them: `admit`, `route`, `frames`, `finish`.

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
