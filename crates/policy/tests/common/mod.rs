//! The test harness: the real state machines, connected by one queue of encoded messages.
//!
//! `world` holds entries, agents, engines and the platform. `observer` records only what callers
//! and engines see and checks the guarantees. `platform` is a fake of the platform's object API.

#![allow(dead_code, reason = "each test binary uses a part of the harness")]

pub mod fault;
pub mod fleet;
pub mod matrix;
pub mod observer;
pub mod platform;
pub mod spread;
pub mod steps;
pub mod world;
