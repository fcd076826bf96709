//! The failure domain to which a request goes.

use std::collections::BTreeMap;
use std::time::Duration;

use tamaracksail_model::id;
use tamaracksail_model::time::Instant;

use super::{CROSS_DOMAIN_COST, Fleet, Query, Server, ServerKey};
use crate::locality::{Change, Facts, Place, Share};

/// The weight of the newest request in the mean of bytes.
const BYTES_SAMPLE_WEIGHT: f64 = 0.1;

/// The weight of the newest review in the average of utilization: about a second
/// counts. With two, a burst was followed too late.
const UTILIZATION_SAMPLE_WEIGHT: f64 = 0.2;

/// How long a reported load is used for the decision about a share.
const REPORT_VALIDITY: Duration = Duration::from_secs(2);

/// The utilization of servers that have not reported within this time.
const ASSUMED_UTILIZATION: f64 = 0.6;

/// The service time while no server is known.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(25);

/// The golden ratio's fraction. Its multiples are spread evenly, so that any short run of requests
/// contains about the share that is to leave.
const SPREAD: f64 = 0.618_033_988_749_895;

/// The shares of all services.
#[derive(Clone, Debug)]
pub(super) struct Locality {
    /// The own failure domain.
    home: String,
    /// Differs among gateways, so that they do not choose the same targets at the same time.
    offset: f64,
    services: BTreeMap<String, Traffic>,
}

/// One service's requests.
#[derive(Clone, Debug, Default)]
struct Traffic {
    share: Share,
    /// The position in the sequence of draws, from 0 to 1.
    draw: f64,
    /// The mean bytes of a request with its response.
    bytes: f64,
    /// The average utilization of failure domains.
    utilization: BTreeMap<String, f64>,
    left: Left,
}

/// What left the failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Left {
    /// Requests.
    pub requests: u64,
    /// Bytes of requests and responses.
    pub bytes: u64,
}

impl Fleet {
    /// Has shares of requests leave the failure domain `home`, instead of judging each request. `host`
    /// is the name of this host. Without this call the mechanism is off.
    pub fn enable_locality(&mut self, home: &str, host: &str) {
        let hash = id::fingerprint(host.as_bytes()).0 % 1000;
        self.locality = Some(Locality {
            home: home.to_owned(),
            offset: f64::from(u32::try_from(hash).unwrap_or(0)) / 1000.0,
            services: BTreeMap::new(),
        });
    }

    /// Reviews the share of a service's requests that leave, at most each 200 ms. Returns its change.
    pub fn review_locality(&mut self, now: Instant, service: &str) -> Option<Change> {
        let locality = self.locality.as_ref()?;
        let traffic = locality.services.get(service);
        if traffic.is_some_and(|traffic| !traffic.share.is_due(now)) {
            return None;
        }
        let home = locality.home.clone();
        let mut facts = self.facts(now, service, &home);
        let locality = self.locality.as_mut()?;
        let traffic = locality.services.entry(service.to_owned()).or_default();
        traffic.smooth(&mut facts);
        traffic.share.review(now, facts)
    }

    /// Returns what left the failure domain of a service's requests.
    #[must_use]
    pub fn left(&self, service: &str) -> Left {
        self.traffic(service)
            .map(|traffic| traffic.left)
            .unwrap_or_default()
    }

    /// Returns the share of a service's requests that leaves.
    #[must_use]
    pub fn share_away(&self, service: &str) -> f64 {
        self.traffic(service)
            .map_or(0.0, |traffic| traffic.share.value())
    }

    /// Records the bytes of a request to a server and of its response. Returns them if they left.
    pub fn record_bytes(&mut self, key: ServerKey, bytes: u64) -> Option<u64> {
        let registration = &self.servers.get(key)?.registration;
        let locality = self.locality.as_mut()?;
        let is_away = registration.domain != locality.home;
        let traffic = locality
            .services
            .entry(registration.service.clone())
            .or_default();
        let sample = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        traffic.bytes += (sample - traffic.bytes) * BYTES_SAMPLE_WEIGHT;
        if !is_away {
            return None;
        }
        traffic.left.bytes += bytes;
        Some(bytes)
    }

    /// Counts a request, and moves on in the sequence of draws.
    pub(super) fn count_sent(&mut self, key: ServerKey) {
        let (Some(server), Some(locality)) = (self.servers.get(key), &mut self.locality) else {
            return;
        };
        let registration = &server.registration;
        let traffic = locality
            .services
            .entry(registration.service.clone())
            .or_default();
        traffic.draw = (traffic.draw + SPREAD).fract();
        traffic.left.requests += u64::from(registration.domain != locality.home);
    }

