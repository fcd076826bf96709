//! The state of all open batches, and the calls that change it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use slotmap::SlotMap;
use tamaracksail_model::backend::Registration;
use tamaracksail_model::batch::{PartialText, SubmissionRoute};
use tamaracksail_model::carried::Carried;
use tamaracksail_model::checkpoint::Checkpoint;
use tamaracksail_model::pace::Reading;
use tamaracksail_model::reward::Call;
use tamaracksail_model::time::Instant;

use super::action::{Action, Failure};
use super::engine::EngineKey;
use super::open_batch::Batch;
use super::pool::Pool;
use super::rank::{Rank, Ranking};
use super::run::Run;
use super::submission::{self, Submission};
use super::task::{Task, TaskKey};
use super::{
    affinity, checkpointing, coverage, dispatch, ending, placement, reports, scoring, stragglers,
    weights,
};
use crate::fleet::Fleet;
use crate::reward::{self, CallKey};

/// How long text and groups of an ended batch are retained for a later batch with the same items.
/// Trainers submit them again within one or two steps.
const TEXT_RETENTION: Duration = Duration::from_secs(30);

slotmap::new_key_type! {
    /// Identifies a batch.
    pub struct BatchKey;
}

/// Schedules the items of all open batches on the engines.
#[derive(Debug, Default)]
pub struct Scheduler {
    pub(super) pool: Pool,
    pub(super) batches: SlotMap<BatchKey, Batch>,
    pub(super) tasks: SlotMap<TaskKey, Task>,
    pub(super) runs: BTreeMap<u64, Run>,
    /// Waiting items with their ranks, in the order in which they start.
    pub(super) queue: BTreeSet<(Rank, TaskKey)>,
    /// The rank of each item in the queue, which it keeps while it runs.
    pub(super) ranks: BTreeMap<TaskKey, Rank>,
    /// When an item whose run failed may start again.
    pub(super) retry_at: BTreeMap<TaskKey, Instant>,
    /// The calls that score complete texts.
    pub(super) rewards: reward::Queue,
    /// The items of these calls.
    pub(super) scoring: BTreeMap<CallKey, TaskKey>,
    /// The newest version that a trainer has announced of each model.
    pub(super) announced_versions: BTreeMap<String, u64>,
    /// The number of items in the largest step of each model, by the service that runs them.
    pub(super) largest_steps: BTreeMap<String, BTreeMap<String, usize>>,
    /// Text of items whose task was removed, by item, and since when it is retained.
    pub(super) retained_texts: BTreeMap<Carried, (Instant, PartialText)>,
    /// Groups of earlier and open batches, and when they were last submitted.
    pub(super) past_groups: BTreeMap<Carried, Instant>,
    /// Tasks of ended batches that still run, by item.
    pub(super) detached: BTreeMap<Carried, TaskKey>,
    pub(super) actions: Vec<Action>,
    /// When it was last logged which items wait.
    pub(super) waits_reported_at: Instant,
    /// The limit on the text of the results in one write, in bytes; `None` if there is none.
    max_write_bytes: Option<usize>,
    /// The limit on the text of an item, in bytes; `None` if there is none.
    pub(super) max_text_bytes: Option<usize>,
    /// The last number given to a run.
    pub(super) last_run: u64,
    pub(super) ranking: Ranking,
    /// The number of checkpoints taken.
    pub(super) checkpoint_count: u64,
    /// The fencing token of the last checkpoint.
    pub(super) checkpoint_fence: Option<u64>,
    /// The last number given to a series of segments.
    pub(super) last_series: u64,
}

impl Scheduler {
    /// Adds or updates an engine.
    pub fn register_engine(&mut self, now: Instant, registration: Registration) {
        if let Some(earlier) = self.pool.register(registration) {
            dispatch::discard_uncertain_texts(self, earlier);
            dispatch::evict_engine(self, now, earlier);
        }
    }

    /// Records that an engine is leaving: no further item starts on it.
    pub fn drain_engine(&mut self, instance: &str, started_at_ms: Option<u64>) {
        self.pool.drain(instance, started_at_ms);
    }

    /// Removes an engine. Its items wait for other engines.
    pub fn remove_engine(&mut self, now: Instant, instance: &str) {
        if let Some(engine) = self.pool.unregister(instance) {
            dispatch::evict_engine(self, now, engine);
        }
    }

    /// Returns the registration of an engine.
    #[must_use]
    pub fn registration(&self, engine: EngineKey) -> Option<&Registration> {
        self.pool
            .engines
            .get(engine)
            .map(|engine| &engine.registration)
    }

