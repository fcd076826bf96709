//! Request limits of backend servers, as this process keeps to them.

mod cause;

pub use cause::Cause;
