//! The follower's state, and how news passes through it.

use std::collections::{BTreeMap, BTreeSet};
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

use super::{Action, Event, HOSTS_KEY, Settings};
use crate::process::subset;
use crate::store::{Answer, Call, Op, Reply, Ticket, Tickets};
use crate::version::fetch::{Fetch, Outcome};
use crate::version::head;

/// The time between two rounds of gossip within the domain.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// One round in so many goes to another domain.
const REMOTE_ROUND_INTERVAL: u64 = 4;

/// The time between two reads of the head by a process that does not watch.
const POLL_INTERVAL: Duration = Duration::from_mins(1);

/// Processes that one process tells of something new.
const PUSH_FAN_OUT: usize = 4;

/// How long a pull may take before another peer is asked.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the platform is left alone after a call was lost.
const PLATFORM_BACKOFF: Duration = Duration::from_secs(1);

/// The state of a follower.
#[derive(Debug)]
pub struct ConfigReplica {
    settings: Settings,
    random: SmallRng,
    tickets: Tickets,
    snapshot: Arc<Snapshot>,
    is_ready: bool,
    /// The best snapshot heard before the process is ready.
    candidate: Arc<Snapshot>,
    /// Domains in which a ready peer has said how new it is.
    heard_domains: BTreeSet<id::Domain>,
    /// The newest generation that a ready peer has named.
    newest_announced: id::Generation,
    hosts: Vec<Host>,
    hosts_revision: id::Revision,
    is_watcher: bool,
    fetch: Option<Fetch>,
    head_revision: id::Revision,
    head_watch: Option<Ticket>,
    hosts_watch: Option<Ticket>,
    retry_at: Instant,
    poll_at: Instant,
    gossip_at: Instant,
    /// What a peer was asked for, and until when no other is asked.
    pending_pull: Option<((id::Generation, id::Revision), Instant)>,
    is_platform_down: bool,
    rounds: u64,
    out: Vec<Action>,
}

