//! Which engine loads which version of the weights, and when.
//!
//! An engine that loads runs no items, and a trainer that waits is costly too. A step also accepts
//! the version before the newest, so engines load while they are idle, or when their items can move
//! to others. While items that a trainer waits for are in the queue of a service, its engines of their
//! model load only if they are idle and no open step can use them. The model with the most waiting
//! items goes first, then the engine furthest behind, then the one with the fewest items.
//!
//! This keeps as many engines of each service at the newest version as the steps of a model use there.
//! Where it leaves items without an engine, [`load_for_waiting`] makes one.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use tamaracksail_model::backend::State;
use tamaracksail_model::time::Instant;

use super::action::Action;
use super::coverage::{self, Need, Waiting};
use super::engine::{Engine, EngineKey, Loading};
use super::scheduler::Scheduler;
use super::{affinity, dispatch, placement};

/// One in this many engines may load at a time, and at least two. More loads at once slow each
/// other down.
const ENGINES_PER_LOAD: usize = 5;

/// The number of engines to keep at the newest version beyond those whose slots hold one and a half
/// times a step's items: one may be lost and one may be slow.
const SPARE_ENGINES: usize = 2;

/// The number of engines to keep at the newest version of a model in a service that runs none of its
/// steps, so that a route which moves there finds one, or whose engines are assigned to other models.
const STANDBY_ENGINES: usize = 1;

/// The loads in progress, and how many there may be.
#[derive(Clone, Copy, Debug)]
struct Loads {
    count: usize,
    max: usize,
}

impl Loads {
    fn new(scheduler: &Scheduler) -> Self {
        let engines = scheduler.pool.engines.values();
        let engine_count = engines
            .clone()
            .filter(|engine| !engine.registration.models.is_empty());
        let loading = engines.filter(|engine| engine.loading.is_some());
        Self {
            count: loading.count(),
            max: (engine_count.count() / ENGINES_PER_LOAD).max(2),
        }
    }

    fn is_full(self) -> bool {
        self.count >= self.max
    }
}

/// Commands engines to load the announced versions of the models that they follow, and others where
/// items wait that no engine can take.
pub(super) fn plan_loads(scheduler: &mut Scheduler, now: Instant) {
    let mut loads = Loads::new(scheduler);
    let waiting = coverage::waiting(scheduler, now);
    follow_versions(scheduler, now, &waiting, &mut loads);
    load_for_waiting(scheduler, now, &waiting, &mut loads);
}

/// Commands engines that hold an older version of a model that they follow than the announced one to
/// load it.
fn follow_versions(
    scheduler: &mut Scheduler,
    now: Instant,
    waiting: &[Waiting],
    loads: &mut Loads,
) {
    let mut servings = servings(scheduler, now);
    if servings.iter().all(|serving| serving.outdated.is_empty()) {
        return;
    }
    count_waiting(scheduler, &mut servings);
    let oldest_allowed = oldest_allowed(scheduler);
    while !loads.is_full() {
        let Some((index, outdated)) = take_next(&mut servings) else {
            return;
        };
        let key = outdated.key;
        let serving = &servings[index];
        let engine = &scheduler.pool.engines[key];
        // It may load another model that it follows.
        if engine.loading.is_some() || coverage::is_awaited(engine, now, waiting) {
            continue;
        }
        if serving.up_to_date >= engines_needed(scheduler, serving, key) {
            continue;
        }
        let min = oldest_allowed.get(&serving.model);
        let is_useless = min.is_some_and(|min| outdated.loaded < *min);
        let is_idle = scheduler.pool.engines[key].running == 0;
        let is_awaited = serving.is_awaited;
        if !is_idle && (is_awaited || !move_runs_away(scheduler, now, key)) {
            continue;
        }
        if !is_useless && is_awaited {
            continue;
        }
        let serving = &mut servings[index];
        serving.up_to_date += 1;
        let slots = scheduler.pool.engines[key].registration.slots;
        serving.waiting = serving.waiting.saturating_sub(slots as usize);
        command(scheduler, key, &serving.model, serving.version, loads);
    }
}

