//! Which stored batches may be removed.

use std::collections::BTreeMap;
use std::time::Duration;

use tamaracksail_model::time::Instant;

use crate::clock::Estimate;

/// The factor on the retention of a batch that its client never ended.
const OPEN_BATCH_FACTOR: u32 = 30;

/// A batch in the store.
#[derive(Clone, Debug)]
pub struct Stored {
    /// The batch's id.
    pub id: String,
    /// When it was submitted.
    pub submitted: Estimate,
    /// Whether its client has ended it.
    pub is_ended: bool,
}

/// The batches that a process has seen in the store, and since when.
///
/// A batch is at least as old as this process has known it, even if estimates of time are uncertain.
#[derive(Clone, Debug, Default)]
pub struct Retention {
    first_seen: BTreeMap<String, Instant>,
}

impl Retention {
    /// Returns which of the batches `stored`, which are all that exist, are certainly older than
    /// their retention. `time` is the true time at `now`, if it is known.
    pub fn expired(
        &mut self,
        now: Instant,
        time: Option<Estimate>,
        stored: Vec<Stored>,
        retention: Duration,
    ) -> Vec<String> {
        let mut first_seen = BTreeMap::new();
        let mut expired = Vec::new();
        for batch in stored {
            let seen = self.first_seen.get(&batch.id).copied().unwrap_or(now);
            let by_time = time.map_or(Duration::ZERO, |time| time.min_age(batch.submitted));
            let limit = if batch.is_ended {
                retention
            } else {
                retention * OPEN_BATCH_FACTOR
            };
            first_seen.insert(batch.id.clone(), seen);
            if by_time.max(now.since(seen)) > limit {
                expired.push(batch.id);
            }
        }
        self.first_seen = first_seen;
        expired
    }
}

/// Returns when the items of a batch are given up that was submitted at `submitted` and whose items
/// may take `patience`. `time` is the true time at `now`, if it is known. An age that is uncertain
/// gives no item up early.
#[must_use]
pub fn item_expiry(
    now: Instant,
    time: Option<Estimate>,
    submitted: Estimate,
    patience: Duration,
) -> Instant {
    let age = time.map_or(Duration::ZERO, |time| time.min_age(submitted));
    now.after(patience.saturating_sub(age))
}
