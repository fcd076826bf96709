//! The state of a configuration replica, and how updates propagate through it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tamaracksail_model::config::Snapshot;
use tamaracksail_model::host::{Host, Phase};
use tamaracksail_model::id;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::{Gossip, Message, Sender};

use super::start::Start;
use super::{Action, Event, HOSTS_KEY, Settings};
use crate::process::subset;
use crate::store::{Call, CallId, CallIds, CallResult, Op, Reply};
use crate::version::fetch::{Fetch, Outcome};
use crate::version::head;

/// The time between two rounds of gossip.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// One in this many gossip rounds goes to another failure domain.
const REMOTE_ROUND_INTERVAL: u64 = 4;

/// The mean time between two reads of the head object.
const POLL_INTERVAL: Duration = Duration::from_mins(1);

/// The number of processes of the domain to which one process pushes an update.
const PUSH_FAN_OUT: usize = 4;

/// How long a pull may take before another peer is asked.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a watch waits for a change. A platform or a connection may fail without a sign, and then only the end of
/// the watch tells: with [`WATCH_MARGIN`], [`PLATFORM_BACKOFF`] and the time that an update takes to all processes,
/// this stays below the 9 s in which a change comes into force.
const WATCH_WAIT: Duration = Duration::from_secs(4);

/// How long after the end of its wait a watch without a response fails.
pub const WATCH_MARGIN: Duration = Duration::from_secs(1);

/// How long no call is made to the platform after a call without a response.
const PLATFORM_BACKOFF: Duration = Duration::from_secs(1);

/// The replica of the configuration and the host list in one process.
#[derive(Debug)]
pub struct ConfigReplica {
    settings: Settings,
    random: SmallRng,
    call_ids: CallIds,
    snapshot: Arc<Snapshot>,
    is_ready: bool,
    /// The newest snapshot that was received or read. It is in force once the replica is ready.
    candidate: Arc<Snapshot>,
    /// What peers have announced until the replica was ready.
    start: Start,
    hosts: Vec<Host>,
    hosts_revision: id::Revision,
    is_watcher: bool,
    fetch: Option<Fetch>,
    head_revision: id::Revision,
    head_watch: Option<CallId>,
    hosts_watch: Option<CallId>,
    retry_at: Instant,
    poll_at: Instant,
    gossip_at: Instant,
    /// The generation and host list revision that a peer was asked for, and until when no other
    /// peer is asked for the same.
    pending_pull: Option<((id::Generation, id::Revision), Instant)>,
    is_platform_unreachable: bool,
    rounds: u64,
    actions: Vec<Action>,
}

