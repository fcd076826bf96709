//! What it takes for an item to run: the one answer for all that place items, discard their text, plan
//! loads of weights and assign models to engines.
//!
//! An item may run at an engine of its service that has the versions of the weights and of the software
//! which its batch and its text allow. Each of these may be met by another engine and all by none, so
//! they are never asked one by one.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use tamaracksail_model::backend::State;
use tamaracksail_model::time::Instant;

use super::action::{Action, Requirement, Wait};
use super::dispatch;
use super::engine::{Engine, EngineKey};
use super::pool::{Pool, Requirements};
use super::scheduler::Scheduler;
use super::task::Task;

/// How long items wait before that is logged, and the time between two such log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The number of log lines about waiting items at a time.
const MAX_REPORTS: usize = 8;

/// How long items wait for a slot of engines that meet their requirements before further engines load
/// for them. Loads beyond a trainer's share of the engines cost extra.
const SLOT_PATIENCE: Duration = Duration::from_secs(1);

/// How long items have waited that go before a load of an engine with a free slot for them.
const LONG_WAIT: Duration = Duration::from_secs(2);

/// The number of events that take longer to generate than a load of weights: they are about 50 ms
/// apart.
pub(super) const LOAD_EVENTS: u64 = 24;

/// How long an item waits for an engine that can continue its text, or for a load that makes one, before it
/// starts over at another. Load commands may not be sent for up to three seconds after a takeover, and an
/// item may be at no engine for five.
const TEXT_PATIENCE: Duration = Duration::from_millis(3500);

/// How far an engine meets the requirements of an item, other than a free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fit {
    /// It meets them.
    Ready,
    /// It will once the load in progress is complete.
    Loading,
    /// It would if it loaded the announced version, and it is idle.
    Idle,
    /// It would if it loaded the announced version after its runs.
    Outdated,
    /// It does not, whatever it loads.
    None,
}

/// What has to happen before a waiting item runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Prospect {
    /// An engine that meets its requirements, or will after the load in progress, has to have a free slot.
    Slot,
    /// An engine has to be commanded to load the announced version.
    Load,
    /// Its text has to be discarded, since engines can run the item only from its start.
    Restart,
    /// Its service has to get other engines.
    Engine,
}

impl Prospect {
    /// Returns what is missing, for the log.
    fn name(self) -> &'static str {
        match self {
            Self::Slot => "a free slot",
            Self::Load => "a load of weights",
            Self::Restart => "a start without its text",
            Self::Engine => "another engine",
        }
    }
}

/// The waiting items with the same requirements.
#[derive(Debug)]
struct Class<'a> {
    requirements: Requirements<'a>,
    /// Whether their texts are worth a load.
    is_worth_load: bool,
    /// Their number.
    items: usize,
    /// Since when the first of them waits.
    since: Instant,
}

/// Returns the items that wait for an engine by their requirements, without their preferences.
fn classes(scheduler: &Scheduler, now: Instant) -> Vec<Class<'_>> {
    let mut classes: Vec<Class<'_>> = Vec::new();
    let mut last = 0;
    for (_, key) in &scheduler.queue {
        let task = &scheduler.tasks[*key];
        if scheduler.batches[task.batch].is_satisfied && !task.is_optional {
            continue;
        }
        let requirements = dispatch::least_requirements(scheduler, *key);
        let is_worth_load = is_worth_load(now, task);
        let is_same = |class: &Class<'_>| {
            class.requirements == requirements && class.is_worth_load == is_worth_load
        };
        // Most items have the requirements of the one before them.
        if !classes.get(last).is_some_and(is_same) {
            last = classes.iter().position(is_same).unwrap_or_else(|| {
                classes.push(Class {
                    requirements,
                    is_worth_load,
                    items: 0,
                    since: task.waiting_since,
                });
                classes.len() - 1
            });
        }
        classes[last].items += 1;
        classes[last].since = classes[last].since.min(task.waiting_since);
    }
    classes
}

/// Items that wait with the same requirements, as far as engines can meet these: without those of texts
/// that no engine can continue.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    requirement: Requirement,
    items: usize,
    since: Instant,
}

