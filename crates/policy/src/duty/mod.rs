//! The duty to report: which gateway has it, and until when it may send.
//!
//! The holder has a lease of its own, an object in the store. One conditional write both renews the
//! lease and fixes what is reported, so the counts of a window are decided once, whoever sends them.

mod candidates;
mod machine;
mod record;

pub use candidates::{Member, rank};
pub use machine::{Duty, Terms, Write};
pub use record::{Holder, Record};
