//! The configuration and the host list in force in one process.
//!
//! A few watchers of each failure domain watch the platform and push what is new to the
//! processes of their domain. Every process also gossips how new its own state is, so that
//! whoever missed a push, or is cut off from the platform, pulls from a peer.
//!
//! Invariant: the generation in force never falls, and a starting process has none before it
//! has asked the platform or, while that is down, peers in most failure domains.

mod action;
mod event;
mod machine;
mod settings;

pub use action::Action;
pub use event::Event;
pub use machine::ConfigReplica;
pub use settings::{Seed, Settings};

/// The object that holds the host list.
pub const HOSTS_KEY: &str = "hosts";
