//! Usage: the requests that servers began to run, by client account and window of time.
//!
//! - [`Windows`]: which window a time belongs to, and when a window is closed
//! - [`Sends`]: when a request first began, over all its attempts
//! - [`Counter`]: the counts of this process; [`Collection`]: those of all processes
//! - [`Outbox`]: reports whose counts are fixed and that are not confirmed

mod collection;
mod counter;
mod outbox;
mod sends;
mod windows;

pub use collection::Collection;
pub use counter::Counter;
pub use outbox::Outbox;
pub use sends::Sends;
pub use tamaracksail_model::usage::{Counts, Report, Window};
pub use windows::Windows;
