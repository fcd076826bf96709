//! The limits of all servers, and the permits for requests to them.

use std::time::Duration;

use slotmap::SecondaryMap;
use tamaracksail_model::rate::Rate;
use tamaracksail_model::time::Instant;

use super::authority::Authority;
use super::bucket::Bucket;
use super::demand::Demand;
use super::observation::Observation;
use super::permits::Permits;
use super::share::Share;
use crate::fleet::ServerKey;

/// How long a granted permit may be used.
pub const PERMIT_VALIDITY: Duration = Duration::from_millis(500);

/// The lowest rate of requests to a server, per second, whatever limit it states. Without any, the
/// end of a limit would not be noticed.
const MIN_RATE: f64 = 0.25;

/// The share of the limits that gateways use which reach no gateway that grants permits.
const UNREACHABLE_SHARE: f64 = 0.5;

/// What is known of one server, and the permits for it.
#[derive(Clone, Debug)]
struct Limited {
    observation: Observation,
    bucket: Bucket,
    permits: Permits,
    share: Share,
    demand: Demand,
}

/// The answer to a gateway that asks for permits.
#[derive(Clone, Debug, PartialEq)]
pub enum Grant {
    /// Permits for servers: the number, and the time until they become valid.
    Permits(Vec<(ServerKey, u32, Duration)>),
    /// No permit is available before this time has passed.
    Refused(Duration),
}

/// The limits of all servers, and the permits for requests to them.
#[derive(Clone, Debug)]
pub struct Limiter {
    servers: SecondaryMap<ServerKey, Limited>,
    authority: Authority,
    /// From 0 to 1: when this gateway's turns are among those of all gateways that reach no other.
    phase: f64,
}

impl Default for Limiter {
    fn default() -> Self {
        Self::new(0.0)
    }
}

impl Limiter {
    /// Returns a limiter that knows of no limits. `phase`, from 0 to 1, should differ between
    /// gateways.
    #[must_use]
    pub fn new(phase: f64) -> Self {
        Self {
            servers: SecondaryMap::new(),
            authority: Authority::Unreachable { gateways: None },
            phase,
        }
    }

    /// Records what a server stated, unless something newer is known. Returns whether the limit
    /// changed.
    pub fn observe(&mut self, now: Instant, key: ServerKey, observation: Observation) -> bool {
        let Some(known) = self.servers.get_mut(key) else {
            if observation.limit.is_none() {
                return false;
            }
            let limited = Limited {
                observation,
                bucket: Bucket::empty(now),
                permits: Permits::default(),
                share: Share::default(),
                demand: Demand::default(),
            };
            self.servers.insert(key, limited);
            return true;
        };
        if known.observation.at > observation.at {
            return false;
        }
        let before = std::mem::replace(&mut known.observation, observation);
        before.limit != observation.limit
    }

    /// Returns what a server stated last.
    #[must_use]
    pub fn observation(&self, key: ServerKey) -> Option<Observation> {
        Some(self.servers.get(key)?.observation)
    }

    /// Returns the limit of a server, if it has one.
    #[must_use]
    pub fn limit(&self, key: ServerKey) -> Option<Rate> {
        self.observation(key)?.limit
    }

    /// Returns the servers that have or had a limit.
    pub fn observed(&self) -> impl Iterator<Item = ServerKey> {
        self.servers.keys()
    }

    /// Forgets a server.
    pub(crate) fn remove(&mut self, key: ServerKey) {
        self.servers.remove(key);
    }

    /// Sets where permits come from. A process that begins to grant permits begins with none, since
    /// its predecessor may have granted all that there were.
    pub fn set_authority(&mut self, now: Instant, authority: Authority) {
        let was_own = matches!(self.authority, Authority::Own { .. });
        if matches!(authority, Authority::Own { .. }) && !was_own {
            for limited in self.servers.values_mut() {
                limited.bucket = Bucket::empty(now);
            }
        }
        self.authority = authority;
    }

    /// Returns where permits come from.
    #[must_use]
    pub fn authority(&self) -> Authority {
        self.authority
    }

    /// Whether a request may be sent to a server now.
    #[must_use]
    pub fn allows(&self, now: Instant, key: ServerKey) -> bool {
        let Some(limited) = self.servers.get(key) else {
            return true;
        };
        let Some(rate) = self.rate(limited) else {
            return true;
        };
        match self.authority {
            Authority::Own { .. } => limited.bucket.level(now, rate) >= 1.0,
            Authority::Peer => limited.permits.has_any(now),
            Authority::Unreachable { .. } => {
                limited.permits.has_any(now) || limited.share.has_turn(now, rate, self.phase)
            }
        }
    }

