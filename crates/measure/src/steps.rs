//! One trainer and the owner of its steps under virtual time.

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

/// The way to the platform and back.
const PLATFORM: Duration = Duration::from_millis(5);

/// The pause of a trainer that is told to come back.
const PAUSE: Duration = Duration::from_millis(200);

const TICK: Duration = Duration::from_millis(100);

/// What is run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub groups: u32,
    pub group_size: u32,
    pub batch: u32,
    /// Samples that are made at a time.
    pub parallel: u32,
    /// Hedging: percentile and cap, both in percent.
    pub hedge: Option<(u32, u32)>,
    /// The staleness bound in versions, and its age.
    pub bound: (u64, Duration),
    /// The time between new weights; none: never.
    pub weights: Option<Duration>,
    /// How long the trainer learns from a batch.
    pub learn: Duration,
    /// The usual time of a sample, and the shares and factor of stragglers.
    pub latency: Duration,
    pub straggler_percent: u32,
    pub straggler_factor: f64,
    /// How long is run; a plan without new weights ends with its step.
    pub time: Duration,
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// When the first step was whole.
    pub whole_after: Option<Duration>,
    /// The time that the trainer waited.
    pub idle: Duration,
    pub elapsed: Duration,
    pub counters: Counters,
    /// Samples handed over, and their versions behind the newest in all.
    pub handed: u64,
    pub behind: u64,
    /// Bytes written to the ledger.
    pub written: u64,
}

enum Happening {
    Stored(Reply),
    Sampled {
        step: Step,
        slot: id::Slot,
        copy: u32,
        version: Version,
        at: Instant,
    },
    Request,
    Weights,
    Tick,
}

