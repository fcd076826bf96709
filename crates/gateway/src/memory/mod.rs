//! Bodies and buffers within the process's memory budget.
//!
//! `tamaracksail_policy::memory` decides what fits. Bytes that were read within a reservation carry
//! it, so that it is released when the last of their clones is dropped.

mod body;
mod held;

pub use body::{Refusal, read_body};
pub use held::hold;
