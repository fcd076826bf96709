//! A rollout controller's view of a server.

use std::time::Duration;

use tamaracksail_model::id::{self, Version};
use tamaracksail_model::time::Instant;

/// The time after which a server that has the target version gets a load command again, since it
/// may have restarted with another version.
const RECHECK_INTERVAL: Duration = Duration::from_secs(30);

/// The source of the weights for a load command.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Source {
    Store,
    Peer(id::Host),
}

/// A load command that has no outcome yet.
#[derive(Clone, Debug)]
pub(super) struct Loading {
    pub(super) source: Source,
    pub(super) since: Instant,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Server {
    pub(super) loaded: Option<Version>,
    pub(super) loading: Option<Loading>,
    /// The number of failures since the last success.
    pub(super) failures: u32,
    /// The earliest time of the next load command.
    pub(super) retry_at: Instant,
    pub(super) last_command_at: Option<Instant>,
}

impl Server {
    /// Returns whether a load command is due: the server lacks the version, or was last sent a
    /// command [`RECHECK_INTERVAL`] ago.
    pub(super) fn is_due(&self, now: Instant, target: Version) -> bool {
        if self.loading.is_some() {
            return false;
        }
        let is_recheck_due = self
            .last_command_at
            .is_none_or(|at| now.since(at) >= RECHECK_INTERVAL);
        now >= self.retry_at && (self.loaded != Some(target) || is_recheck_due)
    }
}