impl ConfigReplica {
    /// A follower that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            random: SmallRng::seed_from_u64(settings.seed),
            tickets: Tickets::default(),
            snapshot: Arc::default(),
            is_ready: false,
            candidate: Arc::default(),
            heard_domains: BTreeSet::new(),
            newest_announced: id::Generation(0),
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
            is_platform_down: false,
            rounds: 0,
            out: Vec::new(),
            settings,
        }
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Received(message) => self.receive(now, message),
            Event::Stored(reply) => self.handle_reply(now, &reply),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.out)
    }

    /// The generation in force; zero while there is none.
    #[must_use]
    pub fn generation(&self) -> id::Generation {
        self.snapshot.generation
    }

    /// Whether a configuration is in force.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Whether the last call to the platform was lost.
    #[must_use]
    pub fn is_platform_unreachable(&self) -> bool {
        self.is_platform_down
    }

    /// The host list in force.
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
                self.record_peer(&peer);
            }
            Message::Pull(peer) => {
                self.send_missing(&peer);
                self.record_peer(&peer);
            }
            Message::Config(peer, snapshot) => {
                if snapshot.generation > self.candidate.generation {
                    self.candidate = snapshot;
                }
                self.record_peer(&peer);
            }
            Message::Hosts(peer, hosts) => {
                self.update_hosts(peer.hosts, hosts);
                self.record_peer(&peer);
            }
            _ => {}
        }
    }

    /// Asks a peer for what is newer, unless another is being asked for the same.
    fn pull(&mut self, now: Instant, peer: &Gossip) {
        let wanted = (peer.sender.generation, peer.hosts);
        let is_pending = self.pending_pull.is_some_and(|(pending, until)| {
            now < until && pending.0 >= wanted.0 && pending.1 >= wanted.1
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
        self.out.push(Action::Send(to, message));
    }

    /// Sends a peer what it lacks, and at least a sign of how new this process is.
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

    fn record_peer(&mut self, peer: &Gossip) {
        if peer.ready {
            self.newest_announced = self.newest_announced.max(peer.sender.generation);
            if self.candidate.generation >= peer.sender.generation {
                self.heard_domains.insert(peer.sender.domain.clone());
            }
        }
        self.activate_if_ready();
    }

    /// Puts the candidate in force once the process may serve.
    fn activate_if_ready(&mut self) {
        if self.is_ready || self.has_domain_majority() {
            self.activate_candidate();
        }
    }

    fn activate_candidate(&mut self) {
        let is_first = !std::mem::replace(&mut self.is_ready, true);
        if self.candidate.generation > self.snapshot.generation || is_first {
            self.snapshot = Arc::clone(&self.candidate);
            let snapshot = Arc::clone(&self.snapshot);
            self.out.push(Action::InForce(snapshot));
            self.push();
        }
    }

    /// While the platform is down, peers in most failure domains must have spoken, and the
    /// newest generation that one of them named must be here. An accepted change reaches most
    /// domains within seconds, so one of them knows it; a single stale peer is not believed.
    fn has_domain_majority(&self) -> bool {
        let domains: BTreeSet<&id::Domain> = self
            .settings
            .seeds
            .iter()
            .map(|seed| &seed.domain)
            .collect();
        let is_majority = self.heard_domains.len() * 2 > domains.len() && !domains.is_empty();
        self.is_platform_down && is_majority && self.candidate.generation >= self.newest_announced
    }

    fn update_hosts(&mut self, revision: id::Revision, hosts: Vec<Host>) {
        if revision > self.hosts_revision {
            self.hosts_revision = revision;
            let watchers = subset::watchers(&hosts, &self.settings.domain);
            self.is_watcher = watchers.contains(&&self.settings.host);
            self.hosts.clone_from(&hosts);
            self.out.push(Action::Hosts(hosts));
            self.push();
        }
    }

    fn handle_reply(&mut self, now: Instant, reply: &Reply) {
        if self.head_watch == Some(reply.ticket) {
            self.head_watch = None;
            self.handle_head_watch(now, &reply.answer);
        } else if self.hosts_watch == Some(reply.ticket) {
            self.hosts_watch = None;
            self.handle_hosts_watch(now, &reply.answer);
        } else if let Some(mut fetch) = self.fetch.take() {
            match fetch.handle_reply(&mut self.tickets, reply) {
                Ok(call) => {
                    self.fetch = Some(fetch);
                    self.out.extend(call.map(Action::Store));
                }
                Err(outcome) => self.handle_fetched(now, outcome),
            }
        }
        self.activate_if_ready();
    }

    fn back_off_platform(&mut self, now: Instant) {
        self.is_platform_down = true;
        self.retry_at = now.after(PLATFORM_BACKOFF);
    }

    fn handle_head_watch(&mut self, now: Instant, answer: &Answer) {
        match answer {
            Answer::Value { revision, .. } => {
                self.is_platform_down = false;
                if *revision > self.head_revision && self.fetch.is_none() {
                    self.start_fetch();
                }
            }
            Answer::Missing => self.is_platform_down = false,
            _ => self.back_off_platform(now),
        }
    }

    fn handle_hosts_watch(&mut self, now: Instant, answer: &Answer) {
        match answer {
            Answer::Value { revision, value } => {
                self.is_platform_down = false;
                if *revision > self.hosts_revision
                    && let Ok(hosts) = crate::store::decode::<Vec<Host>>(HOSTS_KEY, value)
                {
                    self.update_hosts(*revision, hosts);
                }
            }
            Answer::Missing => self.is_platform_down = false,
            _ => self.back_off_platform(now),
        }
    }

    fn handle_fetched(&mut self, now: Instant, outcome: Outcome) {
        let Outcome::Found(revision, _, snapshot) = outcome else {
            return self.back_off_platform(now);
        };
        self.is_platform_down = false;
        self.head_revision = revision;
        let is_newer = snapshot.generation > self.candidate.generation;
        if is_newer {
            self.candidate = Arc::new(snapshot);
        }
        // The platform is the authority: what it names is the newest.
        self.activate_candidate();
    }

    /// Tells the next processes of the domain, and one of another domain, that there is
    /// something new.
    ///
    /// The processes of a domain form a tree in the order of their names' hashes; watchers tell
    /// its first ones. So nobody hands the snapshot to more than a few, and whoever is missed
    /// hears by gossip.
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
        let (fetch, call) = Fetch::start(&mut self.tickets, None);
        self.fetch = Some(fetch);
        self.out.push(Action::Store(call));
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
            // Spreads the reads of processes that started together.
            let jitter = self.random.random_range(0.5..1.5);
            self.poll_at = now.after(POLL_INTERVAL.mul_f64(jitter));
            self.start_fetch();
        }
        if is_watcher && self.head_watch.is_none() {
            let ticket = self.tickets.issue();
            self.head_watch = Some(ticket);
            let (key, after) = (head::HEAD_KEY.to_owned(), self.head_revision);
            self.out.push(Action::Watch { ticket, key, after });
        }
        if self.hosts_watch.is_none() && (is_watcher || self.hosts_revision.0 == 0 || is_poll_due) {
            let ticket = self.tickets.issue();
            self.hosts_watch = Some(ticket);
            let (key, after) = (HOSTS_KEY.to_owned(), self.hosts_revision);
            self.out.push(if is_watcher {
                Action::Watch { ticket, key, after }
            } else {
                Action::Store(Call {
                    ticket,
                    key,
                    op: Op::Get,
                })
            });
        }
    }

    /// Tells one peer how new this process is; before it is ready, asks all seeds.
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
