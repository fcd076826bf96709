//! Small stand-ins for the systems around tamaracksail, for tests and the quickstart.
//!
//! Each is a binary under `bin/` and a module here: [`platform`], [`engine`] and [`service`] are
//! servers, [`trainer`] and [`scorer`] are clients. The servers keep their state in memory, and
//! `POST /faults` sets the faults that they inject, as JSON.

pub mod engine;
pub mod faults;
pub mod platform;
pub mod scorer;
pub mod serve;
pub mod service;
pub mod trainer;