impl ConfigReplica {
    /// Returns an empty replica.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            random: SmallRng::seed_from_u64(settings.seed),
            call_ids: CallIds::default(),
            snapshot: Arc::default(),
            is_ready: false,
            candidate: Arc::default(),
            start: Start::default(),
            hosts: Vec::new(),
            hosts_revision: id::Revision(0),
            is_watcher: false,
            fetch: None,
            head_revision: id::Revision(0),
            head_watch: None,
            hosts_watch: None,
            retry_at: Instant::default(),
            poll_at: Instant::default(),
            gossip_at: Instant::default(),
            pending_pull: None,
            is_platform_unreachable: false,
            rounds: 0,
            actions: Vec::new(),
            settings,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        if !self.is_ready
            && let Some(ask_at) = self.start.resume(now)
        {
            // A read from before the suspension may show an older configuration.
            self.fetch = None;
            self.gossip_at = ask_at;
        }
        match event {
            Event::Received(message) => self.receive(now, message),
            Event::Stored(reply) => self.handle_reply(now, &reply),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the generation in force, or zero while there is none.
    #[must_use]
    pub fn generation(&self) -> id::Generation {
        self.snapshot.generation
    }

    /// Returns whether a configuration is in force.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Returns whether the last call to the platform got no response.
    #[must_use]
    pub fn is_platform_unreachable(&self) -> bool {
        self.is_platform_unreachable
    }

    /// Returns the host list in force.
    #[must_use]
    pub fn hosts(&self) -> &[Host] {
        &self.hosts
    }

    fn gossip(&self) -> Gossip {
        let sender = Sender {
            host: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            domain: self.settings.domain.clone(),
            generation: self.generation(),
        };
        let address = self.settings.address;
        Gossip {
            sender,
            address,
            hosts: self.hosts_revision,
            ready: self.is_ready,
        }
    }

    fn receive(&mut self, now: Instant, message: Message) {
        match message {
            Message::Gossip(peer) => {
                if self.is_behind(&peer) {
                    self.pull(now, &peer);
                } else if self.is_ahead_of(&peer) {
                    self.send_missing(&peer);
                }
                self.record_peer(now, &peer);
            }
            Message::Pull(peer) => {
                self.send_missing(&peer);
                self.record_peer(now, &peer);
            }
            Message::Config(peer, snapshot) => {
                if snapshot.generation > self.candidate.generation {
                    self.candidate = snapshot;
                }
                self.record_peer(now, &peer);
            }
            Message::Hosts(peer, hosts) => {
                self.update_hosts(peer.hosts, hosts);
                self.record_peer(now, &peer);
            }
            _ => {}
        }
    }

    /// Pulls newer state from a peer, unless a pull of the same state is pending.
    fn pull(&mut self, now: Instant, peer: &Gossip) {
        let wanted = (peer.sender.generation, peer.hosts);
        let is_pending = self.pending_pull.is_some_and(|(requested, until)| {
            now < until && requested.0 >= wanted.0 && requested.1 >= wanted.1
        });
        if !is_pending {
            self.pending_pull = Some((wanted, now.after(PULL_TIMEOUT)));
            self.send(peer.address, Message::Pull(self.gossip()));
        }
    }

    fn is_behind(&self, peer: &Gossip) -> bool {
        let newest = self.candidate.generation.max(self.generation());
        peer.sender.generation > newest || peer.hosts > self.hosts_revision
    }

    fn is_ahead_of(&self, peer: &Gossip) -> bool {
        self.is_ready
            && (self.generation() > peer.sender.generation || self.hosts_revision > peer.hosts)
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        self.actions.push(Action::Send(to, message));
    }

    /// Sends a peer the configuration and the host list if it lacks them, and to a peer that is not
    /// ready at least the own generation.
    fn send_missing(&mut self, peer: &Gossip) {
        let own = self.gossip();
        if self.is_ready && own.sender.generation > peer.sender.generation {
            let config = Message::Config(own.clone(), Arc::clone(&self.snapshot));
            self.send(peer.address, config);
        } else if !peer.ready {
            self.send(peer.address, Message::Gossip(own.clone()));
        }
        if own.hosts > peer.hosts {
            self.send(peer.address, Message::Hosts(own, self.hosts.clone()));
        }
    }

    fn record_peer(&mut self, now: Instant, peer: &Gossip) {
        self.start.hear(now, peer, self.candidate.generation);
        self.activate_if_ready();
    }

    /// Puts the candidate in force if the replica is ready or has heard from enough domains.
    fn activate_if_ready(&mut self) {
        if self.is_ready || self.may_start() {
            self.activate_candidate();
        }
    }

    fn activate_candidate(&mut self) {
        let is_first = !std::mem::replace(&mut self.is_ready, true);
        if self.candidate.generation > self.snapshot.generation || is_first {
            self.snapshot = Arc::clone(&self.candidate);
            let snapshot = Arc::clone(&self.snapshot);
            self.actions.push(Action::InForce(snapshot));
            self.push();
        }
    }

    /// Returns whether a starting replica may become ready while the platform is down.
    fn may_start(&self) -> bool {
        let reached = self.candidate.generation;
        self.is_platform_unreachable && self.start.has_majority(&self.settings.seeds, reached)
    }

    fn update_hosts(&mut self, revision: id::Revision, hosts: Vec<Host>) {
        if revision > self.hosts_revision {
            self.hosts_revision = revision;
            let watchers = subset::watchers(&hosts, &self.settings.domain);
            self.is_watcher = watchers.contains(&&self.settings.host);
            self.hosts.clone_from(&hosts);
            self.actions.push(Action::Hosts(hosts));
            self.push();
        }
    }

    fn handle_reply(&mut self, now: Instant, reply: &Reply) {
        if self.head_watch == Some(reply.call_id) {
            self.head_watch = None;
            self.handle_head_watch(now, &reply.result);
        } else if self.hosts_watch == Some(reply.call_id) {
            self.hosts_watch = None;
            self.handle_hosts_watch(now, &reply.result);
        } else if let Some(mut fetch) = self.fetch.take() {
            match fetch.handle_reply(&mut self.call_ids, reply) {
                Ok(call) => {
                    self.fetch = Some(fetch);
                    self.actions.extend(call.map(Action::Store));
                }
                Err(outcome) => self.handle_fetched(now, outcome),
            }
        }
        self.activate_if_ready();
    }

    fn back_off_platform(&mut self, now: Instant) {
        self.is_platform_unreachable = true;
        self.retry_at = now.after(PLATFORM_BACKOFF);
    }

    fn handle_head_watch(&mut self, now: Instant, result: &CallResult) {
        match result {
            CallResult::Value { revision, .. } => {
                self.is_platform_unreachable = false;
                if *revision > self.head_revision && self.fetch.is_none() {
                    self.start_fetch();
                }
            }
            CallResult::Missing => self.is_platform_unreachable = false,
            _ => self.back_off_platform(now),
        }
    }

    fn handle_hosts_watch(&mut self, now: Instant, result: &CallResult) {
        match result {
            CallResult::Value { revision, value } => {
                self.is_platform_unreachable = false;
                if *revision <= self.hosts_revision {
                    return;
                }
                match crate::store::decode_entries::<Host>(HOSTS_KEY, value) {
                    Ok((hosts, errors)) => {
                        for error in errors {
                            self.report_unreadable_host(&error);
                        }
                        self.update_hosts(*revision, hosts);
                    }
                    // The next watch would return the same list at once.
                    Err(error) => {
                        self.report_unreadable_host(&error);
                        self.back_off_platform(now);
                    }
                }
            }
            CallResult::Missing => self.is_platform_unreachable = false,
            _ => self.back_off_platform(now),
        }
    }

    fn report_unreadable_host(&mut self, error: &crate::store::Error) {
        self.actions.push(Action::UnreadableHost(error.to_string()));
    }

    fn handle_fetched(&mut self, now: Instant, outcome: Outcome) {
        let Outcome::Found(revision, _, snapshot) = outcome else {
            return self.back_off_platform(now);
        };
        self.is_platform_unreachable = false;
        self.head_revision = revision;
        let is_newer = snapshot.generation > self.candidate.generation;
        if is_newer {
            self.candidate = Arc::new(snapshot);
        }
        // What the platform has is authoritative, so the candidate may come into force at once.
        self.activate_candidate();
    }

    /// Announces an update to the next processes of the domain, and to one of another domain.
    ///
    /// The processes of a domain form a tree in the order of their names' hashes, and watchers
    /// announce to its root. So each process sends the snapshot to only a few others. A process
    /// that is missed gets the update by gossip.
    fn push(&mut self) {
        if !self.is_ready {
            return;
        }
        let own = self.gossip();
        let order = subset::push_order(&self.hosts, &self.settings.domain);
        let position = order
            .iter()
            .position(|host| host.name == self.settings.host);
        let children = position.map_or(0..0, |position| {
            position * PUSH_FAN_OUT + 1..position * PUSH_FAN_OUT + 1 + PUSH_FAN_OUT
        });
        let first = if self.is_watcher { 0..1 } else { 0..0 };
        let next = first
            .chain(children)
            .filter(|index| Some(*index) != position);
        let mut targets: Vec<SocketAddr> = next
            .filter_map(|index| order.get(index).map(|host| host.address))
            .collect();
        let is_remote =
            |host: &&Host| host.phase == Phase::Live && host.domain != self.settings.domain;
        let remote: Vec<SocketAddr> = self
            .hosts
            .iter()
            .filter(is_remote)
            .map(|host| host.address)
            .collect();
        if !remote.is_empty() {
            targets.push(remote[self.random.random_range(0..remote.len())]);
        }
        for target in targets {
            self.send(target, Message::Gossip(own.clone()));
        }
    }

    fn start_fetch(&mut self) {
        let (fetch, call) = Fetch::start(&mut self.call_ids, None);
        self.fetch = Some(fetch);
        self.actions.push(Action::Store(call));
    }

    fn tick(&mut self, now: Instant) {
        if now >= self.retry_at {
            self.poll_platform(now);
        }
        if now >= self.gossip_at {
            self.gossip_at = now.after(GOSSIP_INTERVAL);
            self.gossip_round();
        }
    }

    fn poll_platform(&mut self, now: Instant) {
        let is_watcher = self.is_watcher;
        let is_poll_due = !self.is_ready || self.hosts_revision.0 == 0 || now >= self.poll_at;
        if is_poll_due && self.fetch.is_none() {
            // The jitter spreads the reads of processes that started at the same time.
            let jitter = self.random.random_range(0.5..1.5);
            self.poll_at = now.after(POLL_INTERVAL.mul_f64(jitter));
            self.start_fetch();
        }
        if is_watcher && self.head_watch.is_none() {
            let call_id = self.call_ids.issue();
            self.head_watch = Some(call_id);
            let (key, after) = (head::HEAD_KEY.to_owned(), self.head_revision);
            self.actions.push(Action::Watch {
                call_id,
                key,
                after,
                wait: WATCH_WAIT,
            });
        }
        if self.hosts_watch.is_none() && (is_watcher || self.hosts_revision.0 == 0 || is_poll_due) {
            let call_id = self.call_ids.issue();
            self.hosts_watch = Some(call_id);
            let (key, after) = (HOSTS_KEY.to_owned(), self.hosts_revision);
            self.actions.push(if is_watcher {
                Action::Watch {
                    call_id,
                    key,
                    after,
                    wait: WATCH_WAIT,
                }
            } else {
                Action::Store(Call {
                    call_id,
                    key,
                    op: Op::Get,
                })
            });
        }
    }

    /// Gossips with one random peer, or, before the replica is ready, pulls from all seeds.
    fn gossip_round(&mut self) {
        self.rounds += 1;
        let own = self.gossip();
        if !self.is_ready {
            let seeds: Vec<SocketAddr> = self
                .settings
                .seeds
                .iter()
                .map(|seed| seed.address)
                .collect();
            for address in seeds {
                self.send(address, Message::Pull(own.clone()));
            }
            return;
        }
        let is_remote_round = self.rounds.is_multiple_of(REMOTE_ROUND_INTERVAL);
        let mut peers: BTreeMap<SocketAddr, bool> = self
            .settings
            .seeds
            .iter()
            .map(|seed| (seed.address, seed.domain != self.settings.domain))
            .collect();
        peers.extend(
            self.hosts
                .iter()
                .filter(|host| host.phase == Phase::Live)
                .map(|host| (host.address, host.domain != self.settings.domain)),
        );
        peers.remove(&self.settings.address);
        let matching = peers
            .iter()
            .filter(|(_, is_remote)| **is_remote == is_remote_round);
        let candidates: Vec<SocketAddr> = matching.map(|(address, _)| *address).collect();
        if !candidates.is_empty() {
            let peer = candidates[self.random.random_range(0..candidates.len())];
            self.send(peer, Message::Gossip(own));
        }
    }
}