/// Returns the items that wait for an engine of their model.
pub(super) fn waiting(scheduler: &Scheduler, now: Instant) -> Vec<Waiting> {
    let announced = &scheduler.announced_versions;
    let mut found: Vec<Waiting> = Vec::new();
    for class in classes(scheduler, now) {
        let required = class.requirements;
        let pool = &scheduler.pool;
        let (_, keeps_text) = prospect(pool, &required, announced, class.is_worth_load);
        let requirement = if keeps_text {
            required.to_owned()
        } else {
            required.without_text().to_owned()
        };
        let same = found
            .iter_mut()
            .find(|other| other.requirement == requirement);
        if let Some(same) = same {
            same.items += class.items;
            same.since = same.since.min(class.since);
        } else {
            found.push(Waiting {
                requirement,
                items: class.items,
                since: class.since,
            });
        }
    }
    found
}

/// Whether an engine has a free slot for items that have waited for so long that they go before a load.
pub(super) fn is_awaited(engine: &Engine, now: Instant, waiting: &[Waiting]) -> bool {
    engine.free_slots() > 0
        && waiting.iter().any(|waiting| {
            now.since(waiting.since) >= LONG_WAIT
                && can_run(engine, &waiting.requirement.as_requirements())
        })
}

/// Items that no engine can take, and the engines that could if they loaded the announced version.
#[derive(Clone, Debug)]
pub(super) struct Need {
    pub(super) model: String,
    /// The announced version.
    pub(super) version: u64,
    /// The engines that may load it now, the best first.
    pub(super) candidates: Vec<EngineKey>,
    /// The number of items for which there are no slots.
    pub(super) items: usize,
    /// Whether no engine meets their requirements or will after the load in progress.
    pub(super) is_bare: bool,
    /// Whether no engine loads what they require.
    pub(super) is_first: bool,
}

/// Returns the need of items for a load, if there is one: at once if no engine meets their requirements,
/// and after [`SLOT_PATIENCE`] if those which do are full.
pub(super) fn need(scheduler: &Scheduler, now: Instant, waiting: &Waiting) -> Option<Need> {
    let required = waiting.requirement.as_requirements();
    let announced = &scheduler.announced_versions;
    let model = required.model?;
    let version = *announced.get(model)?;
    let (mut is_bare, mut is_first, mut room) = (true, true, 0);
    let mut candidates = Vec::new();
    for (key, engine) in &scheduler.pool.engines {
        match fit(engine, &required, announced) {
            Fit::Ready => {
                is_bare = false;
                let is_open = engine.accepts_work(now);
                room += if is_open { engine.free_slots() } else { 0 };
            }
            Fit::Loading => {
                (is_bare, is_first) = (false, false);
                room += engine.registration.slots;
            }
            Fit::Idle | Fit::Outdated if engine.accepts_work(now) => {
                let is_elsewhere = engine.assigned_model.as_deref() != Some(model);
                let gap = Reverse(version - engine.version(model).unwrap_or(version));
                let order = (engine.running, engine.failures, is_elsewhere, gap);
                candidates.push((order, key));
            }
            _ => {}
        }
    }
    let items = waiting.items.saturating_sub(room as usize);
    let is_due = is_bare || now.since(waiting.since) >= SLOT_PATIENCE;
    if items == 0 || !is_due || candidates.is_empty() {
        return None;
    }
    candidates.sort_unstable();
    Some(Need {
        model: model.to_owned(),
        version,
        candidates: candidates.into_iter().map(|(_, key)| key).collect(),
        items,
        is_bare,
        is_first,
    })
}

/// Has it logged which items wait, and for what, unless it was logged a short time ago.
pub(super) fn report(scheduler: &mut Scheduler, now: Instant) {
    if now.since(scheduler.waits_reported_at) < REPORT_INTERVAL || scheduler.queue.is_empty() {
        return;
    }
    scheduler.waits_reported_at = now;
    let announced = &scheduler.announced_versions;
    let pool = &scheduler.pool;
    let late = classes(scheduler, now)
        .into_iter()
        .filter(|class| now.since(class.since) >= REPORT_INTERVAL);
    let waits: Vec<Action> = late
        .take(MAX_REPORTS)
        .map(|class| {
            let required = class.requirements;
            let with_fit = |wanted: Fit| {
                let engines = pool.engines.values();
                engines.filter(move |engine| fit(engine, &required, announced) == wanted)
            };
            let ready = with_fit(Fit::Ready);
            Action::Wait(Wait {
                requirement: required.to_owned(),
                items: class.items,
                since: class.since,
                announced: required
                    .model
                    .and_then(|model| announced.get(model))
                    .copied(),
                engines: with_fit(Fit::Ready).count() + with_fit(Fit::Loading).count(),
                outdated: with_fit(Fit::Idle).count() + with_fit(Fit::Outdated).count(),
                free_slots: ready.map(Engine::free_slots).sum(),
                needs: prospect(pool, &required, announced, class.is_worth_load)
                    .0
                    .name(),
            })
        })
        .collect();
    scheduler.actions.extend(waits);
}

