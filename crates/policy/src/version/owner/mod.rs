//! The owner of a trainer's steps: fills the slots, fixes batches, hands them over.
//!
//! Ownership is a lease in the ledger itself: taking it raises the fencing number, and every
//! write is conditional on the ledger's revision. So an owner that was paused, and still believes
//! that it owns the ledger, cannot change it; it learns so from its first write.
//!
//! `machine` keeps the ledger in step with the platform, `samples` fills slots, `asks` answers
//! trainers and scoring services.

mod action;
mod asks;
mod event;
mod machine;
mod samples;

pub use action::{Action, Response};
pub use event::{Ask, Event, Request};
pub use machine::{Counters, Owner, Settings};
