//! Batches: which item runs where and when, what is listed, and which engine loads which weights.
//!
//! [`Scheduler`] answers the load of several trainers on one pool of engines. It is run by the
//! one process that holds the scheduling lease; what it lists is durable before callers see it.

mod action;
mod affinity;
mod dispatch;
mod ending;
mod engine;

mod checkpointing;
mod open_batch;
mod pool;
mod reports;
mod run;
mod scheduler;
mod stragglers;
mod submission;
mod task;
mod weights;

pub use action::{Action, Failure};
pub use checkpointing::{CHECKPOINT_SLOTS, join_segments};
pub use engine::{Engine, EngineKey};
pub use scheduler::{BatchKey, Scheduler};
pub use submission::Submission;
pub use task::TaskKey;
