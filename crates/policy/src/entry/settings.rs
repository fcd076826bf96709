//! The settings of an entry, which are validated when they are built.

use std::time::Duration;

use tamaracksail_model::host::Host;
use tamaracksail_model::id;

use crate::connection::choice::Rule;

/// Validated settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) host: Host,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) seed: u64,
    pub(crate) rule: Rule,
    pub(crate) remote_cost: Duration,
    pub(crate) stall_timeout: Duration,
    pub(crate) heartbeat_interval: Duration,
    pub(crate) retry_reserve: u32,
    pub(crate) queue_limit: usize,
}

impl Settings {
    /// Returns the entry's host.
    #[must_use]
    pub fn host(&self) -> &Host {
        &self.host
    }

    /// Returns the incarnation of the entry's process.
    #[must_use]
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }
}

/// A setting that is out of bounds.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{name}: must be {bounds}")]
pub struct Error {
    name: &'static str,
    bounds: &'static str,
}

/// Builds [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder(Settings);

impl Settings {
    /// Creates a builder with the default settings of the entry on `host`.
    #[must_use]
    pub fn builder(host: Host, incarnation: id::Incarnation, seed: u64) -> Builder {
        Builder(Self {
            host,
            incarnation,
            seed,
            rule: Rule::LeastDelay,
            remote_cost: Duration::from_millis(20),
            stall_timeout: Duration::from_secs(5),
            heartbeat_interval: Duration::from_secs(1),
            retry_reserve: 10,
            queue_limit: 256,
        })
    }
}

impl Builder {
    /// Sets the rule by which servers are chosen.
    #[must_use]
    pub fn rule(mut self, rule: Rule) -> Self {
        self.0.rule = rule;
        self
    }

    /// Sets by how much a server in another failure domain must be faster to be chosen.
    #[must_use]
    pub fn remote_cost(mut self, cost: Duration) -> Self {
        self.0.remote_cost = cost;
        self
    }

    /// Sets how long an attempt may be silent before another server is tried.
    #[must_use]
    pub fn stall_timeout(mut self, stall_timeout: Duration) -> Self {
        self.0.stall_timeout = stall_timeout;
        self
    }

    /// Sets the time between heartbeats to a server.
    #[must_use]
    pub fn heartbeat_interval(mut self, heartbeat_interval: Duration) -> Self {
        self.0.heartbeat_interval = heartbeat_interval;
        self
    }

    /// Sets the number of retries that may be made before first attempts have filled the retry
    /// budget. This is also the capacity of the budget.
    #[must_use]
    pub fn retry_reserve(mut self, retries: u32) -> Self {
        self.0.retry_reserve = retries;
        self
    }

    /// Sets the number of requests of all classes that may wait for a server.
    #[must_use]
    pub fn queue_limit(mut self, requests: usize) -> Self {
        self.0.queue_limit = requests;
        self
    }

    /// Validates the settings.
    ///
    /// # Errors
    /// Returns every setting that is out of bounds.
    pub fn build(self) -> Result<Settings, Vec<Error>> {
        let settings = self.0;
        let mut errors = Vec::new();
        let mut require = |holds: bool, name, bounds| {
            if !holds {
                errors.push(Error { name, bounds });
            }
        };
        require(!settings.stall_timeout.is_zero(), "stall", "more than 0");
        require(
            !settings.heartbeat_interval.is_zero(),
            "heartbeat",
            "more than 0",
        );
        require(settings.retry_reserve >= 1, "retry-reserve", "at least 1");
        require(settings.queue_limit >= 1, "queue", "at least 1");
        if errors.is_empty() {
            Ok(settings)
        } else {
            Err(errors)
        }
    }
}
