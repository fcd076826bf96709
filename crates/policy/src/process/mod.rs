//! State with the lifetime of a process: leases, costs, status, and the choice of peers.

pub mod cost;
pub mod lease;
pub mod status;
pub mod subset;
