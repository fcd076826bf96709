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
const LINGER: Duration = Duration::from_millis(2500);

/// How long ago a batch may have ended whose text is handed over. A trainer brings items again in
/// its next step, seconds later.
const HANDED_OVER: Duration = Duration::from_secs(6);

/// Stops the run of an item, if it runs.
pub(super) fn release(scheduler: &mut Scheduler, key: TaskKey, reason: &'static str) {
    if let Some(Stage::Running(run)) = scheduler.tasks.get(key).map(|task| task.stage) {
        dispatch::stop(scheduler, run, reason);
    }
}

/// Ends a batch: nothing of it begins or is listed any more. Its text is kept for a later
/// batch, and runs that such a batch could use go on for a while.
pub(super) fn end_batch(scheduler: &mut Scheduler, now: Instant, batch_key: BatchKey) {
    let Some(batch) = scheduler.batches.get_mut(batch_key) else {
        return;
    };
    batch.ended = Some(now);
    batch.results.clear();
    let whole: BTreeSet<usize> = (0..batch.groups.len())
        .filter(|group| batch.groups[*group].open == 0)
        .collect();
    let newest = batch
        .model
        .as_ref()
        .and_then(|model| scheduler.announced.get(model))
        .copied();
    for key in std::mem::take(&mut batch.tasks) {
        let Some(task) = scheduler.tasks.get(key) else {
            continue;
        };
        if let Stage::Running(run) = task.stage {
            let made_by = scheduler.runs.get(&run).and_then(|run| run.version);
            if newest.is_some() && made_by >= newest && task.text.fits(newest) {
                scheduler.lingering.insert(task.item.id.clone(), key);
                continue;
            }
            dispatch::stop(scheduler, run, "the batch has ended");
        }
        if whole.contains(&scheduler.tasks[key].group) {
            // A group that the trainer has whole does not come again.
            scheduler.tasks[key].discard_text();
        }
        forget(scheduler, now, key);
    }
}

/// Forgets an item and keeps its text.
pub(super) fn forget(scheduler: &mut Scheduler, now: Instant, key: TaskKey) {
    if let Some(rank) = scheduler.ranks.remove(&key) {
        scheduler.queue.remove(&(rank, key));
    }
    scheduler.paused.remove(&key);
    if let Some(task) = scheduler.tasks.remove(key)
        && task.text.last.is_some()
    {
        scheduler
            .kept
            .insert(task.item.id.clone(), (now, task.text));
    }
}

/// Ends runs of ended batches for which no later batch came.
pub(super) fn end_lingering(scheduler: &mut Scheduler, now: Instant) {
    let tasks = &scheduler.tasks;
    let batches = &scheduler.batches;
    let is_late = |key: &TaskKey| {
        let batch = tasks.get(*key).and_then(|task| batches.get(task.batch));
        batch.is_none_or(|batch| batch.ended.is_some_and(|ended| now.since(ended) >= LINGER))
    };
    let late: Vec<(String, TaskKey)> = scheduler
        .lingering
        .iter()
        .filter(|(_, key)| is_late(key))
        .map(|(id, key)| (id.clone(), *key))
        .collect();
    for (id, key) in late {
        scheduler.lingering.remove(&id);
        release(scheduler, key, "no later batch has the item");
        forget(scheduler, now, key);
    }
    scheduler
        .batches
        .retain(|_, batch| batch.ended.is_none_or(|ended| now.since(ended) < LINGER));
}

/// Text that a scheduler which takes over may need.
pub(super) fn partial_texts(scheduler: &Scheduler, now: Instant) -> Vec<(String, PartialText)> {
    scheduler
        .kept
        .iter()
        .filter(|(_, (since, _))| now.since(*since) < HANDED_OVER)
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
        .kept
        .get(&item)
        .is_none_or(|(_, kept)| kept.last < partial_text.last);
    if is_longer {
        scheduler.kept.insert(item, (now, partial_text));
    }
}

/// Ends all batches at once and keeps their text. Returns what is still to be done.
pub(super) fn close(scheduler: &mut Scheduler, now: Instant) -> Vec<Action> {
    let unwritten: BTreeSet<String> = scheduler
        .batches
        .values()
        .flat_map(|batch| {
            let waiting = batch.results.iter().map(|result| &result.item);
            waiting.chain(&batch.writing).cloned()
        })
        .collect();
    let keys: Vec<TaskKey> = scheduler.tasks.keys().collect();
    for key in keys {
        let task = &mut scheduler.tasks[key];
        if task.stage == Stage::Over && !unwritten.contains(&task.item.id) {
            task.discard_text();
        }
        release(scheduler, key, "scheduling ends here");
        forget(scheduler, now, key);
    }
    scheduler.batches.clear();
    scheduler.lingering.clear();
    scheduler.queue.clear();
    for engine in scheduler.pool.engines.values_mut() {
        engine.loading = None;
    }
    std::mem::take(&mut scheduler.actions)
}

pub(super) fn expire(scheduler: &mut Scheduler, now: Instant) {
    let late: Vec<TaskKey> = scheduler
        .tasks
        .iter()
        .filter(|(key, task)| {
            task.stage != Stage::Over
                && !scheduler.is_ended(*key)
                && now >= scheduler.batches[task.batch].expires
        })
        .map(|(key, _)| key)
        .collect();
    for key in late {
        give_up(scheduler, now, key);
    }
}

pub(super) fn give_up(scheduler: &mut Scheduler, now: Instant, key: TaskKey) {
    if let Stage::Running(run) = scheduler.tasks[key].stage {
        dispatch::stop(scheduler, run, "the item was given up");
    }
    if let Some(rank) = scheduler.ranks.get(&key) {
        scheduler.queue.remove(&(*rank, key));
    }
    let task = &mut scheduler.tasks[key];
    task.stage = Stage::Over;
    let result = task.aborted();
    let (batch, group) = (task.batch, task.group);
    scheduler.batches[batch].add(now, group, result);
}