    /// Returns the batch of a run.
    #[must_use]
    pub fn batch_of(&self, run: u64) -> Option<BatchKey> {
        let task = self.tasks.get(self.runs.get(&run)?.task)?;
        Some(task.batch)
    }

    /// Returns the host name under which the batch of a run was submitted.
    #[must_use]
    pub fn host_of(&self, run: u64) -> Option<&str> {
        let batch = self.batches.get(self.batch_of(run)?)?;
        Some(batch.route.host.as_str())
    }

    /// Returns the client account that submitted the batch of a run, if any.
    #[must_use]
    pub fn account_of(&self, run: u64) -> Option<&str> {
        self.batches.get(self.batch_of(run)?)?.account.as_deref()
    }

    /// Records that a trainer has announced a version of a model.
    pub fn version_announced(&mut self, model: &str, version: u64) {
        let announced = self.announced_versions.entry(model.to_owned()).or_default();
        *announced = version.max(*announced);
    }

    /// Adds a batch. `route` returns the service of the route of a batch; the given one if the route
    /// still names it.
    ///
    /// The items of a batch without a service are aborted.
    pub fn submit(
        &mut self,
        now: Instant,
        submission: Submission,
        route: impl Fn(&SubmissionRoute, Option<&str>) -> Option<String>,
    ) -> BatchKey {
        submission::submit(self, now, submission, route)
    }

    /// Applies new routes, with `route` as in [`Self::submit`]. Items of batches whose route has ended are
    /// aborted.
    pub fn update_routes(
        &mut self,
        now: Instant,
        route: impl Fn(&SubmissionRoute, Option<&str>) -> Option<String>,
    ) {
        submission::update_routes(self, now, route);
    }

    /// Ends a batch: none of its items starts and no result is written any more. Partial texts are
    /// retained for a later batch, and runs that such a batch could adopt continue for a while.
    pub fn end_batch(&mut self, now: Instant, batch: BatchKey) {
        ending::end_batch(self, now, batch);
    }

    /// Whether the batch of a task has ended.
    pub(super) fn is_batch_ended(&self, key: TaskKey) -> bool {
        let batch = self.tasks.get(key).map(|task| task.batch);
        batch
            .and_then(|batch| self.batches.get(batch))
            .is_none_or(|batch| batch.ended_at.is_some())
    }

    /// Records the head of a run's response. Returns false if the run must be closed.
    pub fn response_started(&mut self, now: Instant, run: u64, version: Option<u64>) -> bool {
        reports::response_started(self, now, run, version)
    }

    /// Has items run in a failure domain while its engines have free slots.
    pub fn prefer_domain(&mut self, domain: &str) {
        self.pool.home = Some(domain.to_owned());
    }

    /// Records the pace that an engine stated in the response of a run.
    pub fn record_pace(&mut self, now: Instant, run: u64, reading: Reading) {
        placement::record_pace(self, now, run, reading);
    }

    /// Appends an event to an item's text. Returns false if the run must be closed.
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

    /// Records that a run's response is complete.
    pub fn run_finished(&mut self, now: Instant, run: u64) {
        reports::run_finished(self, now, run);
    }

    /// Records that a run ended before its text was complete.
    pub fn run_failed(&mut self, now: Instant, run: u64, failure: Failure) {
        reports::run_failed(self, now, run, failure);
    }

    /// Limits the text of the results in one [`Action::WriteResults`], in bytes. A single result may
    /// be longer, but no longer than `max_text_bytes`: a longer one could not be stored, and is discarded.
    pub fn limit_writes(&mut self, max_bytes: usize, max_text_bytes: usize) {
        self.max_write_bytes = Some(max_bytes);
        self.max_text_bytes = Some(max_text_bytes);
    }

    /// Records that the results in the last [`Action::WriteResults`] of a batch are durable.
    pub fn results_written(&mut self, now: Instant, key: BatchKey) {
        if let Some(batch) = self.batches.get_mut(key) {
            batch.record_written(now);
        }
    }

    /// Returns the text of unfinished items, for a scheduler that takes over.
    #[must_use]
    pub fn partial_texts(&self, now: Instant) -> Vec<(Carried, PartialText)> {
        ending::partial_texts(self, now)
    }

    /// Retains text from another scheduler, unless a longer text of the item is here.
    pub fn restore_partial_text(&mut self, now: Instant, item: Carried, partial_text: PartialText) {
        ending::restore_partial_text(self, now, item, partial_text);
    }

    /// Returns the groups that count as carried over, for a scheduler that takes over.
    #[must_use]
    pub fn past_groups(&self) -> Vec<Carried> {
        checkpointing::past_groups(self)
    }

