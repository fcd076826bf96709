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
const FIRST_LATENCY: Duration = Duration::from_millis(25);

/// The share that the newest sample has in the expected latency.
const LATENCY_SHARE: f64 = 0.2;

/// How long a load that a server stated is believed. Requests last tens of milliseconds.
const LOAD_VALIDITY: Duration = Duration::from_millis(300);

/// How long a server gets no work after a first failure; doubles with each further one.
const FIRST_REST: Duration = Duration::from_millis(500);

/// The longest rest. A server that crashed is back within seconds.
const LONGEST_REST: Duration = Duration::from_secs(4);

/// What it costs to leave the own failure domain: a round trip, and bytes that are paid for.
const CROSSING: Duration = Duration::from_millis(8);

/// How a send ended, as far as it says something of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// It answered after this time.
    Answered(Duration),
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
    rest_until: Instant,
    failures: u32,
}

impl Server {
    fn new(registration: Registration) -> Self {
        Self {
            registration,
            in_flight: 0,
            latency: FIRST_LATENCY.as_secs_f64(),
            load: None,
            rest_until: Instant(0),
            failures: 0,
        }
    }

    /// The expected seconds until an answer.
    fn expected(&self, now: Instant, domain: &str) -> f64 {
        let stated = self
            .load
            .filter(|(_, at)| now.since(*at) < LOAD_VALIDITY)
            .map_or(0, |(load, _)| load);
        let load = f64::from(self.in_flight.max(stated));
        let slots = f64::from(self.registration.slots.max(1));
        // A server slows down as it fills, and requests beyond its slots wait.
        let queue = (load + 1.0) / slots;
        let crossing = if self.registration.domain == domain {
            0.0
        } else {
            CROSSING.as_secs_f64()
        };
        self.latency * (1.0 + queue.max(queue * queue)) + crossing
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
    pub fn put(&mut self, registration: Registration) {
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
                let rests = |server: &Server| now < server.rest_until;
                let key = |server: &Server| server.expected(now, domain);
                rests(a).cmp(&rests(b)).then(key(a).total_cmp(&key(b)))
            })
            .map(|(key, _)| key)
    }

    /// The expected time to an answer of a server.
    #[must_use]
    pub fn expected(&self, now: Instant, key: ServerKey, domain: &str) -> Option<Duration> {
        let server = self.servers.get(key)?;
        Some(Duration::from_secs_f64(server.expected(now, domain)))
    }

    /// Notes that a request was sent.
    pub fn sent(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.in_flight += 1;
        }
    }

    /// Notes the load that a server stated.
    pub fn load(&mut self, now: Instant, key: ServerKey, load: u32) {
        if let Some(server) = self.servers.get_mut(key) {
            server.load = Some((load, now));
        }
    }

    /// Notes how a send ended.
    pub fn ended(&mut self, now: Instant, key: ServerKey, report: Report) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        match report {
            Report::Answered(latency) => {
                server.learn(latency);
                server.failures = 0;
                server.rest_until = Instant(0);
            }
            // It would have taken at least so long.
            Report::Abandoned(latency) if latency.as_secs_f64() > server.latency => {
                server.learn(latency);
            }
            Report::Abandoned(_) => {}
            Report::Refused => server.load = Some((server.registration.slots * 2, now)),
            Report::Failed => {
                if now >= server.rest_until {
                    let rest = FIRST_REST * 2u32.saturating_pow(server.failures.min(8));
                    server.failures += 1;
                    server.rest_until = now.after(rest.min(LONGEST_REST));
                }
            }
        }
    }
}

impl Server {
    fn learn(&mut self, latency: Duration) {
        self.latency += (latency.as_secs_f64() - self.latency) * LATENCY_SHARE;
    }
}
