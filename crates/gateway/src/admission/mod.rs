//! Requests of client accounts that wait for a slot at a server.
//!
//! `tamaracksail_policy::admission` decides; this module keeps one queue per service and wakes the
//! requests. `request::admission` connects it with the request path.

mod queues;

pub use queues::{Arrival, Queues};
