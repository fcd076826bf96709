//! Ends: of batches, of items that are given up, of scheduling here.

use std::collections::BTreeSet;
use std::time::Duration;

use tamaracksail_model::batch::PartialText;
use tamaracksail_model::time::Instant;

use super::action::Action;
use super::dispatch;
use super::scheduler::{BatchKey, Scheduler};
use super::task::{Stage, TaskKey};

/// How long runs of an ended batch go on, for a later batch with the same items. A trainer asks
/// again after a short training; a run that has begun may finish, but none begins.
const DETACHED_RUN_TIMEOUT: Duration = Duration::from_millis(2500);

/// How long ago a batch may have ended whose text is handed over. A trainer brings items again in
/// its next step, seconds later.
const HAND_OVER_WINDOW: Duration = Duration::from_secs(6);

/// Stops the run of an item, if it runs.
pub(super) fn stop_task(scheduler: &mut Scheduler, key: TaskKey, reason: &'static str) {
    if let Some(Stage::Running(run)) = scheduler.tasks.get(key).map(|task| task.stage) {
        dispatch::stop_run(scheduler, run, reason);
    }
}

/// Ends a batch: nothing of it begins or is listed any more. Its text is kept for a later
/// batch, and runs that such a batch could use go on for a while.
pub(super) fn end_batch(scheduler: &mut Scheduler, now: Instant, batch_key: BatchKey) {
    let Some(batch) = scheduler.batches.get_mut(batch_key) else {
        return;
    };
    batch.ended_at = Some(now);
    batch.results.clear();
    let whole: BTreeSet<usize> = (0..batch.groups.len())
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
            let made_by = scheduler.runs.get(&run).and_then(|run| run.version);
            if newest.is_some() && made_by >= newest && task.text.fits(newest) {
                scheduler.detached.insert(task.item.id.clone(), key);
                continue;
            }
            dispatch::stop_run(scheduler, run, "the batch has ended");
        }
        if whole.contains(&scheduler.tasks[key].group) {
            // A group that the trainer has whole does not come again.
            scheduler.tasks[key].discard_text();
        }
        remove_task(scheduler, now, key);
    }
}

/// Forgets an item and keeps its text.
pub(super) fn remove_task(scheduler: &mut Scheduler, now: Instant, key: TaskKey) {
    if let Some(rank) = scheduler.ranks.remove(&key) {
        scheduler.queue.remove(&(rank, key));
    }
    scheduler.retry_at.remove(&key);
    if let Some(task) = scheduler.tasks.remove(key)
        && task.text.last.is_some()
    {
        scheduler
            .retained_texts
            .insert(task.item.id.clone(), (now, task.text));
    }
}

/// Ends runs of ended batches for which no later batch came.
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
    let late: Vec<(String, TaskKey)> = scheduler
        .detached
        .iter()
        .filter(|(_, key)| is_late(key))
        .map(|(id, key)| (id.clone(), *key))
        .collect();
    for (id, key) in late {
        scheduler.detached.remove(&id);
        stop_task(scheduler, key, "no later batch has the item");
        remove_task(scheduler, now, key);
    }
    scheduler.batches.retain(|_, batch| {
        batch
            .ended_at
            .is_none_or(|ended_at| now.since(ended_at) < DETACHED_RUN_TIMEOUT)
    });
}

/// Text that a scheduler which takes over may need.
pub(super) fn partial_texts(scheduler: &Scheduler, now: Instant) -> Vec<(String, PartialText)> {
    scheduler
        .retained_texts
        .iter()
        .filter(|(_, (since, _))| now.since(*since) < HAND_OVER_WINDOW)
        .map(|(item, (_, partial_text))| (item.clone(), partial_text.clone()))
        .collect()
}

/// Takes in text that another scheduler had.
pub(super) fn restore_partial_text(
    scheduler: &mut Scheduler,
    now: Instant,
    item: String,
    partial_text: PartialText,
) {
    let is_longer = scheduler
        .retained_texts
        .get(&item)
        .is_none_or(|(_, kept)| kept.last < partial_text.last);
    if is_longer {
        scheduler.retained_texts.insert(item, (now, partial_text));
    }
}

/// Ends all batches at once and keeps their text. Returns what is still to be done.
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
        stop_task(scheduler, key, "scheduling ends here");
        remove_task(scheduler, now, key);
    }
    scheduler.batches.clear();
    scheduler.detached.clear();
    scheduler.queue.clear();
    for engine in scheduler.pool.engines.values_mut() {
        engine.loading = None;
    }
    std::mem::take(&mut scheduler.actions)
}

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

pub(super) fn abort_task(scheduler: &mut Scheduler, now: Instant, key: TaskKey) {
    if let Stage::Running(run) = scheduler.tasks[key].stage {
        dispatch::stop_run(scheduler, run, "the item was given up");
    }
    if let Some(rank) = scheduler.ranks.get(&key) {
        scheduler.queue.remove(&(*rank, key));
    }
    let task = &mut scheduler.tasks[key];
    task.stage = Stage::Done;
    let result = task.aborted();
    let (batch, group) = (task.batch, task.group);
    scheduler.batches[batch].add_result(now, group, result);
}
