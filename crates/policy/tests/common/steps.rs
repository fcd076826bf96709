//! The harness of training steps: two hosts that may own a trainer's steps, the platform, shelves,
//! the trainer and a scoring service.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use tamaracksail_model::config::Snapshot;
use tamaracksail_model::id::{self, Batch, Epoch, Generation, Nonce, Revision, Step, Version};
use tamaracksail_model::manifest::Set;
use tamaracksail_model::object::{self as spec, Key, Kind, Rule, Spec};
use tamaracksail_model::store::{self, Call, CallResult, Reply};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::process::lease::Claimant;
use tamaracksail_policy::version::head::{self, AcceptedChange, Head};
use tamaracksail_policy::version::ledger::Sample;
use tamaracksail_policy::version::owner::{
    Action, Event, Owner, Request, RequestId, Response, Settings,
};

use super::platform::Platform;

pub const HOSTS: usize = 2;
pub const GROUPS: u32 = 3;
pub const GROUP_SIZE: u32 = 2;
pub const SLOTS: usize = (GROUPS * GROUP_SIZE) as usize;

/// How long faults last.
pub const FAULT_DURATION: Duration = Duration::from_secs(15);

/// The time that the owner may take from reading the newest generation to handing over a batch.
const GENERATION_CHECK_VALIDITY: Duration = Duration::from_secs(1);

/// A fault. The match in [`StepHarness::inject`] is exhaustive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    OwnerKilled,
    OwnerFrozen,
    PlatformDown,
    PlatformSlow,
    AnswerLost,
    ResponseLost,
    ResponseDoubled,
    ResponseLate,
    ShelfLost,
    SampleFails,
    SampleLate,
    TrainerDies,
    TrainerAsksOther,
    NewWeights,
    BoundTightened,
}

impl Fault {
    pub const ALL: [Self; 15] = [
        Self::OwnerKilled,
        Self::OwnerFrozen,
        Self::PlatformDown,
        Self::PlatformSlow,
        Self::AnswerLost,
        Self::ResponseLost,
        Self::ResponseDoubled,
        Self::ResponseLate,
        Self::ShelfLost,
        Self::SampleFails,
        Self::SampleLate,
        Self::TrainerDies,
        Self::TrainerAsksOther,
        Self::NewWeights,
        Self::BoundTightened,
    ];
}

impl Fault {
    /// Returns whether the fault concerns the response that is sent by the step.
    fn concerns_response(self) -> bool {
        matches!(
            self,
            Self::ResponseLost | Self::ResponseDoubled | Self::ResponseLate | Self::TrainerDies
        )
    }
}

/// A call, message or result in flight.
#[derive(Clone, Debug)]
pub enum Delivery {
    Call {
        host: usize,
        incarnation: u64,
        call: Call,
    },
    Reply {
        host: usize,
        incarnation: u64,
        reply: Reply,
    },
    Sample {
        host: usize,
        incarnation: u64,
        step: Step,
        slot: id::Slot,
        copy: u32,
    },
    Request {
        host: usize,
        id: RequestId,
        request: Request,
    },
    Response {
        id: RequestId,
        response: Response,
    },
}

/// The trainer. What it has received survives its restarts.
#[derive(Clone, Debug, Default)]
pub struct Trainer {
    pub step: Step,
    pub is_open: bool,
    pub held: (Batch, Epoch),
    /// How many times the trainer received the sample of each slot.
    pub received_count: BTreeMap<id::Slot, u32>,
    pub is_complete: bool,
    /// The drafts that a scoring service received last.
    pub drafts: Vec<Sample>,
    /// The number of scores that were recorded.
    pub scored: u32,
    /// The refusals that a scoring service received.
    pub refused: Vec<String>,
    target_host: usize,
    pending_request: Option<RequestId>,
    requested_at: Instant,
}

