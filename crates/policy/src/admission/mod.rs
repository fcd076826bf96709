//! Fair sharing of the servers of a service among client accounts.
//!
//! While a server has room, a request begins at once. Otherwise it waits in the [`Queue`] of its
//! service, which each gateway keeps for its own requests: by priority, then by start-time fair
//! queueing over accounts (Goyal, Vin and Cheng, 1996), then first in, first out. What cannot begin
//! in time is refused when it arrives.

mod flow;
mod queue;
mod request;
mod room;

pub use queue::{Decision, Queue, Ticket, Verdict};
pub use request::Request;
pub use room::Room;
