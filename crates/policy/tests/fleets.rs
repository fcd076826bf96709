//! Drawn fleets, trainers and changes: an item that some engine of its service could run is never
//! without an engine for long.

#[path = "common/fleets.rs"]
#[allow(dead_code, reason = "each test uses a part")]
mod fleets;

use std::time::Duration;

use fleets::{Fleet, STEP_LIMIT, Step};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tamaracksail_model::backend::State;
use tamaracksail_model::time::Instant;

/// The longest time for which an item may be at no engine although one could run it.
const WAIT_LIMIT: Duration = Duration::from_secs(5);

/// How long a drawn day lasts.
const LENGTH: Duration = Duration::from_secs(45);

/// Changes come in the first part of a day, in milliseconds.
const CHANGES_MS: u64 = 30_000;

/// The number of days, each of another seed.
const DAYS: u64 = 400;

/// How long an engine goes on after it has reported that it leaves.
const DRAIN_TIME: Duration = Duration::from_millis(2200);

/// A trainer, and the step that it waits for.
struct Trainer {
    path: String,
    model: String,
    is_single_version: bool,
    items: usize,
    length: u64,
    optional_groups: usize,
    step: u64,
    open_since: Option<Instant>,
    next_at: Instant,
}

impl Trainer {
    fn step_id(&self) -> String {
        format!("{}-{}", self.path, self.step)
    }

    /// Ends its step once it is complete or its time is up, names the next version, and submits the next
    /// step.
    fn act(&mut self, fleet: &mut Fleet) {
        let id = self.step_id();
        if let Some(since) = self.open_since {
            if fleet.is_complete(&id) || fleet.now.since(since) >= STEP_LIMIT {
                fleet.end(&id);
                fleet.announce(&self.model);
                self.open_since = None;
                self.next_at = fleet.now.after(Duration::from_millis(500));
            }
        } else if fleet.now >= self.next_at {
            self.step += 1;
            let id = self.step_id();
            fleet.submit(&Step {
                id: &id,
                path: &self.path,
                model: &self.model,
                min_version: fleet.newest(&self.model).saturating_sub(1).max(1),
                count: self.items,
                length: self.length,
                optional_groups: self.optional_groups,
                is_single_version: self.is_single_version,
            });
            self.open_since = Some(fleet.now);
        }
    }
}

/// What is planned for a moment of a day.
enum Change {
    /// An engine leaves, and one with newer software takes its place.
    Release(String),
    Exit(String),
    /// An engine ends, and starts again after a while.
    Crash(String),
    Restart {
        name: String,
        service: String,
        software: String,
        slots: u32,
        models: Vec<(String, u64)>,
    },
    /// A route leads to these services.
    Route(String, Vec<String>),
    /// Engines of a further service, with a model of their own, come and leave again.
    Further(bool),
    TakeOver,
    /// Load commands may be sent, or not.
    Commands(bool),
}

/// A day with what is left of its plan.
struct Day {
    random: SmallRng,
    fleet: Fleet,
    trainers: Vec<Trainer>,
    plan: Vec<(Instant, Change)>,
    started: usize,
}

fn name(letter: char, number: usize) -> String {
    format!("{letter}{number}")
}

impl Day {
    fn draw(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut fleet = Fleet::default();
        let services = random.random_range(1..=3);
        let models = random.random_range(1..=4);
        // The models that the engines of each service hold: one of their own, or some of all.
        let is_shared = random.random_bool(0.6);
        let mut held: Vec<Vec<String>> = Vec::new();
        for service in 0..services {
            let all = (0..models).map(|model| name('m', model));
            let mut some: Vec<String> = all.filter(|_| random.random_bool(0.6)).collect();
            if !is_shared || some.is_empty() {
                some = vec![name('m', service % models)];
            }
            held.push(some);
        }
        let slots = random.random_range(2..=12);
        for (service, held) in held.iter().enumerate() {
            for number in 0..random.random_range(1..=5) {
                let models: Vec<(&str, u64)> = held.iter().map(|m| (m.as_str(), 1)).collect();
                let engine = format!("s{service}e{number}");
                fleet.add(&engine, &name('s', service), "v1", slots, &models);
            }
        }
        let mut trainers = Vec::new();
        for model in 0..models {
            let model = name('m', model);
            let possible: Vec<String> = services_with(&held, &model);
            if possible.is_empty() {
                continue;
            }
            let path = format!("/{model}/");
            let count = random.random_range(1..=possible.len().min(2));
            let chosen: Vec<&str> = possible
                .choose_multiple(&mut random, count)
                .map(String::as_str)
                .collect();
            fleet.route(&path, &chosen);
            trainers.push(Trainer {
                path,
                model,
                is_single_version: random.random_bool(0.3),
                items: random.random_range(1..=16),
                length: random.random_range(10..=120),
                optional_groups: random.random_range(0..=2),
                step: 0,
                open_since: None,
                next_at: fleet.now,
            });
        }
        let mut day = Self {
            random,
            fleet,
            trainers,
            plan: Vec::new(),
            started: 0,
        };
        day.plan_changes(&held);
        day
    }