pub struct StepHarness {
    pub now: Instant,
    pub owners: Vec<Owner>,
    incarnations: Vec<u64>,
    pub platform: Platform,
    pub queue: VecDeque<Delivery>,
    pub trainer: Trainer,
    pub trace: Vec<&'static str>,
    pub violations: Vec<String>,
    schedule: BTreeMap<usize, Fault>,
    frozen: BTreeMap<usize, Instant>,
    late: Vec<(Instant, Delivery)>,
    platform_up_at: Option<Instant>,
    platform_slow_until: Instant,
    payloads: BTreeSet<Nonce>,
    /// The contents of each batch and epoch when they were first handed over.
    first_contents: BTreeMap<(Batch, Epoch), Vec<Nonce>>,
    failing_samples: u32,
    late_samples: u32,
    last_payload: u64,
    last_request_id: u64,
    last_incarnation: u64,
    /// The accepted configurations, each with the time of its acceptance.
    pub accepted: Vec<(Instant, Arc<Snapshot>)>,
}

fn config_snapshot(version: u64, max_versions_behind: u64) -> Snapshot {
    let text = format!(
        "kind: Domain\nname: a\nspec: {{region: r}}\n---\n\
         kind: Model\nname: m\nspec: {{serve: v{version}}}\n---\n\
         kind: Version\nname: v{version}\nspec: {{model: m, number: {version}}}\n---\n\
         kind: Trainer\nname: t\nspec: {{model: m, batch: 4}}\n---\n\
         kind: Rule\nname: bound\n\
         spec: {{type: staleness, trainer: t, versions: {max_versions_behind}, seconds: 60}}\n---\n\
         kind: Rule\nname: hedge\n\
         spec: {{type: hedge, trainer: t, percentile: 90, cap_percent: 50}}\n"
    );
    let mut set = Set::default();
    set.add("harness.yaml", &text);
    let objects = set.finish().expect("the manifest is consistent");
    Snapshot {
        generation: Generation(0),
        objects,
    }
}

impl StepHarness {
    pub fn new(schedule: BTreeMap<usize, Fault>) -> Self {
        let mut harness = Self {
            now: Instant::from_millis(1_000_000),
            owners: Vec::new(),
            incarnations: Vec::new(),
            platform: Platform::default(),
            queue: VecDeque::new(),
            trainer: Trainer {
                step: Step(1),
                ..Trainer::default()
            },
            trace: Vec::new(),
            violations: Vec::new(),
            schedule,
            frozen: BTreeMap::new(),
            late: Vec::new(),
            platform_up_at: None,
            platform_slow_until: Instant::default(),
            payloads: BTreeSet::new(),
            first_contents: BTreeMap::new(),
            failing_samples: 0,
            late_samples: 0,
            last_payload: 0,
            last_request_id: 0,
            last_incarnation: 0,
            accepted: Vec::new(),
        };
        harness.accept(1, 1);
        for host in 0..HOSTS {
            let owner = harness.new_owner(host);
            harness.owners.push(owner);
            harness.incarnations.push(harness.last_incarnation);
        }
        harness
    }

    fn new_owner(&mut self, host: usize) -> Owner {
        self.last_incarnation += 1;
        let mut owner = Owner::new(Settings {
            trainer: "t".into(),
            claimant: Claimant {
                host: format!("entry-{host}").as_str().into(),
                incarnation: id::Incarnation(self.last_incarnation),
            },
            parallel: 3,
        });
        let config = Arc::clone(&self.accepted.last().expect("there is a configuration").1);
        owner.handle(self.now, Event::Config(config));
        owner
    }

    /// Publishes a configuration with these parameters. Owners get it when time advances.
    fn accept(&mut self, version: u64, max_versions_behind: u64) {
        self.publish(config_snapshot(version, max_versions_behind));
    }

    fn publish(&mut self, mut snapshot: Snapshot) {
        let generation = Generation(self.accepted.len() as u64 + 1);
        snapshot.generation = generation;
        let head = Head {
            history: vec![AcceptedChange {
                generation,
                change: Nonce(generation.0),
                prefix: Nonce(generation.0),
                author: "operator".to_owned(),
                at: self.now,
                objects: Vec::new(),
                parts: 1,
            }],
        };
        let revision = Revision(generation.0);
        let value = store::encode(&head);
        self.platform
            .objects
            .insert(head::HEAD_KEY.to_owned(), (revision, value));
        self.accepted.push((self.now, Arc::new(snapshot)));
    }

