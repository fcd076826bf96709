//! The rollout's state: its lease, and the orders it gives.

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
use crate::store::{self, Answer, Call, Op, Reply, Ticket, Tickets};
use crate::version::take_newer;

/// The time between two looks at a lease that another holds.
const LOOK: Duration = Duration::from_secs(3);

/// How long a holder relies on its lease, counted from the write that renewed it: less than
/// [`LEASE_DURATION`](crate::process::lease::LEASE_DURATION), after which others may take it.
const RELIANCE: Duration = Duration::from_secs(8);

/// How long the platform is left alone after a lost call.
const BACKOFF: Duration = Duration::from_millis(500);

/// The pause of a server after its first failed swap; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// The longest pause of a server.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// The time after which an order without an answer is taken for lost.
const ORDER_PATIENCE: Duration = Duration::from_secs(30);

/// The state of a rollout.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    config: Option<Arc<Snapshot>>,
    hosts: BTreeMap<id::Host, Host>,
    servers: BTreeMap<id::Host, Server>,
    tickets: Tickets,
    call: Option<Ticket>,
    must_read: bool,
    is_stopping: bool,
    lease_state: LeaseState,
    lease_record: LeaseRecord,
    revision: Revision,
    retry_at: Instant,
    renew_at: Instant,
    /// When the write under way was sent.
    sent_at: Instant,
    /// Until when no other host can have taken the lease.
    valid_until: Instant,
    out: Vec<Action>,
}

