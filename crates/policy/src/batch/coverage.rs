//! What it takes for an item to run: the one answer for all that place items, discard their text, plan
//! loads of weights and assign models to engines.
//!
//! An item may run at an engine of its service that has the versions of the weights and of the software
//! which its batch and its text allow. Each of these may be met by another engine and all by none, so
//! they are never asked one by one.

use std::collections::BTreeMap;
use std::time::Duration;

use tamaracksail_model::backend::State;
use tamaracksail_model::time::Instant;

use super::action::{Action, Wait};
use super::dispatch;
use super::engine::Engine;
use super::pool::{Pool, Requirements};
use super::scheduler::Scheduler;

/// How long items wait before that is logged, and the time between two such log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The number of log lines about waiting items at a time.
const MAX_REPORTS: usize = 8;

/// How far an engine meets the requirements of an item, other than a free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fit {
    /// It meets them.
    Ready,
    /// It will once the load in progress is complete.
    Loading,
    /// It would if it loaded the announced version.
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
pub(super) struct Class<'a> {
    pub(super) requirements: Requirements<'a>,
    /// Their number.
    pub(super) items: usize,
    /// Since when the first of them waits.
    pub(super) since: Instant,
}

/// Returns the items that wait for an engine by their requirements, without their preferences.
pub(super) fn classes(scheduler: &Scheduler) -> Vec<Class<'_>> {
    let mut classes: Vec<Class<'_>> = Vec::new();
    let mut last = 0;
    for (_, key) in &scheduler.queue {
        let task = &scheduler.tasks[*key];
        if scheduler.batches[task.batch].is_satisfied && !task.is_optional {
            continue;
        }
        let requirements = dispatch::least_requirements(scheduler, *key);
        let is_same = |class: &Class<'_>| class.requirements == requirements;
        // Most items have the requirements of the one before them.
        if !classes.get(last).is_some_and(is_same) {
            last = classes.iter().position(is_same).unwrap_or_else(|| {
                classes.push(Class {
                    requirements,
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

/// Has it logged which items wait, and for what, unless it was logged a short time ago.
pub(super) fn report(scheduler: &mut Scheduler, now: Instant) {
    if now.since(scheduler.waits_reported_at) < REPORT_INTERVAL || scheduler.queue.is_empty() {
        return;
    }
    scheduler.waits_reported_at = now;
    let announced = &scheduler.announced_versions;
    let pool = &scheduler.pool;
    let late = classes(scheduler)
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
                outdated: with_fit(Fit::Outdated).count(),
                free_slots: ready.map(Engine::free_slots).sum(),
                needs: prospect(pool, &required, announced).name(),
            })
        })
        .collect();
    scheduler.actions.extend(waits);
}

/// Whether an engine that loads nothing meets the requirements of an item.
pub(crate) fn can_run(engine: &Engine, requirements: &Requirements) -> bool {
    is_admissible(engine, requirements) && requirements.allow(version(engine, requirements))
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
        _ if held.is_some() && held < newest.copied() && requirements.allow(newest.copied()) => {
            Fit::Outdated
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

/// Returns what has to happen before an item with these requirements runs.
pub(crate) fn prospect(
    pool: &Pool,
    requirements: &Requirements,
    announced: &BTreeMap<String, u64>,
) -> Prospect {
    let best = |requirements: &Requirements| best_fit(pool, requirements, announced);
    let continued = best(requirements);
    if continued < Fit::Outdated {
        return Prospect::Slot;
    }
    let restarted = if requirements.depend_on_text() {
        best(&requirements.without_text())
    } else {
        Fit::None
    };
    match (continued, restarted) {
        (_, Fit::Ready | Fit::Loading) => Prospect::Restart,
        (Fit::None, Fit::None) => Prospect::Engine,
        _ => Prospect::Load,
    }
}

/// Returns the best fit among the engines. Stops at the first that is or will be ready.
fn best_fit(pool: &Pool, requirements: &Requirements, announced: &BTreeMap<String, u64>) -> Fit {
    let mut best = Fit::None;
    for engine in pool.engines.values() {
        best = best.min(fit(engine, requirements, announced));
        if best < Fit::Outdated {
            break;
        }
    }
    best
}
