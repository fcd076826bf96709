//! The settings of a rollout controller.

use tamaracksail_model::id;
use tamaracksail_model::plain;

use crate::process::lease::Claimant;

plain! {
    /// The settings of a rollout controller.
    pub struct Settings {
        /// The model.
        pub model: id::Object,
        /// The process that owns the rollout or may acquire it.
        pub claimant: Claimant,
        /// The maximum number of servers that load from the weight store at a time.
        #[serde(rename = "store_limit")]
        pub max_loads_from_store: u32,
        /// The maximum number of servers that load from one peer at a time.
        #[serde(rename = "fan_out")]
        pub max_loads_per_peer: u32,
        /// The maximum number of servers that load at a time, in percent of all servers. At least
        /// one may load.
        #[serde(rename = "out_percent")]
        pub max_loading_percent: u32,
    }
}
