//! Processes of several failure domains that follow the configuration, and operators that
//! change it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tamaracksail_model::config::{Objects, Snapshot};
use tamaracksail_model::host::{Host, Phase, Role};
use tamaracksail_model::id::{self, Generation, Nonce, Revision};
use tamaracksail_model::object::{Domain, Key, Kind, Spec};
use tamaracksail_model::store::{self, Answer, Call, Reply, Ticket};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::version::head::{self, Head};
use tamaracksail_policy::version::publish::{self, Error, ObjectUpdate, Publisher};
use tamaracksail_policy::version::replica::{
    Action, ConfigReplica, Event, HOSTS_KEY, Seed, Settings,
};
use tamaracksail_wire::{self as wire, Message};

use super::platform::Platform;

pub const DOMAINS: usize = 3;
pub const PER_DOMAIN: usize = 3;
pub const PROCESSES: usize = DOMAINS * PER_DOMAIN;

/// How long faults last.
pub const FAULT_TIME: Duration = Duration::from_secs(12);

/// The target: in force everywhere within.
pub const SPREAD: Duration = Duration::from_secs(9);

/// A fault. The match in [`Spread::inject`] is exhaustive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    ProcessReplaced,
    ProcessFrozen,
    DomainReplaced,
    PlatformDown,
    PlatformDownAndDomainReplaced,
    PlatformSlow,
    AnswerLost,
    DomainCut,
    DomainCutOneWay,
    DomainCutFromPlatform,
    MessageLost,
    MessageDoubled,
    MessageLate,
    OperatorRacesDisjoint,
    OperatorRacesConflicting,
}

impl Fault {
    pub const ALL: [Self; 15] = [
        Self::ProcessReplaced,
        Self::ProcessFrozen,
        Self::DomainReplaced,
        Self::PlatformDown,
        Self::PlatformDownAndDomainReplaced,
        Self::PlatformSlow,
        Self::AnswerLost,
        Self::DomainCut,
        Self::DomainCutOneWay,
        Self::DomainCutFromPlatform,
        Self::MessageLost,
        Self::MessageDoubled,
        Self::MessageLate,
        Self::OperatorRacesDisjoint,
        Self::OperatorRacesConflicting,
    ];
}

/// Who makes a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller {
    Process(usize, u64),
    Operator(usize),
}

#[derive(Clone, Debug)]
pub enum Item {
    Call {
        from: Caller,
        call: Call,
    },
    Reply {
        to: Caller,
        reply: Reply,
    },
    Message {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
}

struct Watch {
    process: usize,
    life: u64,
    ticket: Ticket,
    key: String,
    after: Revision,
    until: Instant,
}

/// An operator's change set and what became of it.
pub struct Operator {
    publisher: Publisher,
    pub nonce: Nonce,
    pub result: Option<Result<Generation, Error>>,
}

pub struct Spread {
    pub now: Instant,
    pub replicas: Vec<ConfigReplica>,
    lives: Vec<u64>,
    pub platform: Platform,
    pub queue: VecDeque<Item>,
    pub operators: Vec<Operator>,
    pub violations: Vec<String>,
    pub trace: Vec<&'static str>,
    schedule: BTreeMap<usize, Fault>,
    watches: Vec<Watch>,
    frozen: BTreeMap<usize, Instant>,
    /// Cut from domain to domain; the platform is the domain after the last.
    cut: BTreeMap<(usize, usize), Instant>,
    late: Vec<(Instant, Item)>,
    platform_back_at: Option<Instant>,
    platform_slow_until: Instant,
    /// The highest generation that was in force in each domain.
    reached: Vec<Generation>,
    contents: BTreeMap<Generation, Objects>,
    last_life: u64,
    /// When a fault last ended or was injected.
    pub calm_since: Instant,
}

fn address(process: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(process).expect("small")))
}

fn domain_of(process: usize) -> usize {
    process / PER_DOMAIN
}

fn domain_name(domain: usize) -> id::Domain {
    format!("d{domain}").as_str().into()
}

/// A set that holds a domain object whose region is `text`.
fn objects(name: &str, text: &str) -> Objects {
    let key = Key {
        kind: Kind::Domain,
        name: name.into(),
    };
    Objects::from([(
        key,
        Spec::Domain(Domain {
            region: text.to_owned(),
        }),
    )])
}

