//! State and limits that concern single requests.

pub mod arrival;
pub mod budget;
pub mod claim;
pub mod latency;
pub mod standby;
pub mod survival;
pub mod suspects;
