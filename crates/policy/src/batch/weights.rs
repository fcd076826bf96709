//! Which engine loads which version of the weights, and when.
//!
//! An engine that loads runs no items, and a trainer that waits is costly too. A step also accepts
//! the version before the newest, so engines load while they are idle, or when their items can move
//! to others. While items of a model that a trainer waits for are in the queue, an engine of the
//! model loads only if it is idle and no open step can use it. The model with the most waiting
//! items goes first, then the engine furthest behind, then the one with the fewest items.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use tamaracksail_model::time::Instant;

use super::action::Action;
use super::dispatch;
use super::engine::{Engine, EngineKey, Loading};
use super::scheduler::Scheduler;

/// One in this many engines may load at a time, and at least two. More loads at once slow each
/// other down.
const ENGINES_PER_LOAD: usize = 5;

/// The number of engines to keep at the newest version beyond those whose slots hold one and a half
/// times a step's items: one may be lost and one may be slow.
const SPARE_ENGINES: usize = 2;

/// Commands engines that hold an older version than the announced one to load it.
pub(super) fn plan_loads(scheduler: &mut Scheduler, now: Instant) {
    let engines = &scheduler.pool.engines;
    let engine_count = engines
        .values()
        .filter(|engine| !engine.registration.models.is_empty())
        .count();
    let max_loads = (engine_count / ENGINES_PER_LOAD).max(2);
    let mut load_count = engines
        .values()
        .filter(|engine| engine.loading.is_some())
        .count();
    let mut outdated = outdated(scheduler, now);
    if outdated.is_empty() {
        return;
    }
    let oldest_allowed = oldest_allowed(scheduler);
    let mut up_to_date = up_to_date(scheduler);
    let mut waiting = waiting(scheduler);
    let awaited: BTreeSet<String> = outdated
        .keys()
        .filter(|model| scheduler.has_waiting_items(model))
        .cloned()
        .collect();
    while load_count < max_loads {
        let Some(Outdated {
            key,
            model,
            version,
            loaded,
            ..
        }) = take_next(&mut outdated, &waiting)
        else {
            return;
        };
        let count = up_to_date.get(&model).copied().unwrap_or(0);
        if count >= engines_needed(scheduler, &model, key) {
            continue;
        }
        let is_useless = oldest_allowed.get(&model).is_some_and(|min| loaded < *min);
        let is_idle = scheduler.pool.engines[key].running == 0;
        let has_waiting_items = awaited.contains(&model);
        if !is_idle && (has_waiting_items || !move_runs_away(scheduler, now, key)) {
            continue;
        }
        if !is_useless && has_waiting_items {
            continue;
        }
        load_count += 1;
        *up_to_date.entry(model.clone()).or_default() += 1;
        let engine = &mut scheduler.pool.engines[key];
        engine.loading = Some(Loading {
            model: model.clone(),
            version,
        });
        if let Some(items) = waiting.get_mut(&model) {
            *items = items.saturating_sub(engine.registration.slots as usize);
        }
        scheduler.actions.push(Action::LoadWeights {
            engine: key,
            model,
            version,
        });
    }
}

/// An engine that holds an older version than the announced one.
#[derive(Clone, Debug)]
struct Outdated {
    key: EngineKey,
    model: String,
    /// The announced version.
    version: u64,
    /// The version that the engine holds.
    loaded: u64,
    running: u32,
}

impl Outdated {
    /// The order in which the engines of a model load: the one furthest behind first, then the one with
    /// the fewest runs.
    fn rank(&self) -> (Reverse<u64>, u32, EngineKey) {
        (Reverse(self.version - self.loaded), self.running, self.key)
    }
}

/// Returns the engines with an outdated version of their assigned model that accept work, by model. In
/// the reverse of the order in which they load: the one furthest behind is the last, and of these the
/// one with the fewest runs.
fn outdated(scheduler: &Scheduler, now: Instant) -> BTreeMap<String, Vec<Outdated>> {
    let mut outdated: BTreeMap<String, Vec<Outdated>> = BTreeMap::new();
    for (model, version) in &scheduler.announced_versions {
        for (key, engine) in &scheduler.pool.engines {
            let is_assigned = engine.assigned_model.as_ref() == Some(model);
            let loaded = engine.version(model).filter(|loaded| loaded < version);
            if let Some(loaded) = loaded.filter(|_| is_assigned && engine.accepts_work(now)) {
                let of_model = outdated.entry(model.clone()).or_default();
                of_model.push(Outdated {
                    key,
                    model: model.clone(),
                    version: *version,
                    loaded,
                    running: engine.running,
                });
            }
        }
    }
    for engines in outdated.values_mut() {
        engines.sort_unstable_by_key(|outdated| Reverse(outdated.rank()));
    }
    outdated
}