    /// Returns the failure domain in which the next request's server is preferred. `None` if the
    /// mechanism is off.
    pub(super) fn wanted_domain<'a>(&'a self, query: &Query<'a>) -> Option<&'a str> {
        let locality = self.locality.as_ref()?;
        let target = locality.services.get(query.service).and_then(|traffic| {
            let draw = (traffic.draw + locality.offset).fract();
            traffic.share.target(draw)
        });
        Some(target.unwrap_or(&locality.home))
    }

    fn traffic(&self, service: &str) -> Option<&Traffic> {
        self.locality.as_ref()?.services.get(service)
    }

    /// Returns what is known about the servers of a service, without those that back off.
    fn facts(&self, now: Instant, service: &str, home: &str) -> Facts {
        let all = Query {
            service,
            software: None,
            domain: home,
            except: &[],
        };
        let mut domains: BTreeMap<&str, Vec<&Server>> = BTreeMap::new();
        for (key, server) in self.ready(all) {
            if !server.is_backing_off(now) && self.limiter.allows(now, key) {
                let domain = server.registration.domain.as_str();
                domains.entry(domain).or_default().push(server);
            }
        }
        let here = domains.get(home);
        let fastest_here = here.and_then(|servers| fastest(servers));
        let service_here = here.and_then(|servers| service_time(servers));
        let place = |domain: &str, servers: &[&Server]| {
            let round_trip = fastest(servers)
                .zip(fastest_here)
                .map(|(there, here)| there.saturating_sub(here))
                .filter(|_| domain != home);
            // A measured time contains the way there and back. A place without one is taken to be
            // as fast as the servers here.
            let way = if domain == home {
                Duration::ZERO
            } else {
                CROSS_DOMAIN_COST
            };
            let unknown = service_here.unwrap_or(ASSUMED_SERVICE_TIME) + way;
            let loads = servers.iter().map(|server| server.known_load(now));
            let load: f64 = loads.sum();
            let slots: u32 = servers.iter().map(|s| s.registration.slots.max(1)).sum();
            let responses = servers.iter().filter_map(|server| server.responded_at);
            Place {
                domain: domain.to_owned(),
                service_time: service_time(servers).unwrap_or(unknown),
                utilization: load / f64::from(slots),
                free: servers.iter().map(|server| server.free_slots(now)).sum(),
                round_trip,
                age: responses.max().map(|at| now.since(at)),
            }
        };
        let others = domains.iter().filter(|(domain, _)| **domain != home);
        Facts {
            here: here.map(|servers| place(home, servers)),
            others: others
                .map(|(domain, servers)| place(domain, servers))
                .collect(),
            bytes: 0.0,
        }
    }
}

impl Traffic {
    /// Averages the utilization over the last reviews: single reports differ by more than the
    /// places do.
    fn smooth(&mut self, facts: &mut Facts) {
        facts.bytes = self.bytes;
        for place in facts.here.iter_mut().chain(&mut facts.others) {
            let known = self.utilization.entry(place.domain.clone());
            let average = known.or_insert(place.utilization);
            *average += (place.utilization - *average) * UTILIZATION_SAMPLE_WEIGHT;
            place.utilization = *average;
        }
    }
}

impl Server {
    /// Returns the load that the server reported last, or an assumption if that is long ago.
    fn known_load(&self, now: Instant) -> f64 {
        let reported = self
            .load
            .filter(|(_, at)| now.since(*at) < REPORT_VALIDITY)
            .map(|(load, _)| f64::from(load));
        let slots = f64::from(self.registration.slots.max(1));
        reported
            .unwrap_or(slots * ASSUMED_UTILIZATION)
            .max(f64::from(self.in_flight))
    }

    fn free_slots(&self, now: Instant) -> u32 {
        self.registration
            .slots
            .max(1)
            .saturating_sub(self.load(now))
    }
}

/// Returns the mean time that a request takes at the servers that are not full.
fn service_time(servers: &[&Server]) -> Option<Duration> {
    let known = servers
        .iter()
        .filter_map(|server| server.latency.service_seconds());
    let (sum, count) = known.fold((0.0, 0.0), |(sum, count), time| (sum + time, count + 1.0));
    (count > 0.0).then(|| Duration::from_secs_f64(sum / count))
}

/// Returns the shortest latency of any of the servers.
fn fastest(servers: &[&Server]) -> Option<Duration> {
    servers.iter().filter_map(|server| server.fastest).min()
}
