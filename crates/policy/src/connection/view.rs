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
    pub struct Server;
}

/// The expected service time of a server that has not reported one.
const DEFAULT_SERVICE: Duration = Duration::from_millis(200);

/// The weight of a new service time in the running mean, as a divisor.
const SMOOTHING: u32 = 8;

/// The weight of a report in the mean of other entries' attempts.
const OTHERS_WEIGHT: f64 = 0.25;

/// The least share of its reported limit that the entry grants a server.
const MIN_LIMIT: f64 = 1.0;

/// A load report and when it was received.
#[derive(Clone, Copy, Debug)]
struct Heard {
    load: Load,
    at: Instant,
}

/// One server as seen from one entry.
#[derive(Clone, Debug)]
pub struct View {
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
    pub link: Breaker,
    /// The breaker of runs, closed only by whole answers: a server may be reached and still fail.
    pub runs: Breaker,
    heard: Option<Heard>,
    /// Our attempts in flight there.
    sent: BTreeSet<id::Attempt>,
    service: Duration,
    /// Attempts of other entries there.
    others: f64,
    /// The attempts that may be in flight there from everybody, adapted to refusals.
    limit: f64,
}

impl View {
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
            link: Breaker::default(),
            runs: Breaker::default(),
            heard: None,
            sent: BTreeSet::new(),
            service: DEFAULT_SERVICE,
            others: 0.0,
            limit: f64::from(concurrency) * 2.0,
        }
    }

    /// Takes a load report.
    pub fn hear(&mut self, now: Instant, load: Load) {
        let reported = f64::from(load.running) + f64::from(load.queued);
        let others = (reported - count(self.sent.len())).max(0.0);
        self.others += (others - self.others) * OTHERS_WEIGHT;
        self.heard = Some(Heard { load, at: now });
        if !load.service.is_zero() {
            self.service = (self.service * (SMOOTHING - 1) + load.service) / SMOOTHING;
        }
    }

    /// An attempt leaves for the server.
    pub fn send(&mut self, attempt: id::Attempt) {
        self.sent.insert(attempt);
    }

    /// An attempt is over.
    pub fn finish(&mut self, attempt: id::Attempt) {
        self.sent.remove(&attempt);
    }

    /// The server did not refuse: the limit grows by about one per round of attempts.
    pub fn grow_limit(&mut self) {
        let most = self
            .heard
            .map_or(f64::MAX, |heard| f64::from(heard.load.limit) * 2.0);
        self.limit = (self.limit + 1.0 / self.limit).min(most.max(MIN_LIMIT));
    }

    /// The server refused for want of room: the limit shrinks.
    pub fn shrink_limit(&mut self) {
        const FACTOR: f64 = 0.8;
        self.limit = (self.limit * FACTOR).max(MIN_LIMIT);
    }

    /// The report, while it is valid.
    #[must_use]
    pub fn load(&self, now: Instant) -> Option<Load> {
        let valid = self
            .heard
            .filter(|heard| now.since(heard.at) < heard.load.valid);
        valid.map(|heard| heard.load)
    }

    /// Our attempts in flight there.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.sent.len()
    }

    /// The attempts at the server. Our own are known exactly and at once; those of other entries
    /// change slowly as a whole, so they are a running mean over reports of whatever age.
    #[must_use]
    pub fn estimate(&self, now: Instant) -> f64 {
        let own = count(self.sent.len());
        match self.load(now) {
            Some(_) => own + self.others,
            None => own,
        }
    }

    /// The expected time until a further attempt is done.
    #[must_use]
    pub fn expected_delay(&self, now: Instant) -> Duration {
        let lanes = self.heard.map_or(1, |heard| heard.load.limit).max(1);
        let waiting = (self.estimate(now) + 1.0 - f64::from(lanes)).max(0.0);
        self.service.mul_f64(1.0 + waiting / f64::from(lanes))
    }

    /// The mean time that an attempt runs there.
    #[must_use]
    pub fn service(&self) -> Duration {
        self.service
    }

    /// Whether new attempts may go there at all.
    #[must_use]
    pub fn is_eligible(&self, now: Instant) -> bool {
        let reported = self.load(now).is_none_or(|load| load.up && !load.leaving);
        !self.leaving && self.incarnation.is_some() && reported && self.is_trusted(now)
    }

    fn is_trusted(&self, now: Instant) -> bool {
        self.link.is_closed(now) && self.runs.is_closed(now)
    }

    /// Whether there is room for a further attempt of a class. Waiting attempts of training give
    /// way to the others, so those see only their own kind.
    #[must_use]
    pub fn has_room(&self, now: Instant, class: Class) -> bool {
        let all = self.estimate(now);
        let ahead = match (class, self.load(now)) {
            (Class::Training, _) | (_, None) => all,
            (Class::Interactive | Class::Review, Some(load)) => all - f64::from(load.training),
        };
        ahead + 1.0 <= self.limit.max(MIN_LIMIT)
    }
}

fn count(attempts: usize) -> f64 {
    f64::from(u32::try_from(attempts).unwrap_or(u32::MAX))
}
