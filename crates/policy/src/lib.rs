//! The decisions of every role, as state machines without I/O, clocks, threads or hidden
//! randomness.
//!
//! `handle(now, event)` of a machine changes its state and returns the actions that its process
//! must carry out. One program can drive hundreds of machines under virtual time.
//!
//! The roles, each with its public events and actions:
//! - [`entry::Entry`]: admission, routing, retries, claims and responses on an entry host;
//! - [`agent::Agent`]: beside a backend server, runs each attempt at most once, reports the
//!   versions that the engine used, loads weights and drains the server;
//! - [`version::replica::ConfigReplica`]: the configuration in force in a process;
//! - [`version::rollout::RolloutController`]: which server loads which weights, and when;
//! - [`version::owner::Owner`]: a trainer's steps, their samples and their batches.
//!
//! The gateway, which sends requests directly to servers and keeps durable state in the
//! platform's store, uses:
//! - [`fleet::Fleet`]: the choice of a backend server for a request;
//! - [`admission::Queue`]: which account's request begins next while a service is full;
//! - [`batch::Scheduler`]: the items of batches, their results and the weights of engines;
//! - [`reward::Queue`]: the calls that score the texts of items;
//! - [`pace::Pace`]: how fast a server works, lastingly and at this moment;
//! - [`locality::Share`]: which share of requests leaves the failure domain;
//! - [`memory::Budget`]: the bytes that a process may hold;
//! - [`limit::Limiter`]: the request limits that backend servers state;
//! - [`streams`]: where streams began that clients take up at any gateway;
//! - [`relay::Relay`]: the configuration in force at a gateway, and whom it asks for a newer one;
//! - [`clock::Clock`]: true time, whatever steps the time of day makes;
//! - [`lease::Lease`]: which process is the scheduling gateway;
//! - [`freshness::Watch`]: when the store is asked again for what a process watches;
//! - [`expiry::Expiry`]: which registrations that disappeared from the store still count;
//! - [`stop::Stop`]: until when a stopping process serves, and what it still accepts;
//! - [`duty::Duty`]: which process reports, and until when it may send;
//! - [`usage`]: counts of requests by client account and window.
//!
//! The modules that they share are grouped by the lifetime of their state: [`request`],
//! [`connection`], [`version`] and [`process`]. [`store`] has the calls to the platform's store.

pub mod acquire_delay;
pub mod admission;
pub mod agent;
pub mod batch;
pub mod clock;
pub mod connection;
pub mod duty;

pub mod entry;
pub mod expiry;
pub mod fleet;
pub mod freshness;
pub mod lease;
pub mod limit;
pub mod locality;
pub mod memory;
pub mod pace;
pub mod process;
pub mod relay;
pub mod request;
pub mod reward;
pub mod stop;
pub mod streams;
pub mod usage;
pub mod version;

pub use tamaracksail_model::store;
