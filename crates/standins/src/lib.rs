//! Small stand-ins for the systems around tamaracksail, for tests and the quickstart.
//!
//! Each is a binary under `bin/` and a module here: [`platform`], [`engine`], [`service`].
//! All keep their state in memory and take their faults as JSON on `POST /faults`.

pub mod engine;
pub mod faults;
pub mod platform;
pub mod scorer;
pub mod serve;
pub mod service;
pub mod trainer;
