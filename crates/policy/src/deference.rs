//! How a host that is short of processor time lets others take the lease first.

use std::time::Duration;

use tamaracksail_model::time::Instant;

/// How long it lets others go first. They look at the lease once a second, and most hear of its
/// release at once.
const LEAD: Duration = Duration::from_millis(500);

/// Since when a weak host could have taken the lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct Deference {
    since: Option<Instant>,
}

impl Deference {
    /// Notes that the lease is held, here or elsewhere.
    pub fn held(&mut self) {
        self.since = None;
    }

    /// Notes that the lease may be taken. Returns how long a weak host still waits.
    pub fn takeable(&mut self, now: Instant) -> Duration {
        let since = *self.since.get_or_insert(now);
        LEAD.saturating_sub(now.since(since))
    }
}
