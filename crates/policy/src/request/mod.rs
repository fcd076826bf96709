//! What lives as long as a request.

pub mod arrival;
pub mod budget;
pub mod claim;
pub mod latency;
pub mod suspicion;