    fn newest(&self) -> Arc<Snapshot> {
        Arc::clone(&self.accepted.last().expect("there is a configuration").1)
    }

    fn version(&self) -> Version {
        self.newest()
            .target_version(&"m".into())
            .expect("the model is declared")
    }

    fn is_frozen(&self, host: usize) -> bool {
        self.frozen
            .get(&host)
            .is_some_and(|until| self.now < *until)
    }

    pub fn feed(&mut self, host: usize, event: Event) {
        let incarnation = self.incarnations[host];
        for action in self.owners[host].handle(self.now, event) {
            if self.incarnations[host] != incarnation {
                return; // The owner was killed before it could act.
            }
            self.apply_action(host, action);
        }
    }

    fn apply_action(&mut self, host: usize, action: Action) {
        // The match is exhaustive, so that each new action or response becomes a step.
        let name = match &action {
            Action::Store(call) if call.key.starts_with("ledger/") => match call.op {
                store::Op::Get => "owner.read-ledger",
                store::Op::Put { .. } => "owner.write-ledger",
            },
            Action::Store(_) => "owner.store",
            Action::Generate { .. } => "owner.generate",
            Action::Cancel { .. } => "owner.cancel",
            Action::Respond(_, Response::Opened(_)) => "owner.opened",
            Action::Respond(_, Response::Batch { .. }) => "owner.batch",
            Action::Respond(_, Response::Complete(_)) => "owner.complete",
            Action::Respond(_, Response::Drafts(_)) => "owner.drafts",
            Action::Respond(_, Response::Scored) => "owner.scored",
            Action::Respond(_, Response::Progress { .. }) => "owner.progress",
            Action::Respond(_, Response::RetryLater) => "owner.wait",
            Action::Respond(_, Response::NotOwner(_)) => "owner.elsewhere",
            Action::Respond(_, Response::Refused(_)) => "owner.refused",
            Action::Discard(_) => "owner.discard",
            Action::Released => "owner.released",
        };
        let position = self.trace.len();
        self.trace.push(name);
        let incarnation = self.incarnations[host];
        let fault = self.schedule.remove(&position);
        let (before, after) = match fault {
            Some(fault) if fault.concerns_response() => (None, Some(fault)),
            other => (other, None),
        };
        if let Some(fault) = before {
            self.inject(fault, host);
        }
        if self.incarnations[host] != incarnation {
            return;
        }
        match action {
            Action::Store(call) => self.queue.push_back(Delivery::Call {
                host,
                incarnation,
                call,
            }),
            Action::Generate {
                step, slot, copy, ..
            } => {
                self.queue.push_back(Delivery::Sample {
                    host,
                    incarnation,
                    step,
                    slot,
                    copy,
                });
            }
            Action::Respond(id, response) => {
                if let Response::Batch { samples, .. } = &response
                    && self.lose_payloads(host, samples)
                {
                    return;
                }
                self.check_handover(&response);
                self.queue.push_back(Delivery::Response { id, response });
            }
            Action::Discard(samples) => {
                for sample in samples {
                    self.payloads.remove(&sample.payload);
                }
            }
            Action::Cancel { .. } | Action::Released => {}
        }
        if let Some(fault) = after {
            self.inject(fault, host);
        }
    }

    /// Informs the owner of the payloads of a batch that are lost, in which case nothing is sent.
    fn lose_payloads(&mut self, host: usize, samples: &[(id::Slot, Sample)]) -> bool {
        let lost = samples
            .iter()
            .filter(|(_, sample)| !self.payloads.contains(&sample.payload));
        let lost: Vec<(id::Slot, Nonce)> =
            lost.map(|(slot, sample)| (*slot, sample.payload)).collect();
        for (slot, payload) in &lost {
            self.feed(host, Event::PayloadLost(*slot, *payload));
        }
        !lost.is_empty()
    }

