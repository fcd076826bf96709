//! Starts, stops and moves runs.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_model::time::Instant;

use super::action::{Action, Requirement};
use super::coverage::{self, Prospect};
use super::ending;
use super::engine::{Engine, EngineKey};
use super::placement::{self, Preference};
use super::pool::Requirements;
use super::run::Run;
use super::scheduler::Scheduler;
use super::scoring;
use super::sharing::Order;
use super::task::{Stage, TaskKey};

/// How long an optional item waits for an engine with the newest version before it runs on any that its
/// batch accepts.
const NEWEST_PATIENCE: Duration = Duration::from_secs(3);

/// Starts waiting items on engines with free slots.
pub(super) fn dispatch(scheduler: &mut Scheduler, now: Instant) {
    let median_ms = scheduler.pool.median_interval_ms();
    let mut free_slots: u32 = scheduler
        .pool
        .engines
        .values()
        .map(Engine::free_slots)
        .sum();
    if free_slots == 0 {
        return;
    }
    let mut order = Order::new(scheduler);
    // What no engine meets, which holds for the rest of the pass: engines only fill up. With it, how the
    // text is judged of the items that require it.
    let mut unmet: Vec<(Requirement, (bool, bool))> = Vec::new();
    while let Some((rank, key)) = order.take_next() {
        if free_slots == 0 {
            return;
        }
        let task = &scheduler.tasks[key];
        if scheduler.batches[task.batch].is_satisfied && !task.is_optional {
            continue;
        }
        if scheduler
            .retry_at
            .get(&key)
            .is_some_and(|retry_at| now < *retry_at)
        {
            continue;
        }
        if scheduler.tasks[key].text.is_of_unknown_software() {
            scheduler.tasks[key].discard_text();
        }
        let task = &scheduler.tasks[key];
        let text = (
            coverage::is_text_kept(now, task),
            coverage::is_worth_load(now, task),
        );
        let required = waiting_requirements(scheduler, now, key).without_preference();
        let is_unmet = |(unmet, judged): &(Requirement, (bool, bool))| {
            *judged == text && unmet.as_requirements() == required
        };
        if unmet.iter().any(is_unmet) {
            continue;
        }
        let requirement = required.to_owned();
        let Some(engine) = choose(scheduler, now, key, median_ms) else {
            unmet.push((requirement, text));
            continue;
        };
        scheduler.queue.remove(&(rank, key));
        start_run(scheduler, now, key, engine);
        order.record_start();
        free_slots -= 1;
    }
}

/// Chooses an engine with a free slot for a waiting item. Discards its text if engines can run the item
/// only from its start, or those that can continue it are full for too long, and another has a free slot.
fn choose(
    scheduler: &mut Scheduler,
    now: Instant,
    key: TaskKey,
    median_ms: Option<f64>,
) -> Option<EngineKey> {
    let required = waiting_requirements(scheduler, now, key);
    let pool = &scheduler.pool;
    let chosen = pool.choose(now, &required, median_ms, None);
    if chosen.is_some() || !required.depend_on_text() {
        return chosen;
    }
    let announced = &scheduler.announced_versions;
    let task = &scheduler.tasks[key];
    let is_worth_load = coverage::is_worth_load(now, task);
    let least = least_requirements(scheduler, key);
    let (prospect, _) = coverage::prospect(pool, &least, announced, is_worth_load);
    let is_given_up = match prospect {
        Prospect::Restart => true,
        Prospect::Slot => !coverage::is_text_kept(now, task),
        Prospect::Load | Prospect::Engine => false,
    };
    if !is_given_up {
        return None;
    }
    let chosen = pool.choose(now, &required.without_text(), median_ms, None)?;
    let requirement = required.to_owned();
    let task = &mut scheduler.tasks[key];
    scheduler.actions.push(Action::Discard {
        item: Rc::clone(&task.item),
        requirement,
        events: task.text.last.unwrap_or(0),
    });
    task.discard_text();
    Some(chosen)
}

/// Returns what an item requires of an engine, given the text that it has so far.
pub(super) fn requirements(scheduler: &Scheduler, key: TaskKey) -> Requirements<'_> {
    let task = &scheduler.tasks[key];
    let batch = &scheduler.batches[task.batch];
    // An optional item usually ends in the next step, which still accepts text of the newest
    // version, but may refuse older text.
    let newest = batch
        .model
        .as_ref()
        .and_then(|model| scheduler.announced_versions.get(model));
    let min_version = match (task.is_optional, newest) {
        (true, Some(newest)) => batch.min_version.max(Some(*newest)),
        _ => batch.min_version,
    };
    Requirements {
        min_version,
        preference: placement::preference(task, batch.longest),
        ..least_requirements(scheduler, key)
    }
}

/// Returns what a waiting item requires of an engine. An optional one no longer insists on the newest
/// version once it has waited for [`NEWEST_PATIENCE`].
fn waiting_requirements(scheduler: &Scheduler, now: Instant, key: TaskKey) -> Requirements<'_> {
    let task = &scheduler.tasks[key];
    let required = requirements(scheduler, key);
    if task.is_optional && now.since(task.waiting_since) >= NEWEST_PATIENCE {
        let min_version = scheduler.batches[task.batch].min_version;
        return Requirements {
            min_version,
            ..required
        };
    }
    required
}

