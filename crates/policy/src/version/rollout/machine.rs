//! The rollout controller's state: its lease and the load commands it sends.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tamaracksail_model::config::Snapshot;
use tamaracksail_model::host::{Host, Phase, Role};
use tamaracksail_model::id::{self, Fence, Revision, Version};
use tamaracksail_model::time::Instant;
use tamaracksail_wire::{LoadCommand, LoadOutcome};

use super::server::{Loading, Server, Source};
use super::{Action, Event, Settings};
use crate::process::lease::{LeaseRecord, LeaseState, RENEWAL_INTERVAL};
use crate::store::{self, Call, CallId, CallIds, CallResult, Op, Reply};
use crate::version::replace_if_newer;

/// The time between two reads of a lease that another host holds.
const LEASE_POLL_INTERVAL: Duration = Duration::from_secs(3);

/// How long the holder relies on its lease after it sent the write that renewed it. This is less
/// than [`LEASE_DURATION`](crate::process::lease::LEASE_DURATION), after which other hosts may
/// acquire the lease.
const LEASE_VALIDITY: Duration = Duration::from_secs(8);

/// How long no call is made to the platform after a call without a response.
const PLATFORM_BACKOFF: Duration = Duration::from_millis(500);

/// The backoff of a server after its first failed load. It doubles with each further failure.
const INITIAL_SERVER_BACKOFF: Duration = Duration::from_millis(500);

/// The maximum backoff of a server.
const MAX_SERVER_BACKOFF: Duration = Duration::from_secs(30);

/// The time after which a load command without a response is considered lost.
const LOAD_COMMAND_TIMEOUT: Duration = Duration::from_secs(30);

/// The controller of the rollout of one model.
#[derive(Debug)]
pub struct RolloutController {
    settings: Settings,
    config: Option<Arc<Snapshot>>,
    hosts: BTreeMap<id::Host, Host>,
    servers: BTreeMap<id::Host, Server>,
    call_ids: CallIds,
    call: Option<CallId>,
    must_read: bool,
    is_stopping: bool,
    lease_state: LeaseState,
    lease_record: LeaseRecord,
    revision: Revision,
    retry_at: Instant,
    renew_at: Instant,
    /// When the latest write of the lease was sent.
    sent_at: Instant,
    /// Until when no other host can have acquired the lease.
    valid_until: Instant,
    actions: Vec<Action>,
}

