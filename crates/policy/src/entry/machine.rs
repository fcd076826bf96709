//! The state of an entry, and the handling of its events.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use tamaracksail_model::config::Snapshot;
use tamaracksail_model::host::{Host, Phase as HostPhase, Role};
use tamaracksail_model::id;
use tamaracksail_model::outcome::Class;
use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::{Hello, Report, Sender};

use super::action::{Action, Cause, Stage};
use super::event::Event;
use super::request::{Attempt, Phase, Request};
use super::settings::Settings;
use crate::connection::choice::Chooser;
use crate::connection::view::{ServerKey, ServerView};
use crate::process::cost::CostTable;
use crate::process::status::{self, Status};
use crate::process::subset;
use crate::request::budget::Budget;
use crate::request::claim::Claims;
use crate::request::suspects::SuspectTable;
use crate::store::CallIds;

plain! {
    /// What an entry has counted since it was started.
    #[derive(Copy, Default)]
    pub struct Counters {
        /// Requests that arrived.
        pub arrived: u64,
        /// Requests that got a complete response.
        pub done: u64,
        /// Requests whose outcome was "not run".
        pub not_run: u64,
        /// Requests whose outcome was "unknown".
        pub unknown: u64,
        /// Requests that were sent to a server at least once.
        pub firsts: u64,
        /// Further attempts that were charged to the retry budget.
        pub retries: u64,
        /// Requests refused because of overload.
        pub shed: u64,
        /// Messages that contradicted the state: frames that did not match their attempt, and
        /// requests whose id was already in use.
        pub misfits: u64,
    }
}

/// The state of an entry.
#[derive(Debug)]
pub struct Entry {
    pub(super) settings: Settings,
    pub(super) random: SmallRng,
    pub(super) chooser: Chooser,
    pub(super) config: Option<Arc<Snapshot>>,
    pub(super) hosts: Vec<Host>,
    pub(super) servers: SlotMap<ServerKey, ServerView>,
    pub(super) by_host: BTreeMap<id::Host, ServerKey>,
    pub(super) requests: BTreeMap<id::Request, Request>,
    pub(super) attempts: BTreeMap<id::Attempt, Attempt>,
    /// The number of the last attempt that was dispatched.
    pub(super) last_attempt: u64,
    pub(super) budgets: BTreeMap<Class, Budget>,
    pub(super) claims: Claims,
    pub(super) call_ids: CallIds,
    pub(super) suspects: SuspectTable,
    pub(super) costs: CostTable,
    pub(super) counters: Counters,
    pub(super) next_heartbeat: Instant,
    pub(super) stopping: bool,
    pub(super) actions: Vec<Action>,
}

