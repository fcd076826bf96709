//! The engines of all services, and the choice of an engine for an item.

use std::collections::BTreeMap;

use slotmap::SlotMap;
use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::time::Instant;

use super::action::Requirement;
use super::coverage;
use super::engine::{Engine, EngineKey};
use super::placement::{self, Preference};

/// An engine is slow if its event interval exceeds the median by this factor. Intervals of fully
/// loaded engines of one kind differ by a tenth.
const SLOW_FACTOR: f64 = 1.8;

/// What an item requires of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Requirements<'a> {
    pub(crate) service: &'a str,
    pub(crate) model: Option<&'a str>,
    pub(crate) min_version: Option<u64>,
    /// The only version allowed, if the text must come from one.
    pub(crate) version: Option<u64>,
    /// The only version of the software allowed, if the item has text.
    pub(crate) software: Option<&'a str>,
    /// Which of several engines it prefers.
    pub(crate) preference: Preference,
}

impl Requirements<'_> {
    /// Whether a version of the weights is allowed, `None` being that of an engine without the model.
    pub(crate) fn allow(&self, version: Option<u64>) -> bool {
        let is_new_enough = self
            .min_version
            .is_none_or(|min| version.is_some_and(|version| version >= min));
        let is_exact = self.version.is_none_or(|only| version == Some(only));
        is_new_enough && is_exact
    }

    /// Returns what an engine must meet, without what is only preferred.
    pub(crate) fn without_preference(self) -> Self {
        Self {
            preference: Preference::Any,
            ..self
        }
    }

    /// Returns what remains if the text of the item is discarded.
    pub(crate) fn without_text(self) -> Self {
        Self {
            version: None,
            software: None,
            ..self
        }
    }

    /// Returns the requirements in the form in which they are logged.
    pub(crate) fn to_owned(self) -> Requirement {
        Requirement {
            service: self.service.to_owned(),
            model: self.model.map(str::to_owned),
            min_version: self.min_version,
            version: self.version,
            software: self.software.map(str::to_owned),
        }
    }

    /// Whether the text of the item excludes engines.
    pub(crate) fn depend_on_text(&self) -> bool {
        self.version.is_some() || self.software.is_some()
    }
}

impl Requirement {
    /// Returns the requirements, without a preference.
    pub(crate) fn as_requirements(&self) -> Requirements<'_> {
        Requirements {
            service: &self.service,
            model: self.model.as_deref(),
            min_version: self.min_version,
            version: self.version,
            software: self.software.as_deref(),
            preference: Preference::Any,
        }
    }
}

/// All engines.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) engines: SlotMap<EngineKey, Engine>,
    by_instance: BTreeMap<String, EngineKey>,
    /// The number of changes of the engines, or of the models that they hold, since engines were last
    /// assigned to models. A change of a version is none.
    pub(crate) changes: usize,
    /// The failure domain whose engines are preferred while they have free slots; off by default.
    pub(crate) home: Option<String>,
    /// The engines that have a budget.
    limited: Vec<EngineKey>,
}

impl Pool {
    /// Adds or updates an engine. Returns the key of an earlier incarnation with the same id, if
    /// there is one; its runs must be moved before [`Self::drop_engine`].
    pub(crate) fn register(&mut self, registration: Registration) -> Option<EngineKey> {
        if let Some(key) = self.by_instance.get(&registration.instance).copied() {
            let engine = &mut self.engines[key];
            if engine.registration.is_same_process(&registration) {
                let models = engine.registration.models.keys();
                if !models.eq(registration.models.keys()) {
                    self.changes += 1;
                }
                engine.registration = registration;
                return None;
            }
            self.changes += 1;
            let instance = registration.instance.clone();
            let new_key = self.engines.insert(Engine::new(registration));
            self.by_instance.insert(instance, new_key);
            return Some(key);
        }
        self.changes += 1;
        let instance = registration.instance.clone();
        let key = self.engines.insert(Engine::new(registration));
        self.by_instance.insert(instance, key);
        None
    }

    /// Marks an engine as draining, unless it has restarted since.
    pub(crate) fn drain(&mut self, instance: &str, started_at_ms: Option<u64>) {
        if let Some(key) = self.by_instance.get(instance) {
            let registration = &mut self.engines[*key].registration;
            if registration.started_at_ms == started_at_ms {
                registration.state = State::Draining;
            }
        }
    }

