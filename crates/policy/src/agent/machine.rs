//! The agent's state and the dispatch of its events.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tamaracksail_model::host::Host;
use tamaracksail_model::id;
use tamaracksail_model::outcome::Class;
use tamaracksail_model::plain;
use tamaracksail_model::time::Instant;
use tamaracksail_wire::{Dispatch, Hello, Load, Report, Sender, Usage};

use super::action::Action;
use super::event::Event;
use super::history::AttemptHistory;
use super::load_commands::LoadCommands;
use crate::request::suspects::SuspectTable;

/// The weight of a new service time in the running mean, as a divisor.
const SMOOTHING: u32 = 8;

plain! {
    /// The settings of an agent.
    pub struct Settings {
        /// Its host.
        pub host: Host,
        /// The life of its process.
        pub incarnation: id::Incarnation,
        /// The attempts that run at a time.
        pub limit: u32,
        /// The attempts that may wait.
        pub queue: u32,
        /// How long entries may use a load report.
        pub load_validity: Duration,
    }
}

/// Where an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Waiting,
    Running { since: Instant },
}

/// An attempt that is not over.
#[derive(Clone, Debug)]
pub(super) struct ActiveAttempt {
    pub(super) dispatch: Dispatch,
    pub(super) deadline: Instant,
    pub(super) phase: Phase,
    /// Bytes of the answer relayed on, those of earlier attempts included.
    pub(super) relayed: u64,
    pub(super) versions: BTreeSet<id::Version>,
    pub(super) usage: Usage,
}

impl ActiveAttempt {
    pub(super) fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running { .. })
    }
}

/// Why an agent takes no new work. Only the host list can change its mind.
#[derive(Clone, Copy, Debug, Default)]
struct Leaving {
    is_drained: bool,
    is_stopping: bool,
    is_listed: bool,
}

/// The state of an agent.
#[derive(Debug)]
pub struct Agent {
    pub(super) settings: Settings,
    pub(super) generation: id::Generation,
    pub(super) attempts: BTreeMap<id::Attempt, ActiveAttempt>,
    pub(super) history: AttemptHistory,
    pub(super) suspects: SuspectTable,
    pub(super) load_commands: LoadCommands,
    pub(super) versions: BTreeMap<id::Object, id::Version>,
    pub(super) service_time: Duration,
    pub(super) is_up: bool,
    pub(super) crashes: u64,
    leaving: Leaving,
    pub(super) actions: Vec<Action>,
}

impl Agent {
    /// An agent whose backend server is not known to be up.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            generation: id::Generation(0),
            attempts: BTreeMap::new(),
            history: AttemptHistory::default(),
            suspects: SuspectTable::default(),
            load_commands: LoadCommands::default(),
            versions: BTreeMap::new(),
            service_time: Duration::ZERO,
            is_up: false,
            // Counts of two lives must differ, so that peers tell their crashes apart.
            crashes: settings.incarnation.0,
            leaving: Leaving::default(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Takes one event and returns what is to be done, in this order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Dispatch(dispatch) => self.handle_dispatch(now, dispatch),
            Event::Revoke(revoke) => self.handle_revoke(now, &revoke),
            Event::EntryDisconnected(attempt) => self.handle_entry_disconnected(now, attempt),
            Event::Hello(hello) => self.handle_hello(now, &hello),
            Event::LoadCommand(command) => self.handle_load_command(command),
            Event::Head {
                attempt,
                status,
                headers,
            } => self.relay_head(attempt, status, headers),
            Event::Chunk {
                attempt,
                bytes,
                version,
            } => self.relay_chunk(attempt, bytes, version),
            Event::Finished {
                attempt,
                versions,
                usage,
            } => {
                self.finish(now, attempt, versions, usage);
            }
            Event::Failed { attempt, sent } => self.handle_failed(now, attempt, sent),
            Event::ServerDown => self.handle_server_down(now),
            Event::ServerUp(versions) => self.handle_server_up(versions),
            Event::LoadEnded => self.handle_load_ended(),
            Event::VersionsRead(versions) => self.handle_versions_read(versions),
            Event::FenceRead(model, fence) => self.handle_fence_read(&model, fence),
            Event::Drain => self.leaving.is_drained = true,
            Event::Tick => self.history.expire(now),
            Event::Stop => self.leaving.is_stopping = true,
        }
        if self.is_leaving() {
            self.refuse_waiting(now);
        }
        self.expire_attempts(now);
        self.start_waiting(now);
        if self.leaving.is_stopping && self.is_idle() {
            self.actions.push(Action::Exit);
        }
        std::mem::take(&mut self.actions)
    }

    /// Tells the agent the generation in force in its process.
    pub fn set_generation(&mut self, generation: id::Generation) {
        self.generation = self.generation.max(generation);
    }

    /// Changes the attempts that run at a time, as the configuration has it.
    pub fn set_limit(&mut self, limit: u32) {
        self.settings.limit = limit.max(1);
    }

    /// Whether it takes no new work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_drained || self.leaving.is_stopping || self.leaving.is_listed
    }

    /// Whether nothing is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.attempts.is_empty() && !self.load_commands.is_busy()
    }

    /// The life of its process.
    #[must_use]
    pub fn incarnation(&self) -> id::Incarnation {
        self.settings.incarnation
    }

    /// Whether its backend server is up.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.is_up
    }

    /// The server's load now.
    #[must_use]
    pub fn load(&self) -> Load {
        let running = self
            .attempts
            .values()
            .filter(|active| active.is_running())
            .count();
        let queued = self.attempts.len() - running;
        let is_training = |active: &&ActiveAttempt| active.dispatch.class == Class::Training;
        let training = self.attempts.values().filter(is_training).count();
        Load {
            running: u32::try_from(running).unwrap_or(u32::MAX),
            queued: u32::try_from(queued).unwrap_or(u32::MAX),
            training: u32::try_from(training).unwrap_or(u32::MAX),
            limit: self.settings.limit,
            service: self.service_time,
            valid: self.settings.load_validity,
            leaving: self.is_leaving(),
            up: self.is_up,
        }
    }

    pub(super) fn record_service_time(&mut self, time: Duration) {
        self.service_time = match self.service_time {
            Duration::ZERO => time,
            mean => (mean * (SMOOTHING - 1) + time) / SMOOTHING,
        };
    }

    fn handle_hello(&mut self, now: Instant, hello: &Hello) {
        self.leaving.is_listed = hello.leaving;
        for suspect in &hello.suspects {
            self.suspects.merge(now, suspect);
        }
        let sender = Sender {
            host: self.settings.host.name.clone(),
            incarnation: self.settings.incarnation,
            domain: self.settings.host.domain.clone(),
            generation: self.generation,
        };
        let report = Report {
            sender,
            load: self.load(),
            versions: self.versions.clone(),
            suspects: self.suspects.unexpired(now),
        };
        self.actions.push(Action::Report(Box::new(report)));
    }
}
