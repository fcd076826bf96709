//! Which servers an entry looks at closely, and which processes watch the platform.

use std::collections::{BTreeMap, BTreeSet};

use tamaracksail_model::host::{Host, Phase, Role};
use tamaracksail_model::id;

/// Servers of one pool or service that an entry looks at.
pub const SIZE: usize = 24;

/// Of those, how many stand in other failure domains when the own one has enough.
const REMOTE: usize = 6;

/// Hosts that share a duty: watch the platform for a failure domain, or may own an object.
pub const SHARERS: usize = 3;

fn rank(name: &str) -> u64 {
    // One more round spreads names that differ only in their last characters.
    id::fingerprint(&id::fingerprint(name.as_bytes()).0.to_le_bytes()).0
}

/// The servers of `servers` that the entry `own` of `entries` looks at.
///
/// Both lists are put on a ring by the hash of their names, and the entry takes the window that
/// starts at its share of the ring. So windows of entries overlap evenly: within one domain each
/// server is in equally many subsets, up to one, and one more entry moves each window a little.
#[must_use]
pub fn subset<'a>(own: &Host, entries: &[&Host], servers: &[&'a Host]) -> Vec<&'a Host> {
    if servers.len() <= SIZE {
        return servers.to_vec();
    }
    let is_local = |host: &&Host| host.domain == own.domain;
    let local: Vec<&Host> = servers.iter().copied().filter(is_local).collect();
    let remote: Vec<&Host> = servers
        .iter()
        .copied()
        .filter(|host| !is_local(host))
        .collect();
    let peers: Vec<&Host> = entries.iter().copied().filter(is_local).collect();
    let wanted_local = (SIZE - REMOTE)
        .max(SIZE.saturating_sub(remote.len()))
        .min(local.len());
    let mut chosen = window(own, &peers, &local, wanted_local);
    chosen.extend(window(own, entries, &remote, SIZE - wanted_local));
    chosen
}

fn window<'a>(own: &Host, entries: &[&Host], servers: &[&'a Host], size: usize) -> Vec<&'a Host> {
    let mut names: BTreeSet<(u64, &id::Host)> = entries
        .iter()
        .map(|host| (rank(host.name.as_str()), &host.name))
        .collect();
    names.insert((rank(own.name.as_str()), &own.name));
    let place = names
        .iter()
        .position(|(_, name)| **name == own.name)
        .unwrap_or(0);
    let mut ring = servers.to_vec();
    ring.sort_by_key(|host| (rank(host.name.as_str()), host.name.clone()));
    let start = place * ring.len() / names.len();
    (0..size.min(ring.len()))
        .map(|step| ring[(start + step) % ring.len()])
        .collect()
}

/// The first few live hosts of a kind, by rendezvous hashing for a purpose.
fn first_few<'a>(
    hosts: &'a [Host],
    purpose: &str,
    is_fit: impl Fn(&Host) -> bool,
) -> Vec<&'a id::Host> {
    let fit = hosts
        .iter()
        .filter(|host| host.phase == Phase::Live && is_fit(host));
    let ranked: BTreeMap<u64, &id::Host> = fit
        .map(|host| (rank(&format!("{purpose}/{}", host.name)), &host.name))
        .collect();
    ranked.into_values().take(SHARERS).collect()
}

/// The processes of `domain` that watch the platform.
#[must_use]
pub fn watchers<'a>(hosts: &'a [Host], domain: &id::Domain) -> Vec<&'a id::Host> {
    first_few(hosts, "watch", |host| host.domain == *domain)
}

/// The entries that may own what is named `object`.
#[must_use]
pub fn candidates<'a>(hosts: &'a [Host], object: &str) -> Vec<&'a id::Host> {
    let purpose = format!("own/{object}");
    first_few(hosts, &purpose, |host| host.role == Role::Entry)
}

/// The live hosts of a domain in the order in which news passes through them.
#[must_use]
pub fn tree<'a>(hosts: &'a [Host], domain: &id::Domain) -> Vec<&'a Host> {
    let live = hosts
        .iter()
        .filter(|host| host.phase == Phase::Live && host.domain == *domain);
    let mut ordered: Vec<&Host> = live.collect();
    ordered.sort_by_cached_key(|host| rank(&format!("tree/{}", host.name)));
    ordered
}

/// The hosts of a role.
#[must_use]
pub fn of_role(hosts: &[Host], role: Role) -> Vec<&Host> {
    hosts.iter().filter(|host| host.role == role).collect()
}
