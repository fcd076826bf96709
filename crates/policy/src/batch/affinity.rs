//! The assignment of engines to models.
//!
//! Loads of weights beyond a trainer's share of the engines cost extra, so an engine follows the
//! versions of one model only. Items of other models may still run on it while the versions that
//! it holds of them are new enough.

use std::collections::BTreeMap;

use super::engine::EngineKey;
use super::scheduler::Scheduler;

/// Assigns engines to models again for each change of the engines since the last call.
pub(super) fn update(scheduler: &mut Scheduler) {
    for _ in 0..std::mem::take(&mut scheduler.pool.changes) {
        if !assign(scheduler) {
            return;
        }
    }
}

/// Assigns a model to each engine without one, and reassigns one engine if a model has at least
/// two fewer engines than another. Returns whether it has reassigned one.
fn assign(scheduler: &mut Scheduler) -> bool {
    let mut engines_by_model: BTreeMap<String, Vec<EngineKey>> = BTreeMap::new();
    for engine in scheduler.pool.engines.values() {
        for model in engine.registration.models.keys() {
            engines_by_model.entry(model.clone()).or_default();
        }
    }
    for (key, engine) in &scheduler.pool.engines {
        if let Some(engines) = engine
            .assigned_model
            .as_ref()
            .and_then(|model| engines_by_model.get_mut(model))
        {
            engines.push(key);
        }
    }
    let unassigned: Vec<EngineKey> = scheduler
        .pool
        .engines
        .iter()
        .filter(|(_, engine)| {
            engine.assigned_model.is_none() && !engine.registration.models.is_empty()
        })
        .map(|(key, _)| key)
        .collect();
    for key in unassigned {
        let fewest = engines_by_model
            .iter()
            .min_by_key(|(_, engines)| engines.len());
        if let Some(model) = fewest.map(|(model, _)| model.clone()) {
            scheduler.pool.engines[key].assigned_model = Some(model.clone());
            engines_by_model.entry(model).or_default().push(key);
        }
    }
    let fewest = engines_by_model
        .iter()
        .min_by_key(|(_, engines)| engines.len());
    let most = engines_by_model
        .iter()
        .max_by_key(|(_, engines)| engines.len());
    if let (Some((receiver, few)), Some((_, many))) = (fewest, most)
        && many.len() >= few.len() + 2
        && let Some(key) = many.last()
    {
        scheduler.pool.engines[*key].assigned_model = Some(receiver.clone());
        return true;
    }
    false
}
