//! The configuration and the host list in force in one process.
//!
//! A few watchers of each failure domain watch the platform and push updates to the
//! processes of their domain. Every process also gossips which generation and which revision of
//! the host list it has, so that a process that missed a push, or cannot reach the platform, pulls
//! newer state from a peer.
//!
//! Invariants: the generation in force never decreases. A starting process has no configuration in
//! force until it has read the platform or, while the platform is down, has heard from peers in a
//! majority of failure domains. What it read or heard before it was suspended does not count.

mod action;
mod event;
mod machine;
mod settings;
mod start;

pub use action::Action;
pub use event::Event;
pub use machine::{ConfigReplica, WATCH_MARGIN};
pub use settings::{Seed, Settings};

/// The key of the object that stores the host list.
pub const HOSTS_KEY: &str = "hosts";
