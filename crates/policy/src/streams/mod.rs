//! Where streams began, so that a client can take one up at any gateway.
//!
//! A stream may only continue at a server whose software has the version of the server that began
//! it. [`Origins`] keeps the version by the id of the client attempt, [`Members`] chooses the
//! gateways that keep copies, and [`Versions`] tells whether a service has had only one version for
//! so long that every stream began there. [`SoftwareRecord`] outlives all gateways. A stream whose version is not known is not continued.

mod members;
mod origins;
mod software_record;
mod versions;

pub use members::{Members, READ_COPIES};
pub use origins::{Origin, Origins};
pub use software_record::{Observed, SoftwareRecord};
pub use versions::{SETTLE_TIME, Versions};
