//! Lists and watches of a kind of objects in the platform's store, and probes of whether the store
//! answers.

mod availability;
mod list;
mod watch;

pub use availability::{Access, Availability};
pub use list::{list, list_after, visit};
pub use watch::{Event, Watched, watch_kind};
