//! Two hosts that may own a trainer's steps, the platform, shelves and the trainer.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use tamaracksail_model::config::Snapshot;
use tamaracksail_model::id::{self, Batch, Epoch, Generation, Nonce, Revision, Step, Version};
use tamaracksail_model::manifest::Set;
use tamaracksail_model::object::{self as spec, Key, Kind, Rule, Spec};
use tamaracksail_model::store::{self, Answer, Call, Reply};
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
pub const FAULT_TIME: Duration = Duration::from_secs(15);

/// The slack that the owner has between the platform's word and the handover.
const CHECK_VALIDITY: Duration = Duration::from_secs(1);

/// A fault. The match in [`Steps::inject`] is exhaustive.
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
    /// Whether it befalls the response that a step sends.
    fn is_of_message(self) -> bool {
        matches!(
            self,
            Self::ResponseLost | Self::ResponseDoubled | Self::ResponseLate | Self::TrainerDies
        )
    }
}

/// Something that waits to happen.
#[derive(Clone, Debug)]
pub enum Item {
    Call {
        host: usize,
        life: u64,
        call: Call,
    },
    Reply {
        host: usize,
        life: u64,
        reply: Reply,
    },
    Sample {
        host: usize,
        life: u64,
        step: Step,
        slot: id::Slot,
        copy: u32,
    },
    Request {
        host: usize,
        request_id: RequestId,
        request: Request,
    },
    Response {
        request_id: RequestId,
        response: Response,
    },
}

/// The trainer: what it holds survives its death.
#[derive(Clone, Debug, Default)]
pub struct Trainer {
    pub step: Step,
    pub is_open: bool,
    pub held: (Batch, Epoch),
    /// The slots that it has learnt from, each time.
    pub learnt: BTreeMap<id::Slot, u32>,
    pub is_complete: bool,
    /// Drafts and refusals that a scoring service got.
    pub drafts: Vec<Sample>,
    pub scored: u32,
    pub refused: Vec<String>,
    asks_host: usize,
    waiting_for: Option<RequestId>,
    asked_at: Instant,
}

pub struct Steps {
    pub now: Instant,
    pub owners: Vec<Owner>,
    lives: Vec<u64>,
    pub platform: Platform,
    pub queue: VecDeque<Item>,
    pub trainer: Trainer,
    pub trace: Vec<&'static str>,
    pub violations: Vec<String>,
    schedule: BTreeMap<usize, Fault>,
    frozen: BTreeMap<usize, Instant>,
    late: Vec<(Instant, Item)>,
    platform_back_at: Option<Instant>,
    platform_slow_until: Instant,
    payloads: BTreeSet<Nonce>,
    /// What each edition of a batch held when it was first handed over.
    editions: BTreeMap<(Batch, Epoch), Vec<Nonce>>,
    fail_samples: u32,
    late_samples: u32,
    last_payload: u64,
    last_request_id: u64,
    last_life: u64,
    /// The accepted configurations, each with the time of its acceptance.
    pub accepted: Vec<(Instant, Arc<Snapshot>)>,
}