    /// Adds groups that another scheduler has seen.
    pub fn restore_past_groups(&mut self, now: Instant, groups: Vec<Carried>) {
        checkpointing::restore_past_groups(self, now, groups);
    }

    /// Returns a checkpoint of up to about `max_bytes` of text that is not saved yet; `None` if
    /// there is no such text. Its number is what [`Self::checkpoint_count`] returned before the
    /// call.
    pub fn checkpoint(&mut self, fence: u64, max_bytes: usize) -> Option<Checkpoint> {
        checkpointing::take_checkpoint(self, fence, max_bytes)
    }

    /// Returns the number of checkpoints taken.
    #[must_use]
    pub fn checkpoint_count(&self) -> u64 {
        self.checkpoint_count
    }

    /// Records that a checkpoint was not stored: every text is saved again in full.
    pub fn checkpoint_lost(&mut self) {
        checkpointing::checkpoint_lost(self);
    }

    /// Ends all batches and retains their text. Returns the actions that remain.
    pub fn close(&mut self, now: Instant) -> Vec<Action> {
        ending::close(self, now)
    }

    /// Whether any batch is open, or ended so recently that its runs may continue.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.batches.is_empty()
    }

    /// Records that an engine has loaded weights.
    pub fn weights_loaded(&mut self, engine: EngineKey, model: &str, version: u64) {
        if let Some(engine) = self.pool.engines.get_mut(engine) {
            engine.loading = None;
            engine.registration.models.insert(model.to_owned(), version);
        }
    }

    /// Records that an engine did not load weights.
    pub fn command_failed(&mut self, now: Instant, engine: EngineKey) {
        if let Some(engine) = self.pool.engines.get_mut(engine) {
            engine.loading = None;
            engine.record_failure(now);
        }
    }

    /// Sets how many runs may start on engines with a request limit until the next call, by instance
    /// id. All other engines have none.
    pub fn set_budgets<'a>(&mut self, budgets: impl Iterator<Item = (&'a str, u32)>) {
        self.pool.set_budgets(budgets);
    }

    /// Runs the scheduling passes and returns the actions to take. Engines are commanded to load
    /// weights only if `may_command` is set.
    pub fn poll(&mut self, now: Instant, may_command: bool) -> Vec<Action> {
        self.retained_texts
            .retain(|_, (since, _)| now.since(*since) < TEXT_RETENTION);
        self.past_groups
            .retain(|_, since| now.since(*since) < TEXT_RETENTION);
        ending::end_detached(self, now);
        ending::expire_tasks(self, now);
        for batch in self.batches.values_mut() {
            batch.review_satisfaction(now);
        }
        stragglers::move_stuck(self, now);
        affinity::update(self);
        if may_command {
            weights::plan_loads(self, now);
        }
        dispatch::dispatch(self, now);
        stragglers::move_slow(self, now);
        placement::move_to_faster(self, now);
        coverage::report(self, now);
        for (key, batch) in &mut self.batches {
            let max_bytes = self.max_write_bytes.unwrap_or(usize::MAX);
            if let Some(results) = batch.take_results(now, max_bytes) {
                self.actions.push(Action::WriteResults {
                    batch: key,
                    results,
                });
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Decides which reward calls are sent, and returns the actions to take. `domain` is the failure
    /// domain of this process, and `route` returns the target of a call.
    pub fn poll_rewards(
        &mut self,
        now: Instant,
        fleet: &mut Fleet,
        domain: &str,
        route: impl Fn(&Call) -> Option<reward::Target>,
    ) -> Vec<reward::Action> {
        scoring::poll(self, now, fleet, domain, route)
    }

    /// Records how a send of a reward call ended. Returns the verdict on the call once there is one.
    pub fn reward_send_ended(
        &mut self,
        now: Instant,
        send: u64,
        outcome: reward::Outcome,
    ) -> Option<reward::Verdict> {
        scoring::send_ended(self, now, send, outcome)
    }

    /// Returns the item and the batch of a reward call, and since when it waits for its score.
    #[must_use]
    pub fn scored_item(&self, key: CallKey) -> Option<(&str, BatchKey, Instant)> {
        let task = self.tasks.get(*self.scoring.get(&key)?)?;
        Some((&task.item.id, task.batch, self.rewards.since(key)?))
    }

    /// Whether a running item may move to another engine. An item of an ended batch may not, since
    /// no new run starts for it.
    pub(super) fn may_move(&self, key: TaskKey) -> bool {
        !self.is_batch_ended(key)
    }
}
