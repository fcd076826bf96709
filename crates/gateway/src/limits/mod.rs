//! Request limits of backend servers, as this process keeps to them.
//!
//! A request to a server that states a limit needs a permit. The holder of the scheduling lease
//! grants permits; other gateways ask it, and send to other servers or refuse the request while there
//! is none. `tamaracksail_policy::limit` has the decisions. What servers have stated is also published
//! in the store, so that a process that has just started, or that takes the lease, knows of it before
//! it sends its first request.

mod acquisition;
mod authority;
mod cause;
mod granting;
mod publication;
mod sharing;
mod state;

pub use acquisition::{Candidates, acquire, acquire_for};
pub use authority::refresh as refresh_authority;
pub use cause::Cause;
pub use granting::grant_for_peer;
pub use sharing::share;
pub use state::Limits;
