//! The backend servers that requests may be sent to, and the choice among them.

mod locality;
mod pace;
mod room;

pub use locality::Left;

use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use slotmap::SlotMap;
use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::id;
use tamaracksail_model::time::Instant;

use crate::connection::choice;
use crate::limit::Limiter;
use crate::pace::Latency;
use crate::request::survival::Listing;

slotmap::new_key_type! {
    /// A backend server, from its start to its end. A server that restarts gets a new key.
    pub struct ServerKey;
}

/// How long a load that a server reported is used. Requests last tens of milliseconds.
const LOAD_VALIDITY: Duration = Duration::from_millis(300);

/// How long other servers are preferred to one that failed. Doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// The longest back-off. A server that crashed is back within seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// What a request to another failure domain costs: a round trip, and bytes that are paid for.
const CROSS_DOMAIN_COST: Duration = Duration::from_millis(8);

/// What a permit for a server with a request limit costs: a round trip to the gateway that grants it.
const PERMIT_COST: Duration = Duration::from_millis(8);

/// The number of departures that are kept. Those of servers that have stopped are of no use, but are
/// not told apart from those of servers that are missing in service discovery for a while.
const MAX_DEPARTURES: usize = 1024;

/// How sending a request to a server ended, as far as this tells something about the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The server responded after this time.
    Responded(Duration),
    /// The server refused the request because it is full.
    Refused,
    /// The response broke off, stopped arriving or was invalid.
    Failed,
    /// The gateway cancelled the request for a reason of its own, this long after sending it.
    Abandoned(Duration),
}

/// What a request requires of a server.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service that the server must belong to.
    pub service: &'a str,
    /// The only version of its software, for a stream that servers with this version have begun.
    pub software: Option<&'a str>,
    /// The failure domain of the caller.
    pub domain: &'a str,
    /// Servers that are left out.
    pub except: &'a [ServerKey],
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// The server's record in service discovery.
    pub registration: Registration,
    /// Requests that this gateway sent to the server and that have not ended.
    in_flight: u32,
    /// How long requests take.
    latency: Latency,
    /// The shortest latency, and when the server responded last.
    fastest: Option<Duration>,
    responded_at: Option<Instant>,
    /// The load that the server reported last, and when.
    load: Option<(u32, Instant)>,
    backoff_until: Instant,
    /// Consecutive back-offs.
    failures: u32,
    /// Requests that run alone on the server, or wait to do so.
    trials: u32,
    /// Whether one of them runs.
    is_on_trial: bool,
}

impl Server {
    fn new(registration: Registration) -> Self {
        Self {
            registration,
            in_flight: 0,
            latency: Latency::default(),
            fastest: None,
            responded_at: None,
            load: None,
            backoff_until: Instant(0),
            failures: 0,
            trials: 0,
            is_on_trial: false,
        }
    }

    /// Returns the number of requests that run or wait, as far as it is known.
    fn load(&self, now: Instant) -> u32 {
        let reported = self
            .load
            .filter(|(_, at)| now.since(*at) < self.load_validity())
            .map_or(0, |(load, _)| load);
        self.in_flight.max(reported)
    }

    /// Returns the expected number of seconds until a response, without the cost of leaving a domain.
    fn local_latency(&self, now: Instant) -> f64 {
        let load = f64::from(self.load(now));
        let slots = f64::from(self.registration.slots.max(1));
        // A server slows down as it fills, and requests beyond its slots are queued.
        let utilization = (load + 1.0) / slots;
        self.latency.expected_seconds(now) * (1.0 + utilization.max(utilization * utilization))
    }

    /// Returns the expected number of seconds until a response to a caller in `domain`.
    fn expected_latency(&self, now: Instant, domain: &str) -> f64 {
        let cross_domain_cost = if self.registration.domain == domain {
            0.0
        } else {
            CROSS_DOMAIN_COST.as_secs_f64()
        };
        self.local_latency(now) + cross_domain_cost
    }
}

/// All backend servers.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    servers: SlotMap<ServerKey, Server>,
    by_instance: BTreeMap<String, ServerKey>,
    /// Servers that announced that they are leaving: the instance id, and when the process started.
    /// They count as draining, whatever service discovery says.
    departures: VecDeque<(String, Option<u64>)>,
    limiter: Limiter,
    /// The shares of requests that leave the failure domain; off by default.
    locality: Option<locality::Locality>,
}

impl Fleet {
    /// Returns a fleet without servers, with this limiter.
    #[must_use]
    pub fn new(limiter: Limiter) -> Self {
        Self {
            limiter,
            ..Self::default()
        }
    }

    /// Adds a server, or updates its record, and returns the record that is in effect. A server that
    /// restarted replaces its predecessor. One that announced that it is leaving is draining.
    pub fn register(&mut self, mut registration: Registration) -> Registration {
        if self.departures.contains(&departure(&registration)) {
            registration.state = State::Draining;
        }
        let kept = registration.clone();
        if let Some(key) = self.by_instance.get(&registration.instance).copied() {
            let server = &mut self.servers[key];
            if server.registration.is_same_process(&registration) {
                server.registration = registration;
                return kept;
            }
            self.drop_server(key);
        }
        let instance = registration.instance.clone();
        let key = self.servers.insert(Server::new(registration));
        self.by_instance.insert(instance, key);
        kept
    }

