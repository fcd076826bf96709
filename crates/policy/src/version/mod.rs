//! What lives as long as a weight version or a generation of the configuration.

use std::sync::Arc;

use tamaracksail_model::config::Snapshot;

pub mod fetch;
pub mod head;
pub mod ledger;
pub mod owner;
pub mod publish;
pub mod replica;
pub mod rollout;

/// Puts a configuration in force, unless it is older than the one there.
pub(crate) fn take_newer(current: &mut Option<Arc<Snapshot>>, config: Arc<Snapshot>) {
    if current
        .as_ref()
        .is_none_or(|current| current.generation < config.generation)
    {
        *current = Some(config);
    }
}