/// Commands engines to load where items wait that no engine can take, also engines that follow another
/// model and those beyond the number that a step needs. The first engine for the items may load
/// beside any number of others. Long runs of an engine that loads continue afterwards.
fn load_for_waiting(
    scheduler: &mut Scheduler,
    now: Instant,
    waiting: &[Waiting],
    loads: &mut Loads,
) {
    for items in waiting {
        let Some(need) = coverage::need(scheduler, now, items) else {
            continue;
        };
        let Need {
            model,
            version,
            candidates,
            mut items,
            is_bare,
            mut is_first,
        } = need;
        for key in candidates {
            if items == 0 || (loads.is_full() && !is_first) {
                break;
            }
            let engine = &scheduler.pool.engines[key];
            let slots = engine.registration.slots;
            let is_only = is_bare && is_first;
            if !is_only && coverage::is_awaited(engine, now, waiting) {
                continue;
            }
            let may_interrupt = is_only || engine.running * 2 < slots;
            if engine.running > 0 && !move_runs_away(scheduler, now, key) {
                if !may_interrupt {
                    continue;
                }
                interrupt_runs(scheduler, now, key, (&model, version));
            }
            is_first = false;
            items = items.saturating_sub(slots as usize);
            command(scheduler, key, &model, version, loads);
        }
    }
}

/// Commands an engine to load a version.
fn command(
    scheduler: &mut Scheduler,
    key: EngineKey,
    model: &str,
    version: u64,
    loads: &mut Loads,
) {
    loads.count += 1;
    scheduler.pool.engines[key].loading = Some(Loading {
        model: model.to_owned(),
        version,
    });
    scheduler.actions.push(Action::LoadWeights {
        engine: key,
        model: model.to_owned(),
        version,
    });
}

/// A model at the engines of one service.
#[derive(Clone, Debug)]
struct Serving {
    service: String,
    model: String,
    /// The announced version.
    version: u64,
    /// The engines that follow the model, hold an older version and accept work. In the reverse of the
    /// order in which they load.
    outdated: Vec<Outdated>,
    /// The number of engines that follow the model and hold or load the announced version.
    up_to_date: usize,
    /// The number of items in the queue that are not optional.
    waiting: usize,
    /// Whether a trainer waits for any of these.
    is_awaited: bool,
    /// Whether any engine of the service that does not leave is assigned to the model.
    has_assigned: bool,
}

impl Serving {
    fn new(service: &str, model: &str, version: u64) -> Self {
        Self {
            service: service.to_owned(),
            model: model.to_owned(),
            version,
            outdated: Vec::new(),
            up_to_date: 0,
            waiting: 0,
            is_awaited: false,
            has_assigned: false,
        }
    }
}

/// An engine that holds an older version than the announced one.
#[derive(Clone, Copy, Debug)]
struct Outdated {
    key: EngineKey,
    /// The number of versions that it is behind.
    gap: u64,
    /// The version that the engine holds.
    loaded: u64,
    running: u32,
}

impl Outdated {
    /// The order in which the engines of a model load: the one furthest behind first, then the one with
    /// the fewest runs.
    fn rank(&self) -> (Reverse<u64>, u32, EngineKey) {
        (Reverse(self.gap), self.running, self.key)
    }
}

