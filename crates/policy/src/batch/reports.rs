//! What runs report back: responses, events, ends and failures.

use std::time::Duration;

use tamaracksail_model::time::Instant;

use super::action::Failure;
use super::scheduler::Scheduler;
use super::{dispatch, ending};

/// The delay before an item whose run failed may start again, so that a failing engine does not use
/// up the item's attempts at once.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Records the head of a run's response. Returns false if the run must be closed.
pub(super) fn response_started(
    scheduler: &mut Scheduler,
    now: Instant,
    run_id: u64,
    version: Option<u64>,
) -> bool {
    let Some(run) = scheduler.runs.get_mut(&run_id) else {
        return false;
    };
    run.last_progress = now;
    run.version = version.or(run.version);
    true
}

/// Appends an event to an item's text. Returns false if the run must be closed.
pub(super) fn record_event(
    scheduler: &mut Scheduler,
    now: Instant,
    run_id: u64,
    id: u64,
    data: &str,
    version: Option<u64>,
) -> bool {
    let Some(run) = scheduler.runs.get_mut(&run_id) else {
        return false;
    };
    let millis = now.since(run.last_progress).as_secs_f64() * 1000.0;
    let is_first = run.event_count == 0;
    run.last_progress = now;
    run.event_count += 1;
    run.version = version.or(run.version);
    let (generated_by, engine, key) = (run.version, run.engine, run.task);
    let task = &mut scheduler.tasks[key];
    let batch = &scheduler.batches[task.batch];
    let is_consecutive = task.text.last.is_none_or(|last| id == last + 1);
    let is_new_enough = match (generated_by, batch.min_version) {
        (Some(version), Some(min)) => version >= min,
        _ => true,
    };
    if !is_consecutive || !is_new_enough {
        // The engine may hold another version than it was registered with.
        if let (Some(model), Some(version), Some(engine)) = (
            &batch.model,
            generated_by,
            scheduler.pool.engines.get_mut(engine),
        ) {
            engine.registration.models.insert(model.clone(), version);
        }
        run_failed(scheduler, now, run_id, Failure::Broken);
        return false;
    }
    let max_bytes = scheduler.max_text_bytes.unwrap_or(usize::MAX);
    if task.text.data.len() + data.len() > max_bytes {
        // It is no text of this item: an engine that is sound sends no text that cannot be stored.
        task.discard_text();
        run_failed(scheduler, now, run_id, Failure::Broken);
        return false;
    }
    if task.text.last.is_none() {
        let engine = scheduler.pool.engines.get(engine);
        task.text.software = engine.map(|engine| engine.registration.software.clone());
    }
    task.text.push(id, data, generated_by);
    if let Some(engine) = scheduler.pool.engines.get_mut(engine) {
        engine.record_success();
        if !is_first {
            engine.record_interval(now, millis);
        }
    }
    true
}

/// Records that a run's response is complete.
pub(super) fn run_finished(scheduler: &mut Scheduler, now: Instant, run_id: u64) {
    let Some(run) = dispatch::remove_run(scheduler, run_id) else {
        return;
    };
    let is_batch_ended = scheduler.is_batch_ended(run.task);
    let task = &mut scheduler.tasks[run.task];
    if is_batch_ended {
        task.text.is_whole = task.text.last.is_some();
        scheduler.detached.remove(&task.carried);
        ending::remove_task(scheduler, now, run.task);
        return;
    }
    if task.text.last.is_none() {
        dispatch::requeue(scheduler, now, run.task);
        return;
    }
    let is_mixed = scheduler.batches[task.batch].is_single_version && task.text.versions.len() > 1;
    if is_mixed {
        task.discard_text();
        dispatch::requeue(scheduler, now, run.task);
    } else {
        task.text.is_whole = true;
        dispatch::complete(scheduler, now, run.task);
    }
}

/// Records that a run ended before its text was complete.
pub(super) fn run_failed(scheduler: &mut Scheduler, now: Instant, run_id: u64, failure: Failure) {
    let Some(run) = dispatch::remove_run(scheduler, run_id) else {
        return;
    };
    if let Some(engine) = scheduler.pool.engines.get_mut(run.engine)
        && matches!(failure, Failure::Broken | Failure::Refused)
    {
        engine.record_failure(now);
    }
    if scheduler.is_batch_ended(run.task) {
        let id = scheduler.tasks[run.task].carried.clone();
        scheduler.detached.remove(&id);
        ending::remove_task(scheduler, now, run.task);
        return;
    }
    let task = &mut scheduler.tasks[run.task];
    let max_attempts = scheduler.batches[task.batch].max_attempts;
    match failure {
        Failure::Impossible => return ending::abort_task(scheduler, now, run.task),
        Failure::Failed => {
            task.failures += 1;
            if task.failures >= max_attempts {
                return ending::abort_task(scheduler, now, run.task);
            }
        }
        Failure::Refused | Failure::Broken => {}
    }
    scheduler.retry_at.insert(run.task, now.after(RETRY_DELAY));
    dispatch::requeue(scheduler, now, run.task);
}
