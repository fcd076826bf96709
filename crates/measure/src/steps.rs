//! Simulates one trainer and the owner of its steps in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tamaracksail_model::config::Snapshot;
use tamaracksail_model::id::{self, Batch, Epoch, Generation, Nonce, Revision, Step, Version};
use tamaracksail_model::manifest::Set;
use tamaracksail_model::store::{self, CallResult, Op, Reply};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::process::lease::Claimant;
use tamaracksail_policy::version::head::{self, AcceptedChange, Head};
use tamaracksail_policy::version::ledger::Sample;
use tamaracksail_policy::version::owner::{
    Action, Counters, Event, Owner, Request, RequestId, Response, Settings,
};

/// The time of a call to the platform.
const PLATFORM_CALL_TIME: Duration = Duration::from_millis(5);

/// The delay before a trainer that is told to retry sends its next request.
const RETRY_DELAY: Duration = Duration::from_millis(200);

const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The parameters of a simulated training.
#[derive(Clone, Debug)]
pub struct Parameters {
    pub groups: u32,
    pub group_size: u32,
    pub batch: u32,
    /// The number of samples that are generated at a time.
    pub parallel: u32,
    /// The latency percentile after which a sample is hedged and the cap on hedged samples, both in
    /// percent; `None` for no hedging.
    pub hedge: Option<(u32, u32)>,
    /// The staleness bound: the number of versions and the age.
    pub staleness_bound: (u64, Duration),
    /// The interval between new weights; `None` for no new weights.
    pub weights_interval: Option<Duration>,
    /// How long the trainer learns from a batch.
    pub learning_time: Duration,
    /// The median time to generate a sample that is not a straggler.
    pub median_latency: Duration,
    /// The percentage of samples that are stragglers.
    pub straggler_percent: u32,
    /// The factor by which stragglers take longer.
    pub straggler_factor: f64,
    /// The virtual time after which the simulation ends. Without new weights it ends earlier, when
    /// the first step is complete.
    pub time_limit: Duration,
    pub seed: u64,
}

/// The measurements of a simulated training.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The time until the first step was complete.
    pub step_completed_after: Option<Duration>,
    /// The total time that the trainer waited for batches.
    pub idle: Duration,
    pub elapsed: Duration,
    pub counters: Counters,
    /// The number of samples handed over to the trainer.
    pub samples_delivered: u64,
    /// The number of versions by which a sample was behind the newest one, summed over all samples.
    pub versions_behind: u64,
    /// The number of bytes written to the platform.
    pub bytes_written: u64,
}

/// An event of the simulation at a scheduled time.
enum Scheduled {
    Stored(Reply),
    Sampled {
        step: Step,
        slot: id::Slot,
        copy: u32,
        version: Version,
        requested_at: Instant,
    },
    Request,
    NewWeights,
    Tick,
}

fn manifest(version: u64, parameters: &Parameters) -> Snapshot {
    let (versions, age) = (
        parameters.staleness_bound.0,
        parameters.staleness_bound.1.as_secs(),
    );
    let hedge = parameters
        .hedge
        .map_or_else(String::new, |(percentile, cap)| {
            format!(
                "---\nkind: Rule\nname: hedge\n\
             spec: {{type: hedge, trainer: t, percentile: {percentile}, cap_percent: {cap}}}\n"
            )
        });
    let text = format!(
        "kind: Model\nname: m\nspec: {{serve: v{version}}}\n---\n\
         kind: Version\nname: v{version}\nspec: {{model: m, number: {version}}}\n---\n\
         kind: Trainer\nname: t\nspec: {{model: m, batch: {}}}\n---\n\
         kind: Rule\nname: bound\n\
         spec: {{type: staleness, trainer: t, versions: {versions}, seconds: {age}}}\n{hedge}",
        parameters.batch
    );
    let mut set = Set::default();
    set.add("measure.yaml", &text);
    let objects = set.finish().expect("the manifest is consistent");
    Snapshot {
        generation: Generation(version),
        objects,
    }
}

