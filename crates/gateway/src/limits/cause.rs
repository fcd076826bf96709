//! Why a request is sent to a server.

use tamaracksail_policy::fleet::ServerKey;

use crate::gateway::Gateway;

/// Why a request is sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It is the first attempt.
    First,
    /// An attempt before it failed.
    Retry,
    /// An attempt before it takes long.
    Hedge,
    /// A stream broke off and continues.
    Resume,
    /// It runs an item of a batch.
    Item,
    /// It scores the text of an item.
    Reward,
}

impl Cause {
    /// Counts a request that is sent to a server, if the server states a limit.
    pub fn count(self, gateway: &Gateway, key: ServerKey) {
        if gateway.fleet.borrow().limiter().limit(key).is_none() {
            return;
        }
        let cause = match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
            Self::Resume => "resume",
            Self::Item => "item",
            Self::Reward => "reward",
        };
        let sends = &gateway.metrics.limited_sends;
        sends.with_label_values(&[cause]).inc();
    }
}
