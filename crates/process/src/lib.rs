//! What every process of the system has: settings, logs, metrics, traces, a clock and a stop.
//!
//! Binaries start with [`settings::Parser`], then [`logs::start`], then serve the routes of
//! [`health`] beside their own.

pub mod clock;
pub mod health;
pub mod logs;
pub mod metrics;
pub mod serve;
pub mod settings;
pub mod stop;
pub mod trace;
