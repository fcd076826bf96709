//! Commands to load weights. An agent carries out one at a time, accepts them from the newest
//! rollout owner only, and reads the loaded versions back from the engine afterwards.

use std::collections::BTreeMap;

use tamaracksail_model::id;
use tamaracksail_wire::{LoadCommand, LoadOutcome};

use super::action::Action;
use super::machine::Agent;

/// The load commands that an agent has received.
///
/// Invariant: `fences` only increase. No command is sent to the engine before this process of the
/// agent has read the fencing token of the model's rollout from the platform.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadCommands {
    /// The highest fencing token seen for each model.
    fences: BTreeMap<id::Object, id::Fence>,
    /// The command that the engine is carrying out.
    in_progress: Option<LoadCommand>,
    /// The command that waits until the fencing token of its model has been read.
    awaiting_fence: Option<LoadCommand>,
}

impl LoadCommands {
    pub(super) fn is_busy(&self) -> bool {
        self.in_progress.is_some()
    }
}

impl Agent {
    pub(super) fn handle_load_command(&mut self, command: LoadCommand) {
        if self.load_commands.in_progress.is_some()
            || self.load_commands.awaiting_fence.is_some()
            || !self.is_up
        {
            return self.actions.push(Action::LoadOutcome(LoadOutcome::Busy));
        }
        let Some(known) = self.load_commands.fences.get(&command.model).copied() else {
            self.actions.push(Action::ReadFence(command.model.clone()));
            self.load_commands.awaiting_fence = Some(command);
            return;
        };
        if command.fence < known {
            return self
                .actions
                .push(Action::LoadOutcome(LoadOutcome::Fenced(known)));
        }
        self.load_commands
            .fences
            .insert(command.model.clone(), command.fence);
        if self.versions.get(&command.model) == Some(&command.version) {
            return self
                .actions
                .push(Action::LoadOutcome(LoadOutcome::Loaded(command.version)));
        }
        self.load_commands.in_progress = Some(command.clone());
        self.actions.push(Action::Load(command));
    }

    pub(super) fn handle_fence_read(&mut self, model: &id::Object, fence: Option<id::Fence>) {
        if let Some(fence) = fence {
            let known = self.load_commands.fences.entry(model.clone()).or_default();
            *known = (*known).max(fence);
        }
        let Some(command) = self.load_commands.awaiting_fence.take() else {
            return;
        };
        if fence.is_some() && command.model == *model {
            self.handle_load_command(command);
        } else {
            self.actions.push(Action::LoadOutcome(LoadOutcome::Busy));
        }
    }

    /// Asks the engine for its versions: whatever it responded to the command, only the versions
    /// that it reports count.
    pub(super) fn handle_load_ended(&mut self) {
        if self.load_commands.in_progress.is_some() {
            self.actions.push(Action::ReadVersions);
        }
    }

    pub(super) fn handle_versions_read(
        &mut self,
        versions: Option<BTreeMap<id::Object, id::Version>>,
    ) {
        if let Some(versions) = versions {
            self.versions = versions;
        }
        let Some(command) = self.load_commands.in_progress.take() else {
            return;
        };
        let loaded = self.versions.get(&command.model).copied();
        let outcome = match loaded {
            Some(version) if version == command.version => LoadOutcome::Loaded(version),
            other => LoadOutcome::Failed(other),
        };
        self.actions.push(Action::LoadOutcome(outcome));
    }

    /// Records that the engine is up. Its weights may differ from those before.
    pub(super) fn handle_server_up(&mut self, versions: BTreeMap<id::Object, id::Version>) {
        self.is_up = true;
        self.versions = versions;
    }
}