/// Whether an engine that loads nothing meets the requirements of an item.
pub(crate) fn can_run(engine: &Engine, requirements: &Requirements) -> bool {
    is_admissible(engine, requirements) && requirements.allow(version(engine, requirements))
}

/// Whether an engine can be commanded to load versions of a model, and so may run items of it.
pub(crate) fn holds(engine: &Engine, model: &str) -> bool {
    engine.version(model).is_some()
}

/// Returns how far an engine meets the requirements of an item. `announced` has the newest version of
/// each model, which is the only one that engines load.
pub(crate) fn fit(
    engine: &Engine,
    requirements: &Requirements,
    announced: &BTreeMap<String, u64>,
) -> Fit {
    if !is_admissible(engine, requirements) {
        return Fit::None;
    }
    let held = version(engine, requirements);
    let next = engine.loading.as_ref().map(|loading| {
        let is_of_model = Some(loading.model.as_str()) == requirements.model;
        if is_of_model {
            Some(loading.version)
        } else {
            held
        }
    });
    let newest = requirements.model.and_then(|model| announced.get(model));
    match next {
        None if requirements.allow(held) => Fit::Ready,
        Some(next) if requirements.allow(next) => Fit::Loading,
        _ if requirements.model.is_some_and(|model| holds(engine, model))
            && held < newest.copied()
            && requirements.allow(newest.copied()) =>
        {
            if engine.running == 0 && next.is_none() {
                Fit::Idle
            } else {
                Fit::Outdated
            }
        }
        _ => Fit::None,
    }
}

/// Whether an engine may run an item if it gets the version of the weights that the item requires.
fn is_admissible(engine: &Engine, requirements: &Requirements) -> bool {
    let registration = &engine.registration;
    registration.service == requirements.service
        && registration.state == State::Ready
        && requirements
            .software
            .is_none_or(|software| registration.software == software)
}

/// Returns the version that an engine holds of the model of an item.
fn version(engine: &Engine, requirements: &Requirements) -> Option<u64> {
    requirements.model.and_then(|model| engine.version(model))
}

/// Returns what has to happen before an item with these requirements runs, and whether its text is kept.
/// `is_worth_load` says that its text is worth more than the time for a load.
pub(crate) fn prospect(
    pool: &Pool,
    requirements: &Requirements,
    announced: &BTreeMap<String, u64>,
    is_worth_load: bool,
) -> (Prospect, bool) {
    let best = |requirements: &Requirements| best_fit(pool, requirements, announced);
    let continued = best(requirements);
    if continued <= Fit::Loading {
        return (Prospect::Slot, true);
    }
    let restarted = if requirements.depend_on_text() {
        best(&requirements.without_text())
    } else {
        Fit::None
    };
    match (continued, restarted) {
        (Fit::Idle, _) if is_worth_load => (Prospect::Load, true),
        (_, Fit::Ready | Fit::Loading) => (Prospect::Restart, false),
        (Fit::None, Fit::None) => (Prospect::Engine, true),
        (continued, restarted) => (Prospect::Load, continued <= restarted),
    }
}

/// Whether a waiting item keeps its text for longer, which engines can continue that are full.
pub(super) fn is_text_kept(now: Instant, task: &Task) -> bool {
    now.since(task.waiting_since) < TEXT_PATIENCE
}

/// Whether the text of a waiting item is worth more than the time for a load: it took longer to
/// generate, and the item does not wait for too long already.
pub(super) fn is_worth_load(now: Instant, task: &Task) -> bool {
    task.text.last >= Some(LOAD_EVENTS) && is_text_kept(now, task)
}

/// Returns the best fit among the engines. Stops at the first that is or will be ready.
fn best_fit(pool: &Pool, requirements: &Requirements, announced: &BTreeMap<String, u64>) -> Fit {
    let mut best = Fit::None;
    for engine in pool.engines.values() {
        best = best.min(fit(engine, requirements, announced));
        if best <= Fit::Loading {
            break;
        }
    }
    best
}
