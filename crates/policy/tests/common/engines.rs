//! A simulation of engines, trainers and the store in virtual time, around a real scheduler.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::batch::{Ending, Item, ItemResult, SubmissionRoute};
use tamaracksail_model::checkpoint::Checkpoint;
use tamaracksail_model::pace::Reading;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::batch::{
    Action, BatchKey, CHECKPOINT_SLOTS, EngineKey, Failure, Scheduler, Submission, join_segments,
};

/// The virtual time that passes in one tick.
const TICK: Duration = Duration::from_millis(5);

/// How long a write to the store takes.
const WRITE_TIME: Duration = Duration::from_millis(15);

/// How long a load of weights takes while at most two are in progress. More take longer in
/// proportion.
const PAIR_LOAD_TIME: Duration = Duration::from_millis(900);

/// The model that all engines hold.
pub const MODEL: &str = "drafts";

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct SimulatedEngine {
    /// The time between two events of a run.
    pub event_interval: Duration,
    /// Whether it sends nothing, without any connection breaking.
    pub is_silent: bool,
    /// The version of its weights.
    pub version: u64,
    /// The version of its software.
    pub software: &'static str,
    /// When the load in progress ends, its version, and the engine's key in the scheduler.
    loading: Option<(Instant, u64, EngineKey)>,
}

/// A run on a simulated engine.
#[derive(Clone, Debug)]
struct Run {
    engine: String,
    item: String,
    /// The id of the next event.
    next: u64,
    /// When the next event is sent.
    due_at: Instant,
}

/// Returns how long work takes at the engine with this name.
fn pace_of(pace: Option<fn(usize, Instant) -> f64>, engine: &str, now: Instant) -> f64 {
    let number = engine[1..].parse().expect("a number follows the letter");
    pace.map_or(1.0, |pace| pace(number, now))
}

/// The simulation. It checks each start and each result.
pub struct Simulation {
    pub now: Instant,
    pub scheduler: Scheduler,
    pub engines: BTreeMap<String, SimulatedEngine>,
    /// The number of events in each item's complete text.
    pub event_counts: BTreeMap<String, u64>,
    /// Durable results by batch.
    pub results: BTreeMap<String, Vec<ItemResult>>,
    /// The number of loads started.
    pub load_count: usize,
    /// The number of runs that the scheduler stopped, by reason.
    pub stops: BTreeMap<&'static str, usize>,
    /// The highest number of concurrent loads.
    pub max_concurrent_loads: usize,
    /// How long work takes at an engine at a moment, by the engine's number. Without it, always normal.
    pub pace: Option<fn(usize, Instant) -> f64>,
    /// The engines in another failure domain.
    pub away: BTreeSet<String>,
    /// The number of runs that started on each engine.
    pub starts: BTreeMap<String, usize>,
    /// Whether engines state their pace in responses.
    pub states_pace: bool,
    /// Whether load commands may be sent.
    pub may_command: bool,
    /// How long a write to the store takes.
    pub write_time: Duration,
    /// The text of the results in the longest write, in bytes.
    pub longest_write: usize,
    /// The ids of open batches by their keys.
    open_batches: BTreeMap<BatchKey, String>,
    runs: BTreeMap<u64, Run>,
    /// Writes of results in progress, with the times when they are done.
    writes: Vec<(Instant, BatchKey, Vec<ItemResult>)>,
    submissions: BTreeMap<String, Submission>,
    /// The version that generated each event, by item.
    generated_by: BTreeMap<String, BTreeMap<u64, u64>>,
    /// The version of the software that began the present text, by item.
    began_at: BTreeMap<String, &'static str>,
    /// The stored checkpoints, by their index in the ring.
    checkpoints: BTreeMap<u64, Checkpoint>,
    /// The fencing token of the scheduler.
    pub fence: u64,
    /// The client account that submits batches.
    pub account: Option<&'static str>,
}

