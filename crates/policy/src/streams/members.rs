//! The gateways of the deployment, and which of them keep the origin of a stream.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tamaracksail_model::id;
use tamaracksail_model::time::Instant;

/// The number of gateways that keep a copy of the origin of a stream.
const COPIES: usize = 2;

/// The number of gateways that are asked for an origin. More than [`COPIES`], as those that did not
/// respond when the copies were made have been passed over.
pub const READ_COPIES: usize = 4;

/// How long a gateway that does not respond gets no copies.
const FAILURE_BACKOFF: Duration = Duration::from_secs(2);

/// How long a gateway must have failed to respond until its record is removed.
const REMOVAL_AGE: Duration = Duration::from_mins(10);

/// Another gateway.
#[derive(Clone, Debug)]
struct Member {
    address: SocketAddr,
    /// The revision of its record.
    revision: u64,
    /// When it first failed to respond, if it has not responded since.
    failing_since: Option<Instant>,
    /// Until when it gets no copies.
    backoff_until: Instant,
    /// Whether its host has CPU time to spare.
    has_spare_cpu: bool,
}

/// The other gateways, by host.
#[derive(Clone, Debug, Default)]
pub struct Members(BTreeMap<String, Member>);

impl Members {
    /// Adds a gateway or updates its record.
    pub fn register(&mut self, host: &str, address: SocketAddr, revision: u64) {
        let member = Member {
            address,
            revision,
            failing_since: None,
            backoff_until: Instant(0),
            has_spare_cpu: false,
        };
        self.0.insert(host.to_owned(), member);
    }

    /// Records that a gateway's host has CPU time to spare, or has not.
    pub fn set_spare_cpu(&mut self, host: &str, has_spare_cpu: bool) {
        if let Some(member) = self.0.get_mut(host) {
            member.has_spare_cpu = has_spare_cpu;
        }
    }

    /// Returns the host and the address of each gateway, and whether its host has CPU time to spare.
    pub fn hosts(&self) -> impl Iterator<Item = (&str, SocketAddr, bool)> {
        let members = self.0.iter();
        members.map(|(host, member)| (host.as_str(), member.address, member.has_spare_cpu))
    }

    /// Removes a gateway.
    pub fn remove(&mut self, host: &str) {
        self.0.remove(host);
    }

    /// Removes all gateways but those on `hosts`.
    pub fn retain(&mut self, hosts: &[&str]) {
        self.0.retain(|host, _| hosts.contains(&host.as_str()));
    }

    /// Returns the addresses of all gateways.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.0.values().map(|member| member.address).collect()
    }

    /// Returns the gateways that should keep a copy of the origin of a stream.
    #[must_use]
    pub fn keepers(&self, now: Instant, attempt: &str) -> Vec<SocketAddr> {
        let is_responding = |member: &&Member| now >= member.backoff_until;
        let ranked = self.ranked(attempt).into_iter();
        let keepers = ranked.filter(is_responding).take(COPIES);
        keepers.map(|member| member.address).collect()
    }

    /// Returns the gateways that may have a copy of the origin of a stream.
    #[must_use]
    pub fn possible_keepers(&self, attempt: &str) -> Vec<SocketAddr> {
        let ranked = self.ranked(attempt).into_iter().take(READ_COPIES);
        ranked.map(|member| member.address).collect()
    }

    /// Records that a gateway responded.
    pub fn record_response(&mut self, address: SocketAddr) {
        for member in self.at(address) {
            member.failing_since = None;
            member.backoff_until = Instant(0);
        }
    }

    /// Records that a gateway did not respond. Returns its host and the revision of its record if it
    /// has not responded for so long that the record should be removed.
    pub fn record_failure(&mut self, now: Instant, address: SocketAddr) -> Option<(String, u64)> {
        for member in self.at(address) {
            member.failing_since.get_or_insert(now);
            member.backoff_until = now.after(FAILURE_BACKOFF);
        }
        let is_gone = |member: &Member| {
            let since = member.failing_since.filter(|_| member.address == address);
            since.is_some_and(|since| now.since(since) >= REMOVAL_AGE)
        };
        let gone = self.0.iter().find(|(_, member)| is_gone(member));
        gone.map(|(host, member)| (host.clone(), member.revision))
    }

    fn at(&mut self, address: SocketAddr) -> impl Iterator<Item = &mut Member> {
        let members = self.0.values_mut();
        members.filter(move |member| member.address == address)
    }

    /// Returns the gateways in the order in which they keep the origin of a stream, by rendezvous
    /// hashing.
    fn ranked(&self, attempt: &str) -> Vec<&Member> {
        let rank = |host: &str| {
            let parts = [attempt.as_bytes(), host.as_bytes()];
            id::fingerprint_of_parts(&parts).spread()
        };
        let mut ranked: Vec<(u64, &Member)> = self
            .0
            .iter()
            .map(|(host, member)| (rank(host), member))
            .collect();
        ranked.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        ranked.into_iter().map(|(_, member)| member).collect()
    }
}
