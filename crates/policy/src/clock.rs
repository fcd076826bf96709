//! True time, estimated from the time of day and the boot-time clock.
//!
//! The time of day of a host may be wrong by up to 30 s for some seconds. [`Clock`] keeps the
//! difference between the time of day and the boot-time clock, and doesn't follow it when it steps.
//! An estimate states its error, so that a caller can use the bound that errs on the safe side.

mod estimate;
mod tracker;

pub use estimate::Estimate;
pub use tracker::Clock;
