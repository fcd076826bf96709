//! Items that delay a step because their engine is stuck or slow.
//!
//! Such an item continues on another engine from its last event. The new engine has to process the
//! text so far once, which takes milliseconds and saves seconds.

use tamaracksail_model::time::Instant;

use super::dispatch;
use super::scheduler::Scheduler;

/// Requeues the items of engines that stopped sending events. Each counts as a failure of its
/// engine.
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
        .map(|(run_id, _)| *run_id)
        .collect();
    for run_id in stuck_runs {
        let engine = scheduler.runs[&run_id].engine;
        if let Some(engine) = scheduler.pool.engines.get_mut(engine) {
            engine.record_failure(now);
        }
        dispatch::preempt(scheduler, now, run_id, "the engine is silent");
    }
}

/// Moves items from slow engines to engines with free slots. Waiting items come first: this pass
/// runs after [`dispatch::dispatch`], so the free slots are of no use to them.
pub(super) fn move_slow(scheduler: &mut Scheduler, now: Instant) {
    let median_ms = scheduler.pool.median_interval_ms();
    scheduler.pool.record_slowness(now, median_ms);
    let slow_runs: Vec<u64> = scheduler
        .runs
        .iter()
        .filter(|(_, run)| scheduler.pool.is_slow(run.engine, median_ms))
        .map(|(run_id, _)| *run_id)
        .collect();
    for run_id in slow_runs {
        let run = scheduler.runs[&run_id];
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
            dispatch::preempt(scheduler, now, run_id, "the engine is slow");
            dispatch::start_now(scheduler, now, run.task, engine);
        }
    }
}