/// Takes the engine to consider next: of the model with the most waiting items, the one furthest
/// behind, and of these the one with the fewest runs.
fn take_next(
    outdated: &mut BTreeMap<String, Vec<Outdated>>,
    waiting: &BTreeMap<String, usize>,
) -> Option<Outdated> {
    let first = outdated
        .iter()
        .filter_map(|(model, engines)| {
            let items = waiting.get(model).copied().unwrap_or(0);
            Some((Reverse(items), engines.last()?.rank(), model))
        })
        .min();
    let model = first.map(|(_, _, model)| model.clone())?;
    outdated.get_mut(&model)?.pop()
}

/// Returns the number of items in the queue that a trainer waits for, by model.
fn waiting(scheduler: &Scheduler) -> BTreeMap<String, usize> {
    let mut waiting = BTreeMap::new();
    for (_, key) in &scheduler.queue {
        let task = &scheduler.tasks[*key];
        let batch = &scheduler.batches[task.batch];
        if let Some(model) = batch.model.as_ref().filter(|_| !task.is_optional) {
            *waiting.entry(model.clone()).or_default() += 1;
        }
    }
    waiting
}

/// Returns the number of engines that hold or load the announced version, by model.
fn up_to_date(scheduler: &Scheduler) -> BTreeMap<String, usize> {
    let mut up_to_date = BTreeMap::new();
    for engine in scheduler.pool.engines.values() {
        let Some(model) = &engine.assigned_model else {
            continue;
        };
        let announced = scheduler.announced_versions.get(model).copied();
        let is_loading = engine
            .loading
            .as_ref()
            .is_some_and(|loading| &loading.model == model);
        if !is_loading && (announced.is_none() || engine.version(model) < announced) {
            continue;
        }
        match up_to_date.get_mut(model) {
            Some(count) => *count += 1,
            None => drop(up_to_date.insert(model.clone(), 1)),
        }
    }
    up_to_date
}

/// Returns how many engines like `key` the steps of a model can use: no limit before the first
/// step.
fn engines_needed(scheduler: &Scheduler, model: &str, key: EngineKey) -> usize {
    let Some(items) = scheduler.largest_steps.get(model) else {
        return usize::MAX;
    };
    let slots = scheduler.pool.engines[key].registration.slots.max(1) as usize;
    (items * 3 / 2).div_ceil(slots) + SPARE_ENGINES
}

/// Returns the oldest version that the newest open step of each model accepts.
fn oldest_allowed(scheduler: &Scheduler) -> BTreeMap<String, u64> {
    let mut oldest_allowed = BTreeMap::new();
    for batch in scheduler.batches.values() {
        if let (Some(model), Some(min)) = (&batch.model, batch.min_version) {
            let newest = oldest_allowed.entry(model.clone()).or_insert(min);
            *newest = min.max(*newest);
        }
    }
    oldest_allowed
}

/// Moves all items of an engine to others. Returns false if these cannot run them all.
fn move_runs_away(scheduler: &mut Scheduler, now: Instant, key: EngineKey) -> bool {
    let runs: Vec<u64> = scheduler
        .runs
        .iter()
        .filter(|(_, run)| run.engine == key)
        .map(|(run_id, _)| *run_id)
        .collect();
    let is_movable = runs
        .iter()
        .all(|run| scheduler.may_move(scheduler.runs[run].task));
    if !is_movable || !has_room_elsewhere(scheduler, now, key, runs.len()) {
        return false;
    }
    let median_ms = scheduler.pool.median_interval_ms();
    for run_id in runs {
        let task = scheduler.runs[&run_id].task;
        let requirements = dispatch::requirements(scheduler, task);
        let Some(engine) = scheduler
            .pool
            .choose(now, &requirements, median_ms, Some(key))
        else {
            return false;
        };
        dispatch::preempt(scheduler, now, run_id, "the engine loads weights");
        dispatch::start_now(scheduler, now, task, engine);
    }
    true
}

/// Whether other engines have slots for `count` items of an engine. Stops at the first that suffice.
fn has_room_elsewhere(scheduler: &Scheduler, now: Instant, key: EngineKey, count: usize) -> bool {
    let engine = &scheduler.pool.engines[key];
    let mut free = 0;
    let mut others = scheduler.pool.engines.iter();
    count == 0
        || others.any(|(other, candidate)| {
            let is_usable = other != key
                && candidate.free_slots() > 0
                && candidate.accepts_work(now)
                && candidate.assigned_model.is_some()
                && can_continue(candidate, engine);
            if is_usable {
                free += candidate.free_slots() as usize;
            }
            free >= count
        })
}

/// Whether an engine can continue the items of another: its software has the same version, and the
/// weights of the other's assigned model are at least as new.
fn can_continue(engine: &Engine, other: &Engine) -> bool {
    if engine.registration.software != other.registration.software {
        return false;
    }
    let model = other.assigned_model.as_deref().unwrap_or_default();
    engine.version(model) >= other.version(model)
}
