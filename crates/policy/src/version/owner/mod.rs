//! The owner of a trainer's steps: fills the slots, assembles batches and hands them over.
//!
//! Ownership is a lease in the ledger itself: acquiring it raises the fencing token, and every
//! write is conditional on the ledger's revision. An owner that was paused and still believes
//! that it holds the lease cannot change the ledger: its first write conflicts, and so it learns
//! that it has lost the lease.
//!
//! `machine` synchronises the ledger with the platform, `samples` fills slots, and `requests`
//! responds to trainers and scoring services.

mod action;
mod event;
mod machine;
mod requests;
mod samples;

pub use action::{Action, Response};
pub use event::{Event, Request, RequestId};
pub use machine::{Counters, Owner, Settings};