fn manifest(version: u64, behind: u64) -> Snapshot {
    let text = format!(
        "kind: Domain\nname: a\nspec: {{region: r}}\n---\n\
         kind: Model\nname: m\nspec: {{serve: v{version}}}\n---\n\
         kind: Version\nname: v{version}\nspec: {{model: m, number: {version}}}\n---\n\
         kind: Trainer\nname: t\nspec: {{model: m, batch: 4}}\n---\n\
         kind: Rule\nname: bound\n\
         spec: {{type: staleness, trainer: t, versions: {behind}, seconds: 60}}\n---\n\
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

impl Steps {
    pub fn new(schedule: BTreeMap<usize, Fault>) -> Self {
        let mut steps = Self {
            now: Instant::from_millis(1_000_000),
            owners: Vec::new(),
            lives: Vec::new(),
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
            platform_back_at: None,
            platform_slow_until: Instant::default(),
            payloads: BTreeSet::new(),
            editions: BTreeMap::new(),
            fail_samples: 0,
            late_samples: 0,
            last_payload: 0,
            last_request_id: 0,
            last_life: 0,
            accepted: Vec::new(),
        };
        steps.accept(1, 1);
        for host in 0..HOSTS {
            let owner = steps.new_owner(host);
            steps.owners.push(owner);
            steps.lives.push(steps.last_life);
        }
        steps
    }

    fn new_owner(&mut self, host: usize) -> Owner {
        self.last_life += 1;
        let mut owner = Owner::new(Settings {
            trainer: "t".into(),
            claimant: Claimant {
                host: format!("entry-{host}").as_str().into(),
                incarnation: id::Incarnation(self.last_life),
            },
            parallel: 3,
        });
        let config = Arc::clone(&self.accepted.last().expect("there is a configuration").1);
        owner.handle(self.now, Event::Config(config));
        owner
    }

    /// The platform accepts a configuration; owners hear of it when time passes.
    fn accept(&mut self, version: u64, behind: u64) {
        self.publish(manifest(version, behind));
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
            .target(&"m".into())
            .expect("the model is declared")
    }

    fn is_frozen(&self, host: usize) -> bool {
        self.frozen
            .get(&host)
            .is_some_and(|until| self.now < *until)
    }

    pub fn feed(&mut self, host: usize, event: Event) {
        let life = self.lives[host];
        for action in self.owners[host].handle(self.now, event) {
            if self.lives[host] != life {
                return; // It was killed before it could act.
            }
            self.act(host, action);
        }
    }

    fn act(&mut self, host: usize, action: Action) {
        // The match is exhaustive: a new action or response is a new step.
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
        let place = self.trace.len();
        self.trace.push(name);
        let life = self.lives[host];
        let fault = self.schedule.remove(&place);
        let (before, after) = match fault {
            Some(fault) if fault.is_of_message() => (None, Some(fault)),
            other => (other, None),
        };
        if let Some(fault) = before {
            self.inject(fault, host);
        }
        if self.lives[host] != life {
            return;
        }
        match action {
            Action::Store(call) => self.queue.push_back(Item::Call { host, life, call }),
            Action::Generate {
                step, slot, copy, ..
            } => {
                self.queue.push_back(Item::Sample {
                    host,
                    life,
                    step,
                    slot,
                    copy,
                });
            }
            Action::Respond(request_id, response) => {
                if let Response::Batch { samples, .. } = &response
                    && self.lose_payloads(host, samples)
                {
                    return;
                }
                self.check_handover(&response);
                self.queue.push_back(Item::Response {
                    request_id,
                    response,
                });
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

    /// The process finds payloads of a delivery gone: tells the owner and delivers nothing.
    fn lose_payloads(&mut self, host: usize, samples: &[(id::Slot, Sample)]) -> bool {
        let gone = samples
            .iter()
            .filter(|(_, sample)| !self.payloads.contains(&sample.payload));
        let gone: Vec<(id::Slot, Nonce)> =
            gone.map(|(slot, sample)| (*slot, sample.payload)).collect();
        for (slot, payload) in &gone {
            self.feed(host, Event::PayloadLost(*slot, *payload));
        }
        !gone.is_empty()
    }

    /// No sample that is handed over is older than the bound in force, up to the time that the
    /// owner may take between asking the platform and handing over.
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
        let from = Instant(
            self.now
                .0
                .saturating_sub(u64::try_from(CHECK_VALIDITY.as_micros()).expect("a second fits")),
        );
        let replaced = self.accepted.iter().skip(1).map(|(at, _)| *at);
        let ends = replaced.chain([Instant(u64::MAX)]);
        let in_force: Vec<Arc<Snapshot>> = self
            .accepted
            .iter()
            .zip(ends)
            .filter(|(_, end)| *end > from)
            .map(|((_, snapshot), _)| Arc::clone(snapshot))
            .collect();
        let content: Vec<Nonce> = samples.iter().map(|(_, sample)| sample.payload).collect();
        let first = self
            .editions
            .entry((*batch, *epoch))
            .or_insert(content.clone());
        if *first != content {
            self.violations
                .push(format!("{batch} {epoch} has two contents"));
        }
        for (slot, sample) in samples {
            let is_fresh = in_force.iter().any(|snapshot| {
                let bound = snapshot.bound(&"t".into()).expect("there is a bound");
                let newest = snapshot.target(&"m".into()).expect("the model is declared");
                let oldest = sample.versions.first().expect("a sample has a version");
                let is_near = oldest.0 + bound.versions >= newest.0;
                is_near && self.now.since(sample.requested_at) <= bound.age
            });
            if !is_fresh {
                self.violations
                    .push(format!("{batch} holds a stale sample of {slot}"));
            }
        }
    }

    pub fn deliver(&mut self, item: Item) {
        match item {
            Item::Call { host, life, call } => {
                if self.now < self.platform_slow_until {
                    let reply = Reply {
                        ticket: call.ticket,
                        answer: Answer::Lost,
                    };
                    let until = self.platform_slow_until;
                    self.late.push((until, Item::Call { host, life, call }));
                    self.queue.push_back(Item::Reply { host, life, reply });
                    return;
                }
                let reply = self.platform.call(&call);
                self.queue.push_back(Item::Reply { host, life, reply });
            }
            Item::Reply { host, life, reply } => {
                if self.is_frozen(host) {
                    let until = self.frozen[&host];
                    self.late.push((until, Item::Reply { host, life, reply }));
                } else if self.lives[host] == life {
                    self.feed(host, Event::Stored(reply));
                }
            }
            Item::Sample {
                host,
                life,
                step,
                slot,
                copy,
            } => {
                if self.late_samples > 0 {
                    self.late_samples -= 1;
                    let until = self.now.after(FAULT_TIME);
                    let item = Item::Sample {
                        host,
                        life,
                        step,
                        slot,
                        copy,
                    };
                    self.late.push((until, item));
                    return;
                }
                let sample = self.make_sample();
                if self.lives[host] == life {
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
            Item::Request {
                host,
                request_id,
                request,
            } => {
                if self.is_frozen(host) {
                    let until = self.frozen[&host];
                    self.late.push((
                        until,
                        Item::Request {
                            host,
                            request_id,
                            request,
                        },
                    ));
                } else {
                    self.feed(host, Event::RequestReceived(request_id, request));
                }
            }
            Item::Response {
                request_id,
                response,
            } => self.receive(request_id, response),
        }
    }

    fn make_sample(&mut self) -> Option<Sample> {
        if self.fail_samples > 0 {
            self.fail_samples -= 1;
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

    /// The trainer learns from the batch after the one it holds, once.
    fn receive(&mut self, request_id: RequestId, response: Response) {
        if self.trainer.waiting_for == Some(request_id) {
            self.trainer.waiting_for = None;
        }
        match response {
            Response::Batch {
                batch,
                epoch,
                samples,
                ..
            } => {
                if batch != self.trainer.held.0.next() {
                    return; // It holds that batch, perhaps in another edition.
                }
                self.trainer.held = (batch, epoch);
                for (slot, _) in samples {
                    *self.trainer.learnt.entry(slot).or_default() += 1;
                }
            }
            Response::Opened(_) => self.trainer.is_open = true,
            Response::Complete(step) if step == self.trainer.step => {
                self.trainer.is_complete = true;
            }
            Response::NotOwner(owner) => {
                let other = (self.trainer.asks_host + 1) % HOSTS;
                self.trainer.asks_host = match owner.as_ref().map(id::Host::as_str) {
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

    /// The trainer asks for what it needs next.
    pub fn send_trainer_request(&mut self, host: usize) {
        self.last_request_id += 1;
        let request_id = RequestId(self.last_request_id);
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
        self.trainer.waiting_for = Some(request_id);
        self.trainer.asked_at = self.now;
        self.queue.push_back(Item::Request {
            host,
            request_id,
            request,
        });
    }

    /// A scoring service asks.
    pub fn send_request(&mut self, host: usize, request: Request) {
        self.last_request_id += 1;
        let request_id = RequestId(self.last_request_id);
        self.queue.push_back(Item::Request {
            host,
            request_id,
            request,
        });
    }

    /// From now on reviewers may score drafts of no version but the next one.
    pub fn forbid_version(&mut self) {
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
        /// After this the trainer asks again, at the other host.
        const PATIENCE: Duration = Duration::from_secs(10);
        if self.trainer.is_complete {
            return;
        }
        let is_late = self.now.since(self.trainer.asked_at) >= PATIENCE;
        if self.trainer.waiting_for.is_some() && is_late {
            self.trainer.asks_host = (self.trainer.asks_host + 1) % HOSTS;
        }
        if self.trainer.waiting_for.is_none() || is_late {
            self.send_trainer_request(self.trainer.asks_host);
        }
    }

    pub fn inject(&mut self, fault: Fault, host: usize) {
        let until = self.now.after(FAULT_TIME);
        match fault {
            Fault::OwnerKilled => {
                self.owners[host] = self.new_owner(host);
                self.lives[host] = self.last_life;
            }
            Fault::OwnerFrozen => drop(self.frozen.insert(host, until)),
            Fault::PlatformDown => {
                self.platform.is_down = true;
                self.platform_back_at = Some(until);
            }
            Fault::PlatformSlow => self.platform_slow_until = until,
            Fault::AnswerLost => self.platform.lose_answers += 1,
            Fault::ResponseLost => drop(self.take_response()),
            Fault::ResponseDoubled => {
                if let Some(item) = self.take_response() {
                    self.late.push((until, item.clone()));
                    self.queue.push_back(item);
                }
            }
            Fault::ResponseLate => {
                if let Some(item) = self.take_response() {
                    self.late.push((until, item));
                }
            }
            Fault::ShelfLost => self.payloads.clear(),
            Fault::SampleFails => self.fail_samples += 1,
            Fault::SampleLate => self.late_samples += 1,
            Fault::TrainerDies => {
                // What it holds survives; what it waits for does not.
                self.trainer.waiting_for = None;
                self.queue
                    .retain(|item| !matches!(item, Item::Response { .. }));
            }
            Fault::TrainerAsksOther => self.send_trainer_request(1 - host),
            Fault::NewWeights => self.accept(self.version().0 + 1, 1),
            Fault::BoundTightened => self.accept(self.version().0 + 1, 0),
        }
    }

    fn take_response(&mut self) -> Option<Item> {
        let is_response = |item: &Item| matches!(item, Item::Response { .. });
        let place = self.queue.iter().rposition(is_response)?;
        self.queue.remove(place)
    }

    /// Time passes: late items arrive, frozen hosts go on, everybody hears the configuration.
    pub fn pass(&mut self, time: Duration) {
        self.now = self.now.after(time);
        let (due, late): (Vec<_>, Vec<_>) =
            self.late.drain(..).partition(|(at, _)| *at <= self.now);
        self.late = late;
        self.queue.extend(due.into_iter().map(|(_, item)| item));
        if self.platform_back_at.is_some_and(|at| at <= self.now) {
            self.platform.is_down = false;
            self.platform_back_at = None;
        }
        for host in 0..HOSTS {
            if !self.is_frozen(host) {
                self.feed(host, Event::Tick);
            }
        }
    }

    /// Tells the owners of the newest configuration.
    pub fn inform(&mut self) {
        let newest = self.newest();
        for host in 0..HOSTS {
            if !self.is_frozen(host) {
                self.feed(host, Event::Config(Arc::clone(&newest)));
            }
        }
    }

    /// Delivers everything in order while the trainer asks for nothing.
    pub fn serve(&mut self, time: Duration) {
        const STEP: Duration = Duration::from_millis(100);
        let end = self.now.after(time);
        while self.now < end {
            while let Some(item) = self.queue.pop_front() {
                self.deliver(item);
            }
            self.inform();
            self.pass(STEP);
        }
    }

    /// Delivers everything in order until the trainer holds the whole step or time is up.
    pub fn settle(&mut self, time: Duration) {
        const STEP: Duration = Duration::from_millis(100);
        let end = self.now.after(time);
        while self.now < end && !self.is_over() {
            self.send_trainer_request_if_idle();
            while let Some(item) = self.queue.pop_front() {
                self.deliver(item);
            }
            self.inform();
            self.pass(STEP);
        }
    }

    fn is_over(&self) -> bool {
        self.trainer.is_complete && self.late.is_empty()
    }

    /// Each sample reached the trainer once, none twice, none is lost.
    pub fn check(&mut self) {
        for (slot, times) in &self.trainer.learnt {
            if *times > 1 {
                self.violations
                    .push(format!("{slot} was learnt {times} times"));
            }
        }
        if self.trainer.learnt.len() != SLOTS || !self.trainer.is_complete {
            let count = self.trainer.learnt.len();
            self.violations
                .push(format!("the trainer holds {count} of {SLOTS} samples"));
        }
    }
}
