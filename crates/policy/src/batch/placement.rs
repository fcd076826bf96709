//! Which engines an item prefers, given their pace.
//!
//! This concerns only engines that state a pace. Items that decide when a step is complete prefer
//! engines that are permanently fast, and optional ones leave these engines to them. An engine that
//! is slow only at the moment keeps its items, since the phase is over before a move pays.

use std::time::Duration;

use tamaracksail_model::pace::Reading;
use tamaracksail_model::time::Instant;

use super::dispatch;
use super::engine::{Engine, EngineKey};
use super::pool::Pool;
use super::scheduler::Scheduler;
use super::task::{Task, TaskKey};

/// An item counts as long if it has at least this share of the events of the longest item that the
/// trainer waits for.
const LONG_SHARE: f64 = 0.5;

/// Differences of pace below this are ignored, so that noise does not decide.
const PACE_STEP: f64 = 0.1;

/// The time between two events of an engine of which none is known.
const DEFAULT_INTERVAL_MS: f64 = 40.0;

/// The least time that an item gains by a move to a faster engine. The new engine processes the text
/// so far first, and lasting paces that are estimated from few events differ by chance.
const MIN_MOVE_GAIN: Duration = Duration::from_millis(500);

/// What an item prefers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Preference {
    /// Fast engines: the step waits for the item.
    Fast {
        /// The number of events that the item is expected to have yet.
        events: u64,
    },
    /// The least loaded engines.
    #[default]
    Any,
    /// Slow engines: nothing waits for the item.
    Slow,
}

/// Returns what an item prefers. `longest` is the number of events of the longest item that the
/// trainer waits for.
pub(super) fn preference(task: &Task, longest: u64) -> Preference {
    if task.is_optional {
        return Preference::Slow;
    }
    let events = remaining_events(task);
    if to_f64(events) >= LONG_SHARE * to_f64(longest) {
        Preference::Fast { events }
    } else {
        Preference::Any
    }
}

/// Returns how many events an item is expected to have yet.
pub(super) fn remaining_events(task: &Task) -> u64 {
    let expected = task.item.hint.unwrap_or(task.item.tokens);
    expected.saturating_sub(task.text.last.unwrap_or(0))
}

/// Records the pace that an engine stated in the response of a run.
pub(super) fn record_pace(scheduler: &mut Scheduler, now: Instant, run: u64, reading: Reading) {
    let run = scheduler.runs.get(&run);
    if let Some(engine) = run.and_then(|run| scheduler.pool.engines.get_mut(run.engine)) {
        engine.pace.record(now, reading);
    }
}

/// Returns the order of an engine among those that are equal otherwise: first the part that counts
/// before the share of used slots, then the part that counts after it. Both are zero for an engine
/// that states no pace.
pub(super) fn order(
    now: Instant,
    engine: &Engine,
    preference: Preference,
    lasting_median_ms: Option<f64>,
) -> (i64, i64) {
    if !engine.pace.is_known() {
        return (0, 0);
    }
    let lasting = engine.lasting_factor(lasting_median_ms);
    match preference {
        Preference::Fast { events } => {
            let millis = to_f64(events) * lasting_median_ms.unwrap_or(DEFAULT_INTERVAL_MS);
            let momentary = engine
                .pace
                .over(now, Duration::from_secs_f64(millis / 1000.0));
            (steps(lasting + momentary - engine.pace.lasting()), 0)
        }
        Preference::Any => (0, steps(lasting)),
        Preference::Slow => (-steps(lasting), 0),
    }
}

/// Moves items that the trainer waits for to engines that are permanently faster, the longest first,
/// as far as these have free slots, and each item once: estimates of engines that are about as fast
/// change places, and each move costs a connection and reads the text again. Runs after waiting items
/// were started.
pub(super) fn move_to_faster(scheduler: &mut Scheduler, now: Instant) {
    let median_ms = scheduler.pool.median_interval_ms();
    let lasting_median_ms = scheduler.pool.lasting_median_ms();
    let Some(interval_ms) = lasting_median_ms else {
        return;
    };
    let gain = |events: u64, from: f64, to: f64| {
        Duration::from_secs_f64((to_f64(events) * interval_ms * (from - to)).max(0.0) / 1000.0)
    };
    let fastest = fastest_free(&scheduler.pool, now, interval_ms);
    let mut runs: Vec<(u64, u64)> = scheduler
        .runs
        .iter()
        .filter(|(_, run)| {
            let task = &scheduler.tasks[run.task];
            !task.is_optional && !task.has_moved_to_faster && scheduler.may_move(run.task)
        })
        .filter_map(|(number, run)| {
            let engine = scheduler.pool.engines.get(run.engine)?;
            let events = remaining_events(&scheduler.tasks[run.task]);
            let factor = engine.lasting_factor(lasting_median_ms);
            let pays = engine.pace.is_known() && gain(events, factor, fastest?) >= MIN_MOVE_GAIN;
            pays.then_some((events, *number))
        })
        .collect();
    runs.sort_unstable_by(|a, b| b.cmp(a));
    for (events, number) in runs {
        let run = scheduler.runs[&number];
        if is_satisfied(scheduler, run.task) {
            continue;
        }
        let mut requirements = dispatch::requirements(scheduler, run.task);
        requirements.preference = Preference::Fast { events };
        let pool = &scheduler.pool;
        let Some(target) = pool.choose(now, &requirements, median_ms, Some(run.engine)) else {
            continue;
        };
        let factor = |key: EngineKey| pool.engines[key].lasting_factor(lasting_median_ms);
        if pool.engines[target].pace.is_known()
            && gain(events, factor(run.engine), factor(target)) >= MIN_MOVE_GAIN
        {
            scheduler.tasks[run.task].has_moved_to_faster = true;
            dispatch::preempt(scheduler, now, number, "another engine is faster");
            dispatch::start_now(scheduler, now, run.task, target);
        }
    }
}

/// Returns the lasting factor of the fastest engine with a free slot that states its pace.
fn fastest_free(pool: &Pool, now: Instant, median_ms: f64) -> Option<f64> {
    pool.engines
        .values()
        .filter(|engine| {
            engine.pace.is_known() && engine.free_slots() > 0 && engine.accepts_work(now)
        })
        .map(|engine| engine.lasting_factor(Some(median_ms)))
        .min_by(f64::total_cmp)
}

/// Whether the trainer has all that it waits for.
fn is_satisfied(scheduler: &Scheduler, key: TaskKey) -> bool {
    scheduler.batches[scheduler.tasks[key].batch].is_satisfied
}

/// Returns a factor in steps of [`PACE_STEP`].
fn steps(factor: f64) -> i64 {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a pace is between 0.1 and 100"
    )]
    let steps = (factor / PACE_STEP).round() as i64;
    steps
}

/// Returns a number of events for calculations.
fn to_f64(events: u64) -> f64 {
    f64::from(u32::try_from(events).unwrap_or(u32::MAX))
}
