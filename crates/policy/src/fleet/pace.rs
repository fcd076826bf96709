//! The use of the pace that servers state, in the choice among them.

use std::time::Duration;

use tamaracksail_model::pace::Reading;
use tamaracksail_model::time::Instant;

use super::{Fleet, LOAD_VALIDITY, Query, Server, ServerKey};
use crate::pace::{Pace, READING_VALIDITY, Trust};

/// How many times as fast the server of a second attempt must be at a loaded service.
const MIN_HEDGE_GAIN: f64 = 2.0;

impl Fleet {
    /// Records the pace that a server stated. Returns whether this changes the use of its figures:
    /// those of a server whose durations do not agree with its peers' are not used.
    pub fn record_pace(&mut self, now: Instant, key: ServerKey, reading: Reading) -> Option<Trust> {
        let server = self.servers.get_mut(key)?;
        server.latency.record_reading(now, reading);
        server.latency.judged_seconds()?;
        let service = &self.servers[key].registration.service;
        let mut peers: Vec<f64> = self
            .servers
            .iter()
            .filter(|(other, server)| *other != key && server.registration.service == *service)
            .filter_map(|(_, server)| server.latency.judged_seconds())
            .collect();
        peers.sort_by(f64::total_cmp);
        // Of two servers that disagree, neither is known to be wrong.
        let median = *peers.get(peers.len() / 2).filter(|_| peers.len() > 1)?;
        self.servers.get_mut(key)?.latency.judge(median)
    }

    /// Returns the pace of a server as its figures state it.
    #[must_use]
    pub fn pace(&self, key: ServerKey) -> Option<&Pace> {
        self.servers.get(key).map(|server| server.latency.pace())
    }

    /// Whether a second attempt at a request pays now. `is_overdue` says that the response of the
    /// server `key` is later than its caller's objective.
    ///
    /// The server that would get it must have a third of its slots free as far as it is known, and be faster than
    /// `key` by [`MIN_HEDGE_GAIN`], unless the response is overdue. At a
    /// loaded service, second attempts at requests that are merely long take the slots of others.
    /// Always so if the server `key` states no pace: its requests are served as without figures.
    #[must_use]
    pub fn hedge_pays(&self, now: Instant, key: ServerKey, query: Query, is_overdue: bool) -> bool {
        let Some(server) = self.servers.get(key) else {
            return true;
        };
        if !server.latency.pace().is_known() {
            return true;
        }
        let except: Vec<ServerKey> = query.except.iter().copied().chain([key]).collect();
        let query = Query {
            except: &except,
            ..query
        };
        let other = self.choose(now, query);
        let Some(other) = other.and_then(|other| self.servers.get(other)) else {
            return false;
        };
        let (load, slots) = (other.load(now), other.registration.slots);
        let expected = |server: &Server| server.expected_latency(now, query.domain);
        let is_faster = expected(server) >= MIN_HEDGE_GAIN * expected(other);
        load < slots * 2 / 3 && (is_overdue || is_faster)
    }
}

impl Server {
    /// Returns how long a load that the server reported is used. For a server that states its pace, as
    /// long as a slow phase lasts, and longer while it is slow, since its queue takes longer to empty.
    /// With the shorter time, gateways that had not heard of a queue for 300 ms added to it.
    pub(super) fn load_validity(&self) -> Duration {
        match self.latency.pace().last() {
            Some(reading) => (READING_VALIDITY * 2).mul_f64(reading.factor().max(1.0)),
            None => LOAD_VALIDITY,
        }
    }

    /// Adds the duration of a request that has just ended.
    pub(super) fn record_latency(&mut self, now: Instant, duration: Duration) {
        let load = f64::from(self.load(now));
        let slots = f64::from(self.registration.slots.max(1));
        let congestion = ((load + 1.0) / slots).max(1.0);
        self.latency.record(now, duration, congestion);
        self.fastest = Some(self.fastest.map_or(duration, |known| known.min(duration)));
        self.responded_at = Some(now);
    }
}
