//! A process's replica of the configuration and the host list.
//!
//! A few processes of each failure domain, the watchers, watch the platform and push updates to
//! the other processes of their domain. Every process also gossips its generation and its host
//! list's revision, so that a process that missed a push, or cannot reach the platform, pulls the
//! newer state from a peer.
//!
//! Invariants: the generation in force never decreases. A starting process has no configuration in
//! force until it has read the platform or, while the platform is down, has heard from peers in a
//! majority of failure domains.

mod action;
mod event;
mod machine;
mod settings;

pub use action::Action;
pub use event::Event;
pub use machine::ConfigReplica;
pub use settings::{Seed, Settings};

/// The key of the object that stores the host list.
pub const HOSTS_KEY: &str = "hosts";
