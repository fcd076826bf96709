//! Objects, identifiers, units and the whole-set check. No I/O.
//!
//! Start with [`object`] for what operators declare, [`config`] for the immutable
//! snapshot that every process holds, and [`check`] for the rules a set must meet.
//! Messages between processes are in `tamaracksail-wire`.

#[macro_use]
mod derive;

pub mod backend;
pub mod batch;
pub mod change;
pub mod check;
pub mod checkpoint;
pub mod config;
pub mod host;
pub mod id;
pub mod manifest;
pub mod object;
pub mod outcome;
pub mod route;
pub mod store;
pub mod table;
pub mod time;
