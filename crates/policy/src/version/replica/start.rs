//! What a starting replica has heard from its peers.

use std::collections::BTreeSet;
use std::time::Duration;

use tamaracksail_model::id;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::Gossip;

use super::Seed;

/// The longest time between two events of a process that runs. Ticks are due at least every 500 ms.
const MAX_EVENT_GAP: Duration = Duration::from_secs(2);

/// How long after a suspension messages from before it may still be handled.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// What a starting replica has heard from ready peers.
#[derive(Debug, Default)]
pub(super) struct Start {
    /// The domains of peers whose announced generation the replica has reached.
    domains: BTreeSet<id::Domain>,
    /// The newest generation that a peer has announced.
    newest: id::Generation,
    /// When the last event was handled.
    handled_at: Option<Instant>,
    /// Messages before this time may be from before a suspension.
    heard_from: Instant,
}

impl Start {
    /// Records that the replica handles an event. Returns when peers are to be asked again, if the process was
    /// suspended since the last event: what it has heard and asked for is out of date.
    pub fn resume(&mut self, now: Instant) -> Option<Instant> {
        let before = self.handled_at.replace(now)?;
        if now.since(before) <= MAX_EVENT_GAP {
            return None;
        }
        self.domains.clear();
        self.heard_from = now.after(SETTLE_TIME);
        Some(self.heard_from)
    }

    /// Records a message of a peer. `reached` is the newest generation that the replica has.
    pub fn hear(&mut self, now: Instant, peer: &Gossip, reached: id::Generation) {
        if !peer.ready || now < self.heard_from {
            return;
        }
        self.newest = self.newest.max(peer.sender.generation);
        if reached >= peer.sender.generation {
            self.domains.insert(peer.sender.domain.clone());
        }
    }

    /// Returns whether ready peers in a majority of the seeds' domains have announced their generations, and
    /// the replica has reached the newest of these. An accepted change reaches most domains within seconds, so
    /// at least one of these peers has it. A single peer is not sufficient, since it may be stale.
    #[must_use]
    pub fn has_majority(&self, seeds: &[Seed], reached: id::Generation) -> bool {
        let domains: BTreeSet<&id::Domain> = seeds.iter().map(|seed| &seed.domain).collect();
        let is_majority = self.domains.len() * 2 > domains.len() && !domains.is_empty();
        is_majority && reached >= self.newest
    }
}
