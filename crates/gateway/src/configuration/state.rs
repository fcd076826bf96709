//! State of the configuration that lives as long as the process.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use tamaracksail_model::time::Instant;
use tamaracksail_policy::relay::{Relay, Source};
use tamaracksail_wire::peer::{Configuration as Text, Response as PeerResponse};
use tokio::sync::Notify;

/// What this process knows of the newest configuration.
#[derive(Debug)]
pub struct Configuration {
    pub(super) relay: RefCell<Relay>,
    /// The text of the configuration in force, for other gateways.
    text: RefCell<Option<Text>>,
    /// Whether this process asks and answers other gateways.
    is_relayed: Cell<bool>,
    /// Wakes the task that asks other gateways when a call to the store has failed.
    pub(super) failed: Notify,
    /// The newest version that a task has waited for; `None` if none has.
    awaited: Cell<Option<u64>>,
    /// Wakes the task that reads awaited versions.
    requested: Notify,
    /// Notifies of a new version in force.
    changed: Notify,
}

impl Configuration {
    /// Returns the state of a process without a configuration. `draw` is a random number.
    pub fn new(draw: u32) -> Self {
        let first_peer = usize::try_from(draw).unwrap_or_default();
        Self {
            relay: RefCell::new(Relay::new(first_peer)),
            text: RefCell::new(None),
            is_relayed: Cell::new(false),
            failed: Notify::new(),
            awaited: Cell::new(None),
            requested: Notify::new(),
            changed: Notify::new(),
        }
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<u64> {
        self.relay.borrow().version()
    }

    /// Puts a version into force. Returns false if it must not be used.
    pub fn adopt(&self, source: Source, version: u64) -> bool {
        self.relay.borrow_mut().adopt(source, version)
    }

    /// Wakes the tasks that wait for a version. To be called once it is in force.
    pub fn notify_changed(&self) {
        self.changed.notify_waiters();
    }

    /// Waits until `version` or a newer one is in force, and has it read from the store meanwhile.
    pub async fn wait_for(&self, version: u64) {
        loop {
            let changed = self.changed.notified();
            if self.has(version) {
                return;
            }
            self.awaited.set(self.awaited.get().max(Some(version)));
            self.requested.notify_one();
            changed.await;
        }
    }

    /// Waits until a task waits for a version that is not in force, and returns that version.
    pub async fn requested(&self) -> u64 {
        loop {
            match self.awaited.get() {
                Some(version) if !self.has(version) => return version,
                _ => self.requested.notified().await,
            }
        }
    }

    /// Whether `version` or a newer one is in force.
    pub fn has(&self, version: u64) -> bool {
        self.version() >= Some(version)
    }

    /// Whether configurations are exchanged with other gateways: from the first one with client
    /// accounts on.
    pub fn is_relayed(&self) -> bool {
        self.is_relayed.get()
    }

    /// Starts the exchange with other gateways. Returns whether it had not been started before.
    pub fn start_relay(&self) -> bool {
        !self.is_relayed.replace(true)
    }

    /// Keeps the text of the configuration in force for other gateways.
    pub fn keep(&self, revision: u64, text: String) {
        *self.text.borrow_mut() = Some(Text { revision, text });
    }

    /// Records that the store answered a call for the configuration, which was the newest at the time
    /// `known_at`.
    pub fn record_read(&self, known_at: Instant) {
        self.relay.borrow_mut().record_read(known_at);
    }

    /// Records that a call for the configuration failed.
    pub fn record_read_failure(&self) {
        self.relay.borrow_mut().record_read_failure();
        self.failed.notify_one();
    }

    /// Answers a gateway that uses `version`.
    pub fn answer(&self, now: Instant, version: u64) -> PeerResponse {
        let relay = self.relay.borrow();
        let in_force = relay.version().filter(|_| self.is_relayed());
        let is_newer = in_force.is_some_and(|in_force| in_force > version);
        PeerResponse::Configuration {
            version: in_force,
            age_ms: relay.age(now).map(millis),
            newer: self.text.borrow().clone().filter(|_| is_newer),
        }
    }
}

/// Returns a duration in milliseconds, rounded up, so that an age is never understated.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}