    /// Returns the number of requests that this process may send to a server now out of its own
    /// authority; `None` if the server has no limit.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the conversion saturates"
    )]
    pub fn budget(&self, now: Instant, key: ServerKey) -> Option<u32> {
        let limited = self.servers.get(key)?;
        let rate = self.rate(limited)?;
        match self.authority {
            Authority::Own { .. } => Some(limited.bucket.level(now, rate) as u32),
            Authority::Peer | Authority::Unreachable { .. } => Some(0),
        }
    }

    /// Uses a permit for a request to a server, which [`Self::allows`] has allowed.
    pub fn take(&mut self, now: Instant, key: ServerKey) {
        let authority = self.authority;
        let Some(limited) = self.servers.get_mut(key) else {
            return;
        };
        let Some(rate) = effective_rate(authority, &limited.observation) else {
            return;
        };
        limited.demand.record(now);
        match authority {
            Authority::Own { .. } => {
                limited.bucket.take(now, rate);
            }
            Authority::Peer | Authority::Unreachable { .. } => {
                if !limited.permits.take(now) {
                    limited.share.take(now);
                }
            }
        }
    }

    /// Returns the number of permits to ask for when a request to one of `servers` needs one.
    #[must_use]
    pub fn expected_demand(&self, now: Instant, servers: &[ServerKey]) -> u32 {
        let limited = servers.iter().filter_map(|key| self.servers.get(*key));
        let expected: u32 = limited.map(|limited| limited.demand.expected(now)).sum();
        expected.max(1)
    }

    /// Grants up to `count` permits for any of `servers`. If none is available now, but one will be
    /// within `max_wait`, reserves that one.
    pub fn grant(
        &mut self,
        now: Instant,
        servers: &[ServerKey],
        count: u32,
        max_wait: Duration,
    ) -> Grant {
        let mut granted: Vec<(ServerKey, u32, Duration)> = Vec::new();
        for _ in 0..count {
            let Some((key, rate, level)) = self.fullest(now, servers) else {
                break;
            };
            if level < 1.0 {
                break;
            }
            self.servers[key].bucket.take(now, rate);
            match granted.iter_mut().find(|(found, ..)| *found == key) {
                Some((_, count, _)) => *count += 1,
                None => granted.push((key, 1, Duration::ZERO)),
            }
        }
        if !granted.is_empty() {
            return Grant::Permits(granted);
        }
        let Some((key, rate, wait)) = self.soonest(now, servers) else {
            return Grant::Refused(Duration::ZERO);
        };
        let bucket = &mut self.servers[key].bucket;
        if wait > max_wait {
            return Grant::Refused(bucket.refuse(now, rate));
        }
        bucket.take(now, rate);
        Grant::Permits(vec![(key, 1, wait)])
    }

    /// Adds permits that another gateway has granted.
    pub fn add_permits(&mut self, now: Instant, key: ServerKey, count: u32) {
        if let Some(limited) = self.servers.get_mut(key) {
            limited.permits.add(now.after(PERMIT_VALIDITY), count);
        }
    }

    /// Records a request for which a permit was granted directly.
    pub fn record_demand(&mut self, now: Instant, key: ServerKey) {
        if let Some(limited) = self.servers.get_mut(key) {
            limited.demand.record(now);
        }
    }

    /// Returns the server with the most tokens, its rate and the number of tokens.
    fn fullest(&self, now: Instant, servers: &[ServerKey]) -> Option<(ServerKey, f64, f64)> {
        self.rates(servers)
            .map(|(key, rate)| (key, rate, self.servers[key].bucket.level(now, rate)))
            .max_by(|a, b| a.2.total_cmp(&b.2))
    }

    /// Returns the server that has a token first, its rate and the time until then.
    fn soonest(&self, now: Instant, servers: &[ServerKey]) -> Option<(ServerKey, f64, Duration)> {
        self.rates(servers)
            .map(|(key, rate)| (key, rate, self.servers[key].bucket.wait(now, rate)))
            .min_by_key(|(_, _, wait)| *wait)
    }

    /// Returns those of `servers` that have a limit, with the rates at which permits are granted.
    fn rates<'a>(&'a self, servers: &'a [ServerKey]) -> impl Iterator<Item = (ServerKey, f64)> {
        servers.iter().filter_map(|key| {
            let rate = self.rate(self.servers.get(*key)?)?;
            Some((*key, rate))
        })
    }

    fn rate(&self, limited: &Limited) -> Option<f64> {
        effective_rate(self.authority, &limited.observation)
    }
}

/// Returns the rate at which a gateway with this authority may grant or use permits; `None` if the
/// server has no limit.
fn effective_rate(authority: Authority, observation: &Observation) -> Option<f64> {
    let limit = observation.limit?.per_second().max(MIN_RATE);
    Some(match authority {
        Authority::Own { share } => limit * share,
        Authority::Peer => limit,
        Authority::Unreachable { gateways } => gateways.map_or(0.0, |gateways| {
            limit * UNREACHABLE_SHARE / f64::from(gateways.max(1))
        }),
    })
}