impl Spread {
    pub fn new(schedule: BTreeMap<usize, Fault>) -> Self {
        let mut spread = Self {
            now: Instant::from_millis(1_000_000),
            replicas: Vec::new(),
            lives: Vec::new(),
            platform: Platform::default(),
            queue: VecDeque::new(),
            operators: Vec::new(),
            violations: Vec::new(),
            trace: Vec::new(),
            schedule: BTreeMap::new(),
            watches: Vec::new(),
            frozen: BTreeMap::new(),
            cut: BTreeMap::new(),
            late: Vec::new(),
            platform_back_at: None,
            platform_slow_until: Instant::default(),
            reached: vec![Generation(0); DOMAINS],
            contents: BTreeMap::new(),
            last_life: 0,
            calm_since: Instant::default(),
        };
        let hosts: Vec<Host> = (0..PROCESSES)
            .map(|process| Host {
                name: format!("host-{process}").as_str().into(),
                role: Role::Entry,
                address: address(process),
                domain: domain_name(domain_of(process)),
                serves: None,
                phase: Phase::Live,
            })
            .collect();
        let value = store::encode(&hosts);
        spread
            .platform
            .objects
            .insert(HOSTS_KEY.to_owned(), (Revision(1), value));
        for process in 0..PROCESSES {
            let replica = spread.new_replica(process);
            spread.replicas.push(replica);
            spread.lives.push(spread.last_life);
        }
        spread.operate("base", "first");
        spread.settle(Duration::from_secs(5));
        spread.trace.clear();
        spread.schedule = schedule;
        spread
    }

    fn new_replica(&mut self, process: usize) -> ConfigReplica {
        self.last_life += 1;
        let seeds = (0..PROCESSES).filter(|seed| seed % PER_DOMAIN < 2 && *seed != process);
        ConfigReplica::new(Settings {
            host: format!("host-{process}").as_str().into(),
            domain: domain_name(domain_of(process)),
            address: address(process),
            incarnation: id::Incarnation(self.last_life),
            seeds: seeds
                .map(|seed| Seed {
                    domain: domain_name(domain_of(seed)),
                    address: address(seed),
                })
                .collect(),
            seed: self.last_life,
        })
    }

    /// An operator starts to publish an object.
    pub fn operate(&mut self, name: &str, text: &str) {
        let nonce = Nonce(1000 * (self.operators.len() as u64 + 1));
        let update = ObjectUpdate::Merge(objects(name, text));
        let base = self.stored_head().generation();
        let base = (base.0 > 0).then_some(base);
        let (publisher, action) = Publisher::start(update, base, "operator".to_owned(), nonce);
        let index = self.operators.len();
        self.operators.push(Operator {
            publisher,
            nonce,
            result: None,
        });
        self.act_operator(index, action);
    }

    fn stored_head(&self) -> Head {
        let stored = self.platform.objects.get(head::HEAD_KEY);
        stored.map_or_else(Head::default, |(_, value)| {
            store::decode("head", value).expect("our own head")
        })
    }

    fn act_operator(&mut self, index: usize, action: publish::Action) {
        match action {
            publish::Action::Store(call) => {
                let name = match (&call.op, call.key.as_str()) {
                    (store::Op::Put { .. }, head::HEAD_KEY) => "operator.write-head",
                    (store::Op::Put { .. }, _) => "operator.write-part",
                    (store::Op::Get, _) => "operator.read",
                };
                self.step(name, index % PROCESSES);
                self.queue.push_back(Item::Call {
                    from: Caller::Operator(index),
                    call,
                });
            }
            publish::Action::Done(result) => {
                self.step("operator.done", index % PROCESSES);
                self.operators[index].result = Some(result);
            }
        }
    }

    fn step(&mut self, name: &'static str, process: usize) {
        let place = self.trace.len();
        self.trace.push(name);
        if let Some(fault) = self.schedule.remove(&place) {
            self.inject(fault, process);
        }
    }

    fn is_frozen(&self, process: usize) -> bool {
        self.frozen
            .get(&process)
            .is_some_and(|until| self.now < *until)
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut
            .get(&(from, to))
            .is_some_and(|until| self.now < *until)
    }

