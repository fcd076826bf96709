//! The state of an agent, and the handling of its events.

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

/// The divisor of the moving average of service times: a new one has the weight `1 / SMOOTHING`.
const SMOOTHING: u32 = 8;

plain! {
    /// The settings of an agent.
    pub struct Settings {
        /// The agent's host.
        pub host: Host,
        /// The incarnation of the agent's process.
        pub incarnation: id::Incarnation,
        /// The number of attempts that run at a time.
        pub limit: u32,
        /// The number of attempts that may wait.
        pub queue: u32,
        /// How long entries may use a load report after they receive it.
        pub load_validity: Duration,
    }
}

/// The phase of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Waiting,
    Running { since: Instant },
}

/// An attempt that has not ended.
#[derive(Clone, Debug)]
pub(super) struct ActiveAttempt {
    pub(super) dispatch: Dispatch,
    pub(super) deadline: Instant,
    pub(super) phase: Phase,
    /// The number of bytes of the response relayed to the entry, including by earlier attempts.
    pub(super) relayed: u64,
    pub(super) versions: BTreeSet<id::Version>,
    pub(super) usage: Usage,
}

impl ActiveAttempt {
    pub(super) fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running { .. })
    }
}

/// The reasons why an agent refuses new attempts. Only `is_listed` can be reset.
#[derive(Clone, Copy, Debug, Default)]
struct LeavingReasons {
    /// An operator drains the server.
    is_drained: bool,
    /// The process is stopping.
    is_stopping: bool,
    /// The host list of the last heartbeat's sender marks the host as leaving.
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
    /// The moving average of the time that an attempt runs.
    pub(super) service_time: Duration,
    /// Whether the backend server is up.
    pub(super) is_up: bool,
    /// The number of the server's last crash.
    pub(super) crashes: u64,
    leaving: LeavingReasons,
    pub(super) actions: Vec<Action>,
}

impl Agent {
    /// Creates an agent whose backend server is not known to be up.
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
            // Counts of different incarnations must differ, so that peers can tell their crashes
            // apart.
            crashes: settings.incarnation.0,
            leaving: LeavingReasons::default(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Handles an event and returns the actions to carry out, in their order.
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

    /// Sets the configuration generation in force in the agent's process.
    pub fn set_generation(&mut self, generation: id::Generation) {
        self.generation = self.generation.max(generation);
    }

    /// Sets the number of attempts that run at a time, which the configuration gives.
    pub fn set_limit(&mut self, limit: u32) {
        self.settings.limit = limit.max(1);
    }

    /// Returns whether the agent refuses new attempts.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_drained || self.leaving.is_stopping || self.leaving.is_listed
    }

    /// Returns whether nothing is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.attempts.is_empty() && !self.load_commands.is_busy()
    }

    /// Returns the incarnation of the agent's process.
    #[must_use]
    pub fn incarnation(&self) -> id::Incarnation {
        self.settings.incarnation
    }

    /// Returns whether the backend server is up.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.is_up
    }

    /// Returns the current load of the server.
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

    /// Adds a sample to the moving average of service times.
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
