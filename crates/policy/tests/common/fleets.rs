//! Fleets of several services and models in virtual time, around a real scheduler. The engines leave,
//! crash and come back with other software, and routes move, while trainers run their steps.

#[path = "fleet_parts.rs"]
mod parts;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use parts::{Engine, Step};
use parts::{Loading, Progress, Run, draw};

use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::batch::{Ending, Item, ItemResult, SubmissionRoute};
use tamaracksail_model::carried::Carried;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::batch::{Action, BatchKey, Failure, Scheduler, Submission};

/// The virtual time that passes in one tick, in which each run generates one event.
pub const TICK: Duration = Duration::from_millis(50);

/// How long a load of weights takes once the runs of its engine have finished.
const LOAD_TIME: Duration = Duration::from_millis(900);

/// How long the last steps of a trainer stay open at most.
pub const STEP_LIMIT: Duration = Duration::from_secs(12);

/// The fleet, its scheduler and the open batches.
pub struct Fleet {
    pub now: Instant,
    pub scheduler: Scheduler,
    pub engines: BTreeMap<String, Engine>,
    /// The services of each route, by path.
    pub routes: BTreeMap<String, Vec<String>>,
    /// Whether load commands may be sent.
    pub may_command: bool,
    /// The longest time for which an item was at no engine although one could run it, and its id.
    pub longest_wait: (Duration, String),
    pub load_count: usize,
    /// The number of texts that were discarded.
    pub discard_count: usize,
    starts: u64,
    announced: BTreeMap<String, u64>,
    runs: BTreeMap<u64, Run>,
    unfinished: BTreeMap<String, Progress>,
    submissions: BTreeMap<String, Submission>,
    open: BTreeMap<BatchKey, String>,
    began_at: BTreeMap<String, String>,
    versions: BTreeMap<String, BTreeSet<u64>>,
    draws: std::cell::Cell<usize>,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            now: Instant::from_millis(1_000_000),
            scheduler: Scheduler::default(),
            engines: BTreeMap::new(),
            routes: BTreeMap::new(),
            may_command: true,
            longest_wait: (Duration::ZERO, String::new()),
            load_count: 0,
            discard_count: 0,
            starts: 0,
            announced: BTreeMap::new(),
            runs: BTreeMap::new(),
            unfinished: BTreeMap::new(),
            submissions: BTreeMap::new(),
            open: BTreeMap::new(),
            began_at: BTreeMap::new(),
            versions: BTreeMap::new(),
            draws: std::cell::Cell::new(0),
        }
    }
}

impl Fleet {
    /// Adds an engine, or starts one again under its id.
    pub fn add(
        &mut self,
        name: &str,
        service: &str,
        software: &str,
        slots: u32,
        models: &[(&str, u64)],
    ) {
        self.starts += 1;
        let models = models
            .iter()
            .map(|(model, version)| ((*model).to_owned(), *version));
        let engine = Engine {
            service: service.to_owned(),
            software: software.to_owned(),
            slots,
            models: models.collect(),
            state: State::Ready,
            started_at_ms: self.starts,
            loading: None,
        };
        self.engines.insert(name.to_owned(), engine);
        self.register(name);
    }

    fn register(&mut self, name: &str) {
        let engine = &self.engines[name];
        let registration = Registration {
            instance: name.to_owned(),
            started_at_ms: Some(engine.started_at_ms),
            service: engine.service.clone(),
            software: engine.software.clone(),
            address: ([127, 0, 0, 1], 1).into(),
            domain: "here".to_owned(),
            slots: engine.slots,
            state: engine.state,
            models: engine.models.clone(),
        };
        self.scheduler.register_engine(self.now, registration);
    }

