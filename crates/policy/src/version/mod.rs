//! State with the lifetime of a configuration generation or a weight version: the distribution of
//! the configuration, training steps, and rollouts of weights.

use std::sync::Arc;

use tamaracksail_model::config::Snapshot;

pub mod fetch;
pub mod head;
pub mod ledger;
pub mod owner;
pub mod publish;
pub mod replica;
pub mod rollout;

/// Replaces `current` by `config` if `config` is of a newer generation.
pub(crate) fn replace_if_newer(current: &mut Option<Arc<Snapshot>>, config: Arc<Snapshot>) {
    if current
        .as_ref()
        .is_none_or(|current| current.generation < config.generation)
    {
        *current = Some(config);
    }
}
