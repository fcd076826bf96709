//! What drawn fleets consist of.

use std::cell::Cell;
use std::collections::BTreeMap;

use tamaracksail_model::backend::State;
use tamaracksail_model::batch::SubmissionRoute;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::batch::EngineKey;

/// A load of weights that an engine was commanded to make.
#[derive(Clone, Debug)]
pub struct Loading {
    /// The engine's key in the scheduler that commanded it; `None` after a takeover.
    pub key: Option<EngineKey>,
    pub model: String,
    pub version: u64,
    /// When it is complete; `None` while runs of the engine go on.
    pub due: Option<Instant>,
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub service: String,
    pub software: String,
    pub slots: u32,
    pub models: BTreeMap<String, u64>,
    pub state: State,
    pub started_at_ms: u64,
    pub loading: Option<Loading>,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub item: String,
    pub next: u64,
}

/// What an item still needs.
#[derive(Clone, Debug)]
pub struct Progress {
    pub length: u64,
    pub batch: String,
    /// Since when it is at no engine although one could run it.
    pub away_since: Option<Instant>,
}

/// A step of `count` items with `length` events each. Groups have two items, and the trainer waits for all
/// but `optional_groups` of them.
pub struct Step<'a> {
    pub id: &'a str,
    pub path: &'a str,
    pub model: &'a str,
    pub min_version: u64,
    pub count: usize,
    pub length: u64,
    pub optional_groups: usize,
    pub is_single_version: bool,
}

impl Step<'_> {
    /// Returns the ids of its items.
    pub fn items(&self) -> Vec<String> {
        (0..self.count)
            .map(|n| format!("{}.{n}", self.id))
            .collect()
    }
}

/// Returns the service of a route for a batch: the preferred one if the route names it, or else each in
/// turn.
pub fn draw(
    routes: &BTreeMap<String, Vec<String>>,
    draws: &Cell<usize>,
    route: &SubmissionRoute,
    preferred: Option<&str>,
) -> Option<String> {
    let services = routes.get(&route.path)?;
    let found = services
        .iter()
        .find(|service| preferred == Some(service.as_str()));
    draws.set(draws.get() + 1);
    found
        .or_else(|| services.get(draws.get() % services.len()))
        .cloned()
}