    /// Has an engine report that it leaves. It goes on with its runs.
    pub fn drain(&mut self, name: &str) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.state = State::Draining;
            self.register(name);
        }
    }

    /// Ends an engine, whose runs break off. Returns it.
    pub fn end_engine(&mut self, name: &str) -> Option<Engine> {
        let broken: Vec<u64> = self
            .runs
            .iter()
            .filter(|(_, run)| run.engine == name)
            .map(|(number, _)| *number)
            .collect();
        for number in broken {
            self.runs.remove(&number);
            self.scheduler.run_failed(self.now, number, Failure::Broken);
        }
        let engine = self.engines.remove(name)?;
        self.scheduler.remove_engine(self.now, name);
        if let Some(key) = engine.loading.as_ref().and_then(|loading| loading.key) {
            self.scheduler.command_failed(self.now, key);
        }
        Some(engine)
    }

    /// Announces the next version of a model, and returns it.
    pub fn announce(&mut self, model: &str) -> u64 {
        let announced = self.announced.entry(model.to_owned()).or_insert(1);
        *announced += 1;
        self.scheduler.version_announced(model, *announced);
        *announced
    }

    /// Returns the newest announced version of a model.
    pub fn newest(&self, model: &str) -> u64 {
        self.announced.get(model).copied().unwrap_or(1)
    }

    /// Submits a step.
    pub fn submit(&mut self, step: &Step) {
        let ids = step.items();
        for id in &ids {
            self.unfinished.insert(
                id.clone(),
                Progress {
                    length: step.length,
                    batch: step.id.to_owned(),
                    away_since: None,
                },
            );
        }
        let item = |(number, id): (usize, String)| Item {
            id,
            path: "/x".to_owned(),
            headers: Vec::new(),
            body: bytes::Bytes::new(),
            tokens: step.length,
            hint: Some(step.length),
            group: Some(format!("{}g{}", step.id, number / 2)),
            reward: None,
        };
        let groups = step.count.div_ceil(2);
        let submission = Submission {
            route: SubmissionRoute {
                host: "app".to_owned(),
                path: step.path.to_owned(),
                prefix: None,
            },
            account: None,
            model: Some(step.model.to_owned()),
            min_version: Some(step.min_version),
            target_groups: Some(groups.saturating_sub(step.optional_groups).max(1)),
            items: ids.into_iter().enumerate().map(item).collect(),
            with_result: BTreeSet::new(),
            is_single_version: step.is_single_version,
            max_attempts: 3,
            due: self.now.after(Duration::from_millis(7500)),
            expires: self.now.after(Duration::from_mins(1)),
        };
        self.submissions.insert(step.id.to_owned(), submission);
        self.resubmit(step.id);
    }

    fn resubmit(&mut self, id: &str) {
        let mut submission = self.submissions[id].clone();
        let items = submission.items.iter().map(|item| item.id.clone());
        submission.with_result = items
            .filter(|item| !self.unfinished.contains_key(item))
            .collect();
        let (routes, draws) = (&self.routes, &self.draws);
        let key = self
            .scheduler
            .submit(self.now, submission, |route, preferred| {
                draw(routes, draws, route, preferred)
            });
        self.open.insert(key, id.to_owned());
    }

    /// Changes the services of a route.
    pub fn route(&mut self, path: &str, services: &[&str]) {
        let services = services
            .iter()
            .map(|service| (*service).to_owned())
            .collect();
        self.routes.insert(path.to_owned(), services);
        let (routes, draws) = (&self.routes, &self.draws);
        self.scheduler.update_routes(self.now, |route, preferred| {
            draw(routes, draws, route, preferred)
        });
    }

    /// Ends a step.
    pub fn end(&mut self, id: &str) {
        let key = self
            .open
            .iter()
            .find(|(_, name)| *name == id)
            .map(|(key, _)| *key);
        if let Some(key) = key {
            self.open.remove(&key);
            self.scheduler.end_batch(self.now, key);
        }
        self.unfinished.retain(|_, progress| progress.batch != id);
    }

    /// Replaces the scheduler by that of another process, which gets the texts of the first.
    pub fn take_over(&mut self) {
        drop(self.scheduler.close(self.now));
        let texts = self.scheduler.partial_texts(self.now);
        self.scheduler = Scheduler::default();
        self.runs.clear();
        for (item, text) in texts {
            let item: Carried = item;
            self.scheduler.restore_partial_text(self.now, item, text);
        }
        for engine in self.engines.values_mut() {
            if let Some(loading) = &mut engine.loading {
                loading.key = None;
            }
        }
        let names: Vec<String> = self.engines.keys().cloned().collect();
        for name in names {
            self.register(&name);
        }
        for (model, version) in &self.announced {
            self.scheduler.version_announced(model, *version);
        }
        for id in std::mem::take(&mut self.open).into_values() {
            self.resubmit(&id);
        }
    }

    /// Whether all items of a step have ended.
    pub fn is_complete(&self, id: &str) -> bool {
        self.unfinished
            .values()
            .all(|progress| progress.batch != id)
    }

    /// Runs for a span of virtual time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until a step is complete, or for [`STEP_LIMIT`]. Returns whether it is complete.
    pub fn run_step(&mut self, id: &str) -> bool {
        let end = self.now.after(STEP_LIMIT);
        while self.now < end && !self.is_complete(id) {
            self.tick();
        }
        self.is_complete(id)
    }

    /// Runs one tick.
    pub fn tick(&mut self) {
        self.now = self.now.after(TICK);
        self.continue_loads();
        self.continue_runs();
        for action in self.scheduler.poll(self.now, self.may_command) {
            self.perform(action);
        }
        self.watch_waits();
    }

    fn continue_loads(&mut self) {
        let busy: BTreeSet<String> = self.runs.values().map(|run| run.engine.clone()).collect();
        let mut loaded = Vec::new();
        for (name, engine) in &mut self.engines {
            let Some(loading) = &mut engine.loading else {
                continue;
            };
            match loading.due {
                None if !busy.contains(name) => loading.due = Some(self.now.after(LOAD_TIME)),
                Some(due) if due <= self.now => {
                    engine.models.insert(loading.model.clone(), loading.version);
                    match loading.key {
                        Some(key) => {
                            let (model, version) = (&loading.model, loading.version);
                            self.scheduler.weights_loaded(key, model, version);
                        }
                        None => loaded.push(name.clone()),
                    }
                    engine.loading = None;
                }
                _ => {}
            }
        }
        for name in loaded {
            self.register(&name);
        }
    }

    fn continue_runs(&mut self) {
        let numbers: Vec<u64> = self.runs.keys().copied().collect();
        for number in numbers {
            let run = self.runs.get_mut(&number).expect("the run exists");
            let engine = &self.engines[&run.engine];
            let progress = self.unfinished.get(&run.item);
            if progress.is_none_or(|progress| run.next > progress.length) {
                self.runs.remove(&number);
                self.scheduler.run_finished(self.now, number);
                continue;
            }
            let batch = &self.unfinished[&run.item].batch;
            let model = self.submissions[batch].model.as_deref().unwrap_or_default();
            let version = engine.models.get(model).copied();
            let is_wanted = self
                .scheduler
                .record_event(self.now, number, run.next, "x", version);
            let versions = self.versions.entry(run.item.clone()).or_default();
            if run.next == 1 {
                versions.clear();
            }
            versions.extend(version);
            run.next += 1;
            if !is_wanted {
                self.runs.remove(&number);
            }
        }
    }

    /// Checks the result of an item, and removes the item from those that are unfinished.
    fn finish(&mut self, result: &ItemResult) {
        let Some(progress) = self.unfinished.remove(&result.item) else {
            return;
        };
        if result.ending == Ending::Aborted {
            return;
        }
        let submission = &self.submissions[&progress.batch];
        let versions: Vec<u64> = self.versions[&result.item].iter().copied().collect();
        assert_eq!(result.versions, versions, "{}", result.item);
        let min = submission.min_version.unwrap_or(0);
        assert!(versions[0] >= min, "{}: {versions:?}, {min}", result.item);
        let is_allowed = !submission.is_single_version || versions.len() == 1;
        assert!(is_allowed, "{}: {versions:?}", result.item);
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Start {
                run,
                engine,
                item,
                after,
                ..
            } => {
                let registration = self.scheduler.registration(engine).expect("it is known");
                let name = registration.instance.clone();
                let software = self.engines[&name].software.clone();
                if after.is_none() {
                    self.began_at.insert(item.id.clone(), software.clone());
                }
                assert_eq!(
                    self.began_at[&item.id], software,
                    "{} changes software",
                    item.id
                );
                let run_of_item = Run {
                    engine: name,
                    item: item.id.clone(),
                    next: after.unwrap_or(0) + 1,
                };
                self.runs.insert(run, run_of_item);
            }
            Action::Stop { run, .. } => {
                self.runs.remove(&run);
            }
            Action::WriteResults { batch, results } => {
                for result in &results {
                    self.finish(result);
                }
                self.scheduler.results_written(self.now, batch);
            }
            Action::LoadWeights {
                engine: key,
                model,
                version,
            } => {
                self.load_count += 1;
                let registration = self.scheduler.registration(key).expect("it is known");
                let engine = self
                    .engines
                    .get_mut(&registration.instance)
                    .expect("it exists");
                assert!(
                    engine.models.contains_key(&model),
                    "a load of a model that the engine does not hold"
                );
                if engine.loading.is_some() {
                    // It executes a command of the scheduler before.
                    self.scheduler.command_failed(self.now, key);
                    return;
                }
                engine.loading = Some(Loading {
                    key: Some(key),
                    model,
                    version,
                    due: None,
                });
            }
            Action::Discard { .. } => self.discard_count += 1,
            Action::Wait(_) => {}
        }
    }

    /// Whether an engine of each service of a route could run items of a model, and has been less than
    /// half full.
    fn could_run(&self, path: &str, model: &str) -> bool {
        self.routes[path].iter().all(|service| {
            let of_service = |engine: &&Engine| {
                engine.service == *service
                    && engine.state == State::Ready
                    && engine.models.contains_key(model)
            };
            let slots: u32 = self
                .engines
                .values()
                .filter(of_service)
                .map(|e| e.slots)
                .sum();
            let running = self
                .runs
                .values()
                .filter(|run| of_service(&&self.engines[&run.engine]));
            slots > 0 && running.count() * 2 < slots as usize
        })
    }

    /// Updates since when items are at no engine although one could run them.
    fn watch_waits(&mut self) {
        let running: BTreeSet<&String> = self.runs.values().map(|run| &run.item).collect();
        let mut waits = Vec::new();
        for (item, progress) in &self.unfinished {
            let submission = &self.submissions[&progress.batch];
            let model = submission.model.as_deref().unwrap_or_default();
            let is_away = self.may_command
                && !running.contains(item)
                && self.could_run(&submission.route.path, model);
            waits.push((item.clone(), is_away));
        }
        for (item, is_away) in waits {
            let progress = self.unfinished.get_mut(&item).expect("it is unfinished");
            progress.away_since = is_away.then(|| progress.away_since.unwrap_or(self.now));
            let away = progress
                .away_since
                .map_or(Duration::ZERO, |since| self.now.since(since));
            if away > self.longest_wait.0 {
                self.longest_wait = (away, item);
            }
        }
    }
}
