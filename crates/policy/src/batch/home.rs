//! Which engines are kept for which model.
//!
//! Each load of weights is paid for beyond a share of the engines for each trainer, so an engine
//! follows the versions of one model only. Other models may use it while what it holds of them is
//! new enough.

use std::collections::BTreeMap;

use super::scheduler::Scheduler;
use super::seat::SeatKey;

/// Assigns engines without a model, and moves one where a model has two fewer than another.
pub(super) fn assign(scheduler: &mut Scheduler) {
    let mut counts: BTreeMap<String, Vec<SeatKey>> = BTreeMap::new();
    for seat in scheduler.pool.seats.values() {
        for model in seat.registration.models.keys() {
            counts.entry(model.clone()).or_default();
        }
    }
    for (key, seat) in &scheduler.pool.seats {
        if let Some(seats) = seat.home.as_ref().and_then(|home| counts.get_mut(home)) {
            seats.push(key);
        }
    }
    let homeless: Vec<SeatKey> = scheduler
        .pool
        .seats
        .iter()
        .filter(|(_, seat)| seat.home.is_none() && !seat.registration.models.is_empty())
        .map(|(key, _)| key)
        .collect();
    for key in homeless {
        let poorest = counts.iter().min_by_key(|(_, seats)| seats.len());
        if let Some(model) = poorest.map(|(model, _)| model.clone()) {
            scheduler.pool.seats[key].home = Some(model.clone());
            counts.entry(model).or_default().push(key);
        }
    }
    let poorest = counts.iter().min_by_key(|(_, seats)| seats.len());
    let richest = counts.iter().max_by_key(|(_, seats)| seats.len());
    if let (Some((poor, few)), Some((_, many))) = (poorest, richest)
        && many.len() >= few.len() + 2
        && let Some(key) = many.last()
    {
        scheduler.pool.seats[*key].home = Some(poor.clone());
    }
}
