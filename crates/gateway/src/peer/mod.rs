//! Requests between gateways: HTTP on the hosts' internal ports, with bodies encoded by `rmp-serde`.
//!
//! No durable state depends on them. They save calls to the store, and the seconds until a lease
//! would expire.

mod client;
mod server;

pub use client::{Error, call, call_with};
pub use server::listen;

/// The path of requests between gateways.
const PATH: &str = "/peer";
