//! Starting, stopping and moving runs.

use std::rc::Rc;

use tamaracksail_model::time::Instant;

use super::action::Action;
use super::ending;
use super::engine::{Engine, EngineKey};
use super::pool::Need;
use super::run::Run;
use super::scheduler::Scheduler;
use super::task::{Stage, TaskKey};

pub(super) fn dispatch(scheduler: &mut Scheduler, now: Instant) {
    let median = scheduler.pool.median_pace();
    let mut free: u32 = scheduler.pool.engines.values().map(Engine::free).sum();
    let waiting: Vec<(u64, TaskKey)> = scheduler.queue.iter().copied().collect();
    for (rank, key) in waiting {
        if free == 0 {
            return;
        }
        let task = &scheduler.tasks[key];
        if scheduler.batches[task.batch].is_satisfied && !task.is_spare {
            continue;
        }
        if scheduler.paused.get(&key).is_some_and(|until| now < *until) {
            continue;
        }
        if let Some(engine) = scheduler
            .pool
            .choose(now, &need(scheduler, key), median, None)
        {
            scheduler.queue.remove(&(rank, key));
            start(scheduler, now, key, engine);
            free -= 1;
        }
    }
}

/// What an item needs of an engine, given the text that it has.
pub(super) fn need(scheduler: &Scheduler, key: TaskKey) -> Need<'_> {
    let task = &scheduler.tasks[key];
    let batch = &scheduler.batches[task.batch];
    let version = if batch.is_single_version {
        task.text.versions.first().copied()
    } else {
        None
    };
    // Text of the newest version may still be used in the next step, which is where an item
    // ends that this step does not wait for.
    let newest = batch
        .model
        .as_ref()
        .and_then(|model| scheduler.announced.get(model));
    let min_version = match (task.is_spare, newest) {
        (true, Some(newest)) => batch.min_version.max(Some(*newest)),
        _ => batch.min_version,
    };
    Need {
        service: &task.service,
        model: batch.model.as_deref(),
        min_version,
        version,
    }
}

pub(super) fn start(scheduler: &mut Scheduler, now: Instant, key: TaskKey, engine: EngineKey) {
    scheduler.next_run += 1;
    let run = scheduler.next_run;
    let task = &mut scheduler.tasks[key];
    task.stage = Stage::Running(run);
    let batch = &scheduler.batches[task.batch];
    let chosen = &mut scheduler.pool.engines[engine];
    chosen.running += 1;
    let held = batch.model.as_deref().and_then(|m| chosen.version(m));
    scheduler.paused.remove(&key);
    scheduler.runs.insert(
        run,
        Run {
            task: key,
            engine,
            progress: now,
            events: 0,
            version: held,
        },
    );
    scheduler.actions.push(Action::Start {
        run,
        task: key,
        engine,
        item: Rc::clone(&task.item),
        after: task.text.last,
        version: if batch.is_single_version { held } else { None },
    });
}

/// Ends a run and lets its item wait again.
pub(super) fn take_back(scheduler: &mut Scheduler, now: Instant, run: u64, reason: &'static str) {
    let Some(found) = scheduler.runs.get(&run).copied() else {
        return;
    };
    stop(scheduler, run, reason);
    if scheduler.is_ended(found.task) {
        let id = scheduler.tasks[found.task].item.id.clone();
        scheduler.lingering.remove(&id);
        ending::forget(scheduler, now, found.task);
    } else {
        requeue(scheduler, found.task);
    }
}

/// Starts a waiting item at an engine out of turn.
pub(super) fn restart(scheduler: &mut Scheduler, now: Instant, key: TaskKey, engine: EngineKey) {
    if let Some(rank) = scheduler.ranks.get(&key) {
        scheduler.queue.remove(&(*rank, key));
    }
    start(scheduler, now, key, engine);
}

pub(super) fn stop(scheduler: &mut Scheduler, run: u64, reason: &'static str) {
    if drop_run(scheduler, run).is_some() {
        scheduler.actions.push(Action::Stop { run, reason });
    }
}

pub(super) fn drop_run(scheduler: &mut Scheduler, run: u64) -> Option<Run> {
    let found = scheduler.runs.remove(&run)?;
    if let Some(engine) = scheduler.pool.engines.get_mut(found.engine) {
        engine.running = engine.running.saturating_sub(1);
    }
    Some(found)
}

pub(super) fn vacate(scheduler: &mut Scheduler, now: Instant, engine: EngineKey) {
    let runs: Vec<u64> = scheduler
        .runs
        .iter()
        .filter(|(_, run)| run.engine == engine)
        .map(|(number, _)| *number)
        .collect();
    for run in runs {
        take_back(scheduler, now, run, "the engine is gone");
    }
    scheduler.pool.drop_engine(engine);
}

pub(super) fn requeue(scheduler: &mut Scheduler, key: TaskKey) {
    let task = &mut scheduler.tasks[key];
    task.stage = Stage::Waiting;
    let batch = &scheduler.batches[task.batch];
    if !task
        .text
        .is_usable(batch.min_version, batch.is_single_version)
    {
        task.discard_text();
    }
    let rank = scheduler.ranks.get(&key).copied().unwrap_or(0);
    scheduler.queue.insert((rank, key));
}

pub(super) fn complete(scheduler: &mut Scheduler, now: Instant, key: TaskKey) {
    let task = &mut scheduler.tasks[key];
    task.stage = Stage::Over;
    let result = task.completed();
    let (batch, group) = (task.batch, task.group);
    scheduler.batches[batch].add(now, group, result);
}
