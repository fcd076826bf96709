//! The limits of all servers.

use slotmap::SecondaryMap;
use tamaracksail_model::rate::Rate;

use super::observation::Observation;
use crate::fleet::ServerKey;

/// The limits that servers have stated.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    observations: SecondaryMap<ServerKey, Observation>,
}

impl Limiter {
    /// Records what a server stated, unless something newer is known. Returns whether the limit
    /// changed.
    pub fn observe(&mut self, key: ServerKey, observation: Observation) -> bool {
        let known = self.observations.get(key).copied();
        if known.is_some_and(|known| known.at > observation.at) {
            return false;
        }
        self.observations.insert(key, observation);
        known.and_then(|known| known.limit) != observation.limit
    }

    /// Returns the limit of a server, if it has one.
    #[must_use]
    pub fn limit(&self, key: ServerKey) -> Option<Rate> {
        self.observations.get(key)?.limit
    }

    /// Forgets a server.
    pub(crate) fn remove(&mut self, key: ServerKey) {
        self.observations.remove(key);
    }
}