impl Simulation {
    /// Returns a simulation of `count` engines with `slots` slots each.
    pub fn new(count: usize, slots: u32, event_interval: Duration) -> Self {
        let mut simulation = Self {
            now: Instant::from_millis(1_000_000),
            scheduler: Scheduler::default(),
            engines: BTreeMap::new(),
            event_counts: BTreeMap::new(),
            results: BTreeMap::new(),
            load_count: 0,
            stops: BTreeMap::new(),
            max_concurrent_loads: 0,
            pace: None,
            away: BTreeSet::new(),
            starts: BTreeMap::new(),
            states_pace: false,
            may_command: true,
            write_time: WRITE_TIME,
            longest_write: 0,
            open_batches: BTreeMap::new(),
            runs: BTreeMap::new(),
            writes: Vec::new(),
            submissions: BTreeMap::new(),
            generated_by: BTreeMap::new(),
            began_at: BTreeMap::new(),
            checkpoints: BTreeMap::new(),
            fence: 1,
            account: None,
        };
        for number in 0..count {
            let name = format!("e{number:02}");
            let engine = SimulatedEngine {
                event_interval,
                is_silent: false,
                version: 1,
                software: "v1",
                loading: None,
            };
            simulation.engines.insert(name.clone(), engine);
            simulation.register(&name, slots, State::Ready);
        }
        simulation
    }

    /// Registers an engine with the scheduler.
    pub fn register(&mut self, name: &str, slots: u32, state: State) {
        let registration = Registration {
            instance: name.to_owned(),
            started_at_ms: Some(1),
            service: "pool".to_owned(),
            software: self.engines[name].software.to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            domain: if self.away.contains(name) {
                "there"
            } else {
                "here"
            }
            .to_owned(),
            slots,
            state,
            models: BTreeMap::from([(MODEL.to_owned(), self.engines[name].version)]),
        };
        self.scheduler.register_engine(self.now, registration);
    }

    /// Submits a step: groups of items, given by their numbers of events. The items' hints are
    /// exact.
    pub fn submit(&mut self, id: &str, min_version: u64, target: usize, groups: &[(&str, &[u64])]) {
        self.submit_with(id, min_version, target, groups, false);
    }

    /// Submits a step whose texts must each come from one version.
    pub fn submit_single_version(&mut self, id: &str, target: usize, groups: &[(&str, &[u64])]) {
        self.submit_with(id, 1, target, groups, true);
    }

    fn submit_with(
        &mut self,
        id: &str,
        min_version: u64,
        target: usize,
        groups: &[(&str, &[u64])],
        is_single_version: bool,
    ) {
        let mut items = Vec::new();
        for (group, lengths) in groups {
            for (number, length) in lengths.iter().enumerate() {
                let item = format!("{group}.{number}");
                self.event_counts.insert(item.clone(), *length);
                items.push(Item {
                    id: item,
                    path: "/batch/x".to_owned(),
                    headers: Vec::new(),
                    body: bytes::Bytes::new(),
                    tokens: *length,
                    hint: Some(*length),
                    group: Some((*group).to_owned()),
                    reward: None,
                });
            }
        }
        let submission = Submission {
            route: SubmissionRoute {
                host: "app".to_owned(),
                path: "/x".to_owned(),
                prefix: None,
            },
            account: self.account.map(str::to_owned),
            model: Some(MODEL.to_owned()),
            min_version: Some(min_version),
            target_groups: Some(target),
            items,
            with_result: BTreeSet::new(),
            is_single_version,
            max_attempts: 3,
            due: self.now.after(Duration::from_millis(7500)),
            expires: self.now.after(Duration::from_mins(1)),
        };
        self.submissions.insert(id.to_owned(), submission);
        self.results.insert(id.to_owned(), Vec::new());
        self.resubmit(id);
    }

    /// Changes when the results of a submitted step are due, as known to schedulers that take over.
    pub fn set_due(&mut self, id: &str, due: Instant) {
        let submission = self.submissions.get_mut(id);
        submission.expect("the step was submitted").due = due;
    }