/// Returns the models that have an announced version, by the services whose engines follow them: those
/// assigned to the model, or all that hold it if none is.
fn servings(scheduler: &Scheduler, now: Instant) -> Vec<Serving> {
    let mut servings: Vec<Serving> = Vec::new();
    let engines = &scheduler.pool.engines;
    for engine in engines.values() {
        let service = &engine.registration.service;
        for model in engine.registration.models.keys() {
            let Some(version) = scheduler.announced_versions.get(model) else {
                continue;
            };
            let index = position(&servings, service, model).unwrap_or_else(|| {
                servings.push(Serving::new(service, model, *version));
                servings.len() - 1
            });
            servings[index].has_assigned |=
                engine.registration.state == State::Ready && affinity::is_assigned(engine, model);
        }
    }
    for (key, engine) in engines {
        for (model, loaded) in &engine.registration.models {
            let found = position(&servings, &engine.registration.service, model);
            let Some(serving) = found.map(|index| &mut servings[index]) else {
                continue;
            };
            if serving.has_assigned && !affinity::is_assigned(engine, model) {
                continue;
            }
            let loading = engine.loading.as_ref();
            if *loaded >= serving.version || loading.is_some_and(|found| &found.model == model) {
                serving.up_to_date += 1;
            } else if engine.accepts_work(now) {
                serving.outdated.push(Outdated {
                    key,
                    gap: serving.version - loaded,
                    loaded: *loaded,
                    running: engine.running,
                });
            }
        }
    }
    for serving in &mut servings {
        let by_rank = |outdated: &Outdated| Reverse(outdated.rank());
        serving.outdated.sort_unstable_by_key(by_rank);
    }
    servings
}

/// Returns the index of a model at a service.
fn position(servings: &[Serving], service: &str, model: &str) -> Option<usize> {
    let is_wanted = |serving: &Serving| serving.service == service && serving.model == model;
    servings.iter().position(is_wanted)
}

/// Counts the items in the queue that are not optional.
fn count_waiting(scheduler: &Scheduler, servings: &mut [Serving]) {
    for (_, key) in &scheduler.queue {
        let task = &scheduler.tasks[*key];
        let batch = &scheduler.batches[task.batch];
        let model = batch.model.as_deref().filter(|_| !task.is_optional);
        if let Some(index) = model.and_then(|model| position(servings, &task.service, model)) {
            servings[index].waiting += 1;
            servings[index].is_awaited |= !batch.is_satisfied;
        }
    }
}

/// Takes the engine to consider next: of the model with the most waiting items at its service, the one
/// furthest behind, and of these the one with the fewest runs.
fn take_next(servings: &mut [Serving]) -> Option<(usize, Outdated)> {
    let next = servings.iter().enumerate().filter_map(|(index, serving)| {
        let rank = serving.outdated.last()?.rank();
        Some((Reverse(serving.waiting), rank, index))
    });
    let (_, _, index) = next.min()?;
    Some((index, servings[index].outdated.pop()?))
}

/// Returns how many engines like `key` the steps of a model can use at a service: no limit before the
/// first step of the model.
fn engines_needed(scheduler: &Scheduler, serving: &Serving, key: EngineKey) -> usize {
    if !serving.has_assigned {
        return STANDBY_ENGINES;
    }
    let Some(steps) = scheduler.largest_steps.get(&serving.model) else {
        return usize::MAX;
    };
    let Some(items) = steps.get(&serving.service) else {
        return STANDBY_ENGINES;
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

/// Stops the runs of an engine that would delay its load, and can continue there after it.
fn interrupt_runs(
    scheduler: &mut Scheduler,
    now: Instant,
    key: EngineKey,
    (model, version): (&str, u64),
) {
    let runs = scheduler.runs.iter().filter(|(_, run)| run.engine == key);
    let long: Vec<u64> = runs
        .filter(|(_, run)| {
            let required = dispatch::requirements(scheduler, run.task);
            let can_continue = required.model != Some(model) || required.allow(Some(version));
            let events = placement::remaining_events(&scheduler.tasks[run.task]);
            can_continue && events > coverage::LOAD_EVENTS && scheduler.may_move(run.task)
        })
        .map(|(number, _)| *number)
        .collect();
    for number in long {
        dispatch::preempt(scheduler, now, number, "the engine loads weights");
    }
}

/// Whether other engines have slots for `count` items of an engine. Stops at the first that suffice.
fn has_room_elsewhere(scheduler: &Scheduler, now: Instant, key: EngineKey, count: usize) -> bool {
    let engine = &scheduler.pool.engines[key];
    let mut free = 0;
    let mut others = scheduler.pool.engines.iter();
    count == 0
        || others.any(|(other, candidate)| {
            let is_usable = other != key
                && candidate.registration.service == engine.registration.service
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