/// Draws the time to generate a sample from a log-normal distribution with stragglers.
pub fn draw_latency(random: &mut SmallRng, parameters: &Parameters) -> Duration {
    // The sum of twelve uniform draws minus six is close to a standard normal draw.
    let normal: f64 = (0..12).map(|_| random.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    let usual = parameters.median_latency.mul_f64((0.3 * normal).exp());
    if random.random_range(0..100) < parameters.straggler_percent {
        usual.mul_f64(parameters.straggler_factor)
    } else {
        usual
    }
}

/// The state of a simulated training.
struct Simulation<'a> {
    parameters: &'a Parameters,
    random: SmallRng,
    now: Instant,
    start: Instant,
    owner: Owner,
    objects: BTreeMap<String, (Revision, Vec<u8>)>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    /// The events of `queue` by their ids.
    scheduled: BTreeMap<u64, Scheduled>,
    /// The last number used for an event, a request or a payload.
    last_id: u64,
    /// The newest version of the weights.
    version: u64,
    step: Step,
    is_open: bool,
    /// The last batch that the trainer received.
    last_batch: (Batch, Epoch),
    /// When the trainer started to wait for a batch.
    waiting_since: Instant,
    outcome: Outcome,
    cancelled: BTreeSet<(id::Slot, u32)>,
}

impl Simulation<'_> {
    fn schedule(&mut self, after: Duration, event: Scheduled) {
        self.last_id += 1;
        self.scheduled.insert(self.last_id, event);
        self.queue
            .push(Reverse((self.now.after(after), self.last_id)));
    }

    /// Publishes the newest version on the platform.
    fn publish_version(&mut self) {
        let generation = Generation(self.version);
        let accepted = AcceptedChange {
            generation,
            change: Nonce(self.version),
            prefix: Nonce(self.version),
            author: String::new(),
            at: self.now,
            objects: Vec::new(),
            parts: 1,
        };
        let value = store::encode(&Head {
            history: vec![accepted],
        });
        self.objects
            .insert(head::HEAD_KEY.to_owned(), (Revision(self.version), value));
        let config = Arc::new(manifest(self.version, self.parameters));
        self.handle_owner_event(Event::Config(config));
    }

    /// Makes a call of the owner to the platform.
    fn call(&mut self, call: store::Call) {
        let current = self.objects.get(&call.key).cloned();
        let result = match (call.op, current) {
            (Op::Get, None) => CallResult::Missing,
            (Op::Get, Some((revision, value))) => CallResult::Value { revision, value },
            (Op::Put { revision, value }, current) => {
                self.outcome.bytes_written += value.len() as u64;
                let at = current.map_or(Revision(0), |(at, _)| at);
                if at == revision {
                    self.objects.insert(call.key, (at.next(), value));
                    CallResult::Written {
                        revision: at.next(),
                    }
                } else {
                    CallResult::Conflict
                }
            }
        };
        let reply = Reply {
            call_id: call.call_id,
            result,
        };
        self.schedule(PLATFORM_CALL_TIME, Scheduled::Stored(reply));
    }

    fn handle_owner_event(&mut self, event: Event) {
        for action in self.owner.handle(self.now, event) {
            match action {
                Action::Store(call) => self.call(call),
                Action::Generate {
                    step, slot, copy, ..
                } => {
                    let latency = draw_latency(&mut self.random, self.parameters);
                    let (version, requested_at) = (Version(self.version), self.now);
                    self.schedule(
                        latency,
                        Scheduled::Sampled {
                            step,
                            slot,
                            copy,
                            version,
                            requested_at,
                        },
                    );
                }
                Action::Cancel { slot, copy, .. } => drop(self.cancelled.insert((slot, copy))),
                Action::Respond(_, response) => self.receive(response),
                Action::Discard(_) | Action::Released => {}
            }
        }
    }

    /// Handles a response of the owner to the trainer.
    fn receive(&mut self, response: Response) {
        match response {
            Response::Opened(_) => {
                self.is_open = true;
                self.schedule(Duration::ZERO, Scheduled::Request);
            }
            Response::Batch {
                batch,
                epoch,
                samples,
                ..
            } => {
                self.last_batch = (batch, epoch);
                for (_, sample) in samples {
                    let oldest = sample.versions.first().map_or(0, |version| version.0);
                    self.outcome.samples_delivered += 1;
                    self.outcome.versions_behind += self.version - oldest;
                }
                self.outcome.idle += self.now.since(self.waiting_since);
                self.waiting_since = self.now.after(self.parameters.learning_time);
                self.schedule(self.parameters.learning_time, Scheduled::Request);
            }
            Response::Complete(_) => {
                let elapsed = self.now.since(self.start);
                self.outcome.step_completed_after.get_or_insert(elapsed);
                self.step = self.step.next();
                self.is_open = false;
                self.cancelled.clear();
                self.schedule(Duration::ZERO, Scheduled::Request);
            }
            _ => self.schedule(RETRY_DELAY, Scheduled::Request),
        }
    }

    fn send_request(&mut self) {
        let request = if self.is_open {
            Request::NextBatch {
                batch: self.last_batch.0,
                epoch: self.last_batch.1,
            }
        } else {
            Request::Open {
                step: self.step,
                prompts: (0..self.parameters.groups)
                    .map(|group| format!("{group}"))
                    .collect(),
                group_size: self.parameters.group_size,
            }
        };
        self.last_id += 1;
        let request_id = RequestId(self.last_id);
        self.handle_owner_event(Event::RequestReceived(request_id, request));
    }

    fn handle_scheduled(&mut self, event: Scheduled) {
        match event {
            Scheduled::Stored(reply) => self.handle_owner_event(Event::Stored(reply)),
            Scheduled::Sampled {
                step,
                slot,
                copy,
                version,
                requested_at,
            } => {
                if self.cancelled.remove(&(slot, copy)) {
                    return;
                }
                self.last_id += 1;
                let sample = Sample {
                    payload: Nonce(self.last_id),
                    shelves: Vec::new(),
                    versions: BTreeSet::from([version]),
                    requested_at,
                    score: None,
                };
                self.handle_owner_event(Event::Sampled {
                    step,
                    slot,
                    copy,
                    sample: Some(sample),
                });
            }
            Scheduled::Request => self.send_request(),
            Scheduled::NewWeights => {
                self.version += 1;
                self.publish_version();
                if let Some(period) = self.parameters.weights_interval {
                    self.schedule(period, Scheduled::NewWeights);
                }
            }
            Scheduled::Tick => {
                self.handle_owner_event(Event::Tick);
                self.schedule(TICK_INTERVAL, Scheduled::Tick);
            }
        }
    }
}

