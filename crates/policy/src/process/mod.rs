//! What lives as long as a process.

pub mod cost;
pub mod lease;
pub mod status;
pub mod subset;
