//! How fast a server works, lastingly and at this moment.
//!
//! Servers share their hosts, so the same work takes different times at different servers and
//! moments. [`Pace`] follows the figures that a server states, and [`Latency`] combines them with
//! observed durations. A server that never states a figure is judged by its durations alone.

mod latency;
mod tracker;

pub use latency::{Latency, Trust};
pub use tracker::{Pace, READING_VALIDITY};
