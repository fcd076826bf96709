//! Which engine loads which version when.
//!
//! Engines out of use and trainers that wait are both dear. A step allows the version before the
//! newest, so an engine loads where it is idle: first those that no open step can use, then, when
//! nothing waits for an engine, one whose items can go on elsewhere. The model for which most items wait goes first, then the engine furthest behind, then
//! the one with the fewest items.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use tamaracksail_model::time::Instant;

use super::action::Action;
use super::dispatch;
use super::engine::{Engine, EngineKey, Loading};
use super::scheduler::Scheduler;

/// One in this many engines loads at a time. More at once slow each other down.
const LOADING_SHARE: usize = 5;

/// Engines kept at the newest version beyond those that a step's items fill one and a half times:
/// room for one that is lost and one that is slow.
const SPARE: usize = 2;

/// Orders loads for engines that are behind the version named.
pub(super) fn load(scheduler: &mut Scheduler, now: Instant) {
    let engines = &scheduler.pool.engines;
    let engine_count = engines
        .values()
        .filter(|s| !s.registration.models.is_empty())
        .count();
    let most = (engine_count / LOADING_SHARE).max(2);
    let mut loading = engines.values().filter(|s| s.loading.is_some()).count();
    let mut behind = behind(scheduler, now);
    let needed = needed(scheduler);
    let mut fresh = fresh(scheduler);
    let mut waiting = waiting(scheduler);
    while loading < most {
        let Some(next) = next(&behind, &waiting) else {
            return;
        };
        let Behind {
            key,
            model,
            version,
            held,
            ..
        } = behind.swap_remove(next);
        let count = fresh.entry(model.clone()).or_default();
        if *count >= enough(scheduler, &model, key) {
            continue;
        }
        let is_useless = needed.get(&model).is_some_and(|min| held < *min);
        let is_empty = scheduler.pool.engines[key].running == 0;
        let is_waited_for = scheduler.is_waited_for(&model);
        if !is_empty && (is_waited_for || !clear(scheduler, now, key)) {
            continue;
        }
        if !is_useless && is_waited_for {
            continue;
        }
        loading += 1;
        *fresh.entry(model.clone()).or_default() += 1;
        let engine = &mut scheduler.pool.engines[key];
        engine.loading = Some(Loading {
            model: model.clone(),
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

/// An engine that holds an older version than the one named.
#[derive(Clone, Debug)]
struct Behind {
    key: EngineKey,
    model: String,
    version: u64,
    held: u64,
    running: u32,
}

/// The engines that are behind, of those that may load now.
fn behind(scheduler: &Scheduler, now: Instant) -> Vec<Behind> {
    let mut behind = Vec::new();
    for (model, version) in &scheduler.announced {
        for (key, engine) in &scheduler.pool.engines {
            let is_assigned = engine.assigned_model.as_ref() == Some(model);
            let held = engine.version(model).filter(|held| held < version);
            if let Some(held) = held.filter(|_| is_assigned && engine.is_open(now)) {
                behind.push(Behind {
                    key,
                    model: model.clone(),
                    version: *version,
                    held,
                    running: engine.running,
                });
            }
        }
    }
    behind
}

/// The place of the engine to look at next: of the model for which most items wait, the one that is
/// furthest behind, and of these the emptiest.
fn next(behind: &[Behind], waiting: &BTreeMap<String, usize>) -> Option<usize> {
    let key = |behind: &Behind| {
        let items = waiting.get(&behind.model).copied().unwrap_or(0);
        let lag = behind.version - behind.held;
        (Reverse(items), Reverse(lag), behind.running, behind.key)
    };
    (0..behind.len()).min_by_key(|place| key(&behind[*place]))
}

/// How many items that a trainer waits for wait for an engine, by model.
fn waiting(scheduler: &Scheduler) -> BTreeMap<String, usize> {
    let mut waiting = BTreeMap::new();
    for (_, key) in &scheduler.queue {
        let task = &scheduler.tasks[*key];
        let batch = &scheduler.batches[task.batch];
        if let Some(model) = batch.model.as_ref().filter(|_| !task.is_spare) {
            *waiting.entry(model.clone()).or_default() += 1;
        }
    }
    waiting
}

/// How many engines of each model hold the version named, or load it.
fn fresh(scheduler: &Scheduler) -> BTreeMap<String, usize> {
    let mut fresh = BTreeMap::new();
    for engine in scheduler.pool.engines.values() {
        let Some(model) = &engine.assigned_model else {
            continue;
        };
        let announced = scheduler.announced.get(model).copied();
        let is_loading = engine.loading.as_ref().is_some_and(|l| &l.model == model);
        if is_loading || (announced.is_some() && engine.version(model) >= announced) {
            *fresh.entry(model.clone()).or_default() += 1;
        }
    }
    fresh
}

/// How many engines like `key` a model's steps can use. All, as long as no step was seen.
fn enough(scheduler: &Scheduler, model: &str, key: EngineKey) -> usize {
    let Some(items) = scheduler.step_items.get(model) else {
        return usize::MAX;
    };
    let slots = scheduler.pool.engines[key].registration.slots.max(1) as usize;
    (items * 3 / 2).div_ceil(slots) + SPARE
}

/// The oldest version that the newest open step of each model allows.
fn needed(scheduler: &Scheduler) -> BTreeMap<String, u64> {
    let mut needed = BTreeMap::new();
    for batch in scheduler.batches.values() {
        if let (Some(model), Some(min)) = (&batch.model, batch.min_version) {
            let newest = needed.entry(model.clone()).or_insert(min);
            *newest = min.max(*newest);
        }
    }
    needed
}

/// Moves all items of an engine to others, if these have room. False if they have not.
fn clear(scheduler: &mut Scheduler, now: Instant, key: EngineKey) -> bool {
    let runs: Vec<u64> = scheduler
        .runs
        .iter()
        .filter(|(_, run)| run.engine == key)
        .map(|(number, _)| *number)
        .collect();
    let elsewhere: usize = scheduler
        .pool
        .engines
        .iter()
        .filter(|(other, engine)| {
            *other != key && engine.is_open(now) && engine.assigned_model.is_some()
        })
        .filter(|(_, engine)| is_as_new(engine, &scheduler.pool.engines[key]))
        .map(|(_, engine)| engine.free() as usize)
        .sum();
    let is_movable = runs
        .iter()
        .all(|run| scheduler.may_move(scheduler.runs[run].task));
    if elsewhere < runs.len() || !is_movable {
        return false;
    }
    let median = scheduler.pool.median_pace();
    for number in runs {
        let task = scheduler.runs[&number].task;
        let need = dispatch::need(scheduler, task);
        let Some(engine) = scheduler.pool.choose(now, &need, median, Some(key)) else {
            return false;
        };
        dispatch::take_back(scheduler, now, number, "the engine loads weights");
        dispatch::restart(scheduler, now, task, engine);
    }
    true
}

/// Whether an engine holds versions at least as new as another's.
fn is_as_new(engine: &Engine, other: &Engine) -> bool {
    let model = other.assigned_model.as_deref().unwrap_or_default();
    engine.version(model) >= other.version(model)
}
