//! The parts that all processes of the system share: settings, logs, metrics, traces, a clock and
//! the handling of signals.
//!
//! A binary reads its settings with [`settings::Parser`], calls [`logs::start`], and serves the
//! routes of [`health`] together with its own.

pub mod clock;
pub mod health;
pub mod logs;
pub mod metrics;
pub mod serve;
pub mod settings;
pub mod stop;
pub mod trace;