    fn plan_changes(&mut self, held: &[Vec<String>]) {
        let count = self.random.random_range(0..=8);
        for _ in 0..count {
            let at = self.random.random_range(0..CHANGES_MS);
            let at = self.fleet.now.after(Duration::from_millis(at));
            let engines: Vec<String> = self.fleet.engines.keys().cloned().collect();
            match self.random.random_range(0..7) {
                0 => {
                    let share = self.random.random_range(1..=engines.len());
                    let gap = Duration::from_millis(self.random.random_range(0..1500));
                    for (number, engine) in engines.into_iter().take(share).enumerate() {
                        let at = at.after(gap * u32::try_from(number).expect("few engines"));
                        self.plan.push((at, Change::Release(engine)));
                    }
                }
                1 | 2 => {
                    let engine = engines.choose(&mut self.random).expect("an engine").clone();
                    self.plan.push((at, Change::Crash(engine)));
                }
                3 => {
                    let trainer = self.trainers.choose(&mut self.random).expect("a trainer");
                    let possible = services_with(held, &trainer.model);
                    let path = trainer.path.clone();
                    let count = self.random.random_range(1..=possible.len());
                    let chosen = possible.choose_multiple(&mut self.random, count);
                    let chosen = chosen.cloned().collect();
                    self.plan.push((at, Change::Route(path, chosen)));
                }
                4 => {
                    self.plan.push((at, Change::Further(true)));
                    let later =
                        at.after(Duration::from_millis(self.random.random_range(500..9000)));
                    self.plan.push((later, Change::Further(false)));
                }
                5 => self.plan.push((at, Change::TakeOver)),
                _ => {
                    self.plan.push((at, Change::Commands(false)));
                    self.plan
                        .push((at.after(Duration::from_secs(3)), Change::Commands(true)));
                }
            }
        }
    }

    fn run(&mut self) {
        let end = self.fleet.now.after(LENGTH);
        while self.fleet.now < end {
            let now = self.fleet.now;
            let (due, rest) = std::mem::take(&mut self.plan)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.plan = rest;
            let due: Vec<(Instant, Change)> = due;
            for (_, change) in due {
                self.apply(change);
            }
            for trainer in &mut self.trainers {
                trainer.act(&mut self.fleet);
            }
            self.fleet.tick();
        }
    }

    fn apply(&mut self, change: Change) {
        let fleet = &mut self.fleet;
        match change {
            Change::Release(old) => {
                let Some(engine) = fleet.engines.get(&old).cloned() else {
                    return;
                };
                if engine.state != State::Ready {
                    return;
                }
                self.started += 1;
                // A new engine has the newest version of each model.
                let models: Vec<(&str, u64)> = engine
                    .models
                    .keys()
                    .map(|model| (model.as_str(), fleet.newest(model)))
                    .collect();
                let new = format!("{old}n{}", self.started);
                let software = format!("{}n", engine.software);
                fleet.add(&new, &engine.service, &software, engine.slots, &models);
                fleet.drain(&old);
                let exit = fleet.now.after(DRAIN_TIME);
                self.plan.push((exit, Change::Exit(old)));
            }
            Change::Exit(name) => drop(fleet.end_engine(&name)),
            Change::Crash(name) => {
                let Some(engine) = fleet.end_engine(&name) else {
                    return;
                };
                let is_newer = self.random.random_bool(0.5);
                let software = if is_newer {
                    format!("{}c", engine.software)
                } else {
                    engine.software
                };
                let downtime = Duration::from_millis(self.random.random_range(500..4000));
                let restart = Change::Restart {
                    name,
                    service: engine.service,
                    software,
                    slots: engine.slots,
                    models: engine.models.into_iter().collect(),
                };
                self.plan.push((fleet.now.after(downtime), restart));
            }
            Change::Restart {
                name,
                service,
                software,
                slots,
                models,
            } => {
                let models: Vec<(&str, u64)> = models
                    .iter()
                    .map(|(model, version)| (model.as_str(), *version))
                    .collect();
                fleet.add(&name, &service, &software, slots, &models);
            }
            Change::Route(path, services) => {
                let services: Vec<&str> = services.iter().map(String::as_str).collect();
                fleet.route(&path, &services);
            }
            Change::Further(true) => {
                for number in 0..2 {
                    fleet.add(&name('f', number), "further", "v1", 4, &[("further", 1)]);
                }
            }
            Change::Further(false) => {
                for number in 0..2 {
                    drop(fleet.end_engine(&name('f', number)));
                }
            }
            Change::TakeOver => fleet.take_over(),
            Change::Commands(may_command) => fleet.may_command = may_command,
        }
    }
}

/// Returns the services whose engines hold a model.
fn services_with(held: &[Vec<String>], model: &str) -> Vec<String> {
    let services = held.iter().enumerate();
    let with_model = services.filter(|(_, held)| held.iter().any(|found| found == model));
    with_model.map(|(service, _)| name('s', service)).collect()
}

// Guards against: items that wait for good beside engines of their service that could run them, since their
// model, version and software are left at different engines, in another service, or followed by none.
#[test]
fn an_item_that_an_engine_of_its_service_could_run_gets_to_one() {
    let mut late = Vec::new();
    for seed in 0..DAYS {
        let mut day = Day::draw(seed);
        day.run();
        let (wait, item) = &day.fleet.longest_wait;
        if *wait >= WAIT_LIMIT {
            late.push((seed, *wait, item.clone()));
        }
    }
    assert!(late.is_empty(), "{} of {DAYS} days: {late:?}", late.len());
}
