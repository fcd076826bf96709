//! Engines and trainers under virtual time, around a real scheduler.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::batch::{Ending, Item, ItemResult};
use tamaracksail_model::checkpoint::Checkpoint;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::batch::{
    Action, BatchKey, CHECKPOINT_SLOTS, EngineKey, Failure, Scheduler, Submission, join_segments,
};

/// One turn of the world.
const TICK: Duration = Duration::from_millis(5);

/// How long a write to the store takes.
const WRITE: Duration = Duration::from_millis(15);

/// How long one load of weights takes when two run at a time.
const LOAD: Duration = Duration::from_millis(900);

/// The model that all engines hold.
pub const MODEL: &str = "drafts";

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The time between two events of a run.
    pub pace: Duration,
    /// It answers nothing, and nobody is told.
    pub is_silent: bool,
    /// The version of its weights.
    pub version: u64,
    loading: Option<(Instant, u64, EngineKey)>,
}

#[derive(Clone, Debug)]
struct Run {
    engine: String,
    item: String,
    next: u64,
    at: Instant,
}

/// The world.
pub struct World {
    pub now: Instant,
    pub scheduler: Scheduler,
    pub engines: BTreeMap<String, Engine>,
    /// The events of each item's whole text.
    pub lengths: BTreeMap<String, u64>,
    /// Durable results by batch.
    pub listed: BTreeMap<String, Vec<ItemResult>>,
    /// Loads begun.
    pub loads: usize,
    /// Runs taken away from an engine, by reason.
    pub stops: BTreeMap<&'static str, usize>,
    /// The most loads at one time.
    pub most_loading: usize,
    /// Whether orders may be given.
    pub may_command: bool,
    names: BTreeMap<BatchKey, String>,
    runs: BTreeMap<u64, Run>,
    writes: Vec<(Instant, BatchKey, Vec<ItemResult>)>,
    submissions: BTreeMap<String, Submission>,
    /// The version that made each event, by item.
    made: BTreeMap<String, BTreeMap<u64, u64>>,
    /// Saved text by its place in the ring.
    saved: BTreeMap<u64, Checkpoint>,
    /// The fencing number of the scheduler.
    pub fence: u64,
}

impl World {
    /// A world of `count` engines with `slots` slots.
    pub fn new(count: usize, slots: u32, pace: Duration) -> Self {
        let mut world = Self {
            now: Instant::from_millis(1_000_000),
            scheduler: Scheduler::default(),
            engines: BTreeMap::new(),
            lengths: BTreeMap::new(),
            listed: BTreeMap::new(),
            loads: 0,
            stops: BTreeMap::new(),
            most_loading: 0,
            may_command: true,
            names: BTreeMap::new(),
            runs: BTreeMap::new(),
            writes: Vec::new(),
            submissions: BTreeMap::new(),
            made: BTreeMap::new(),
            saved: BTreeMap::new(),
            fence: 1,
        };
        for number in 0..count {
            let name = format!("e{number:02}");
            let engine = Engine {
                pace,
                is_silent: false,
                version: 1,
                loading: None,
            };
            world.engines.insert(name.clone(), engine);
            world.enter(&name, slots, State::Ready);
        }
        world
    }

    /// Enters an engine in the scheduler.
    pub fn enter(&mut self, name: &str, slots: u32, state: State) {
        let registration = Registration {
            instance: name.to_owned(),
            started_at_ms: Some(1),
            service: "pool".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            domain: "here".to_owned(),
            slots,
            state,
            models: BTreeMap::from([(MODEL.to_owned(), self.engines[name].version)]),
        };
        self.scheduler.register_engine(self.now, registration);
    }

    /// Submits a step: groups of items with their lengths. Hints are right.
    pub fn submit(&mut self, id: &str, min_version: u64, target: usize, groups: &[(&str, &[u64])]) {
        let mut items = Vec::new();
        for (group, lengths) in groups {
            for (number, length) in lengths.iter().enumerate() {
                let item = format!("{group}.{number}");
                self.lengths.insert(item.clone(), *length);
                items.push(Item {
                    id: item,
                    path: "/batch/x".to_owned(),
                    headers: Vec::new(),
                    body: bytes::Bytes::new(),
                    tokens: *length,
                    hint: Some(*length),
                    group: Some((*group).to_owned()),
                });
            }
        }
        let submission = Submission {
            host: "app".to_owned(),
            model: Some(MODEL.to_owned()),
            min_version: Some(min_version),
            target_groups: Some(target),
            items,
            with_result: BTreeSet::new(),
            is_single_version: false,
            max_attempts: 3,
            expires: self.now.after(Duration::from_mins(1)),
        };
        self.submissions.insert(id.to_owned(), submission);
        self.listed.insert(id.to_owned(), Vec::new());
        self.take_in(id);
    }

