//! The retry budget: retries are a share of the traffic, not a count per request.

/// Thousandths of a retry.
type Millis = u64;

const RETRY: Millis = 1000;

/// A bucket that first attempts fill and retries empty.
///
/// Invariant: over any span, retries are at most the reserve plus the share of the first
/// attempts in it, so retries cannot amplify an outage.
#[derive(Clone, Debug)]
pub struct Budget {
    level: Millis,
    cap: Millis,
}

impl Budget {
    /// A full bucket that holds `reserve` retries.
    #[must_use]
    pub fn new(reserve: u32) -> Self {
        let cap = Millis::from(reserve) * RETRY;
        Self { level: cap, cap }
    }

    /// Counts a first attempt, which earns `percent` of a retry.
    pub fn deposit(&mut self, percent: u32) {
        let earned = Millis::from(percent) * RETRY / 100;
        self.level = (self.level + earned).min(self.cap);
    }

    /// Takes one retry; `false` if none is left.
    pub fn withdraw(&mut self) -> bool {
        if self.level < RETRY {
            return false;
        }
        self.level -= RETRY;
        true
    }
}