    /// Checks that no sample handed over exceeds the staleness bound in force, with a tolerance of
    /// the time that the owner may take between reading the generation and handing over, and that
    /// an epoch of a batch always has the same contents.
    fn check_handover(&mut self, response: &Response) {
        let Response::Batch {
            samples,
            batch,
            epoch,
            ..
        } = response
        else {
            return;
        };
        let from = Instant(self.now.0.saturating_sub(
            u64::try_from(GENERATION_CHECK_VALIDITY.as_micros()).expect("a second fits"),
        ));
        let replaced = self.accepted.iter().skip(1).map(|(at, _)| *at);
        let ends = replaced.chain([Instant(u64::MAX)]);
        let in_force: Vec<Arc<Snapshot>> = self
            .accepted
            .iter()
            .zip(ends)
            .filter(|(_, end)| *end > from)
            .map(|((_, snapshot), _)| Arc::clone(snapshot))
            .collect();
        let contents: Vec<Nonce> = samples.iter().map(|(_, sample)| sample.payload).collect();
        let recorded = self
            .first_contents
            .entry((*batch, *epoch))
            .or_insert(contents.clone());
        if *recorded != contents {
            self.violations
                .push(format!("{batch} {epoch} has two contents"));
        }
        for (slot, sample) in samples {
            let is_fresh = in_force.iter().any(|snapshot| {
                let bound = snapshot
                    .staleness_bound(&"t".into())
                    .expect("there is a bound");
                let newest = snapshot
                    .target_version(&"m".into())
                    .expect("the model is declared");
                let oldest = sample.versions.first().expect("a sample has a version");
                let is_recent = oldest.0 + bound.versions >= newest.0;
                is_recent && self.now.since(sample.requested_at) <= bound.age
            });
            if !is_fresh {
                self.violations
                    .push(format!("{batch} has a stale sample of {slot}"));
            }
        }
    }