fn manifest(version: u64, plan: &Plan) -> Snapshot {
    let (versions, age) = (plan.bound.0, plan.bound.1.as_secs());
    let hedge = plan.hedge.map_or_else(String::new, |(percentile, cap)| {
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
        plan.batch
    );
    let mut set = Set::default();
    set.add("measure.yaml", &text);
    let objects = set.finish().expect("the manifest is consistent");
    Snapshot {
        generation: Generation(version),
        objects,
    }
}

/// The time of a sample: log-normal around the usual one, with stragglers.
pub fn draw_latency(random: &mut SmallRng, plan: &Plan) -> Duration {
    // Twelve uniform draws less six are close to a normal one.
    let normal: f64 = (0..12).map(|_| random.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    let usual = plan.latency.mul_f64((0.3 * normal).exp());
    if random.random_range(0..100) < plan.straggler_percent {
        usual.mul_f64(plan.straggler_factor)
    } else {
        usual
    }
}

struct World<'a> {
    plan: &'a Plan,
    random: SmallRng,
    now: Instant,
    start: Instant,
    owner: Owner,
    objects: BTreeMap<String, (Revision, Vec<u8>)>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    last: u64,
    version: u64,
    step: Step,
    is_open: bool,
    held: (Batch, Epoch),
    waits_since: Instant,
    outcome: Outcome,
    cancelled: BTreeSet<(id::Slot, u32)>,
}

impl World<'_> {
    fn push(&mut self, after: Duration, happening: Happening) {
        self.last += 1;
        self.happenings.insert(self.last, happening);
        self.queue.push(Reverse((self.now.after(after), self.last)));
    }

    fn accept(&mut self) {
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
        let config = Arc::new(manifest(self.version, self.plan));
        self.feed(Event::Config(config));
    }

    fn call(&mut self, call: store::Call) {
        let current = self.objects.get(&call.key).cloned();
        let result = match (call.op, current) {
            (Op::Get, None) => CallResult::Missing,
            (Op::Get, Some((revision, value))) => CallResult::Value { revision, value },
            (Op::Put { revision, value }, current) => {
                self.outcome.written += value.len() as u64;
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
        self.push(PLATFORM, Happening::Stored(reply));
    }

    fn feed(&mut self, event: Event) {
        for action in self.owner.handle(self.now, event) {
            match action {
                Action::Store(call) => self.call(call),
                Action::Generate {
                    step, slot, copy, ..
                } => {
                    let latency = draw_latency(&mut self.random, self.plan);
                    let (version, at) = (Version(self.version), self.now);
                    self.push(
                        latency,
                        Happening::Sampled {
                            step,
                            slot,
                            copy,
                            version,
                            at,
                        },
                    );
                }
                Action::Cancel { slot, copy, .. } => drop(self.cancelled.insert((slot, copy))),
                Action::Respond(_, response) => self.receive(response),
                Action::Discard(_) | Action::Released => {}
            }
        }
    }

    fn receive(&mut self, response: Response) {
        match response {
            Response::Opened(_) => {
                self.is_open = true;
                self.push(Duration::ZERO, Happening::Request);
            }
            Response::Batch {
                batch,
                epoch,
                samples,
                ..
            } => {
                self.held = (batch, epoch);
                for (_, sample) in samples {
                    let oldest = sample.versions.first().map_or(0, |version| version.0);
                    self.outcome.handed += 1;
                    self.outcome.behind += self.version - oldest;
                }
                self.outcome.idle += self.now.since(self.waits_since);
                self.waits_since = self.now.after(self.plan.learn);
                self.push(self.plan.learn, Happening::Request);
            }
            Response::Complete(_) => {
                let elapsed = self.now.since(self.start);
                self.outcome.whole_after.get_or_insert(elapsed);
                self.step = self.step.next();
                self.is_open = false;
                self.cancelled.clear();
                self.push(Duration::ZERO, Happening::Request);
            }
            _ => self.push(PAUSE, Happening::Request),
        }
    }

    fn send_request(&mut self) {
        let request = if self.is_open {
            Request::NextBatch {
                batch: self.held.0,
                epoch: self.held.1,
            }
        } else {
            Request::Open {
                step: self.step,
                prompts: (0..self.plan.groups)
                    .map(|group| format!("{group}"))
                    .collect(),
                group_size: self.plan.group_size,
            }
        };
        self.last += 1;
        let request_id = RequestId(self.last);
        self.feed(Event::RequestReceived(request_id, request));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Stored(reply) => self.feed(Event::Stored(reply)),
            Happening::Sampled {
                step,
                slot,
                copy,
                version,
                at,
            } => {
                if self.cancelled.remove(&(slot, copy)) {
                    return;
                }
                self.last += 1;
                let sample = Sample {
                    payload: Nonce(self.last),
                    shelves: Vec::new(),
                    versions: BTreeSet::from([version]),
                    requested_at: at,
                    score: None,
                };
                self.feed(Event::Sampled {
                    step,
                    slot,
                    copy,
                    sample: Some(sample),
                });
            }
            Happening::Request => self.send_request(),
            Happening::Weights => {
                self.version += 1;
                self.accept();
                if let Some(period) = self.plan.weights {
                    self.push(period, Happening::Weights);
                }
            }
            Happening::Tick => {
                self.feed(Event::Tick);
                self.push(TICK, Happening::Tick);
            }
        }
    }
}

/// Runs a plan.
pub fn run(plan: &Plan) -> Outcome {
    let start = Instant::from_millis(1_000_000);
    let claimant = Claimant {
        host: "entry-1".into(),
        incarnation: id::Incarnation(1),
    };
    let settings = Settings {
        trainer: "t".into(),
        claimant,
        parallel: plan.parallel,
    };
    let mut world = World {
        plan,
        random: SmallRng::seed_from_u64(plan.seed),
        now: start,
        start,
        owner: Owner::new(settings),
        objects: BTreeMap::new(),
        queue: BinaryHeap::new(),
        happenings: BTreeMap::new(),
        last: 0,
        version: 1,
        step: Step(1),
        is_open: false,
        held: (Batch(0), Epoch(0)),
        waits_since: start,
        outcome: Outcome::default(),
        cancelled: BTreeSet::new(),
    };
    world.accept();
    world.push(Duration::ZERO, Happening::Request);
    world.push(TICK, Happening::Tick);
    if let Some(period) = plan.weights {
        world.push(period, Happening::Weights);
    }
    while let Some(Reverse((at, key))) = world.queue.pop() {
        let is_over = plan.weights.is_none() && world.outcome.whole_after.is_some();
        if at.since(start) >= plan.time || is_over {
            break;
        }
        world.now = at;
        if let Some(happening) = world.happenings.remove(&key) {
            world.happen(happening);
        }
    }
    world.outcome.elapsed = world.now.since(start);
    world.outcome.counters = world.owner.counters();
    world.outcome
}