    /// Submits a batch to the present scheduler, with the results that are durable.
    fn resubmit(&mut self, id: &str) {
        let mut submission = self.submissions[id].clone();
        submission.with_result = self.results[id]
            .iter()
            .map(|result| result.item.clone())
            .collect();
        let route = |_: &SubmissionRoute, _: Option<&str>| Some("pool".to_owned());
        let batch = self.scheduler.submit(self.now, submission, route);
        self.open_batches.insert(batch, id.to_owned());
    }

    /// Stores a checkpoint, if there is text to save.
    pub fn save_checkpoint(&mut self) {
        let number = self.scheduler.checkpoint_count();
        if let Some(checkpoint) = self.scheduler.checkpoint(self.fence, usize::MAX) {
            self.checkpoints
                .insert(number % CHECKPOINT_SLOTS, checkpoint);
        }
    }

    /// Replaces the scheduler by a new one, which takes over the open batches with the stored
    /// checkpoints.
    pub fn take_over(&mut self, version: u64) {
        self.fence += 1;
        self.scheduler = Scheduler::default();
        self.runs.clear();
        self.writes.clear();
        let names: Vec<String> = self.engines.keys().cloned().collect();
        for name in names {
            self.register(&name, 4, State::Ready);
            self.engines
                .get_mut(&name)
                .expect("the engine exists")
                .loading = None;
        }
        self.scheduler.version_announced(MODEL, version);
        let checkpoints: Vec<Checkpoint> = self.checkpoints.values().cloned().collect();
        let newest = checkpoints.iter().map(|found| found.fence).max();
        for found in checkpoints
            .iter()
            .filter(|found| Some(found.fence) == newest)
        {
            self.scheduler
                .restore_past_groups(self.now, found.groups.clone());
        }
        for (item, text) in join_segments(checkpoints) {
            self.scheduler.restore_partial_text(self.now, item, text);
        }
        let open: Vec<String> = std::mem::take(&mut self.open_batches)
            .into_values()
            .collect();
        for id in open {
            self.resubmit(&id);
        }
    }

    /// Whether a write of results is in progress.
    pub fn is_writing(&self) -> bool {
        !self.writes.is_empty()
    }

    /// Ends a step, as its trainer does.
    pub fn end(&mut self, id: &str) {
        let key = self.open_batches.iter().find(|(_, name)| *name == id);
        let key = key.map(|(key, _)| *key).expect("the batch is open");
        self.open_batches.remove(&key);
        self.scheduler.end_batch(self.now, key);
    }

    /// Returns the number of groups whose items all have a durable result.
    pub fn complete_groups(&self, id: &str) -> usize {
        let mut groups: BTreeMap<&str, usize> = BTreeMap::new();
        for result in &self.results[id] {
            let group = result.item.split('.').next().unwrap_or_default();
            *groups.entry(group).or_default() += 1;
        }
        let size = |group: &str| {
            let of_group = |item: &&String| item.split('.').next() == Some(group);
            self.event_counts.keys().filter(of_group).count()
        };
        groups
            .iter()
            .filter(|(group, count)| **count == size(group))
            .count()
    }

    /// Runs until `groups` groups of a step are complete. Returns how long it took.
    pub fn run_until_complete(&mut self, id: &str, groups: usize) -> Duration {
        let start = self.now;
        while self.complete_groups(id) < groups {
            self.tick();
            assert!(
                self.now.since(start) < Duration::from_mins(2),
                "{id} does not become complete; results so far: {:?}",
                self.results[id].len()
            );
        }
        self.now.since(start)
    }

