//! The software versions of each service, over time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tamaracksail_model::backend::Registration;
use tamaracksail_model::time::Instant;

/// How long a service must have had servers of one version only until every stream that a client may
/// take up began there. Longer than a stream lasts, and than a server serves requests after its
/// registration has ended.
pub const SETTLE_TIME: Duration = Duration::from_secs(20);

/// The software versions that were registered, by service and version, and when last.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    /// Since when registrations are observed.
    observed_since: Option<Instant>,
    last_seen: BTreeMap<String, BTreeMap<String, Instant>>,
}

impl Versions {
    /// Records that all registrations have been read.
    pub fn record_list(&mut self, now: Instant) {
        self.observed_since.get_or_insert(now);
    }

    /// Records that a server is or was registered until now. Returns whether the service has other
    /// versions, and this one was not known.
    pub fn record(&mut self, now: Instant, server: &Registration) -> bool {
        let known = self.last_seen.get_mut(&server.service);
        if let Some(seen) = known.and_then(|versions| versions.get_mut(&server.software)) {
            *seen = now;
            return false;
        }
        let versions = self.last_seen.entry(server.service.clone()).or_default();
        versions.insert(server.software.clone(), now);
        versions.len() > 1
    }

    /// Whether registrations have been observed for [`SETTLE_TIME`].
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        self.observed_since
            .is_some_and(|since| now.since(since) >= SETTLE_TIME)
    }

    /// Returns the versions of servers of `service` that were registered within [`SETTLE_TIME`]. Those
    /// of servers that are registered now are not always among them.
    #[must_use]
    pub fn recent(&self, now: Instant, service: &str) -> BTreeSet<String> {
        let seen = self.last_seen.get(service).into_iter().flatten();
        let recent = seen.filter(|(_, at)| now.since(**at) < SETTLE_TIME);
        recent.map(|(version, _)| version.clone()).collect()
    }

    /// Returns the only version that servers of `service` have had for long enough, given all
    /// servers that are registered now.
    #[must_use]
    pub fn settled<'a>(
        &'a self,
        now: Instant,
        service: &str,
        mut registered: impl Iterator<Item = &'a Registration>,
    ) -> Option<&'a str> {
        if now.since(self.observed_since?) < SETTLE_TIME {
            return None;
        }
        let seen = self.last_seen.get(service)?;
        if seen.len() == 1 {
            return seen.keys().next().map(String::as_str);
        }
        let of_service = |server: &&Registration| server.service == service;
        let version = registered.find(of_service)?.software.as_str();
        let is_other = |server: &Registration| server.software != version;
        if registered.filter(of_service).any(is_other) {
            return None;
        }
        let had_other = seen
            .iter()
            .any(|(other, at)| other != version && now.since(*at) < SETTLE_TIME);
        (!had_other).then_some(version)
    }
}
