//! Items that hold up a step: stuck at an engine, or at a slow one.
//!
//! An item goes on at another engine from its last event, which costs one reading of its text:
//! some milliseconds against the seconds that it would lose.

use tamaracksail_model::time::Instant;

use super::dispatch;
use super::scheduler::Scheduler;

/// Takes back items from engines that fell silent. The engine rests.
pub(super) fn move_stuck(scheduler: &mut Scheduler, now: Instant) {
    let stuck_runs: Vec<u64> = scheduler
        .runs
        .iter()
        .filter(|(_, run)| {
            let is_loading = scheduler
                .pool
                .engines
                .get(run.engine)
                .is_some_and(|engine| engine.loading.is_some());
            run.is_stuck(now) && !is_loading
        })
        .map(|(number, _)| *number)
        .collect();
    for number in stuck_runs {
        let engine = scheduler.runs[&number].engine;
        if let Some(engine) = scheduler.pool.engines.get_mut(engine) {
            engine.record_failure(now);
        }
        dispatch::preempt(scheduler, now, number, "the engine is silent");
    }
}

/// Moves items from slow engines to free ones. What waits was offered these before, and cannot use
/// them.
pub(super) fn move_slow(scheduler: &mut Scheduler, now: Instant) {
    let median_ms = scheduler.pool.median_interval_ms();
    let slow_runs: Vec<u64> = scheduler
        .runs
        .iter()
        .filter(|(_, run)| scheduler.pool.is_slow(run.engine, median_ms))
        .map(|(number, _)| *number)
        .collect();
    for number in slow_runs {
        let run = scheduler.runs[&number];
        if !scheduler.may_move(run.task) {
            continue;
        }
        let requirements = dispatch::requirements(scheduler, run.task);
        let target = scheduler
            .pool
            .choose(now, &requirements, median_ms, Some(run.engine));
        if let Some(engine) = target
            && !scheduler.pool.is_slow(engine, median_ms)
        {
            dispatch::preempt(scheduler, now, number, "the engine is slow");
            dispatch::start_now(scheduler, now, run.task, engine);
        }
    }
}