    /// Sets how many runs may start on engines with a request limit until the next call. All other
    /// engines have none.
    pub(crate) fn set_budgets<'a>(&mut self, budgets: impl Iterator<Item = (&'a str, u32)>) {
        for key in std::mem::take(&mut self.limited) {
            if let Some(engine) = self.engines.get_mut(key) {
                engine.budget = None;
            }
        }
        for (instance, budget) in budgets {
            if let Some(key) = self.by_instance.get(instance).copied() {
                self.engines[key].budget = Some(budget);
                self.limited.push(key);
            }
        }
    }

    /// Removes the id of an engine. Returns the engine's key; its runs must be moved before
    /// [`Self::drop_engine`].
    pub(crate) fn unregister(&mut self, instance: &str) -> Option<EngineKey> {
        let key = self.by_instance.remove(instance);
        self.changes += usize::from(key.is_some());
        key
    }

    /// Drops an engine that has no runs.
    pub(crate) fn drop_engine(&mut self, key: EngineKey) {
        self.engines.remove(key);
    }

    /// Returns the median of the engines' event intervals, in milliseconds.
    pub(crate) fn median_interval_ms(&self) -> Option<f64> {
        let mut intervals: Vec<f64> = self
            .engines
            .values()
            .filter_map(|engine| engine.event_interval_ms)
            .collect();
        intervals.sort_by(f64::total_cmp);
        intervals.get(intervals.len() / 2).copied()
    }

    /// Returns the median of the lasting event intervals of the engines that state their pace, in
    /// milliseconds.
    pub(crate) fn lasting_median_ms(&self) -> Option<f64> {
        let stating = self
            .engines
            .values()
            .filter(|engine| engine.pace.is_known());
        let mut intervals: Vec<f64> = stating.filter_map(Engine::lasting_interval_ms).collect();
        intervals.sort_by(f64::total_cmp);
        intervals.get(intervals.len() / 2).copied()
    }

    /// Records which engines that state their pace are slow at the moment.
    pub(crate) fn record_slowness(&mut self, now: Instant, median_ms: Option<f64>) {
        for engine in self.engines.values_mut() {
            let is_slow = exceeds(engine.event_interval_ms, median_ms);
            engine.record_slowness(now, is_slow);
        }
    }

    /// Whether an engine is slower than the median by [`SLOW_FACTOR`]. One that states its pace must
    /// be so for longer than a slow phase lasts.
    pub(crate) fn is_slow(&self, key: EngineKey, median_ms: Option<f64>) -> bool {
        if let Some(engine) = self
            .engines
            .get(key)
            .filter(|engine| engine.pace.is_known())
        {
            return engine.is_lastingly_slow();
        }
        let interval = self
            .engines
            .get(key)
            .and_then(|engine| engine.event_interval_ms);
        exceeds(interval, median_ms)
    }

    /// Chooses an engine with a free slot for an item. Engines that are not slow come first, then
    /// those assigned to the item's model, then those of the pace that the item prefers, then those in the
    /// preferred failure domain, then those
    /// with the lowest share of used slots.
    pub(crate) fn choose(
        &self,
        now: Instant,
        requirements: &Requirements,
        median_ms: Option<f64>,
        excluded: Option<EngineKey>,
    ) -> Option<EngineKey> {
        let lasting_median_ms = self.lasting_median_ms();
        self.engines
            .iter()
            .filter(|(key, engine)| {
                Some(*key) != excluded
                    && engine.free_slots() > 0
                    && engine.accepts_work(now)
                    && coverage::can_run(engine, requirements)
            })
            .min_by_key(|(key, engine)| {
                let is_assigned_elsewhere = requirements.model.is_some()
                    && engine.assigned_model.as_deref() != requirements.model;
                let fill = engine.running * 100 / engine.registration.slots.max(1);
                let (before, after) =
                    placement::order(now, engine, requirements.preference, lasting_median_ms);
                let is_slow = self.is_slow(*key, median_ms);
                let domain = &engine.registration.domain;
                let is_away = self.home.as_ref().is_some_and(|home| home != domain);
                (is_slow, is_assigned_elsewhere, before, is_away, fill, after)
            })
            .map(|(key, _)| key)
    }
}

/// Whether an interval exceeds the median by [`SLOW_FACTOR`].
fn exceeds(interval_ms: Option<f64>, median_ms: Option<f64>) -> bool {
    matches!((interval_ms, median_ms), (Some(ms), Some(median)) if ms > median * SLOW_FACTOR)
}