impl RolloutController {
    /// Returns a controller that has not read its lease.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            config: None,
            hosts: BTreeMap::new(),
            servers: BTreeMap::new(),
            call_ids: CallIds::default(),
            call: None,
            must_read: true,
            is_stopping: false,
            lease_state: LeaseState::Free,
            lease_record: LeaseRecord::default(),
            revision: Revision(0),
            retry_at: Instant::default(),
            renew_at: Instant::default(),
            sent_at: Instant::default(),
            valid_until: Instant::default(),
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Config(config) => replace_if_newer(&mut self.config, config),
            Event::Hosts(hosts) => {
                self.hosts = hosts
                    .into_iter()
                    .map(|host| (host.name.clone(), host))
                    .collect();
            }
            Event::LoadOutcome(host, outcome) => self.handle_load_outcome(now, &host, &outcome),
            Event::LoadOutcomeLost(host) => self.back_off_server(now, &host),
            Event::Stored(reply) => self.handle_reply(now, &reply),
            Event::Tick => {}
            Event::Stop => self.is_stopping = true,
        }
        self.maintain_lease(now);
        if let LeaseState::Held(fence) = self.lease_state
            && now < self.valid_until
            && !self.is_stopping
        {
            self.send_load_commands(now, fence);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns whether this host owns the rollout.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        matches!(self.lease_state, LeaseState::Held(_))
    }

    /// Returns the number of servers that have the target version, and the number of all servers.
    #[must_use]
    pub fn progress(&self) -> (usize, usize) {
        let target = self.target();
        let loaded = self
            .servers
            .values()
            .filter(|server| server.loaded == target);
        (loaded.count(), self.servers.len())
    }

    /// Returns the number of servers that are loading.
    #[must_use]
    pub fn loading(&self) -> usize {
        self.servers
            .values()
            .filter(|server| server.loading.is_some())
            .count()
    }

    fn target(&self) -> Option<Version> {
        self.config.as_ref()?.target_version(&self.settings.model)
    }

    fn key(&self) -> String {
        format!("rollout/{}", self.settings.model)
    }

    fn call(&mut self, op: Op) {
        let call_id = self.call_ids.issue();
        self.call = Some(call_id);
        let key = self.key();
        self.actions.push(Action::Store(Call { call_id, key, op }));
    }

    fn maintain_lease(&mut self, now: Instant) {
        if self.call.is_some() || self.lease_state == LeaseState::Stopped {
            return;
        }
        if self.is_stopping {
            return self.release_lease();
        }
        if now < self.retry_at {
            return;
        }
        if self.must_read {
            return self.call(Op::Get);
        }
        match self.lease_state {
            LeaseState::Held(fence) if now >= self.renew_at => self.write(now, fence),
            LeaseState::Held(_) => {}
            lease_state if lease_state.can_acquire(now) => {
                self.write(now, self.lease_record.fence.next());
            }
            _ => {
                self.must_read = true;
                self.retry_at = now.after(LEASE_POLL_INTERVAL);
            }
        }
    }

    fn write(&mut self, now: Instant, fence: Fence) {
        let lease_record = self.lease_record.next(fence, &self.settings.claimant);
        let value = store::encode(&lease_record);
        self.lease_record = lease_record;
        self.sent_at = now;
        self.call(Op::Put {
            revision: self.revision,
            value,
        });
    }

    fn release_lease(&mut self) {
        if self.is_owner() && !self.must_read {
            let value = store::encode(&self.lease_record.released());
            self.call(Op::Put {
                revision: self.revision,
                value,
            });
        }
        self.lease_state = LeaseState::Stopped;
        self.actions.push(Action::Released);
    }

    fn handle_reply(&mut self, now: Instant, reply: &Reply) {
        if self.call != Some(reply.call_id) {
            return;
        }
        self.call = None;
        match &reply.result {
            CallResult::Value { revision, value } => {
                self.must_read = false;
                self.revision = *revision;
                self.lease_record = store::decode("rollout", value).unwrap_or_default();
                self.observe_lease(now);
            }
            CallResult::Missing => {
                self.must_read = false;
                self.revision = Revision(0);
                self.lease_record = LeaseRecord::default();
                self.observe_lease(now);
            }
            CallResult::Written { revision } => {
                self.revision = *revision;
                self.renew_at = now.after(RENEWAL_INTERVAL);
                self.valid_until = self.sent_at.after(LEASE_VALIDITY);
                self.observe_lease(now);
            }
            CallResult::Conflict => self.must_read = true,
            CallResult::Lost => {
                self.must_read = true;
                self.retry_at = now.after(PLATFORM_BACKOFF);
            }
        }
    }

    fn observe_lease(&mut self, now: Instant) {
        let was_owner = self.is_owner();
        self.lease_state =
            self.lease_state
                .observe(now, &self.lease_record, &self.settings.claimant);
        if was_owner && !self.is_owner() {
            self.servers.clear();
        }
    }

    /// Updates the servers from the host list and the configuration.
    fn update_servers(&mut self) {
        let Some(config) = &self.config else { return };
        let serves = |host: &Host| {
            let pool = host.serves.as_ref().and_then(|name| config.pool(name));
            host.role == Role::Agent
                && host.phase == Phase::Live
                && pool.is_some_and(|pool| pool.model == self.settings.model)
        };
        let wanted: Vec<id::Host> = self
            .hosts
            .values()
            .filter(|host| serves(host))
            .map(|host| host.name.clone())
            .collect();
        self.servers
            .retain(|name, _| wanted.binary_search(name).is_ok());
        for name in wanted {
            self.servers.entry(name).or_default();
        }
    }

    /// Sends load commands to as many servers as may load now.
    fn send_load_commands(&mut self, now: Instant, fence: Fence) {
        self.update_servers();
        self.expire_load_commands(now);
        let Some(target) = self.target() else { return };
        let max_loading =
            (self.servers.len() * self.settings.max_loading_percent as usize / 100).max(1);
        let mut capacity = max_loading.saturating_sub(self.loading());
        let due: Vec<id::Host> = self
            .servers
            .iter()
            .filter(|(_, server)| server.is_due(now, target))
            .map(|(name, _)| name.clone())
            .collect();
        let mut sources = self.sources(target);
        for name in due {
            if capacity == 0 {
                return;
            }
            let Some(source) = self.choose_source(&mut sources, &name) else {
                return;
            };
            self.send_load_command(now, &name, fence, target, source);
            capacity -= 1;
        }
    }

    /// Gives up on load commands without a response, so that they do not occupy a source
    /// indefinitely.
    fn expire_load_commands(&mut self, now: Instant) {
        let is_lost = |server: &Server| {
            let loading = server.loading.as_ref();
            loading.is_some_and(|loading| now.since(loading.since) >= LOAD_COMMAND_TIMEOUT)
        };
        let lost: Vec<id::Host> = self
            .servers
            .iter()
            .filter(|(_, server)| is_lost(server))
            .map(|(name, _)| name.clone())
            .collect();
        for name in lost {
            self.back_off_server(now, &name);
        }
    }

    /// Returns the sources of a version, each with the number of further loads it can serve.
    fn sources(&self, target: Version) -> BTreeMap<Source, u32> {
        let peers = self
            .servers
            .iter()
            .filter(|(_, server)| server.loaded == Some(target) && server.loading.is_none())
            .map(|(name, _)| (Source::Peer(name.clone()), self.settings.max_loads_per_peer));
        let mut sources: BTreeMap<Source, u32> = peers.collect();
        sources.insert(Source::Store, self.settings.max_loads_from_store);
        for loading in self
            .servers
            .values()
            .filter_map(|server| server.loading.as_ref())
        {
            if let Some(capacity) = sources.get_mut(&loading.source) {
                *capacity = capacity.saturating_sub(1);
            }
        }
        sources
    }

    /// Chooses a source that can serve another load: preferably a peer in the same domain, then
    /// any peer, then the weight store. After a failure the order is reversed.
    fn choose_source(
        &self,
        sources: &mut BTreeMap<Source, u32>,
        name: &id::Host,
    ) -> Option<Source> {
        let domain = self.hosts.get(name).map(|host| &host.domain);
        let rank = |source: &Source| match source {
            Source::Peer(peer) if self.hosts.get(peer).map(|host| &host.domain) == domain => 0,
            Source::Peer(_) => 1,
            Source::Store => 2,
        };
        // The load may have failed because of a bad peer; the store always has the weights.
        let prefers_store = self
            .servers
            .get(name)
            .is_some_and(|server| server.failures > 0);
        let available = sources
            .iter()
            .filter(|(_, capacity)| **capacity > 0)
            .map(|(source, _)| source);
        let best = if prefers_store {
            available.max_by_key(|source| rank(source))
        } else {
            available.min_by_key(|source| rank(source))
        };
        let best = best.cloned()?;
        if let Some(capacity) = sources.get_mut(&best) {
            *capacity -= 1;
        }
        Some(best)
    }

    fn send_load_command(
        &mut self,
        now: Instant,
        name: &id::Host,
        fence: Fence,
        version: Version,
        source: Source,
    ) {
        let Some(host) = self.hosts.get(name).cloned() else {
            return;
        };
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let from = match &source {
            Source::Store => None,
            Source::Peer(peer) => self.hosts.get(peer).cloned(),
        };
        server.loading = Some(Loading { source, since: now });
        server.last_command_at = Some(now);
        let load_command = LoadCommand {
            fence,
            model: self.settings.model.clone(),
            version,
            source: from,
        };
        self.actions.push(Action::LoadCommand(host, load_command));
    }

    fn handle_load_outcome(&mut self, now: Instant, name: &id::Host, outcome: &LoadOutcome) {
        match outcome {
            LoadOutcome::Loaded(version) => {
                let Some(server) = self.servers.get_mut(name) else {
                    return;
                };
                server.loaded = Some(*version);
                server.loading = None;
                server.failures = 0;
            }
            LoadOutcome::Failed(version) => {
                if let Some(server) = self.servers.get_mut(name) {
                    server.loaded = *version;
                }
                self.back_off_server(now, name);
            }
            LoadOutcome::Busy => {
                let Some(server) = self.servers.get_mut(name) else {
                    return;
                };
                server.loading = None;
                server.retry_at = now.after(INITIAL_SERVER_BACKOFF);
            }
            LoadOutcome::Fenced(_) => {
                // Another host owns the rollout with a higher fencing token.
                self.must_read = true;
                self.back_off_server(now, name);
            }
        }
    }

    /// Backs off a server after a failed or lost load; it keeps its old version meanwhile.
    fn back_off_server(&mut self, now: Instant, name: &id::Host) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.loading = None;
        let backoff = INITIAL_SERVER_BACKOFF * 2u32.saturating_pow(server.failures.min(8));
        server.failures += 1;
        server.retry_at = now.after(backoff.min(MAX_SERVER_BACKOFF));
    }
}