/// Returns what every engine that runs an item has to meet, without what is only preferred.
pub(super) fn least_requirements(scheduler: &Scheduler, key: TaskKey) -> Requirements<'_> {
    let task = &scheduler.tasks[key];
    let batch = &scheduler.batches[task.batch];
    let version = if batch.is_single_version {
        task.text.versions.first().copied()
    } else {
        None
    };
    Requirements {
        service: &task.service,
        model: batch.model.as_deref(),
        min_version: batch.min_version,
        version,
        software: task.text.software.as_deref(),
        preference: Preference::Any,
    }
}

/// Starts a run of a task on an engine.
pub(super) fn start_run(scheduler: &mut Scheduler, now: Instant, key: TaskKey, engine: EngineKey) {
    scheduler.last_run += 1;
    let run = scheduler.last_run;
    let task = &mut scheduler.tasks[key];
    task.stage = Stage::Running(run);
    let batch = &scheduler.batches[task.batch];
    let chosen = &mut scheduler.pool.engines[engine];
    chosen.record_start();
    let loaded = batch
        .model
        .as_deref()
        .and_then(|model| chosen.version(model));
    scheduler.retry_at.remove(&key);
    scheduler.runs.insert(
        run,
        Run {
            task: key,
            engine,
            last_progress: now,
            event_count: 0,
            begins_text: task.text.last.is_none(),
            version: loaded,
        },
    );
    scheduler.actions.push(Action::Start {
        run,
        task: key,
        engine,
        item: Rc::clone(&task.item),
        after: task.text.last,
        began_at: task.text.software.clone(),
        version: if batch.is_single_version {
            loaded
        } else {
            None
        },
    });
}

/// Stops a run and puts its item back into the queue, or removes it if its batch has ended.
pub(super) fn preempt(scheduler: &mut Scheduler, now: Instant, run_id: u64, reason: &'static str) {
    let Some(run) = scheduler.runs.get(&run_id).copied() else {
        return;
    };
    stop_run(scheduler, run_id, reason);
    if scheduler.is_batch_ended(run.task) {
        let id = scheduler.tasks[run.task].carried.clone();
        scheduler.detached.remove(&id);
        ending::remove_task(scheduler, now, run.task);
    } else {
        requeue(scheduler, now, run.task);
    }
}

/// Starts a waiting item on an engine ahead of its rank.
pub(super) fn start_now(scheduler: &mut Scheduler, now: Instant, key: TaskKey, engine: EngineKey) {
    if let Some(rank) = scheduler.ranks.get(&key) {
        scheduler.queue.remove(&(*rank, key));
    }
    start_run(scheduler, now, key, engine);
}

/// Stops a run and has its connection closed.
pub(super) fn stop_run(scheduler: &mut Scheduler, run_id: u64, reason: &'static str) {
    if remove_run(scheduler, run_id).is_some() {
        scheduler.actions.push(Action::Stop {
            run: run_id,
            reason,
        });
    }
}

/// Removes a run and frees its slot.
pub(super) fn remove_run(scheduler: &mut Scheduler, run_id: u64) -> Option<Run> {
    let run = scheduler.runs.remove(&run_id)?;
    if let Some(engine) = scheduler.pool.engines.get_mut(run.engine) {
        engine.running = engine.running.saturating_sub(1);
    }
    Some(run)
}

/// Discards the texts that runs of an engine began, which turns out to have restarted: they may come
/// from the new process, whose software may be another.
pub(super) fn discard_uncertain_texts(scheduler: &mut Scheduler, engine: EngineKey) {
    let runs = scheduler.runs.values();
    let uncertain = runs.filter(|run| run.engine == engine && run.begins_text);
    let keys: Vec<TaskKey> = uncertain.map(|run| run.task).collect();
    for key in keys {
        scheduler.tasks[key].discard_text();
    }
}

/// Stops all runs of an engine and removes it.
pub(super) fn evict_engine(scheduler: &mut Scheduler, now: Instant, engine: EngineKey) {
    let runs: Vec<u64> = scheduler
        .runs
        .iter()
        .filter(|(_, run)| run.engine == engine)
        .map(|(run_id, _)| *run_id)
        .collect();
    for run_id in runs {
        preempt(scheduler, now, run_id, "the engine is gone");
    }
    scheduler.pool.drop_engine(engine);
}

/// Puts an item back into the queue at its rank, and discards text that its batch may not use.
pub(super) fn requeue(scheduler: &mut Scheduler, now: Instant, key: TaskKey) {
    let task = &mut scheduler.tasks[key];
    task.stage = Stage::Waiting;
    task.waiting_since = now;
    let batch = &scheduler.batches[task.batch];
    if !task
        .text
        .is_usable(batch.min_version, batch.is_single_version)
    {
        task.discard_text();
    }
    let rank = scheduler.ranks.get(&key).copied().unwrap_or_default();
    scheduler.queue.insert((rank, key));
}

/// Records the result of an item whose text is complete, or has the text scored first.
pub(super) fn complete(scheduler: &mut Scheduler, now: Instant, key: TaskKey) {
    if scoring::begin(scheduler, now, key) {
        return;
    }
    let task = &mut scheduler.tasks[key];
    task.stage = Stage::Done;
    let result = task.completed();
    let (batch, group) = (task.batch, task.group);
    scheduler.batches[batch].add_result(now, group, result);
}
