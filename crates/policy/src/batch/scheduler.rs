//! The state of all open batches, and how reports change it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use slotmap::SlotMap;
use tamaracksail_model::backend::Registration;
use tamaracksail_model::batch::PartialText;
use tamaracksail_model::checkpoint::Checkpoint;
use tamaracksail_model::time::Instant;

use super::action::{Action, Failure};
use super::engine::EngineKey;
use super::open_batch::Batch;
use super::pool::Pool;
use super::run::Run;
use super::submission::{self, Submission};
use super::task::{Task, TaskKey};
use super::{affinity, checkpointing, dispatch, ending, reports, stragglers, weights};

/// How long text of an ended batch is kept for a later batch with the same items. Trainers ask
/// again within a step or two.
const TEXT_RETENTION: Duration = Duration::from_secs(30);

slotmap::new_key_type! {
    /// An open batch.
    pub struct BatchKey;
}

/// All open batches and the engines that run them.
#[derive(Debug, Default)]
pub struct Scheduler {
    pub(super) pool: Pool,
    pub(super) batches: SlotMap<BatchKey, Batch>,
    pub(super) tasks: SlotMap<TaskKey, Task>,
    pub(super) runs: BTreeMap<u64, Run>,
    /// Waiting items in the order in which they start.
    pub(super) queue: BTreeSet<(u64, TaskKey)>,
    pub(super) ranks: BTreeMap<TaskKey, u64>,
    pub(super) retry_at: BTreeMap<TaskKey, Instant>,
    /// The newest version that each trainer has named.
    pub(super) announced_versions: BTreeMap<String, u64>,
    /// How many items the largest step of each model had.
    pub(super) largest_steps: BTreeMap<String, usize>,
    /// Text of ended batches, by item.
    pub(super) retained_texts: BTreeMap<String, (Instant, PartialText)>,
    pub(super) past_groups: BTreeMap<String, Instant>,
    /// Running items of ended batches.
    pub(super) detached: BTreeMap<String, TaskKey>,
    pub(super) actions: Vec<Action>,
    pub(super) last_run: u64,
    pub(super) last_rank: u64,
    /// How many saves there were.
    pub(super) checkpoint_count: u64,
    /// The fencing number of the last save.
    pub(super) checkpoint_fence: Option<u64>,
    /// The last number given to a saved text.
    pub(super) last_series: u64,
}

impl Scheduler {
    /// Takes in what an engine says of itself.
    pub fn register_engine(&mut self, now: Instant, registration: Registration) {
        if let Some(earlier) = self.pool.register(registration) {
            dispatch::evict_engine(self, now, earlier);
        }
        affinity::assign(self);
    }

    /// Forgets an engine that is gone.
    pub fn remove_engine(&mut self, now: Instant, instance: &str) {
        if let Some(engine) = self.pool.remove(instance) {
            dispatch::evict_engine(self, now, engine);
            affinity::assign(self);
        }
    }

    /// What an engine says of itself.
    #[must_use]
    pub fn registration(&self, engine: EngineKey) -> Option<&Registration> {
        self.pool
            .engines
            .get(engine)
            .map(|engine| &engine.registration)
    }

    /// The batch of a run.
    #[must_use]
    pub fn batch_of(&self, run: u64) -> Option<BatchKey> {
        let task = self.tasks.get(self.runs.get(&run)?.task)?;
        Some(task.batch)
    }

    /// The host name under which the batch of a run was submitted.
    #[must_use]
    pub fn host_of(&self, run: u64) -> Option<&str> {
        let batch = self.batches.get(self.batch_of(run)?)?;
        Some(batch.host.as_str())
    }

    /// Notes that a trainer has named a version.
    pub fn version_announced(&mut self, model: &str, version: u64) {
        let announced = self.announced_versions.entry(model.to_owned()).or_default();
        *announced = version.max(*announced);
    }

    /// Takes in a batch. `route` names the service that runs a path.
    pub fn submit(
        &mut self,
        now: Instant,
        submission: Submission,
        route: impl Fn(&str, &str) -> Option<String>,
    ) -> BatchKey {
        submission::submit(self, now, submission, route)
    }

    /// Applies new routes: items whose path no longer leads to a service are given up.
    pub fn update_routes(&mut self, now: Instant, route: impl Fn(&str, &str) -> Option<String>) {
        submission::update_routes(self, now, route);
    }

    /// Ends a batch: nothing of it begins or is listed any more. Its text is kept for a later
    /// batch, and runs that such a batch could use go on for a while.
    pub fn end_batch(&mut self, now: Instant, batch: BatchKey) {
        ending::end_batch(self, now, batch);
    }

    /// Whether an item belongs to an ended batch.
    pub(super) fn is_batch_ended(&self, key: TaskKey) -> bool {
        let batch = self.tasks.get(key).map(|task| task.batch);
        batch
            .and_then(|batch| self.batches.get(batch))
            .is_none_or(|batch| batch.ended_at.is_some())
    }