    fn take_in(&mut self, id: &str) {
        let mut submission = self.submissions[id].clone();
        submission.with_result = self.listed[id].iter().map(|l| l.item.clone()).collect();
        let route = |_: &str, _: &str| Some("pool".to_owned());
        let batch = self.scheduler.submit(self.now, submission, route);
        self.names.insert(batch, id.to_owned());
    }

    /// Saves text of unfinished items.
    pub fn save(&mut self) {
        let number = self.scheduler.checkpoint_count();
        if let Some(checkpoint) = self.scheduler.checkpoint(self.fence, usize::MAX) {
            self.saved.insert(number % CHECKPOINT_SLOTS, checkpoint);
        }
    }

    /// Loses the scheduler. Another takes over the open batches with the text that was saved.
    pub fn take_over(&mut self, versions: u64) {
        self.fence += 1;
        self.scheduler = Scheduler::default();
        self.runs.clear();
        self.writes.clear();
        let names: Vec<String> = self.engines.keys().cloned().collect();
        for name in names {
            self.enter(&name, 4, State::Ready);
            self.engines.get_mut(&name).expect("it is there").loading = None;
        }
        self.scheduler.version_announced(MODEL, versions);
        let saved: Vec<Checkpoint> = self.saved.values().cloned().collect();
        let newest = saved.iter().map(|found| found.fence).max();
        for found in saved.iter().filter(|found| Some(found.fence) == newest) {
            self.scheduler
                .restore_past_groups(self.now, found.groups.clone());
        }
        for (item, text) in join_segments(saved) {
            self.scheduler.restore_partial_text(self.now, item, text);
        }
        let open: Vec<String> = std::mem::take(&mut self.names).into_values().collect();
        for id in open {
            self.take_in(&id);
        }
    }

    /// Whether results are on their way to the store.
    pub fn is_writing(&self) -> bool {
        !self.writes.is_empty()
    }

    /// Ends a step, as its trainer does.
    pub fn end(&mut self, id: &str) {
        let key = self.names.iter().find(|(_, name)| *name == id);
        let key = key.map(|(key, _)| *key).expect("the batch is open");
        self.names.remove(&key);
        self.scheduler.end_batch(self.now, key);
    }

    /// Groups whose items are all listed.
    pub fn whole_groups(&self, id: &str) -> usize {
        let mut groups: BTreeMap<&str, usize> = BTreeMap::new();
        for result in &self.listed[id] {
            let group = result.item.split('.').next().unwrap_or_default();
            *groups.entry(group).or_default() += 1;
        }
        let size = |group: &str| {
            let of_group = |item: &&String| item.split('.').next() == Some(group);
            self.lengths.keys().filter(of_group).count()
        };
        groups
            .iter()
            .filter(|(group, count)| **count == size(group))
            .count()
    }

    /// Turns until `groups` groups of a step are whole. Returns how long it took.
    pub fn until_whole(&mut self, id: &str, groups: usize) -> Duration {
        let start = self.now;
        while self.whole_groups(id) < groups {
            self.turn();
            assert!(
                self.now.since(start) < Duration::from_mins(2),
                "{id} is never whole: {:?}",
                self.listed[id].len()
            );
        }
        self.now.since(start)
    }