impl Controller {
    /// A rollout that has not read its lease.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            config: None,
            hosts: BTreeMap::new(),
            servers: BTreeMap::new(),
            tickets: Tickets::default(),
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
            out: Vec::new(),
        }
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Config(config) => take_newer(&mut self.config, config),
            Event::Hosts(hosts) => {
                self.hosts = hosts
                    .into_iter()
                    .map(|host| (host.name.clone(), host))
                    .collect();
            }
            Event::Ordered(host, ordered) => self.take_ordered(now, &host, &ordered),
            Event::Lost(host) => self.pause(now, &host),
            Event::Stored(reply) => self.take_reply(now, &reply),
            Event::Tick => {}
            Event::Stop => self.is_stopping = true,
        }
        self.keep_lease(now);
        if let LeaseState::Held(fence) = self.lease_state
            && now < self.valid_until
            && !self.is_stopping
        {
            self.give_orders(now, fence);
        }
        std::mem::take(&mut self.out)
    }

    /// Whether this host owns the rollout.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        matches!(self.lease_state, LeaseState::Held(_))
    }

    /// Servers that have the target version, and all.
    #[must_use]
    pub fn progress(&self) -> (usize, usize) {
        let target = self.target();
        let there = self
            .servers
            .values()
            .filter(|server| server.loaded == target);
        (there.count(), self.servers.len())
    }

    /// Servers that load now.
    #[must_use]
    pub fn loading(&self) -> usize {
        self.servers
            .values()
            .filter(|server| server.loading.is_some())
            .count()
    }

    fn target(&self) -> Option<Version> {
        self.config.as_ref()?.target(&self.settings.model)
    }

    fn key(&self) -> String {
        format!("rollout/{}", self.settings.model)
    }

    fn call(&mut self, op: Op) {
        let ticket = self.tickets.issue();
        self.call = Some(ticket);
        let key = self.key();
        self.out.push(Action::Store(Call { ticket, key, op }));
    }

    fn keep_lease(&mut self, now: Instant) {
        if self.call.is_some() || self.lease_state == LeaseState::Stopped {
            return;
        }
        if self.is_stopping {
            return self.give_back();
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
                self.retry_at = now.after(LOOK);
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

    fn give_back(&mut self) {
        if self.is_owner() && !self.must_read {
            let value = store::encode(&self.lease_record.released());
            self.call(Op::Put {
                revision: self.revision,
                value,
            });
        }
        self.lease_state = LeaseState::Stopped;
        self.out.push(Action::Released);
    }

    fn take_reply(&mut self, now: Instant, reply: &Reply) {
        if self.call != Some(reply.ticket) {
            return;
        }
        self.call = None;
        match &reply.answer {
            Answer::Value { revision, value } => {
                self.must_read = false;
                self.revision = *revision;
                self.lease_record = store::decode("rollout", value).unwrap_or_default();
                self.observe(now);
            }
            Answer::Missing => {
                self.must_read = false;
                self.revision = Revision(0);
                self.lease_record = LeaseRecord::default();
                self.observe(now);
            }
            Answer::Written { revision } => {
                self.revision = *revision;
                self.renew_at = now.after(RENEWAL_INTERVAL);
                self.valid_until = self.sent_at.after(RELIANCE);
                self.observe(now);
            }
            Answer::Conflict => self.must_read = true,
            Answer::Lost => {
                self.must_read = true;
                self.retry_at = now.after(BACKOFF);
            }
        }
    }

    fn observe(&mut self, now: Instant) {
        let was_owner = self.is_owner();
        self.lease_state =
            self.lease_state
                .observe(now, &self.lease_record, &self.settings.claimant);
        if was_owner && !self.is_owner() {
            self.servers.clear();
        }
    }

    /// Brings the servers in line with the host list and the configuration.
    fn choose_servers(&mut self) {
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

    /// Orders as many servers as may load now.
    fn give_orders(&mut self, now: Instant, fence: Fence) {
        self.choose_servers();
        self.forget_lost_orders(now);
        let Some(target) = self.target() else { return };
        let most = (self.servers.len() * self.settings.out_percent as usize / 100).max(1);
        let mut room = most.saturating_sub(self.loading());
        let due: Vec<id::Host> = self
            .servers
            .iter()
            .filter(|(_, server)| server.is_due(now, target))
            .map(|(name, _)| name.clone())
            .collect();
        let mut sources = self.sources(target);
        for name in due {
            if room == 0 {
                return;
            }
            let Some(source) = self.take_source(&mut sources, &name) else {
                return;
            };
            self.order(now, &name, fence, target, source);
            room -= 1;
        }
    }

    /// An order without an answer must not hold its source for ever.
    fn forget_lost_orders(&mut self, now: Instant) {
        let is_lost = |server: &Server| {
            let loading = server.loading.as_ref();
            loading.is_some_and(|loading| now.since(loading.since) >= ORDER_PATIENCE)
        };
        let lost: Vec<id::Host> = self
            .servers
            .iter()
            .filter(|(_, server)| is_lost(server))
            .map(|(name, _)| name.clone())
            .collect();
        for name in lost {
            self.pause(now, &name);
        }
    }

    /// The sources of a version, each with the loads that it can still take.
    fn sources(&self, target: Version) -> BTreeMap<Source, u32> {
        let peers = self
            .servers
            .iter()
            .filter(|(_, server)| server.loaded == Some(target) && server.loading.is_none())
            .map(|(name, _)| (Source::Peer(name.clone()), self.settings.fan_out));
        let mut sources: BTreeMap<Source, u32> = peers.collect();
        sources.insert(Source::Store, self.settings.store_limit);
        for loading in self
            .servers
            .values()
            .filter_map(|server| server.loading.as_ref())
        {
            if let Some(room) = sources.get_mut(&loading.source) {
                *room = room.saturating_sub(1);
            }
        }
        sources
    }

    /// Takes a source with room: a peer in the same domain, any peer, or the store.
    fn take_source(&self, sources: &mut BTreeMap<Source, u32>, name: &id::Host) -> Option<Source> {
        let domain = self.hosts.get(name).map(|host| &host.domain);
        let rank = |source: &Source| match source {
            Source::Peer(peer) if self.hosts.get(peer).map(|host| &host.domain) == domain => 0,
            Source::Peer(_) => 1,
            Source::Store => 2,
        };
        // A server whose swap failed may have been given a bad source: the store has the weights.
        let has_failed = self
            .servers
            .get(name)
            .is_some_and(|server| server.failures > 0);
        let with_room = sources
            .iter()
            .filter(|(_, room)| **room > 0)
            .map(|(source, _)| source);
        let best = if has_failed {
            with_room.max_by_key(|source| rank(source))
        } else {
            with_room.min_by_key(|source| rank(source))
        };
        let best = best.cloned()?;
        if let Some(room) = sources.get_mut(&best) {
            *room -= 1;
        }
        Some(best)
    }

    fn order(
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
        server.asked_at = Some(now);
        let order = LoadCommand {
            fence,
            model: self.settings.model.clone(),
            version,
            source: from,
        };
        self.out.push(Action::Order(host, order));
    }

    fn take_ordered(&mut self, now: Instant, name: &id::Host, ordered: &LoadOutcome) {
        match ordered {
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
                self.pause(now, name);
            }
            LoadOutcome::Busy => {
                let Some(server) = self.servers.get_mut(name) else {
                    return;
                };
                server.loading = None;
                server.not_before = now.after(FIRST_PAUSE);
            }
            LoadOutcome::Fenced(_) => {
                // Somebody owns the rollout under a higher number.
                self.must_read = true;
                self.pause(now, name);
            }
        }
    }

    /// A failed swap: the server stays on its old version for a while.
    fn pause(&mut self, now: Instant, name: &id::Host) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.loading = None;
        let pause = FIRST_PAUSE * 2u32.saturating_pow(server.failures.min(8));
        server.failures += 1;
        server.not_before = now.after(pause.min(MAX_PAUSE));
    }
}