    /// Notes the head of a run's answer. False if the run is to be closed.
    pub fn response_started(&mut self, now: Instant, run: u64, version: Option<u64>) -> bool {
        reports::response_started(self, now, run, version)
    }

    /// Adds an event to an item's text. False if the run is to be closed.
    pub fn record_event(
        &mut self,
        now: Instant,
        run: u64,
        id: u64,
        data: &str,
        version: Option<u64>,
    ) -> bool {
        reports::record_event(self, now, run, id, data, version)
    }

    /// Notes that a run's answer came to its proper end.
    pub fn run_finished(&mut self, now: Instant, run: u64) {
        reports::run_finished(self, now, run);
    }

    /// Notes that a run ended before its text was whole.
    pub fn run_failed(&mut self, now: Instant, run: u64, failure: Failure) {
        reports::run_failed(self, now, run, failure);
    }

    /// Notes that the results of a batch last taken for writing are durable.
    pub fn results_written(&mut self, key: BatchKey) {
        if let Some(batch) = self.batches.get_mut(key) {
            batch.is_writing = false;
            batch.items_being_written.clear();
        }
    }

    /// Text of unfinished items, for a scheduler that takes over.
    #[must_use]
    pub fn partial_texts(&self, now: Instant) -> Vec<(String, PartialText)> {
        ending::partial_texts(self, now)
    }

    /// Takes in text that another scheduler had.
    pub fn restore_partial_text(&mut self, now: Instant, item: String, partial_text: PartialText) {
        ending::restore_partial_text(self, now, item, partial_text);
    }

    /// Groups that a later batch may bring again, for a scheduler that takes over.
    #[must_use]
    pub fn past_groups(&self) -> Vec<String> {
        checkpointing::past_groups(self)
    }

    /// Takes in groups that another scheduler had.
    pub fn restore_past_groups(&mut self, now: Instant, groups: Vec<String>) {
        checkpointing::restore_past_groups(self, now, groups);
    }

    /// Text of unfinished items that was not saved yet, up to about `most` bytes; none if there
    /// is nothing to save. The save is the one with the number [`Self::checkpoint_count`] before the call.
    pub fn checkpoint(&mut self, fence: u64, max_bytes: usize) -> Option<Checkpoint> {
        checkpointing::take_checkpoint(self, fence, max_bytes)
    }

    /// How many saves there were.
    #[must_use]
    pub fn checkpoint_count(&self) -> u64 {
        self.checkpoint_count
    }

    /// Notes that a save was lost.
    pub fn checkpoint_lost(&mut self) {
        checkpointing::checkpoint_lost(self);
    }

    /// Ends all batches at once and keeps their text. Returns what is still to be done.
    pub fn close(&mut self, now: Instant) -> Vec<Action> {
        ending::close(self, now)
    }

    /// Whether any batch is open, or runs of ended ones go on.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.batches.is_empty()
    }

    /// Notes that an engine has loaded weights.
    pub fn weights_loaded(&mut self, engine: EngineKey, model: &str, version: u64) {
        if let Some(engine) = self.pool.engines.get_mut(engine) {
            engine.loading = None;
            engine.registration.models.insert(model.to_owned(), version);
        }
    }

    /// Notes that an engine did not load weights.
    pub fn command_failed(&mut self, now: Instant, engine: EngineKey) {
        if let Some(engine) = self.pool.engines.get_mut(engine) {
            engine.loading = None;
            engine.record_failure(now);
        }
    }

    /// Decides what is to be done now. `may_order` says whether orders to engines may be given.
    pub fn poll(&mut self, now: Instant, may_command: bool) -> Vec<Action> {
        self.retained_texts
            .retain(|_, (since, _)| now.since(*since) < TEXT_RETENTION);
        self.past_groups
            .retain(|_, since| now.since(*since) < TEXT_RETENTION);
        ending::end_detached(self, now);
        ending::expire_tasks(self, now);
        stragglers::move_stuck(self, now);
        if may_command {
            weights::plan_loads(self, now);
        }
        dispatch::dispatch(self, now);
        stragglers::move_slow(self, now);
        for (key, batch) in &mut self.batches {
            if let Some(results) = batch.take_results(now) {
                self.actions.push(Action::WriteResults {
                    batch: key,
                    results,
                });
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Whether an item that a trainer waits for waits for an engine of a model.
    pub(super) fn has_waiting_items(&self, model: &str) -> bool {
        self.queue.iter().any(|(_, key)| {
            let task = &self.tasks[*key];
            let batch = &self.batches[task.batch];
            let is_for_model = batch.model.as_deref() == Some(model);
            is_for_model && !task.is_optional && !batch.is_satisfied
        })
    }

    /// Whether a running item may go on elsewhere. One of an ended batch may not begin again.
    pub(super) fn may_move(&self, key: TaskKey) -> bool {
        !self.is_batch_ended(key)
    }
}
