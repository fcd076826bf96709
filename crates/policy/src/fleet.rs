//! Which backend server takes a request.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SlotMap;
use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::time::Instant;

slotmap::new_key_type! {
    /// One life of one backend server.
    pub struct ServerKey;
}

/// What a request is expected to take at a server that has not answered yet.
const INITIAL_LATENCY: Duration = Duration::from_millis(25);

/// The share that the newest sample has in the expected latency.
const LATENCY_SMOOTHING: f64 = 0.2;

/// How long a load that a server stated is believed. Requests last tens of milliseconds.
const LOAD_VALIDITY: Duration = Duration::from_millis(300);

/// How long a server gets no work after a first failure; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// The longest rest. A server that crashed is back within seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// What it costs to leave the own failure domain: a round trip, and bytes that are paid for.
const CROSS_DOMAIN_COST: Duration = Duration::from_millis(8);

/// How a send ended, as far as it says something of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// It answered after this time.
    Responded(Duration),
    /// It refused: it is full.
    Refused,
    /// It broke off, fell silent or sent what is no answer.
    Failed,
    /// The send was given up for reasons of ours, this long after it began.
    Abandoned(Duration),
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// What it says of itself.
    pub registration: Registration,
    in_flight: u32,
    latency: f64,
    load: Option<(u32, Instant)>,
    backoff_until: Instant,
    failures: u32,
}

impl Server {
    fn new(registration: Registration) -> Self {
        Self {
            registration,
            in_flight: 0,
            latency: INITIAL_LATENCY.as_secs_f64(),
            load: None,
            backoff_until: Instant(0),
            failures: 0,
        }
    }

    /// The expected seconds until an answer.
    fn expected_latency(&self, now: Instant, domain: &str) -> f64 {
        let stated = self
            .load
            .filter(|(_, at)| now.since(*at) < LOAD_VALIDITY)
            .map_or(0, |(load, _)| load);
        let load = f64::from(self.in_flight.max(stated));
        let slots = f64::from(self.registration.slots.max(1));
        // A server slows down as it fills, and requests beyond its slots wait.
        let queue = (load + 1.0) / slots;
        let cross_domain = if self.registration.domain == domain {
            0.0
        } else {
            CROSS_DOMAIN_COST.as_secs_f64()
        };
        self.latency * (1.0 + queue.max(queue * queue)) + cross_domain
    }
}

/// All backend servers.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    servers: SlotMap<ServerKey, Server>,
    by_instance: BTreeMap<String, ServerKey>,
}

impl Fleet {
    /// Takes in what a server says of itself.
    pub fn register(&mut self, registration: Registration) {
        if let Some(key) = self.by_instance.get(&registration.instance).copied() {
            let server = &mut self.servers[key];
            if server.registration.started_at_ms == registration.started_at_ms
                && server.registration.address == registration.address
            {
                server.registration = registration;
                return;
            }
            self.servers.remove(key);
        }
        let instance = registration.instance.clone();
        let key = self.servers.insert(Server::new(registration));
        self.by_instance.insert(instance, key);
    }

    /// Forgets a server. Returns what it said of itself.
    pub fn remove(&mut self, instance: &str) -> Option<Registration> {
        let key = self.by_instance.remove(instance)?;
        self.servers.remove(key).map(|server| server.registration)
    }

    /// The ids of all servers.
    pub fn instances(&self) -> impl Iterator<Item = &String> {
        self.by_instance.keys()
    }

    /// What a server says of itself.
    #[must_use]
    pub fn registration(&self, key: ServerKey) -> Option<&Registration> {
        self.servers.get(key).map(|server| &server.registration)
    }

    /// The server of `service` that is expected to answer first, for a caller in `domain`. Servers
    /// that failed lately come last. None if no server is ready but those in `except`.
    #[must_use]
    pub fn choose(
        &self,
        now: Instant,
        service: &str,
        domain: &str,
        except: &[ServerKey],
    ) -> Option<ServerKey> {
        self.servers
            .iter()
            .filter(|(key, server)| {
                server.registration.service == service
                    && server.registration.state == State::Ready
                    && !except.contains(key)
            })
            .min_by(|(_, a), (_, b)| {
                let is_backing_off = |server: &Server| now < server.backoff_until;
                let key = |server: &Server| server.expected_latency(now, domain);
                is_backing_off(a)
                    .cmp(&is_backing_off(b))
                    .then(key(a).total_cmp(&key(b)))
            })
            .map(|(key, _)| key)
    }

    /// The expected time to an answer of a server.
    #[must_use]
    pub fn expected_latency(&self, now: Instant, key: ServerKey, domain: &str) -> Option<Duration> {
        let server = self.servers.get(key)?;
        Some(Duration::from_secs_f64(
            server.expected_latency(now, domain),
        ))
    }

    /// Notes that a request was sent.
    pub fn record_sent(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.in_flight += 1;
        }
    }

    /// Notes the load that a server stated.
    pub fn record_load(&mut self, now: Instant, key: ServerKey, load: u32) {
        if let Some(server) = self.servers.get_mut(key) {
            server.load = Some((load, now));
        }
    }

    /// Notes how a send ended.
    pub fn record_outcome(&mut self, now: Instant, key: ServerKey, outcome: SendOutcome) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        match outcome {
            SendOutcome::Responded(latency) => {
                server.record_latency(latency);
                server.failures = 0;
                server.backoff_until = Instant(0);
            }
            // It would have taken at least so long.
            SendOutcome::Abandoned(latency) if latency.as_secs_f64() > server.latency => {
                server.record_latency(latency);
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

impl Server {
    fn record_latency(&mut self, latency: Duration) {
        self.latency += (latency.as_secs_f64() - self.latency) * LATENCY_SMOOTHING;
    }
}