    pub fn feed(&mut self, process: usize, event: Event) {
        let life = self.lives[process];
        for action in self.replicas[process].handle(self.now, event) {
            let name = match &action {
                Action::Store(_) => "follower.store",
                Action::Watch { .. } => "follower.watch",
                Action::Send(_, Message::Pull(_)) => "follower.pull",
                Action::Send(_, Message::Config(..)) => "follower.config",
                Action::Send(..) => "follower.send",
                Action::InForce(_) => "follower.in-force",
                Action::Hosts(_) => "follower.hosts",
            };
            self.step(name, process);
            if self.lives[process] != life {
                return;
            }
            match action {
                Action::Store(call) => {
                    self.queue.push_back(Item::Call {
                        from: Caller::Process(process, life),
                        call,
                    });
                }
                Action::Watch { ticket, key, after } => {
                    let until = self.now.after(Duration::from_secs(20));
                    self.watches.push(Watch {
                        process,
                        life,
                        ticket,
                        key,
                        after,
                        until,
                    });
                }
                Action::Send(to, message) => {
                    let to = usize::from(to.port());
                    let bytes = wire::encode(&message);
                    self.queue.push_back(Item::Message {
                        from: process,
                        to,
                        bytes,
                    });
                }
                Action::InForce(snapshot) => self.check_in_force(process, &snapshot),
                Action::Hosts(_) => {}
            }
        }
    }

    /// Generations only rise in a domain, and a generation has one content.
    fn check_in_force(&mut self, process: usize, snapshot: &Arc<Snapshot>) {
        let domain = domain_of(process);
        let generation = snapshot.generation;
        let known = self
            .contents
            .entry(generation)
            .or_insert_with(|| snapshot.objects.clone());
        if *known != snapshot.objects {
            self.violations
                .push(format!("{generation} has two contents"));
        }
        if generation < self.reached[domain] {
            let reached = self.reached[domain];
            self.violations.push(format!(
                "d{domain} went back from {reached} to {generation}"
            ));
        }
        self.reached[domain] = self.reached[domain].max(generation);
    }

    pub fn deliver(&mut self, item: Item) {
        match item {
            Item::Call { from, call } => self.call_platform(from, call),
            Item::Reply { to, reply } => match to {
                Caller::Operator(index) => {
                    let action = self.operators[index].publisher.handle(self.now, &reply);
                    if let Some(action) = action {
                        self.act_operator(index, action);
                    }
                }
                Caller::Process(process, life) => {
                    if self.is_frozen(process) {
                        let until = self.frozen[&process];
                        self.late.push((until, Item::Reply { to, reply }));
                    } else if self.lives[process] == life {
                        self.feed(process, Event::Stored(reply));
                    }
                }
            },
            Item::Message { from, to, bytes } => {
                if self.is_cut(domain_of(from), domain_of(to)) {
                    return;
                }
                if self.is_frozen(to) {
                    let until = self.frozen[&to];
                    self.late.push((until, Item::Message { from, to, bytes }));
                    return;
                }
                let message: Message = wire::decode(&bytes).expect("our own message");
                self.feed(to, Event::Received(message));
            }
        }
    }

    fn call_platform(&mut self, from: Caller, call: Call) {
        let ticket = call.ticket;
        let is_cut = match from {
            Caller::Process(process, _) => self.is_cut(domain_of(process), DOMAINS),
            Caller::Operator(_) => false,
        };
        if is_cut {
            let reply = Reply {
                ticket,
                answer: Answer::Lost,
            };
            self.queue.push_back(Item::Reply { to: from, reply });
            return;
        }
        if self.now < self.platform_slow_until {
            let reply = Reply {
                ticket,
                answer: Answer::Lost,
            };
            let until = self.platform_slow_until;
            self.late.push((until, Item::Call { from, call }));
            self.queue.push_back(Item::Reply { to: from, reply });
            return;
        }
        let reply = self.platform.call(&call);
        self.queue.push_back(Item::Reply { to: from, reply });
    }

