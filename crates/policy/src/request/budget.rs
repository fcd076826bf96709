//! The retry budget, which limits retries to a share of the traffic instead of a count per
//! request.

/// Thousandths of a retry.
type MilliRetries = u64;

const ONE_RETRY: MilliRetries = 1000;

/// A token bucket that first attempts fill and retries empty.
///
/// Invariant: over any period, retries are at most the reserve plus the configured share of the
/// first attempts in it, so retries cannot amplify an outage.
#[derive(Clone, Debug)]
pub struct Budget {
    level: MilliRetries,
    capacity: MilliRetries,
}

impl Budget {
    /// Creates a full bucket, which holds `reserve` retries.
    #[must_use]
    pub fn new(reserve: u32) -> Self {
        let capacity = MilliRetries::from(reserve) * ONE_RETRY;
        Self {
            level: capacity,
            capacity,
        }
    }

    /// Adds `percent` of a retry for a first attempt, up to the capacity of the bucket.
    pub fn deposit(&mut self, percent: u32) {
        let earned = MilliRetries::from(percent) * ONE_RETRY / 100;
        self.level = (self.level + earned).min(self.capacity);
    }

    /// Takes one retry. Returns `false` if none is left.
    pub fn withdraw(&mut self) -> bool {
        if self.level < ONE_RETRY {
            return false;
        }
        self.level -= ONE_RETRY;
        true
    }
}