    pub fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Call {
                host,
                incarnation,
                call,
            } => {
                if self.now < self.platform_slow_until {
                    let reply = Reply {
                        call_id: call.call_id,
                        result: CallResult::Lost,
                    };
                    let until = self.platform_slow_until;
                    self.late.push((
                        until,
                        Delivery::Call {
                            host,
                            incarnation,
                            call,
                        },
                    ));
                    self.queue.push_back(Delivery::Reply {
                        host,
                        incarnation,
                        reply,
                    });
                    return;
                }
                let reply = self.platform.call(&call);
                self.queue.push_back(Delivery::Reply {
                    host,
                    incarnation,
                    reply,
                });
            }
            Delivery::Reply {
                host,
                incarnation,
                reply,
            } => {
                if self.is_frozen(host) {
                    let until = self.frozen[&host];
                    self.late.push((
                        until,
                        Delivery::Reply {
                            host,
                            incarnation,
                            reply,
                        },
                    ));
                } else if self.incarnations[host] == incarnation {
                    self.feed(host, Event::Stored(reply));
                }
            }
            Delivery::Sample {
                host,
                incarnation,
                step,
                slot,
                copy,
            } => {
                if self.late_samples > 0 {
                    self.late_samples -= 1;
                    let until = self.now.after(FAULT_DURATION);
                    let delivery = Delivery::Sample {
                        host,
                        incarnation,
                        step,
                        slot,
                        copy,
                    };
                    self.late.push((until, delivery));
                    return;
                }
                let sample = self.make_sample();
                if self.incarnations[host] == incarnation {
                    self.feed(
                        host,
                        Event::Sampled {
                            step,
                            slot,
                            copy,
                            sample,
                        },
                    );
                }
            }
            Delivery::Request { host, id, request } => {
                if self.is_frozen(host) {
                    let until = self.frozen[&host];
                    self.late
                        .push((until, Delivery::Request { host, id, request }));
                } else {
                    self.feed(host, Event::RequestReceived(id, request));
                }
            }
            Delivery::Response { id, response } => self.receive(id, response),
        }
    }

    fn make_sample(&mut self) -> Option<Sample> {
        if self.failing_samples > 0 {
            self.failing_samples -= 1;
            return None;
        }
        self.last_payload += 1;
        let payload = Nonce(self.last_payload);
        self.payloads.insert(payload);
        Some(Sample {
            payload,
            shelves: vec!["shelf-1".into(), "shelf-2".into()],
            versions: BTreeSet::from([self.version()]),
            requested_at: self.now,
            score: None,
        })
    }

    /// Handles a response at the trainer or the scoring service. The trainer accepts only the batch
    /// after the last one it received.
    fn receive(&mut self, id: RequestId, response: Response) {
        if self.trainer.pending_request == Some(id) {
            self.trainer.pending_request = None;
        }
        match response {
            Response::Batch {
                batch,
                epoch,
                samples,
                ..
            } => {
                if batch != self.trainer.held.0.next() {
                    return; // It has received that batch, perhaps in another epoch.
                }
                self.trainer.held = (batch, epoch);
                for (slot, _) in samples {
                    *self.trainer.received_count.entry(slot).or_default() += 1;
                }
            }
            Response::Opened(_) => self.trainer.is_open = true,
            Response::Complete(step) if step == self.trainer.step => {
                self.trainer.is_complete = true;
            }
            Response::NotOwner(owner) => {
                let other = (self.trainer.target_host + 1) % HOSTS;
                self.trainer.target_host = match owner.as_ref().map(id::Host::as_str) {
                    Some("entry-0") => 0,
                    Some("entry-1") => 1,
                    _ => other,
                };
            }
            Response::Drafts(drafts) => {
                self.trainer.drafts = drafts.into_iter().map(|(_, sample)| sample).collect();
            }
            Response::Scored => self.trainer.scored += 1,
            Response::Refused(why) if self.trainer.drafts.is_empty() => {
                self.violations.push(format!("refused: {why}"));
            }
            Response::Refused(why) => self.trainer.refused.push(why),
            _ => {}
        }
    }

    /// Sends the trainer's next request.
    pub fn send_trainer_request(&mut self, host: usize) {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let request = if self.trainer.is_open {
            let (batch, epoch) = self.trainer.held;
            Request::NextBatch { batch, epoch }
        } else {
            let prompts = (0..GROUPS).map(|group| format!("prompt {group}")).collect();
            Request::Open {
                step: self.trainer.step,
                prompts,
                group_size: GROUP_SIZE,
            }
        };
        self.trainer.pending_request = Some(id);
        self.trainer.requested_at = self.now;
        self.queue
            .push_back(Delivery::Request { host, id, request });
    }

    /// Sends a request of a scoring service.
    pub fn send_request(&mut self, host: usize, request: Request) {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        self.queue
            .push_back(Delivery::Request { host, id, request });
    }

    /// Publishes a rule by which only drafts of the next version may be scored.
    pub fn allow_only_next_version(&mut self) {
        let mut snapshot = (*self.newest()).clone();
        let key = |kind, name: &str| Key {
            kind,
            name: name.into(),
        };
        let next = spec::Version {
            model: "m".into(),
            number: Version(self.version().0 + 1),
        };
        let allowed = Rule::Allowed {
            model: "m".into(),
            versions: vec!["next".into()],
        };
        snapshot
            .objects
            .insert(key(Kind::Version, "next"), Spec::Version(next));
        snapshot
            .objects
            .insert(key(Kind::Rule, "allowed"), Spec::Rule(allowed));
        self.publish(snapshot);
    }

    fn send_trainer_request_if_idle(&mut self) {
        /// The time after which the trainer repeats its request at the other host.
        const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
        if self.trainer.is_complete {
            return;
        }
        let is_late = self.now.since(self.trainer.requested_at) >= REQUEST_TIMEOUT;
        if self.trainer.pending_request.is_some() && is_late {
            self.trainer.target_host = (self.trainer.target_host + 1) % HOSTS;
        }
        if self.trainer.pending_request.is_none() || is_late {
            self.send_trainer_request(self.trainer.target_host);
        }
    }

    pub fn inject(&mut self, fault: Fault, host: usize) {
        let until = self.now.after(FAULT_DURATION);
        match fault {
            Fault::OwnerKilled => {
                self.owners[host] = self.new_owner(host);
                self.incarnations[host] = self.last_incarnation;
            }
            Fault::OwnerFrozen => drop(self.frozen.insert(host, until)),
            Fault::PlatformDown => {
                self.platform.is_down = true;
                self.platform_up_at = Some(until);
            }
            Fault::PlatformSlow => self.platform_slow_until = until,
            Fault::AnswerLost => self.platform.lose_answers += 1,
            Fault::ResponseLost => drop(self.take_latest_response()),
            Fault::ResponseDoubled => {
                if let Some(delivery) = self.take_latest_response() {
                    self.late.push((until, delivery.clone()));
                    self.queue.push_back(delivery);
                }
            }
            Fault::ResponseLate => {
                if let Some(delivery) = self.take_latest_response() {
                    self.late.push((until, delivery));
                }
            }
            Fault::ShelfLost => self.payloads.clear(),
            Fault::SampleFails => self.failing_samples += 1,
            Fault::SampleLate => self.late_samples += 1,
            Fault::TrainerDies => {
                // Received batches survive, pending responses do not.
                self.trainer.pending_request = None;
                self.queue
                    .retain(|delivery| !matches!(delivery, Delivery::Response { .. }));
            }
            Fault::TrainerAsksOther => self.send_trainer_request(1 - host),
            Fault::NewWeights => self.accept(self.version().0 + 1, 1),
            Fault::BoundTightened => self.accept(self.version().0 + 1, 0),
        }
    }

    fn take_latest_response(&mut self) -> Option<Delivery> {
        let is_response = |delivery: &Delivery| matches!(delivery, Delivery::Response { .. });
        let position = self.queue.iter().rposition(is_response)?;
        self.queue.remove(position)
    }

    /// Advances the time: delivers what is late, recovers the platform and ticks the owners.
    pub fn advance(&mut self, time: Duration) {
        self.now = self.now.after(time);
        let (due, late): (Vec<_>, Vec<_>) =
            self.late.drain(..).partition(|(at, _)| *at <= self.now);
        self.late = late;
        self.queue
            .extend(due.into_iter().map(|(_, delivery)| delivery));
        if self.platform_up_at.is_some_and(|at| at <= self.now) {
            self.platform.is_down = false;
            self.platform_up_at = None;
        }
        for host in 0..HOSTS {
            if !self.is_frozen(host) {
                self.feed(host, Event::Tick);
            }
        }
    }

    /// Feeds the newest configuration to the owners.
    pub fn send_config(&mut self) {
        let newest = self.newest();
        for host in 0..HOSTS {
            if !self.is_frozen(host) {
                self.feed(host, Event::Config(Arc::clone(&newest)));
            }
        }
    }

    /// Delivers everything in order for some time, without requests of the trainer.
    pub fn run_for(&mut self, time: Duration) {
        const STEP: Duration = Duration::from_millis(100);
        let end = self.now.after(time);
        while self.now < end {
            while let Some(delivery) = self.queue.pop_front() {
                self.deliver(delivery);
            }
            self.send_config();
            self.advance(STEP);
        }
    }

    /// Delivers everything in order until the trainer has the whole step or the time is up.
    pub fn run_until_complete(&mut self, time: Duration) {
        const STEP: Duration = Duration::from_millis(100);
        let end = self.now.after(time);
        while self.now < end && !self.is_finished() {
            self.send_trainer_request_if_idle();
            while let Some(delivery) = self.queue.pop_front() {
                self.deliver(delivery);
            }
            self.send_config();
            self.advance(STEP);
        }
    }

    fn is_finished(&self) -> bool {
        self.trainer.is_complete && self.late.is_empty()
    }

    /// Checks that the trainer received each sample exactly once.
    pub fn check(&mut self) {
        for (slot, times) in &self.trainer.received_count {
            if *times > 1 {
                self.violations
                    .push(format!("{slot} was received {times} times"));
            }
        }
        if self.trainer.received_count.len() != SLOTS || !self.trainer.is_complete {
            let count = self.trainer.received_count.len();
            self.violations
                .push(format!("the trainer received {count} of {SLOTS} samples"));
        }
    }
}
