//! The end of batches, of items without a complete text, and of scheduling by this process.

use std::collections::BTreeSet;
use std::time::Duration;

use tamaracksail_model::batch::PartialText;
use tamaracksail_model::carried::Carried;
use tamaracksail_model::time::Instant;

use super::action::Action;
use super::scheduler::{BatchKey, Scheduler};
use super::task::{Stage, TaskKey};
use super::{dispatch, scoring};

/// How long runs continue after their batch has ended, so that a later batch with the same items
/// can adopt them. A trainer submits its next batch after a short training phase. No new run starts
/// for an ended batch.
const DETACHED_RUN_TIMEOUT: Duration = Duration::from_millis(2500);

/// How long text of an ended batch is handed over to another scheduler. A trainer submits items
/// again in its next step, seconds later.
const HAND_OVER_WINDOW: Duration = Duration::from_secs(6);

/// Stops the run of a task, if it has one.
pub(super) fn stop_task(scheduler: &mut Scheduler, key: TaskKey, reason: &'static str) {
    if let Some(Stage::Running(run)) = scheduler.tasks.get(key).map(|task| task.stage) {
        dispatch::stop_run(scheduler, run, reason);
    }
}

/// Ends a batch: none of its items starts and no result is written any more. Partial texts are
/// retained for a later batch, and runs that such a batch could adopt continue for
/// [`DETACHED_RUN_TIMEOUT`].
pub(super) fn end_batch(scheduler: &mut Scheduler, now: Instant, batch_key: BatchKey) {
    let Some(batch) = scheduler.batches.get_mut(batch_key) else {
        return;
    };
    batch.ended_at = Some(now);
    batch.results.clear();
    let complete_groups: BTreeSet<usize> = (0..batch.groups.len())
        .filter(|group| batch.groups[*group].unfinished == 0)
        .collect();
    let newest = batch
        .model
        .as_ref()
        .and_then(|model| scheduler.announced_versions.get(model))
        .copied();
    for key in std::mem::take(&mut batch.tasks) {
        let Some(task) = scheduler.tasks.get(key) else {
            continue;
        };
        if let Stage::Running(run) = task.stage {
            let generated_by = scheduler.runs.get(&run).and_then(|run| run.version);
            if newest.is_some() && generated_by >= newest && task.text.meets_min_version(newest) {
                scheduler.detached.insert(task.carried.clone(), key);
                continue;
            }
            dispatch::stop_run(scheduler, run, "the batch has ended");
        }
        if complete_groups.contains(&scheduler.tasks[key].group) {
            // The trainer has this group in full and does not submit it again.
            scheduler.tasks[key].discard_text();
        }
        remove_task(scheduler, now, key);
    }
}

/// Removes a task and retains its text.
pub(super) fn remove_task(scheduler: &mut Scheduler, now: Instant, key: TaskKey) {
    if let Some(rank) = scheduler.ranks.remove(&key) {
        scheduler.queue.remove(&(rank, key));
    }
    scheduler.retry_at.remove(&key);
    scoring::stop(scheduler, key, "the batch has ended");
    if let Some(task) = scheduler.tasks.remove(key)
        && task.text.last.is_some()
    {
        scheduler
            .retained_texts
            .insert(task.carried, (now, task.text));
    }
}

/// Stops detached runs that no later batch has adopted in time.
pub(super) fn end_detached(scheduler: &mut Scheduler, now: Instant) {
    let tasks = &scheduler.tasks;
    let batches = &scheduler.batches;
    let is_late = |key: &TaskKey| {
        let batch = tasks.get(*key).and_then(|task| batches.get(task.batch));
        batch.is_none_or(|batch| {
            batch
                .ended_at
                .is_some_and(|ended_at| now.since(ended_at) >= DETACHED_RUN_TIMEOUT)
        })
    };
    let late: Vec<(Carried, TaskKey)> = scheduler
        .detached
        .iter()
        .filter(|(_, key)| is_late(key))
        .map(|(id, key)| (id.clone(), *key))
        .collect();
    for (id, key) in late {
        scheduler.detached.remove(&id);
        stop_task(scheduler, key, "no later batch submitted the item");
        remove_task(scheduler, now, key);
    }
    scheduler.batches.retain(|_, batch| {
        batch
            .ended_at
            .is_none_or(|ended_at| now.since(ended_at) < DETACHED_RUN_TIMEOUT)
    });
}

/// Returns the retained texts that another scheduler may need.
pub(super) fn partial_texts(scheduler: &Scheduler, now: Instant) -> Vec<(Carried, PartialText)> {
    scheduler
        .retained_texts
        .iter()
        .filter(|(_, (since, _))| now.since(*since) < HAND_OVER_WINDOW)
        .map(|(item, (_, partial_text))| (item.clone(), partial_text.clone()))
        .collect()
}

/// Retains text from another scheduler, unless a longer text of the item is here.
pub(super) fn restore_partial_text(
    scheduler: &mut Scheduler,
    now: Instant,
    item: Carried,
    partial_text: PartialText,
) {
    let extent = |text: &PartialText| (text.last, text.is_whole);
    let is_longer = scheduler
        .retained_texts
        .get(&item)
        .is_none_or(|(_, known)| extent(known) < extent(&partial_text));
    if is_longer {
        scheduler.retained_texts.insert(item, (now, partial_text));
    }
}

/// Ends all batches and retains their text, but for items whose result is durable. Returns the
/// actions that remain, such as stopping the runs.
pub(super) fn close(scheduler: &mut Scheduler, now: Instant) -> Vec<Action> {
    let unwritten: BTreeSet<String> = scheduler
        .batches
        .values()
        .flat_map(|batch| {
            let waiting = batch.results.iter().map(|result| &result.item);
            waiting.chain(&batch.items_being_written).cloned()
        })
        .collect();
    let keys: Vec<TaskKey> = scheduler.tasks.keys().collect();
    for key in keys {
        let task = &mut scheduler.tasks[key];
        if task.stage == Stage::Done && !unwritten.contains(&task.item.id) {
            task.discard_text();
        }
        stop_task(scheduler, key, "this process stopped scheduling");
        remove_task(scheduler, now, key);
    }
    scheduler.batches.clear();
    scheduler.detached.clear();
    scheduler.queue.clear();
    scheduler.rewards.clear();
    for engine in scheduler.pool.engines.values_mut() {
        engine.loading = None;
    }
    std::mem::take(&mut scheduler.actions)
}

/// Aborts unfinished items of batches past their deadline.
pub(super) fn expire_tasks(scheduler: &mut Scheduler, now: Instant) {
    let late: Vec<TaskKey> = scheduler
        .tasks
        .iter()
        .filter(|(key, task)| {
            task.stage != Stage::Done
                && !scheduler.is_batch_ended(*key)
                && now >= scheduler.batches[task.batch].expires
        })
        .map(|(key, _)| key)
        .collect();
    for key in late {
        abort_task(scheduler, now, key);
    }
}

/// Stops an item for good and records that it was aborted.
pub(super) fn abort_task(scheduler: &mut Scheduler, now: Instant, key: TaskKey) {
    if let Stage::Running(run) = scheduler.tasks[key].stage {
        dispatch::stop_run(scheduler, run, "the item was aborted");
    }
    if let Some(rank) = scheduler.ranks.get(&key) {
        scheduler.queue.remove(&(*rank, key));
    }
    scoring::stop(scheduler, key, "the item was aborted");
    let task = &mut scheduler.tasks[key];
    task.stage = Stage::Done;
    let result = task.aborted();
    let (batch, group) = (task.batch, task.group);
    scheduler.batches[batch].add_result(now, group, result);
}
