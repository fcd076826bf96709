//! The distribution of configurations between gateways, for those that the store does not serve.
//!
//! Client accounts lose keys by a new configuration. A gateway that the store rejects or does not
//! answer learns of it from other gateways. Whom it asks and what it adopts is decided in
//! [`tamaracksail_policy::relay`]. Nothing here runs without client accounts.

mod asking;
mod state;

pub use asking::{Links, run};
pub use state::Configuration;
