//! The choice of a server for a request, with a permit if the server has a limit.

use std::net::SocketAddr;
use std::time::Duration;

use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::{Query, ServerKey};
use tamaracksail_policy::limit::{self, Authority, Grant, MIN_REFUSAL, Observation};
use tamaracksail_wire::peer::{
    Permits, Request as PeerRequest, Response as PeerResponse, ServerLimit,
};

use super::authority::refresh;
use crate::batches;
use crate::gateway::{Gateway, now};
use crate::peer;

/// How long a gateway that grants permits may take to respond.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long it may take if there is a server that needs no permit.
const OPTIONAL_PERMIT_TIMEOUT: Duration = Duration::from_millis(50);

/// How long no gateway that grants permits is asked after one did not respond.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(250);

/// When clients should retry while no gateway that grants permits is reachable: another one has
/// mostly taken the lease by then.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The number of servers that a request for permits names.
const MAX_SERVERS_ASKED: usize = 16;

/// The age that is stated of the limit of a server which was not observed: everything else is newer.
const UNOBSERVED_AGE: Duration = Duration::from_hours(24);

/// The servers that may take a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidates<'a> {
    /// The service that the servers belong to.
    pub service: &'a str,
    /// The only version of their software, for a stream that servers with this version have begun.
    pub software: Option<&'a str>,
    /// Servers that are used only if there is no other.
    pub avoided: &'a [ServerKey],
    /// Servers that are not used.
    pub excluded: &'a [ServerKey],
}

impl<'a> Candidates<'a> {
    /// Returns the query for servers that are not in `except`, for a caller in `domain`.
    pub fn query(self, domain: &'a str, except: &'a [ServerKey]) -> Query<'a> {
        Query {
            service: self.service,
            software: self.software,
            domain,
            except,
        }
    }
}

/// Chooses a server for a request, and uses a permit if the server has a limit. Waits up to `max_wait`
/// for a permit if no server can do without.
///
/// # Errors
/// When the client should retry if the limits of all servers are used up; `None` if there is no
/// server.
pub async fn acquire(
    gateway: &Gateway,
    candidates: Candidates<'_>,
    max_wait: Duration,
) -> Result<ServerKey, Option<Duration>> {
    refresh(gateway);
    let (best, limited) = choose(gateway, candidates);
    if limited.is_empty() {
        let key = best.ok_or(None)?;
        take(gateway, key);
        return Ok(key);
    }
    let (max_wait, timeout) = if best.is_some() {
        (Duration::ZERO, OPTIONAL_PERMIT_TIMEOUT)
    } else {
        (max_wait, PERMIT_TIMEOUT)
    };
    match permit(gateway, candidates.service, &limited, max_wait, timeout).await {
        Ok(key) => Ok(key),
        Err(retry_after) => {
            // The servers may have changed meanwhile.
            let (best, _) = choose(gateway, candidates);
            let key = best.ok_or(Some(retry_after))?;
            take(gateway, key);
            Ok(key)
        }
    }
}

/// Gets a permit for a request to one server if the server has a limit.
///
/// # Errors
/// As [`acquire`].
pub async fn acquire_for(
    gateway: &Gateway,
    service: &str,
    key: ServerKey,
    max_wait: Duration,
) -> Result<(), Duration> {
    refresh(gateway);
    if gateway.fleet.borrow().limiter().allows(now(), key) {
        take(gateway, key);
        return Ok(());
    }
    let servers = [key];
    let granted = permit(gateway, service, &servers, max_wait, PERMIT_TIMEOUT);
    granted.await.map(|_| ())
}

/// Returns the best server that needs no further permit, and the servers that would be better with
/// one.
fn choose(gateway: &Gateway, candidates: Candidates) -> (Option<ServerKey>, Vec<ServerKey>) {
    let settings = gateway.settings.borrow();
    let fleet = gateway.fleet.borrow();
    let at = now();
    let choose = |except: &[ServerKey]| {
        let query = candidates.query(&settings.domain, except);
        let best = fleet.choose(at, query);
        (best, fleet.needing_permit(at, query, best))
    };
    match choose(candidates.avoided) {
        (None, limited) if limited.is_empty() => choose(candidates.excluded),
        found => found,
    }
}

fn take(gateway: &Gateway, key: ServerKey) {
    let mut fleet = gateway.fleet.borrow_mut();
    let limiter = fleet.limiter_mut();
    limiter.take(now(), key);
    let is_own = matches!(limiter.authority(), Authority::Own { .. });
    if is_own && limiter.limit(key).is_some() {
        drop(fleet);
        // While this process uses permits, it keeps the right to grant them.
        batches::request_lease(gateway);
    }
}

/// Gets a permit for one of `servers`, which belong to `service` and allow no request now.
///
/// # Errors
/// The time after which to try again.
async fn permit(
    gateway: &Gateway,
    service: &str,
    servers: &[ServerKey],
    max_wait: Duration,
    timeout: Duration,
) -> Result<ServerKey, Duration> {
    let authority = gateway.fleet.borrow().limiter().authority();
    match authority {
        Authority::Own { .. } => {
            batches::request_lease(gateway);
            let grant = {
                let mut fleet = gateway.fleet.borrow_mut();
                fleet.limiter_mut().grant(now(), servers, 1, max_wait)
            };
            match grant {
                Grant::Permits(granted) => {
                    let (key, _, delay) = *granted.first().ok_or(MIN_REFUSAL)?;
                    tokio::time::sleep(delay).await;
                    Ok(key)
                }
                Grant::Refused(wait) => Err(limit::retry_after(wait)),
            }
        }
        Authority::Peer => {
            let refused_for = gateway.limits.refused_until(service).since(now());
            if !refused_for.is_zero() {
                return Err(limit::retry_after(refused_for));
            }
            ask(gateway, service, servers, max_wait, timeout).await
        }
        Authority::Unreachable { .. } => Err(UNREACHABLE_RETRY_AFTER),
    }
}