impl Entry {
    /// Creates an entry that has received nothing yet. It refuses requests until it has a
    /// configuration.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let budget = Budget::new(settings.retry_reserve);
        Self {
            random: SmallRng::seed_from_u64(settings.seed),
            chooser: Chooser::new(settings.rule, settings.remote_cost),
            config: None,
            hosts: Vec::new(),
            servers: SlotMap::with_key(),
            by_host: BTreeMap::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            last_attempt: 0,
            budgets: Class::ALL
                .into_iter()
                .map(|class| (class, budget.clone()))
                .collect(),
            claims: Claims::default(),
            call_ids: CallIds::default(),
            suspects: SuspectTable::default(),
            costs: CostTable::default(),
            counters: Counters::default(),
            next_heartbeat: Instant::default(),
            stopping: false,
            actions: Vec::new(),
            settings,
        }
    }

    /// Handles an event and returns the actions to carry out, in their order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Arrived(arrival) => self.admit(now, arrival),
            Event::CallerGone(request) => self.handle_caller_gone(now, request),
            Event::Frame(frame) => self.handle_frame(now, frame),
            Event::LinkFailed { attempt, sent } => self.handle_link_failure(now, attempt, sent),
            Event::Revoked(revoked) => self.handle_revoked(now, &revoked),
            Event::Report(report) => self.handle_report(now, &report),
            Event::HeartbeatFailed(host) => self.handle_heartbeat_failure(now, &host),
            Event::Config(config) => self.handle_config(now, config),
            Event::Hosts(hosts) => self.handle_hosts(now, hosts),
            Event::Stored(reply) => self.handle_store_reply(now, &reply),
            Event::Tick => self.tick(now),
            Event::Stop => self.stopping = true,
        }
        self.exit_if_idle();
        std::mem::take(&mut self.actions)
    }

    /// Returns what the entry has counted.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns whether the entry accepts requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && !self.stopping
    }

    /// Returns the attempts in flight at a host. Their connections fail when the host does.
    #[must_use]
    pub fn attempts_at(&self, host: &id::Host) -> Vec<id::Attempt> {
        let at_host = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.host == *host);
        at_host.map(|(id, _)| *id).collect()
    }

    /// Returns the number of requests without a final response.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the costs counted since the process was started.
    #[must_use]
    pub fn costs(&self) -> &CostTable {
        &self.costs
    }

    /// Returns the status that the entry publishes in the platform's store.
    #[must_use]
    pub fn status(&self, now: Instant) -> Status {
        let server = |view: &ServerView| status::Server {
            host: view.host.clone(),
            is_eligible: view.is_eligible(now),
            running: view.load(now).map_or(0, |load| load.running),
            versions: view.versions.clone(),
        };
        Status {
            host: self.settings.host.name.clone(),
            incarnation: self.settings.incarnation,
            at: now,
            generation: self.generation(),
            counters: self.counters,
            servers: self.servers.values().map(server).collect(),
        }
    }

    pub(super) fn sender(&self) -> Sender {
        Sender {
            host: self.settings.host.name.clone(),
            incarnation: self.settings.incarnation,
            domain: self.settings.host.domain.clone(),
            generation: self.generation(),
        }
    }

    pub(super) fn generation(&self) -> id::Generation {
        self.config
            .as_ref()
            .map_or(id::Generation(0), |config| config.generation)
    }

    fn handle_config(&mut self, now: Instant, config: Arc<Snapshot>) {
        if self
            .config
            .as_ref()
            .is_some_and(|old| old.generation >= config.generation)
        {
            return;
        }
        self.config = Some(config);
        self.update_servers(now);
        self.route_waiting(now);
    }

    fn handle_hosts(&mut self, now: Instant, hosts: Vec<Host>) {
        self.hosts = hosts;
        self.update_servers(now);
    }

    /// Updates the servers to match the host list and the configuration.
    fn update_servers(&mut self, now: Instant) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let entries = subset::hosts_with_role(&self.hosts, Role::Entry);
        let agents = subset::hosts_with_role(&self.hosts, Role::Agent);
        let names: BTreeSet<&id::Object> =
            agents.iter().filter_map(|a| a.serves.as_ref()).collect();
        let mut wanted: BTreeMap<id::Host, Host> = BTreeMap::new();
        for name in names {
            let group: Vec<&Host> = agents
                .iter()
                .copied()
                .filter(|agent| agent.serves.as_ref() == Some(name))
                .collect();
            let chosen = subset::select_servers(&self.settings.host, &entries, &group);
            wanted.extend(
                chosen
                    .into_iter()
                    .map(|host| (host.name.clone(), host.clone())),
            );
        }
        let is_replaced = |view: &ServerView| {
            wanted.get(&view.host).is_none_or(|host| {
                host.address != view.address || host.serves.as_ref() != Some(&view.serves)
            })
        };
        self.servers
            .retain(|_, view| !is_replaced(view) || view.in_flight() > 0);
        for view in self.servers.values_mut() {
            let host = wanted.get(&view.host);
            view.leaving = host.is_none_or(|host| host.phase == HostPhase::Leaving);
        }
        self.by_host = self
            .servers
            .iter()
            .map(|(key, view)| (view.host.clone(), key))
            .collect();
        for (name, host) in wanted {
            let Some(group) = host.serves.clone() else {
                continue;
            };
            if !self.by_host.contains_key(&name) {
                let concurrency = config.concurrency(&group);
                let server = self
                    .servers
                    .insert(ServerView::new(&host, group, concurrency));
                self.by_host.insert(name, server);
                self.send_heartbeat(now, server);
            }
        }
    }

    /// Sends a heartbeat to the agent of a server.
    pub(super) fn send_heartbeat(&mut self, now: Instant, server: ServerKey) {
        let Some(view) = self.servers.get(server) else {
            return;
        };
        let hello = Hello {
            sender: self.sender(),
            leaving: view.leaving,
            suspects: self.suspects.unexpired(now),
        };
        let (host, address) = (view.host.clone(), view.address);
        self.actions.push(Action::Hello {
            host,
            address,
            hello,
        });
    }

    fn handle_report(&mut self, now: Instant, report: &Report) {
        for suspect in &report.suspects {
            self.suspects.merge(now, suspect);
        }
        let Some(server) = self.by_host.get(&report.sender.host).copied() else {
            return;
        };
        let view = &mut self.servers[server];
        let is_restart = view
            .incarnation
            .is_some_and(|old| old != report.sender.incarnation);
        view.incarnation = Some(report.sender.incarnation);
        view.versions.clone_from(&report.versions);
        view.record_load(now, report.load);
        view.link_breaker.record_success();
        if is_restart {
            self.fail_attempts_of_other_incarnations(now, server, report.sender.incarnation);
        }
        self.route_waiting(now);
    }

    /// Fails the attempts that were sent to earlier incarnations of a restarted agent, which will
    /// not respond any more.
    fn fail_attempts_of_other_incarnations(
        &mut self,
        now: Instant,
        server: ServerKey,
        incarnation: id::Incarnation,
    ) {
        let lost = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.server == server && attempt.agent != incarnation);
        let lost: Vec<id::Attempt> = lost.map(|(id, _)| *id).collect();
        for attempt in lost {
            self.handle_link_failure(now, attempt, true);
        }
    }

    fn handle_heartbeat_failure(&mut self, now: Instant, host: &id::Host) {
        if let Some(server) = self.by_host.get(host) {
            self.servers[*server].link_breaker.record_failure(now);
        }
    }

    fn tick(&mut self, now: Instant) {
        let effects = self.claims.tick(now, &mut self.call_ids);
        self.apply_claim_effects(now, effects);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now.after(self.settings.heartbeat_interval);
            let servers: Vec<ServerKey> = self.servers.keys().collect();
            for server in servers {
                self.send_heartbeat(now, server);
            }
        }
        self.expire_requests(now);
        self.handle_stalls(now);
        self.refuse_without_server(now);
        self.remove_orphaned_attempts(now);
        self.route_waiting(now);
    }

    fn expire_requests(&mut self, now: Instant) {
        let expired = self
            .requests
            .iter()
            .filter(|(_, request)| request.arrival.deadline <= now);
        let expired: Vec<id::Request> = expired.map(|(id, _)| *id).collect();
        for request in expired {
            let stage = match self.requests[&request].phase {
                Phase::Claiming => Stage::Claim,
                Phase::Waiting => Stage::Queue,
                Phase::Running => Stage::Run,
            };
            self.fail_request(now, request, stage, Cause::Deadline);
        }
    }

    fn exit_if_idle(&mut self) {
        if self.stopping && self.requests.is_empty() && self.claims.is_idle() {
            self.actions.push(Action::Exit);
        }
    }
}
