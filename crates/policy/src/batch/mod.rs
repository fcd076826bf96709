//! Scheduling of batches: which item runs on which engine, which results are written, and which
//! engine loads which weights.
//!
//! An item whose text is to be scored has a second stage: [`crate::reward`] has its calls, and their
//! place in a batch is in `scoring`.
//!
//! [`Scheduler`] serves several trainers with one pool of engines. Only the process that holds the
//! scheduling lease runs it, and results are durable before callers see them.

mod action;
mod affinity;
mod checkpointing;
mod coverage;
mod dispatch;
mod ending;
mod engine;
mod open_batch;
mod placement;
mod pool;
mod rank;
mod register;
mod reports;
mod retention;
mod run;
mod scheduler;
mod scoring;
mod sharing;
mod stragglers;
mod submission;
mod task;
mod weights;

pub use action::{Action, Failure, Requirement, Wait};
pub use checkpointing::{CHECKPOINT_SLOTS, join_segments};
pub use engine::{Engine, EngineKey};
pub use register::Register;
pub use retention::{Retention, Stored, item_expiry};
pub use scheduler::{BatchKey, Scheduler};
pub use submission::Submission;
pub use task::TaskKey;
