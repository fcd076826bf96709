//! The origins of streams, shared between gateways so that a client can take up a stream at any of
//! them.
//!
//! While a service has several software versions, the gateway at which a stream begins sends the version
//! to two others. Nothing waits for that: a stream whose origin cannot be found is not continued. The
//! gateways find each other by one object each in the platform's store, which exists only while a
//! route has streams that may be resumed, or client accounts are configured: see
//! [`crate::configuration`].

mod lookup;
mod membership;
mod recording;
mod software;
mod state;

pub use lookup::{find, origin_for_peer};
pub use membership::join;
pub use recording::{begin, copy, record_server, run};
pub use software::{unrecorded, wait_until_recorded};
pub use state::Streams;