    /// Runs for a span of virtual time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.tick();
        }
    }

    /// Runs one tick.
    pub fn tick(&mut self) {
        self.now = self.now.after(TICK);
        self.finish_loads();
        self.run_engines();
        let (due, waiting) = std::mem::take(&mut self.writes)
            .into_iter()
            .partition(|(due_at, ..)| *due_at <= self.now);
        self.writes = waiting;
        let due: Vec<(Instant, BatchKey, Vec<ItemResult>)> = due;
        for (_, batch, results) in due {
            if let Some(id) = self.open_batches.get(&batch) {
                for result in &results {
                    self.check(id, result);
                }
                self.results.entry(id.clone()).or_default().extend(results);
            }
            self.scheduler.results_written(self.now, batch);
        }
        for action in self.scheduler.poll(self.now, self.may_command) {
            self.perform(action);
        }
    }

    /// Checks that a result is the item's only one, complete, and generated by allowed versions.
    fn check(&self, id: &str, result: &ItemResult) {
        let known = &self.results[id];
        assert!(
            known.iter().all(|found| found.item != result.item),
            "{} has two results",
            result.item
        );
        if result.ending == Ending::Aborted {
            return;
        }
        let length = self.event_counts[&result.item];
        let expected: Vec<String> = (1..=length).map(|n| n.to_string()).collect();
        assert_eq!(result.text, expected.join("\n"), "{}", result.item);
        let min = self.submissions[id].min_version.unwrap_or(0);
        assert!(
            result.versions.iter().all(|version| *version >= min),
            "{} of {id} has versions {:?}, but {min} is the oldest allowed",
            result.item,
            result.versions
        );
        let generated_by: BTreeSet<u64> =
            self.generated_by[&result.item].values().copied().collect();
        let generated_by: Vec<u64> = generated_by.into_iter().collect();
        assert_eq!(result.versions, generated_by, "{}", result.item);
    }

    fn finish_loads(&mut self) {
        for engine in self.engines.values_mut() {
            if let Some((due_at, version, key)) = engine.loading
                && due_at <= self.now
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
                run.due_at <= self.now && !engine.is_silent && engine.loading.is_none()
            })
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            let run = self.runs.get_mut(&number).expect("the run exists");
            let engine = &self.engines[&run.engine];
            if run.next > self.event_counts[&run.item] {
                self.runs.remove(&number);
                self.scheduler.run_finished(self.now, number);
                continue;
            }
            let data = run.next.to_string();
            let version = Some(engine.version);
            let is_wanted = self
                .scheduler
                .record_event(self.now, number, run.next, &data, version);
            let generated_by = self.generated_by.entry(run.item.clone()).or_default();
            drop(generated_by.split_off(&run.next));
            generated_by.insert(run.next, engine.version);
            run.next += 1;
            let pace = pace_of(self.pace, &run.engine, self.now);
            run.due_at = self.now.after(engine.event_interval.mul_f64(pace));
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
                *self.starts.entry(engine.clone()).or_default() += 1;
                let event_interval = self.engines[&engine].event_interval;
                let next = after.unwrap_or(0) + 1;
                let pace = pace_of(self.pace, &engine, self.now);
                let due_at = self.now.after(event_interval.mul_f64(pace));
                if self.states_pace {
                    let reading = Reading::from_percent(pace * 100.0).expect("a usable figure");
                    self.scheduler.record_pace(self.now, run, reading);
                }
                let item = item.id.clone();
                let software = self.engines[&engine].software;
                if after.is_none() {
                    self.began_at.insert(item.clone(), software);
                }
                assert_eq!(self.began_at[&item], software, "{item} changes software");
                let started = Run {
                    engine,
                    item,
                    next,
                    due_at,
                };
                self.runs.insert(run, started);
            }
            Action::Discard { .. } | Action::Wait(_) => {}
            Action::Stop { run, reason } => {
                self.runs.remove(&run);
                *self.stops.entry(reason).or_default() += 1;
            }
            Action::WriteResults { batch, results } => {
                let bytes = results.iter().map(|result| result.text.len()).sum();
                self.longest_write = self.longest_write.max(bytes);
                self.writes
                    .push((self.now.after(self.write_time), batch, results));
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
                    // An engine that left and came back during a load refuses a second command.
                    self.scheduler.command_failed(self.now, key);
                    return;
                }
                let loading = self
                    .engines
                    .values()
                    .filter(|engine| engine.loading.is_some());
                let count = loading.count() + 1;
                self.max_concurrent_loads = self.max_concurrent_loads.max(count);
                self.load_count += 1;
                let factor = u32::try_from(count.div_ceil(2)).unwrap_or(1);
                let engine = self.engines.get_mut(&name).expect("the engine is known");
                engine.loading = Some((self.now.after(PAIR_LOAD_TIME * factor), version, key));
            }
        }
    }
}
