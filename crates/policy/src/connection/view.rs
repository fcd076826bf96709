//! What an entry knows about a backend server.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use tamaracksail_model::host;
use tamaracksail_model::id;
use tamaracksail_model::outcome::Class;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::Load;

use super::breaker::Breaker;

slotmap::new_key_type! {
    /// Identifies a backend server in the state of an entry.
    pub struct ServerKey;
}

/// The service time that is assumed for a server that has not reported one.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(200);

/// The divisor of the moving average of service times: a new one has the weight `1 / SMOOTHING`.
const SMOOTHING: u32 = 8;

/// The weight of a load report in the moving average of the attempts of other entries.
const OTHER_ATTEMPTS_WEIGHT: f64 = 0.25;

/// The lower bound of [`ServerView::attempt_limit`].
const MIN_ATTEMPT_LIMIT: f64 = 1.0;

/// A load report, and when it was received.
#[derive(Clone, Copy, Debug)]
struct ReceivedLoad {
    load: Load,
    at: Instant,
}

/// A backend server as seen by one entry.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// The host of the server and its agent.
    pub host: id::Host,
    /// The address of the agent.
    pub address: SocketAddr,
    /// The failure domain of the host.
    pub domain: id::Domain,
    /// The pool or service that the server belongs to.
    pub serves: id::Object,
    /// The incarnation of the agent, once the agent has responded to a heartbeat.
    pub incarnation: Option<id::Incarnation>,
    /// Whether the host list marks the host as leaving or no longer has it.
    pub leaving: bool,
    /// The loaded version of each model, as last reported.
    pub versions: BTreeMap<id::Object, id::Version>,
    /// The breaker of the connection to the agent, which any response to a heartbeat closes.
    pub link_breaker: Breaker,
    /// The breaker of runs, which only a complete response closes: a server may be reachable and
    /// still fail.
    pub run_breaker: Breaker,
    last_load: Option<ReceivedLoad>,
    /// The attempts of this entry that are in flight at the server.
    own_attempts: BTreeSet<id::Attempt>,
    service_time: Duration,
    /// The estimated number of attempts of other entries at the server.
    other_attempts: f64,
    /// The number of attempts of all entries that may be in flight at the server. Shrinks when the
    /// server refuses an attempt because it is full.
    attempt_limit: f64,
}

impl ServerView {
    /// Creates the view of a server of the host list that has not responded yet.
    #[must_use]
    pub fn new(host: &host::Host, serves: id::Object, concurrency: u32) -> Self {
        Self {
            host: host.name.clone(),
            address: host.address,
            domain: host.domain.clone(),
            serves,
            incarnation: None,
            leaving: host.phase == host::Phase::Leaving,
            versions: BTreeMap::new(),
            link_breaker: Breaker::default(),
            run_breaker: Breaker::default(),
            last_load: None,
            own_attempts: BTreeSet::new(),
            service_time: DEFAULT_SERVICE_TIME,
            other_attempts: 0.0,
            attempt_limit: f64::from(concurrency) * 2.0,
        }
    }

    /// Records a load report.
    pub fn record_load(&mut self, now: Instant, load: Load) {
        let reported = f64::from(load.running) + f64::from(load.queued);
        let other_attempts = (reported - to_f64(self.own_attempts.len())).max(0.0);
        self.other_attempts += (other_attempts - self.other_attempts) * OTHER_ATTEMPTS_WEIGHT;
        self.last_load = Some(ReceivedLoad { load, at: now });
        if !load.service.is_zero() {
            self.service_time = (self.service_time * (SMOOTHING - 1) + load.service) / SMOOTHING;
        }
    }

    /// Records that an attempt was sent to the server.
    pub fn record_dispatch(&mut self, attempt: id::Attempt) {
        self.own_attempts.insert(attempt);
    }

    /// Records that an attempt ended.
    pub fn record_end(&mut self, attempt: id::Attempt) {
        self.own_attempts.remove(&attempt);
    }

    /// Raises the limit after an attempt that was not refused, by about one for every `limit`
    /// attempts.
    pub fn grow_limit(&mut self) {
        let max = self
            .last_load
            .map_or(f64::MAX, |received| f64::from(received.load.limit) * 2.0);
        self.attempt_limit =
            (self.attempt_limit + 1.0 / self.attempt_limit).min(max.max(MIN_ATTEMPT_LIMIT));
    }

    /// Lowers the limit after the server refused an attempt because it is full.
    pub fn shrink_limit(&mut self) {
        const SHRINK_FACTOR: f64 = 0.8;
        self.attempt_limit = (self.attempt_limit * SHRINK_FACTOR).max(MIN_ATTEMPT_LIMIT);
    }

    /// Returns the last load report if it is still valid.
    #[must_use]
    pub fn load(&self, now: Instant) -> Option<Load> {
        let valid = self
            .last_load
            .filter(|received| now.since(received.at) < received.load.valid);
        valid.map(|received| received.load)
    }

    /// Returns the number of attempts of this entry that are in flight at the server.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.own_attempts.len()
    }

    /// Returns the estimated number of attempts at the server. The attempts of this entry are
    /// known exactly. The sum of those of other entries changes slowly, so it is estimated by a
    /// moving average over the load reports, however old they are.
    #[must_use]
    pub fn estimated_load(&self, now: Instant) -> f64 {
        let own = to_f64(self.own_attempts.len());
        match self.load(now) {
            Some(_) => own + self.other_attempts,
            None => own,
        }
    }

    /// Returns the expected time until a further attempt would end.
    #[must_use]
    pub fn expected_delay(&self, now: Instant) -> Duration {
        let slots = self
            .last_load
            .map_or(1, |received| received.load.limit)
            .max(1);
        let queued = (self.estimated_load(now) + 1.0 - f64::from(slots)).max(0.0);
        self.service_time.mul_f64(1.0 + queued / f64::from(slots))
    }

    /// Returns the moving average of the time that an attempt runs at the server.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Returns whether new attempts may be sent to the server, if it has room.
    #[must_use]
    pub fn is_eligible(&self, now: Instant) -> bool {
        let is_available = self.load(now).is_none_or(|load| load.up && !load.leaving);
        !self.leaving && self.incarnation.is_some() && is_available && self.are_breakers_closed(now)
    }

    fn are_breakers_closed(&self, now: Instant) -> bool {
        self.link_breaker.is_closed(now) && self.run_breaker.is_closed(now)
    }

    /// Returns whether the server has room for a further attempt of a class. Training attempts
    /// that wait at the server make way for other classes, so they only count against training.
    #[must_use]
    pub fn has_room(&self, now: Instant, class: Class) -> bool {
        let all = self.estimated_load(now);
        let ahead = match (class, self.load(now)) {
            (Class::Training, _) | (_, None) => all,
            (Class::Interactive | Class::Review, Some(load)) => all - f64::from(load.training),
        };
        ahead + 1.0 <= self.attempt_limit.max(MIN_ATTEMPT_LIMIT)
    }
}

fn to_f64(attempts: usize) -> f64 {
    f64::from(u32::try_from(attempts).unwrap_or(u32::MAX))
}