    /// Turns for a while.
    pub fn pass(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.turn();
        }
    }

    /// One turn.
    pub fn turn(&mut self) {
        self.now = self.now.after(TICK);
        self.finish_loads();
        self.run_engines();
        let (due, waiting) = std::mem::take(&mut self.writes)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.writes = waiting;
        let due: Vec<(Instant, BatchKey, Vec<ItemResult>)> = due;
        for (_, batch, results) in due {
            if let Some(id) = self.names.get(&batch) {
                for result in &results {
                    self.check(id, result);
                }
                self.listed.entry(id.clone()).or_default().extend(results);
            }
            self.scheduler.results_written(batch);
        }
        for action in self.scheduler.poll(self.now, self.may_command) {
            self.perform(action);
        }
    }

    fn check(&self, id: &str, result: &ItemResult) {
        let known = &self.listed[id];
        assert!(
            known.iter().all(|found| found.item != result.item),
            "{} is listed twice",
            result.item
        );
        if result.ending == Ending::Aborted {
            return;
        }
        let length = self.lengths[&result.item];
        let whole: Vec<String> = (1..=length).map(|n| n.to_string()).collect();
        assert_eq!(result.text, whole.join("\n"), "{}", result.item);
        let min = self.submissions[id].min_version.unwrap_or(0);
        assert!(
            result.versions.iter().all(|version| *version >= min),
            "{} of {id} has versions {:?}, {min} is the oldest allowed",
            result.item,
            result.versions
        );
        let made: BTreeSet<u64> = self.made[&result.item].values().copied().collect();
        let made: Vec<u64> = made.into_iter().collect();
        assert_eq!(result.versions, made, "{}", result.item);
    }

    fn finish_loads(&mut self) {
        for engine in self.engines.values_mut() {
            if let Some((at, version, key)) = engine.loading
                && at <= self.now
            {
                engine.loading = None;
                if engine.is_silent {
                    self.scheduler.command_failed(self.now, key);
                } else {
                    engine.version = version;
                    self.scheduler.weights_loaded(key, MODEL, version);
                }
            }
        }
    }

    fn run_engines(&mut self) {
        let due: Vec<u64> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                let engine = &self.engines[&run.engine];
                run.at <= self.now && !engine.is_silent && engine.loading.is_none()
            })
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            let run = self.runs.get_mut(&number).expect("it was just there");
            let engine = &self.engines[&run.engine];
            if run.next > self.lengths[&run.item] {
                self.runs.remove(&number);
                self.scheduler.run_finished(self.now, number);
                continue;
            }
            let data = run.next.to_string();
            let version = Some(engine.version);
            let is_wanted = self
                .scheduler
                .record_event(self.now, number, run.next, &data, version);
            let made = self.made.entry(run.item.clone()).or_default();
            drop(made.split_off(&run.next));
            made.insert(run.next, engine.version);
            run.next += 1;
            run.at = self.now.after(engine.pace);
            if !is_wanted {
                self.runs.remove(&number);
            }
        }
    }

    /// Breaks all runs of an engine, as a crash does.
    pub fn crash(&mut self, name: &str) {
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
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Start {
                run,
                engine: key,
                item,
                after,
                ..
            } => {
                let registration = self
                    .scheduler
                    .registration(key)
                    .expect("the engine is known");
                let engine = registration.instance.clone();
                let is_elsewhere = self.runs.values().any(|other| other.item == item.id);
                assert!(!is_elsewhere, "{} runs twice", item.id);
                let pace = self.engines[&engine].pace;
                let next = after.unwrap_or(0) + 1;
                let at = self.now.after(pace);
                let item = item.id.clone();
                let started = Run {
                    engine,
                    item,
                    next,
                    at,
                };
                self.runs.insert(run, started);
            }
            Action::Stop { run, reason } => {
                self.runs.remove(&run);
                *self.stops.entry(reason).or_default() += 1;
            }
            Action::WriteResults { batch, results } => {
                self.writes.push((self.now.after(WRITE), batch, results));
            }
            Action::LoadWeights {
                engine: key,
                version,
                ..
            } => {
                let registration = self
                    .scheduler
                    .registration(key)
                    .expect("the engine is known");
                let name = registration.instance.clone();
                if self.engines[&name].loading.is_some() {
                    // An engine that left and came back while it loads refuses a second order.
                    self.scheduler.command_failed(self.now, key);
                    return;
                }
                let loading = self.engines.values().filter(|e| e.loading.is_some());
                let count = loading.count() + 1;
                self.most_loading = self.most_loading.max(count);
                self.loads += 1;
                let factor = u32::try_from(count.div_ceil(2)).unwrap_or(1);
                let engine = self.engines.get_mut(&name).expect("the engine is known");
                engine.loading = Some((self.now.after(LOAD * factor), version, key));
            }
        }
    }
}
