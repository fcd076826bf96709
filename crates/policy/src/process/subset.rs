//! Assigns servers to entries, and duties such as watching the platform to hosts.

use std::collections::{BTreeMap, BTreeSet};

use tamaracksail_model::host::{Host, Phase, Role};
use tamaracksail_model::id;

/// The number of servers of one pool or service that an entry connects to.
pub const SUBSET_SIZE: usize = 24;

/// How many of those are in other failure domains when the own domain has enough servers.
const MIN_REMOTE_SERVERS: usize = 6;

/// The number of hosts that share a duty: to watch the platform for a failure domain, or to be a
/// candidate for an object's lease.
pub const HOSTS_PER_DUTY: usize = 3;

fn hash_rank(name: &str) -> u64 {
    // A second round of hashing spreads names that differ only in their last characters.
    id::fingerprint(&id::fingerprint(name.as_bytes()).0.to_le_bytes()).0
}

/// Returns the servers of `servers` that the entry `own` of `entries` connects to.
///
/// Entries and servers are ordered by the hash of their names. The ordered servers form a ring,
/// and each entry gets a window of it that starts in proportion to the entry's position. The
/// windows overlap evenly: within one domain the numbers of windows that two servers are in
/// differ by at most one, and one more entry moves each window only a little.
#[must_use]
pub fn select_servers<'a>(own: &Host, entries: &[&Host], servers: &[&'a Host]) -> Vec<&'a Host> {
    if servers.len() <= SUBSET_SIZE {
        return servers.to_vec();
    }
    let is_local = |host: &&Host| host.domain == own.domain;
    let local: Vec<&Host> = servers.iter().copied().filter(is_local).collect();
    let remote: Vec<&Host> = servers
        .iter()
        .copied()
        .filter(|host| !is_local(host))
        .collect();
    let local_entries: Vec<&Host> = entries.iter().copied().filter(is_local).collect();
    let wanted_local = (SUBSET_SIZE - MIN_REMOTE_SERVERS)
        .max(SUBSET_SIZE.saturating_sub(remote.len()))
        .min(local.len());
    let mut chosen = window(own, &local_entries, &local, wanted_local);
    chosen.extend(window(own, entries, &remote, SUBSET_SIZE - wanted_local));
    chosen
}

fn window<'a>(own: &Host, entries: &[&Host], servers: &[&'a Host], size: usize) -> Vec<&'a Host> {
    let mut names: BTreeSet<(u64, &id::Host)> = entries
        .iter()
        .map(|host| (hash_rank(host.name.as_str()), &host.name))
        .collect();
    names.insert((hash_rank(own.name.as_str()), &own.name));
    let position = names
        .iter()
        .position(|(_, name)| **name == own.name)
        .unwrap_or(0);
    let mut ring = servers.to_vec();
    ring.sort_by_key(|host| (hash_rank(host.name.as_str()), host.name.clone()));
    let start = position * ring.len() / names.len();
    (0..size.min(ring.len()))
        .map(|step| ring[(start + step) % ring.len()])
        .collect()
}

/// Returns the [`HOSTS_PER_DUTY`] eligible live hosts that rendezvous hashing ranks first for
/// `purpose`.
fn first_ranked<'a>(
    hosts: &'a [Host],
    purpose: &str,
    is_eligible: impl Fn(&Host) -> bool,
) -> Vec<&'a id::Host> {
    let eligible = hosts
        .iter()
        .filter(|host| host.phase == Phase::Live && is_eligible(host));
    let ranked: BTreeMap<u64, &id::Host> = eligible
        .map(|host| (hash_rank(&format!("{purpose}/{}", host.name)), &host.name))
        .collect();
    ranked.into_values().take(HOSTS_PER_DUTY).collect()
}

/// Returns the hosts of `domain` that watch the platform.
#[must_use]
pub fn watchers<'a>(hosts: &'a [Host], domain: &id::Domain) -> Vec<&'a id::Host> {
    first_ranked(hosts, "watch", |host| host.domain == *domain)
}

/// Returns the entries that may acquire the lease of the object named `object`.
#[must_use]
pub fn candidates<'a>(hosts: &'a [Host], object: &str) -> Vec<&'a id::Host> {
    let purpose = format!("own/{object}");
    first_ranked(hosts, &purpose, |host| host.role == Role::Entry)
}

/// Returns the live hosts of a domain in the order in which updates are pushed through them.
#[must_use]
pub fn push_order<'a>(hosts: &'a [Host], domain: &id::Domain) -> Vec<&'a Host> {
    let live = hosts
        .iter()
        .filter(|host| host.phase == Phase::Live && host.domain == *domain);
    let mut ordered: Vec<&Host> = live.collect();
    ordered.sort_by_cached_key(|host| hash_rank(&format!("tree/{}", host.name)));
    ordered
}

/// Returns the hosts that have `role`.
#[must_use]
pub fn hosts_with_role(hosts: &[Host], role: Role) -> Vec<&Host> {
    hosts.iter().filter(|host| host.role == role).collect()
}
