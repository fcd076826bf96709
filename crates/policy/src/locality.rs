//! Which share of a service's requests leaves the failure domain, and where it goes.
//!
//! Leaving costs a round trip and bytes, and delays callers over there. It pays while requests wait
//! longer here than all of that. A share changes in steps with hysteresis. The state is that of one
//! gateway: gateways with the same facts spread over targets in proportion to free capacity.

mod facts;
mod share;

pub use facts::{Facts, Place};
pub use share::{Change, Share};
