//! The assignment of engines to models.
//!
//! Loads of weights beyond a trainer's share of the engines cost extra, so an engine follows the
//! versions of one of the models that it holds. Items of other models may still run on it while the
//! versions that it holds of them are new enough. The engines of each service are shared among the
//! models that they hold. Of a model for which there is none to spare, one of them keeps up with it.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::coverage;
use super::engine::{Engine, EngineKey};
use super::pool::Pool;
use super::scheduler::Scheduler;

/// The engines of one service that are assigned to each model that any of them holds.
type Share = BTreeMap<String, Vec<EngineKey>>;

/// Assigns engines to models again for each change of the engines since the last call.
pub(super) fn update(scheduler: &mut Scheduler) {
    for _ in 0..std::mem::take(&mut scheduler.pool.changes) {
        if !assign(&mut scheduler.pool) {
            return;
        }
    }
}

/// Whether an engine is assigned to a model that it holds.
pub(super) fn is_assigned(engine: &Engine, model: &str) -> bool {
    engine.assigned_model.as_deref() == Some(model) && coverage::holds(engine, model)
}

/// Assigns a model to each engine without one, and reassigns one engine of each service where a model
/// has at least two fewer engines than another. Returns whether it has reassigned any.
fn assign(pool: &mut Pool) -> bool {
    let mut shares: BTreeMap<String, Share> = BTreeMap::new();
    let mut unassigned = Vec::new();
    for (key, engine) in &pool.engines {
        let share = share_of(&mut shares, engine);
        for model in engine.registration.models.keys() {
            if !share.contains_key(model) {
                share.insert(model.clone(), Vec::new());
            }
        }
        let assigned = engine.assigned_model.as_deref();
        match assigned.filter(|model| is_assigned(engine, model)) {
            Some(model) => share.entry(model.to_owned()).or_default().push(key),
            None => unassigned.push(key),
        }
    }
    for key in unassigned {
        let engine = &mut pool.engines[key];
        let share = share_of(&mut shares, engine);
        let held = share
            .iter_mut()
            .filter(|(model, _)| coverage::holds(engine, model));
        let fewest = held.min_by_key(|(_, engines)| engines.len());
        engine.assigned_model = fewest.map(|(model, engines)| {
            engines.push(key);
            model.clone()
        });
    }
    let mut is_reassigned = false;
    for share in shares.values() {
        if let Some((key, model)) = next_move(pool, share) {
            pool.engines[key].assigned_model = Some(model.to_owned());
            is_reassigned = true;
        }
    }
    is_reassigned
}

/// Returns the share of the service of an engine.
fn share_of<'a>(shares: &'a mut BTreeMap<String, Share>, engine: &Engine) -> &'a mut Share {
    let service = &engine.registration.service;
    if !shares.contains_key(service) {
        shares.insert(service.clone(), Share::new());
    }
    shares.get_mut(service).expect("it was inserted")
}

/// Returns an engine of the model with the most engines, and a model with at least two fewer that it
/// holds: the one with the fewest.
fn next_move<'a>(pool: &Pool, share: &'a Share) -> Option<(EngineKey, &'a str)> {
    let mut receivers: Vec<(&String, usize)> = share
        .iter()
        .map(|(model, engines)| (model, engines.len()))
        .collect();
    receivers.sort_by_key(|(_, count)| *count);
    let mut givers: Vec<&Vec<EngineKey>> = share.values().rev().collect();
    givers.sort_by_key(|engines| Reverse(engines.len()));
    receivers.into_iter().find_map(|(model, few)| {
        let givers = givers.iter().filter(|engines| engines.len() >= few + 2);
        let mut engines = givers.flat_map(|engines| engines.iter().rev());
        let holds = |key: &&EngineKey| coverage::holds(&pool.engines[**key], model);
        engines.find(holds).map(|key| (*key, model.as_str()))
    })
}