    /// Records that a server announced that it is leaving. Returns whether that was not known.
    pub fn record_departure(&mut self, server: &Registration) -> bool {
        let departure = departure(server);
        if self.departures.contains(&departure) {
            return false;
        }
        if let Some(key) = self.by_instance.get(&server.instance) {
            let registration = &mut self.servers[*key].registration;
            if registration.started_at_ms == server.started_at_ms {
                registration.state = State::Draining;
            }
        }
        if self.departures.len() == MAX_DEPARTURES {
            self.departures.pop_front();
        }
        self.departures.push_back(departure);
        true
    }

    /// Removes a server and returns its record.
    pub fn remove(&mut self, instance: &str) -> Option<Registration> {
        let key = self.by_instance.remove(instance)?;
        self.drop_server(key)
    }

    fn drop_server(&mut self, key: ServerKey) -> Option<Registration> {
        self.limiter.remove(key);
        self.servers.remove(key).map(|server| server.registration)
    }

    /// Returns the server process that a record describes, if it is registered.
    #[must_use]
    pub fn key_of(&self, instance: &str, started_at_ms: Option<u64>) -> Option<ServerKey> {
        let key = *self.by_instance.get(instance)?;
        (self.servers[key].registration.started_at_ms == started_at_ms).then_some(key)
    }

    /// Returns what service discovery says about the process that `server` describes.
    #[must_use]
    pub fn listing(&self, server: &Registration) -> Listing {
        let at_address = |found: &&Registration| found.address == server.address;
        let registered = self.registered(&server.instance);
        let Some(found) = registered.or_else(|| self.registrations().find(at_address)) else {
            return Listing::Gone;
        };
        let is_same = found.instance == server.instance && found.is_same_process(server);
        match found.state {
            _ if !is_same => Listing::Replaced,
            State::Draining => Listing::Leaving,
            State::Ready => Listing::Listed,
        }
    }

    /// Returns the request limits of the servers.
    #[must_use]
    pub fn limiter(&self) -> &Limiter {
        &self.limiter
    }

    /// Returns the request limits of the servers.
    pub fn limiter_mut(&mut self) -> &mut Limiter {
        &mut self.limiter
    }

    /// Returns the ids of all servers.
    pub fn instances(&self) -> impl Iterator<Item = &String> {
        self.by_instance.keys()
    }

    /// Returns the records of all servers.
    pub fn registrations(&self) -> impl Iterator<Item = &Registration> {
        self.servers.values().map(|server| &server.registration)
    }

    /// Returns the record of the server that is registered under an id.
    #[must_use]
    pub fn registered(&self, instance: &str) -> Option<&Registration> {
        self.registration(*self.by_instance.get(instance)?)
    }

    /// Returns the record of a server.
    #[must_use]
    pub fn registration(&self, key: ServerKey) -> Option<&Registration> {
        self.servers.get(key).map(|server| &server.registration)
    }

    /// Returns the ready servers of a service with their records.
    pub fn ready_servers<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (ServerKey, &'a Registration)> {
        let all = Query {
            service,
            software: None,
            domain: "",
            except: &[],
        };
        self.ready(all)
            .map(|(key, server)| (key, &server.registration))
    }

    /// Returns the number of requests that run or wait at a server, as far as it is known.
    #[must_use]
    pub fn load(&self, now: Instant, key: ServerKey) -> u32 {
        self.servers.get(key).map_or(0, |server| server.load(now))
    }

    /// Whether other servers are preferred to one since it failed.
    #[must_use]
    pub fn is_backing_off(&self, now: Instant, key: ServerKey) -> bool {
        let server = self.servers.get(key);
        server.is_some_and(|server| server.is_backing_off(now))
    }

    /// Returns the ready server that is expected to respond first, leaving out those whose request
    /// limit allows no request now. Servers that back off after a failure come last, and before them
    /// those on which a request runs alone.
    /// Returns `None` if there is no such server.
    #[must_use]
    pub fn choose(&self, now: Instant, query: Query) -> Option<ServerKey> {
        let wanted = self.wanted_domain(&query);
        self.ready(query)
            .filter(|(key, _)| self.limiter.allows(now, *key))
            .min_by(|(_, a), (_, b)| {
                compare(a.rank(now, query, wanted), b.rank(now, query, wanted))
            })
            .map(|(key, _)| key)
    }

    /// Returns the ready servers that could take a request if they had a permit, leaving out those
    /// that would not respond before `otherwise`, a server that needs none.
    #[must_use]
    pub fn needing_permit(
        &self,
        now: Instant,
        query: Query,
        otherwise: Option<ServerKey>,
    ) -> Vec<ServerKey> {
        let wanted = self.wanted_domain(&query);
        let other_rank = otherwise
            .and_then(|key| self.servers.get(key))
            .map(|server| server.rank(now, query, wanted));
        let is_better = |server: &Server| {
            let (reluctance, latency) = server.rank(now, query, wanted);
            let rank = (reluctance, latency + PERMIT_COST.as_secs_f64());
            other_rank.is_none_or(|other| compare(rank, other).is_lt())
        };
        self.ready(query)
            .filter(|(key, server)| !self.limiter.allows(now, *key) && is_better(server))
            .map(|(key, _)| key)
            .collect()
    }

