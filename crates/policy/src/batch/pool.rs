//! The engines of all services, and the choice among them.

use std::collections::BTreeMap;

use slotmap::SlotMap;
use tamaracksail_model::backend::Registration;
use tamaracksail_model::time::Instant;

use super::seat::{Seat, SeatKey};

/// How much slower than the median engine counts as slow. Full engines of one kind differ by a
/// tenth.
const SLOW: f64 = 1.8;

/// What an item needs of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Need<'a> {
    pub(crate) service: &'a str,
    pub(crate) model: Option<&'a str>,
    pub(crate) min_version: Option<u64>,
    /// The only version allowed.
    pub(crate) version: Option<u64>,
}

/// All engines.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) seats: SlotMap<SeatKey, Seat>,
    by_instance: BTreeMap<String, SeatKey>,
}

impl Pool {
    /// Takes over an entry. Returns the seat of an earlier life under the same id, which is gone.
    pub(crate) fn put(&mut self, registration: Registration) -> Option<SeatKey> {
        if let Some(key) = self.by_instance.get(&registration.instance).copied() {
            let seat = &mut self.seats[key];
            if seat.registration.started_at_ms == registration.started_at_ms
                && seat.registration.address == registration.address
            {
                seat.registration = registration;
                return None;
            }
            let instance = registration.instance.clone();
            let fresh = self.seats.insert(Seat::new(registration));
            self.by_instance.insert(instance, fresh);
            return Some(key);
        }
        let instance = registration.instance.clone();
        let key = self.seats.insert(Seat::new(registration));
        self.by_instance.insert(instance, key);
        None
    }

    /// Forgets an engine. Returns its seat, whose runs must be moved before [`Self::drop_seat`].
    pub(crate) fn remove(&mut self, instance: &str) -> Option<SeatKey> {
        self.by_instance.remove(instance)
    }

    pub(crate) fn drop_seat(&mut self, key: SeatKey) {
        self.seats.remove(key);
    }

    /// The milliseconds between two events at the median engine.
    pub(crate) fn median_pace(&self) -> Option<f64> {
        let mut paces: Vec<f64> = self.seats.values().filter_map(|seat| seat.pace).collect();
        paces.sort_by(f64::total_cmp);
        paces.get(paces.len() / 2).copied()
    }

    /// Whether an engine is much slower than the median.
    pub(crate) fn is_slow(&self, key: SeatKey, median: Option<f64>) -> bool {
        let pace = self.seats.get(key).and_then(|seat| seat.pace);
        matches!((pace, median), (Some(pace), Some(median)) if pace > median * SLOW)
    }

    /// The engine with the most room for an item: fast ones first, then those kept for its model,
    /// then the emptiest.
    pub(crate) fn choose(
        &self,
        now: Instant,
        need: &Need,
        median: Option<f64>,
        except: Option<SeatKey>,
    ) -> Option<SeatKey> {
        self.seats
            .iter()
            .filter(|(key, seat)| Some(*key) != except && seat.free() > 0 && fits(now, seat, need))
            .min_by_key(|(key, seat)| {
                let is_away = need.model.is_some() && seat.home.as_deref() != need.model;
                let fill = seat.running * 100 / seat.registration.slots.max(1);
                (self.is_slow(*key, median), is_away, fill)
            })
            .map(|(key, _)| key)
    }
}

/// Whether an engine may run an item now.
fn fits(now: Instant, seat: &Seat, need: &Need) -> bool {
    if seat.registration.service != need.service || !seat.is_open(now) {
        return false;
    }
    let held = need.model.and_then(|model| seat.version(model));
    let is_new_enough = need
        .min_version
        .is_none_or(|min| held.is_some_and(|v| v >= min));
    let is_exact = need.version.is_none_or(|version| held == Some(version));
    is_new_enough && is_exact
}
