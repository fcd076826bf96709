//! Usage: counts the requests that servers began to run, by client account and window, and reports each
//! window once to the platform's cloud.
//!
//! Every gateway counts its own requests ([`request`]) and sends the counts to the reporter and a deputy
//! ([`exchange`]). The reporter is the gateway that holds the object `duties/usage` ([`reporting`]); who
//! that is and what may be sent is decided by `policy::duty`.

mod connect;
mod exchange;
mod reporting;
mod request;
mod state;

pub use connect::{counts_for_peer, merge_for_peer, request, start};
pub use request::{Request, count_unanswered};
pub use state::{Connections, Usage};
