//! Configuration objects, identifiers and time, and the check of a whole set of objects. No I/O.
//!
//! Start with [`object`] for the objects that operators declare, [`config`] for the immutable
//! snapshot that every process has, and [`check`] for the rules that a set must meet.
//! Messages between processes are in `tamaracksail-wire`.

#[macro_use]
mod derive;

pub mod account;
pub mod backend;
pub mod batch;
pub mod carried;
pub mod change;
pub mod check;
pub mod checkpoint;
pub mod config;
pub mod host;
pub mod id;
pub mod manifest;
pub mod object;
pub mod outcome;
pub mod pace;
pub mod rate;
pub mod reward;
pub mod route;
pub mod status;
pub mod store;
pub mod table;
pub mod time;
pub mod usage;
