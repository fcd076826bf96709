//! The memory that a process may use for bodies, buffers and messages.
//!
//! What is to be held in memory is reserved before it is read. What does not fit is refused, so that
//! the process stays below its limit however many clients send at once.

mod budget;
mod reservation;

pub use budget::{Budget, Exhausted, Use};
pub use reservation::Reservation;
