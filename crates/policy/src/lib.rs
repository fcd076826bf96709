//! The decisions of every role, without I/O, clocks, threads or hidden randomness.
//!
//! Each role is a state machine: `handle(now, event)` changes its state and returns the actions
//! that its process must take. One program can drive hundreds of them under virtual time.
//!
//! The roles, each with its public events and actions:
//! - [`entry::Entry`]: admission, routing, retries, claims and answers on an entry host;
//! - [`agent::Agent`]: at most one run of each attempt, stamps, orders and drain beside a server;
//! - [`version::replica::ConfigReplica`]: the configuration in force in a process;
//! - [`version::rollout::Controller`]: which server loads which weights when;
//! - [`version::owner::Owner`]: a trainer's step, sample by sample and batch by batch.
//!
//!
//! On a platform whose store keeps what must last, an entry host sends straight to servers:
//! - [`fleet::Fleet`]: which backend server takes a request;
//! - [`batch::Scheduler`]: items of batches, their results and the weights of engines;
//! - [`lease::Lease`]: which process schedules.
//!
//! What they share is ordered by life span: [`request`], [`connection`], [`version`],
//! [`process`]. [`store`] is how a machine asks for the platform's objects.

pub mod agent;
pub mod batch;
pub mod connection;
pub mod deference;
pub mod entry;
pub mod fleet;
pub mod lease;
pub mod process;
pub mod request;
pub mod version;

pub use tamaracksail_model::store;