/// Simulates a training.
pub fn run(parameters: &Parameters) -> Outcome {
    let start = Instant::from_millis(1_000_000);
    let claimant = Claimant {
        host: "entry-1".into(),
        incarnation: id::Incarnation(1),
    };
    let settings = Settings {
        trainer: "t".into(),
        claimant,
        parallel: parameters.parallel,
    };
    let mut simulation = Simulation {
        parameters,
        random: SmallRng::seed_from_u64(parameters.seed),
        now: start,
        start,
        owner: Owner::new(settings),
        objects: BTreeMap::new(),
        queue: BinaryHeap::new(),
        scheduled: BTreeMap::new(),
        last_id: 0,
        version: 1,
        step: Step(1),
        is_open: false,
        last_batch: (Batch(0), Epoch(0)),
        waiting_since: start,
        outcome: Outcome::default(),
        cancelled: BTreeSet::new(),
    };
    simulation.publish_version();
    simulation.schedule(Duration::ZERO, Scheduled::Request);
    simulation.schedule(TICK_INTERVAL, Scheduled::Tick);
    if let Some(period) = parameters.weights_interval {
        simulation.schedule(period, Scheduled::NewWeights);
    }
    while let Some(Reverse((at, key))) = simulation.queue.pop() {
        let is_finished = parameters.weights_interval.is_none()
            && simulation.outcome.step_completed_after.is_some();
        if at.since(start) >= parameters.time_limit || is_finished {
            break;
        }
        simulation.now = at;
        if let Some(event) = simulation.scheduled.remove(&key) {
            simulation.handle_scheduled(event);
        }
    }
    simulation.outcome.elapsed = simulation.now.since(start);
    simulation.outcome.counters = simulation.owner.counters();
    simulation.outcome
}
