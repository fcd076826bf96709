//! Questions between gateways: HTTP with `rmp-serde` on the hosts' inner ports.
//!
//! Nothing that must last depends on it. It saves calls to the store, and the seconds for which a
//! lease would have to lapse.

mod client;
mod server;

pub use client::{Error, call};
pub use server::listen;

/// Where questions arrive.
const PATH: &str = "/peer";
