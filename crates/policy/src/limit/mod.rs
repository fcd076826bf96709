//! Request limits of backend servers.
//!
//! A server may state in its responses how many requests per second it accepts from all gateways
//! together. Each request to such a server needs a permit. One gateway, the holder of the scheduling
//! lease, grants permits out of a token bucket per server; the others ask it for them. A gateway
//! that reaches no such gateway uses a fixed share of the limits, which depends on the number of
//! gateways.
//!
//! In any four seconds a server with a limit of `L` requests per second gets at most `5.5 L`
//! requests while one gateway grants permits, or `4.5 L + 1` if `L` is less than 1: `4 L` that the
//! bucket gains, `L` or 1 that it held, and `L / 2` in permits that were granted before and used
//! later. Gateways that do not reach the one that grants permits use half of the limits together.

mod authority;
mod bucket;
mod demand;
mod limiter;
mod observation;
mod permits;
mod share;

use std::time::Duration;

pub use authority::Authority;
pub use limiter::{Grant, Limiter, PERMIT_VALIDITY};
pub use observation::Observation;

/// The shortest time for which a client that is refused is sent away: some round trips. Responses state it
/// in milliseconds, so one that is below half of one would say that there is none.
pub const MIN_REFUSAL: Duration = Duration::from_millis(20);

/// Returns when a client should come back that a permit is refused for `wait`.
#[must_use]
pub fn retry_after(wait: Duration) -> Duration {
    wait.max(MIN_REFUSAL)
}
