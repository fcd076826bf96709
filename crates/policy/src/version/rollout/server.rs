//! What a rollout knows of one server.

use std::time::Duration;

use tamaracksail_model::id::{self, Version};
use tamaracksail_model::time::Instant;

/// The time after which a server that has loaded is asked again: it may have restarted.
const RECHECK: Duration = Duration::from_secs(30);

/// Where the weights of an order come from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Source {
    Store,
    Peer(id::Host),
}

#[derive(Clone, Debug)]
pub(super) struct Loading {
    pub(super) source: Source,
    pub(super) since: Instant,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Server {
    pub(super) loaded: Option<Version>,
    pub(super) loading: Option<Loading>,
    pub(super) failures: u32,
    pub(super) not_before: Instant,
    pub(super) asked_at: Option<Instant>,
}

impl Server {
    /// Whether an order is due: the version is missing, or was not looked at for long.
    pub(super) fn is_due(&self, now: Instant, target: Version) -> bool {
        if self.loading.is_some() {
            return false;
        }
        let is_old = self.asked_at.is_none_or(|at| now.since(at) >= RECHECK);
        now >= self.not_before && (self.loaded != Some(target) || is_old)
    }
}
