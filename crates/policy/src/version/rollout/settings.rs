//! The settings of a rollout.

use tamaracksail_model::id;
use tamaracksail_model::plain;

use crate::process::lease::Claimant;

plain! {
    /// The settings of a rollout.
    pub struct Settings {
        /// The model.
        pub model: id::Object,
        /// The host that owns or wants the rollout.
        pub claimant: Claimant,
        /// Servers that load from the weight store at a time.
        pub store_limit: u32,
        /// Servers that load from one peer at a time.
        pub fan_out: u32,
        /// Servers that load at a time, in percent of all; at least one.
        pub out_percent: u32,
    }
}
