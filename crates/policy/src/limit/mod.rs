//! Request limits of backend servers.
//!
//! A server may state in its responses how many requests per second it accepts from all gateways
//! together. [`Limiter`] keeps what servers have stated.

mod limiter;
mod observation;

pub use limiter::Limiter;
pub use observation::Observation;
