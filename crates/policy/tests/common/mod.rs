//! The harness: real machines joined by one queue of real encoded messages.
//!
//! `world` holds entries, agents, engines and the platform; `observer` sees only what callers
//! and engines saw and checks the promises; `platform` is the fake of the object API.

#![allow(dead_code, reason = "each test binary uses a part of the harness")]

pub mod fault;
pub mod fleet;
pub mod matrix;
pub mod observer;
pub mod platform;
pub mod spread;
pub mod steps;
pub mod world;