    /// Answers the watches whose object changed or whose time is up.
    fn answer_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let is_lost = self.platform.is_down
                || self.now < self.platform_slow_until
                || self.is_cut(domain_of(watch.process), DOMAINS);
            let stored = self.platform.objects.get(&watch.key).cloned();
            let answer = match stored {
                _ if is_lost => Answer::Lost,
                Some((revision, value)) if revision > watch.after => {
                    Answer::Value { revision, value }
                }
                Some((revision, _)) if self.now >= watch.until => Answer::Value {
                    revision,
                    value: Vec::new(),
                },
                None if self.now >= watch.until => Answer::Missing,
                _ => {
                    self.watches.push(watch);
                    continue;
                }
            };
            let to = Caller::Process(watch.process, watch.life);
            let reply = Reply {
                ticket: watch.ticket,
                answer,
            };
            self.queue.push_back(Item::Reply { to, reply });
        }
    }

    pub fn inject(&mut self, fault: Fault, process: usize) {
        let until = self.now.after(FAULT_TIME);
        self.calm_since = self.calm_since.max(until);
        let domain = domain_of(process);
        match fault {
            Fault::ProcessReplaced => self.replace(process),
            Fault::ProcessFrozen => drop(self.frozen.insert(process, until)),
            Fault::DomainReplaced => self.replace_domain(domain),
            Fault::PlatformDown => self.stop_platform(until),
            Fault::PlatformDownAndDomainReplaced => {
                self.stop_platform(until);
                self.replace_domain(domain);
            }
            Fault::PlatformSlow => self.platform_slow_until = until,
            Fault::AnswerLost => self.platform.lose_answers += 1,
            Fault::DomainCut => {
                for other in (0..DOMAINS).filter(|other| *other != domain) {
                    self.cut.insert((domain, other), until);
                    self.cut.insert((other, domain), until);
                }
            }
            Fault::DomainCutOneWay => {
                for other in (0..DOMAINS).filter(|other| *other != domain) {
                    self.cut.insert((other, domain), until);
                }
            }
            Fault::DomainCutFromPlatform => drop(self.cut.insert((domain, DOMAINS), until)),
            Fault::MessageLost => drop(self.take_message()),
            Fault::MessageDoubled => {
                if let Some(item) = self.take_message() {
                    self.late.push((until, item.clone()));
                    self.queue.push_back(item);
                }
            }
            Fault::MessageLate => {
                if let Some(item) = self.take_message() {
                    self.late.push((until, item));
                }
            }
            Fault::OperatorRacesDisjoint => {
                let name = format!("other-{}", self.operators.len());
                self.operate(&name, "disjoint");
            }
            Fault::OperatorRacesConflicting => {
                let text = format!("conflicting {}", self.operators.len());
                self.operate("contested", &text);
            }
        }
    }

    fn stop_platform(&mut self, until: Instant) {
        self.platform.is_down = true;
        self.platform_back_at = Some(until);
    }

    fn replace(&mut self, process: usize) {
        self.replicas[process] = self.new_replica(process);
        self.lives[process] = self.last_life;
    }

    fn replace_domain(&mut self, domain: usize) {
        for process in domain * PER_DOMAIN..(domain + 1) * PER_DOMAIN {
            self.replace(process);
        }
    }

    fn take_message(&mut self) -> Option<Item> {
        let is_message = |item: &Item| matches!(item, Item::Message { .. });
        let place = self.queue.iter().rposition(is_message)?;
        self.queue.remove(place)
    }

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
        self.answer_watches();
        for process in 0..PROCESSES {
            if !self.is_frozen(process) {
                self.feed(process, Event::Tick);
            }
        }
    }

    pub fn settle(&mut self, time: Duration) {
        const STEP: Duration = Duration::from_millis(250);
        let end = self.now.after(time);
        while self.now < end {
            while let Some(item) = self.queue.pop_front() {
                self.deliver(item);
            }
            self.pass(STEP);
        }
    }

    /// Once nothing is wrong any more, everybody has what was accepted, and every operator was
    /// told the truth.
    pub fn check(&mut self) {
        let head = self.stored_head();
        for process in 0..PROCESSES {
            let replica = &self.replicas[process];
            if !replica.is_ready() || replica.generation() != head.generation() {
                let (has, accepted) = (replica.generation(), head.generation());
                self.violations
                    .push(format!("host-{process} has {has} of {accepted}"));
            }
        }
        let changes: Vec<Nonce> = head
            .history
            .iter()
            .map(|accepted| accepted.change)
            .collect();
        let unique: BTreeSet<&Nonce> = changes.iter().collect();
        if unique.len() != changes.len() {
            self.violations
                .push("a change was accepted twice".to_owned());
        }
        for (index, operator) in self.operators.iter().enumerate() {
            let is_accepted = changes.contains(&operator.nonce);
            let is_true = match &operator.result {
                Some(Ok(_)) => is_accepted,
                Some(Err(Error::Unknown(_))) => true,
                Some(Err(_)) => !is_accepted,
                None => false,
            };
            if !is_true {
                let result = &operator.result;
                self.violations
                    .push(format!("operator {index} was told {result:?}"));
            }
        }
    }
}
