//! What an entry knows of one backend server.

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
    /// A server in an entry's arena.
    pub struct ServerKey;
}

/// The expected service time of a server that has not reported one.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(200);

/// The weight of a new service time in the running mean, as a divisor.
const SMOOTHING: u32 = 8;

/// The weight of a report in the mean of other entries' attempts.
const OTHER_ATTEMPTS_WEIGHT: f64 = 0.25;

/// The least share of its reported limit that the entry grants a server.
const MIN_ATTEMPT_LIMIT: f64 = 1.0;

/// A load report and when it was received.
#[derive(Clone, Copy, Debug)]
struct ReceivedLoad {
    load: Load,
    at: Instant,
}

/// One server as seen from one entry.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// The host.
    pub host: id::Host,
    /// Where its agent listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The pool or service it belongs to.
    pub serves: id::Object,
    /// The life of its agent, once heard.
    pub incarnation: Option<id::Incarnation>,
    /// Whether the host list says that it is leaving.
    pub leaving: bool,
    /// The versions loaded, as last reported.
    pub versions: BTreeMap<id::Object, id::Version>,
    /// The breaker of the link, closed by heartbeats.
    pub link_breaker: Breaker,
    /// The breaker of runs, closed only by whole answers: a server may be reached and still fail.
    pub run_breaker: Breaker,
    last_load: Option<ReceivedLoad>,
    /// Our attempts in flight there.
    own_attempts: BTreeSet<id::Attempt>,
    service_time: Duration,
    /// Attempts of other entries there.
    other_attempts: f64,
    /// The attempts that may be in flight there from everybody, adapted to refusals.
    attempt_limit: f64,
}

impl ServerView {
    /// A server of the host list, nothing heard of it yet.
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

    /// Takes a load report.
    pub fn record_load(&mut self, now: Instant, load: Load) {
        let reported = f64::from(load.running) + f64::from(load.queued);
        let other_attempts = (reported - count(self.own_attempts.len())).max(0.0);
        self.other_attempts += (other_attempts - self.other_attempts) * OTHER_ATTEMPTS_WEIGHT;
        self.last_load = Some(ReceivedLoad { load, at: now });
        if !load.service.is_zero() {
            self.service_time = (self.service_time * (SMOOTHING - 1) + load.service) / SMOOTHING;
        }
    }

    /// An attempt leaves for the server.
    pub fn record_dispatch(&mut self, attempt: id::Attempt) {
        self.own_attempts.insert(attempt);
    }

    /// An attempt is over.
    pub fn record_end(&mut self, attempt: id::Attempt) {
        self.own_attempts.remove(&attempt);
    }

    /// The server did not refuse: the limit grows by about one per round of attempts.
    pub fn grow_limit(&mut self) {
        let most = self
            .last_load
            .map_or(f64::MAX, |last_load| f64::from(last_load.load.limit) * 2.0);
        self.attempt_limit =
            (self.attempt_limit + 1.0 / self.attempt_limit).min(most.max(MIN_ATTEMPT_LIMIT));
    }

    /// The server refused for want of room: the limit shrinks.
    pub fn shrink_limit(&mut self) {
        const FACTOR: f64 = 0.8;
        self.attempt_limit = (self.attempt_limit * FACTOR).max(MIN_ATTEMPT_LIMIT);
    }

    /// The report, while it is valid.
    #[must_use]
    pub fn load(&self, now: Instant) -> Option<Load> {
        let valid = self
            .last_load
            .filter(|last_load| now.since(last_load.at) < last_load.load.valid);
        valid.map(|last_load| last_load.load)
    }

    /// Our attempts in flight there.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.own_attempts.len()
    }

    /// The attempts at the server. Our own are known exactly and at once; those of other entries
    /// change slowly as a whole, so they are a running mean over reports of whatever age.
    #[must_use]
    pub fn estimated_load(&self, now: Instant) -> f64 {
        let own = count(self.own_attempts.len());
        match self.load(now) {
            Some(_) => own + self.other_attempts,
            None => own,
        }
    }

    /// The expected time until a further attempt is done.
    #[must_use]
    pub fn expected_delay(&self, now: Instant) -> Duration {
        let slots = self
            .last_load
            .map_or(1, |last_load| last_load.load.limit)
            .max(1);
        let waiting = (self.estimated_load(now) + 1.0 - f64::from(slots)).max(0.0);
        self.service_time.mul_f64(1.0 + waiting / f64::from(slots))
    }

    /// The mean time that an attempt runs there.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Whether new attempts may go there at all.
    #[must_use]
    pub fn is_eligible(&self, now: Instant) -> bool {
        let reported = self.load(now).is_none_or(|load| load.up && !load.leaving);
        !self.leaving && self.incarnation.is_some() && reported && self.are_breakers_closed(now)
    }

    fn are_breakers_closed(&self, now: Instant) -> bool {
        self.link_breaker.is_closed(now) && self.run_breaker.is_closed(now)
    }

    /// Whether there is room for a further attempt of a class. Waiting attempts of training give
    /// way to the others, so those see only their own kind.
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

fn count(attempts: usize) -> f64 {
    f64::from(u32::try_from(attempts).unwrap_or(u32::MAX))
}
