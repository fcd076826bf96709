//! One call that waits for a score.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_model::reward;
use tamaracksail_model::time::Instant;

use crate::fleet::ServerKey;

slotmap::new_key_type! {
    /// Identifies a call.
    pub struct CallKey;
}

/// The delay before a call is sent again. Doubles with each send that brought no response.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The longest such delay.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A call that waits for a score.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) call: Rc<reward::Call>,
    /// The service that handled its route when it was last to be sent.
    pub(super) service: String,
    /// When it is given up.
    pub(super) deadline: Instant,
    /// The number of reported failures at which it has failed for good.
    pub(super) max_failures: u32,
    /// The number of reported failures.
    pub(super) failures: u32,
    /// Since when it waits for its score.
    pub(super) since: Instant,
    /// When it may be sent again.
    pub(super) retry_at: Instant,
    /// Consecutive sends that brought no response of a server that ran the call.
    pub(super) losses: u32,
    /// The sends that wait for a response.
    pub(super) sends: Vec<u64>,
    /// The servers of all sends.
    pub(super) tried: Vec<ServerKey>,
}

impl Pending {
    /// Whether the call is to be sent now.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.sends.is_empty() && now >= self.retry_at
    }

    /// Records a send without a response of a server that ran the call, and delays the next one.
    pub(super) fn record_loss(&mut self, now: Instant) {
        let delay = INITIAL_RETRY_DELAY * 2u32.saturating_pow(self.losses.min(8));
        self.losses += 1;
        self.retry_at = now.after(delay.min(MAX_RETRY_DELAY));
    }
}