/// Asks the lease holder for permits, and uses one.
async fn ask(
    gateway: &Gateway,
    service: &str,
    servers: &[ServerKey],
    max_wait: Duration,
    timeout: Duration,
) -> Result<ServerKey, Duration> {
    let at = now();
    let servers = &sample(servers)[..];
    let count = {
        let fleet = gateway.fleet.borrow();
        fleet.limiter().expected_demand(at, servers)
    };
    let request = PeerRequest::Permits {
        sender: gateway.peer_address(),
        servers: describe(gateway, at, servers),
        count,
        max_wait_ms: u64::try_from(max_wait.as_millis()).unwrap_or(u64::MAX),
    };
    if let Some(PeerResponse::Permits {
        permits,
        retry_after_ms,
        servers: limits,
        gateways,
    }) = call_holder(gateway, batches::known_holder(gateway), &request, timeout).await
    {
        gateway.limits.record_gateways(now(), gateways);
        for limit in limits {
            observe(gateway, &limit);
        }
        if let Some((key, delay)) = record_permits(gateway, servers, &permits) {
            tokio::time::sleep(delay).await;
            return Ok(key);
        }
        let retry_after = limit::retry_after(Duration::from_millis(retry_after_ms));
        gateway
            .limits
            .record_refusal(service, now().after(retry_after));
        return take_allowed(gateway, servers).ok_or(retry_after);
    }
    gateway
        .limits
        .unreachable_until
        .set(now().after(UNREACHABLE_BACKOFF));
    // The lease loop finds the holder, or takes the lease if there is none.
    batches::request_lease(gateway);
    refresh(gateway);
    take_allowed(gateway, servers).ok_or(UNREACHABLE_RETRY_AFTER)
}

/// Returns servers at random if there are many. Together, gateways ask for permits for all of them.
fn sample(servers: &[ServerKey]) -> Vec<ServerKey> {
    let start = rand::random_range(0..servers.len().max(1));
    let rotated = servers[start..].iter().chain(&servers[..start]);
    rotated.copied().take(MAX_SERVERS_ASKED).collect()
}

/// Sends a request to the lease holder. Returns its response, or `None` if `holder` is not known, does
/// not respond or grants no permits.
pub(super) async fn call_holder(
    gateway: &Gateway,
    holder: Option<SocketAddr>,
    request: &PeerRequest,
    timeout: Duration,
) -> Option<PeerResponse> {
    let holder = holder.filter(|holder| *holder != gateway.peer_address())?;
    match peer::call(gateway, holder, request, timeout).await {
        Ok(PeerResponse::NotGranting) => {
            log::info!(holder:%; "peer grants no permits");
            None
        }
        Ok(response) => Some(response),
        Err(error) => {
            log::info!(error:%; "permits not granted");
            None
        }
    }
}

/// Keeps granted permits, apart from one, which the caller uses. Returns its server and the time
/// until it is valid.
fn record_permits(
    gateway: &Gateway,
    servers: &[ServerKey],
    permits: &[Permits],
) -> Option<(ServerKey, Duration)> {
    let at = now();
    let mut used = None;
    let mut fleet = gateway.fleet.borrow_mut();
    for granted in permits {
        let Some(key) = servers.get(granted.server).copied() else {
            log::warn!(server = granted.server; "permits for an unknown server ignored");
            continue;
        };
        let mut count = granted.count;
        if used.is_none() && count > 0 {
            used = Some((key, granted.delay_ms));
            count -= 1;
            fleet.limiter_mut().record_demand(at, key);
        }
        fleet.limiter_mut().add_permits(at, key, count);
    }
    used
}

/// Uses one of the servers that allow a request now.
fn take_allowed(gateway: &Gateway, servers: &[ServerKey]) -> Option<ServerKey> {
    let at = now();
    let mut fleet = gateway.fleet.borrow_mut();
    let allowed = servers
        .iter()
        .copied()
        .find(|key| fleet.registration(*key).is_some() && fleet.limiter().allows(at, *key))?;
    fleet.limiter_mut().take(at, allowed);
    Some(allowed)
}

/// Returns what is known of the limits of servers, in the order of `servers`.
pub(super) fn describe(gateway: &Gateway, at: Instant, servers: &[ServerKey]) -> Vec<ServerLimit> {
    let fleet = gateway.fleet.borrow();
    let describe = |key: &ServerKey| {
        let registration = fleet.registration(*key);
        let observation = fleet.limiter().observation(*key);
        ServerLimit {
            instance: registration.map_or_else(String::new, |found| found.instance.clone()),
            started_at_ms: registration.and_then(|found| found.started_at_ms),
            limit: observation.and_then(|found| found.limit),
            age_ms: observation.map_or(UNOBSERVED_AGE, |found| at.since(found.at)),
        }
    };
    servers.iter().map(describe).collect()
}

/// Records what another gateway knows of a server's limit. Returns the server if it is registered,
/// and whether its limit changed.
pub(super) fn observe(gateway: &Gateway, limit: &ServerLimit) -> (Option<ServerKey>, bool) {
    let mut fleet = gateway.fleet.borrow_mut();
    let Some(key) = fleet.key_of(&limit.instance, limit.started_at_ms) else {
        return (None, false);
    };
    let at = now();
    let age = u64::try_from(limit.age_ms.as_micros()).unwrap_or(u64::MAX);
    let observation = Observation {
        limit: limit.limit,
        at: Instant(at.0.saturating_sub(age)),
    };
    let is_changed = fleet.limiter_mut().observe(at, key, observation);
    (Some(key), is_changed)
}