    /// Returns the ready servers that a request may be sent to.
    fn ready<'a>(&'a self, query: Query<'a>) -> impl Iterator<Item = (ServerKey, &'a Server)> {
        self.servers.iter().filter(move |(key, server)| {
            let registration = &server.registration;
            registration.service == query.service
                && registration.state == State::Ready
                && query
                    .software
                    .is_none_or(|software| registration.software == software)
                && !query.except.contains(key)
        })
    }

    /// Returns the server on which to run a request with this content alone. All gateways choose the
    /// same server if they know of the same servers.
    ///
    /// Returns `None` if no such server is ready, or if less than half of the service's servers would
    /// be left should this one end.
    #[must_use]
    pub fn choose_alone(
        &self,
        now: Instant,
        query: Query,
        fingerprint: id::Fingerprint,
    ) -> Option<ServerKey> {
        let all = Query {
            software: None,
            except: &[],
            ..query
        };
        let is_running = |server: &Server| !server.is_backing_off(now);
        let running = self.ready(all).filter(|(_, server)| is_running(server));
        if running.count() < self.ready(all).count() / 2 + 1 {
            return None;
        }
        self.ready(query)
            .filter(|(_, server)| is_running(server))
            .max_by_key(|(_, server)| choice::affinity(fingerprint, &server.registration.instance))
            .map(|(key, _)| key)
    }

    /// Makes other requests prefer other servers than one on which a request will run alone, until
    /// [`Self::end_trial`].
    pub fn plan_trial(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.trials += 1;
        }
    }

    /// Starts a planned trial, unless a request of this gateway waits for a response of the server or
    /// another trial runs. Returns whether it started.
    pub fn start_trial(&mut self, key: ServerKey) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        let may_start = server.in_flight == 0 && !server.is_on_trial;
        server.is_on_trial |= may_start;
        may_start
    }

    /// Ends a planned trial, which may have started.
    pub fn end_trial(&mut self, key: ServerKey, has_started: bool) {
        if let Some(server) = self.servers.get_mut(key) {
            server.trials = server.trials.saturating_sub(1);
            server.is_on_trial &= !has_started;
        }
    }

    /// Returns the expected time until a server responds to a caller in `domain`.
    #[must_use]
    pub fn expected_latency(&self, now: Instant, key: ServerKey, domain: &str) -> Option<Duration> {
        let server = self.servers.get(key)?;
        Some(Duration::from_secs_f64(
            server.expected_latency(now, domain),
        ))
    }

    /// Records that a request was sent to a server.
    pub fn record_sent(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.in_flight += 1;
        }
        self.count_sent(key);
    }

    /// Records the load that a server reported.
    pub fn record_load(&mut self, now: Instant, key: ServerKey, load: u32) {
        if let Some(server) = self.servers.get_mut(key) {
            server.load = Some((load, now));
        }
    }

    /// Records how sending a request ended.
    pub fn record_outcome(&mut self, now: Instant, key: ServerKey, outcome: SendOutcome) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        match outcome {
            SendOutcome::Responded(latency) => {
                server.record_latency(now, latency);
                server.failures = 0;
                server.backoff_until = Instant(0);
            }
            // The response would have taken at least this long.
            SendOutcome::Abandoned(latency)
                if latency.as_secs_f64() > server.latency.expected_seconds(now) =>
            {
                server.record_latency(now, latency);
            }
            SendOutcome::Abandoned(_) => {}
            SendOutcome::Refused => server.load = Some((server.registration.slots * 2, now)),
            SendOutcome::Failed => {
                if now >= server.backoff_until {
                    let backoff = INITIAL_BACKOFF * 2u32.saturating_pow(server.failures.min(8));
                    server.failures += 1;
                    server.backoff_until = now.after(backoff.min(MAX_BACKOFF));
                }
            }
        }
    }
}

/// The order in which servers are chosen: whether the server is used only if no other is, by
/// severity, and the expected number of seconds until a response.
type Rank = ((bool, bool, bool), f64);

fn compare(a: Rank, b: Rank) -> Ordering {
    a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
}

fn departure(server: &Registration) -> (String, Option<u64>) {
    (server.instance.clone(), server.started_at_ms)
}

impl Server {
    fn rank(&self, now: Instant, query: Query, wanted: Option<&str>) -> Rank {
        let is_unwanted = wanted.is_some_and(|wanted| wanted != self.registration.domain);
        let reluctance = (self.is_backing_off(now), self.trials > 0, is_unwanted);
        (reluctance, self.expected_latency(now, query.domain))
    }

    fn is_backing_off(&self, now: Instant) -> bool {
        now < self.backoff_until
    }
}
