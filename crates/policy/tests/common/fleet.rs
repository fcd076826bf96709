//! Two hosts that may own a rollout, agents with engines, and the platform.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tamaracksail_model::config::Snapshot;
use tamaracksail_model::host::{Host, Phase, Role};
use tamaracksail_model::id::{self, Fence, Generation, Version};
use tamaracksail_model::manifest::Set;
use tamaracksail_model::store::{self, Answer, Call, Reply};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::agent::{self, Agent};
use tamaracksail_policy::process::lease::{Claimant, LeaseRecord};
use tamaracksail_policy::version::rollout::{Action, Event, RolloutController, Settings};
use tamaracksail_wire::{self as wire, LoadCommand, Message};

use super::platform::Platform;

pub const OWNERS: usize = 2;
pub const AGENTS: usize = 4;

/// How long faults last.
pub const FAULT_TIME: Duration = Duration::from_secs(25);

/// A fault. The match in [`Fleet::inject`] is exhaustive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    OwnerKilled,
    OwnerFrozen,
    AgentKilled,
    AgentFrozen,
    EngineCrash,
    SwapFails,
    SwapAnswerLost,
    StoreSlow,
    PlatformDown,
    PlatformSlow,
    AnswerLost,
    MessageLost,
    MessageDoubled,
    MessageLate,
    HostListWrong,
    NewVersion,
}

impl Fault {
    pub const ALL: [Self; 16] = [
        Self::OwnerKilled,
        Self::OwnerFrozen,
        Self::AgentKilled,
        Self::AgentFrozen,
        Self::EngineCrash,
        Self::SwapFails,
        Self::SwapAnswerLost,
        Self::StoreSlow,
        Self::PlatformDown,
        Self::PlatformSlow,
        Self::AnswerLost,
        Self::MessageLost,
        Self::MessageDoubled,
        Self::MessageLate,
        Self::HostListWrong,
        Self::NewVersion,
    ];
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Owner(usize),
    Agent(usize),
}

#[derive(Clone, Debug)]
pub enum Item {
    Call {
        owner: usize,
        life: u64,
        call: Call,
    },
    Reply {
        owner: usize,
        life: u64,
        reply: Reply,
    },
    Message {
        from: Node,
        to: Node,
        bytes: Vec<u8>,
    },
    /// An engine carries out an order.
    Load {
        agent: usize,
        life: u64,
        command: LoadCommand,
    },
    /// An agent reads the fencing number.
    ReadFence {
        agent: usize,
        life: u64,
    },
}

/// An engine that obeys every order, whatever its number: its agent is the only fence.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub version: u64,
    pub fences: Vec<Fence>,
}

pub struct Fleet {
    pub now: Instant,
    pub owners: Vec<RolloutController>,
    pub agents: Vec<Agent>,
    pub engines: Vec<Engine>,
    owner_lives: Vec<u64>,
    agent_lives: Vec<u64>,
    pub platform: Platform,
    pub queue: VecDeque<Item>,
    pub trace: Vec<&'static str>,
    pub violations: Vec<String>,
    schedule: BTreeMap<usize, Fault>,
    frozen: BTreeMap<Node, Instant>,
    late: Vec<(Instant, Item)>,
    /// Which owner waits for an agent's answer, and since when.
    asked: BTreeMap<(usize, usize), Instant>,
    platform_back_at: Option<Instant>,
    platform_slow_until: Instant,
    store_slow_until: Instant,
    listed_leaving: Option<(usize, Instant)>,
    fail_swaps: u32,
    pub target: u64,
    config: Arc<Snapshot>,
    last_life: u64,
}

fn manifest(version: u64) -> Snapshot {
    let text = format!(
        "kind: Domain\nname: a\nspec: {{region: r}}\n---\n\
         kind: Model\nname: m\nspec: {{serve: v{version}}}\n---\n\
         kind: Version\nname: v{version}\nspec: {{model: m, number: {version}}}\n---\n\
         kind: Pool\nname: p\nspec: {{model: m, domains: [a], checks_orders: false}}\n"
    );
    let mut set = Set::default();
    set.add("harness.yaml", &text);
    let objects = set.finish().expect("the manifest is consistent");
    Snapshot {
        generation: Generation(version),
        objects,
    }
}

impl Fleet {
    pub fn new(schedule: BTreeMap<usize, Fault>) -> Self {
        let mut fleet = Self {
            now: Instant::from_millis(1_000_000),
            owners: Vec::new(),
            agents: Vec::new(),
            engines: vec![
                Engine {
                    version: 1,
                    ..Engine::default()
                };
                AGENTS
            ],
            owner_lives: Vec::new(),
            agent_lives: Vec::new(),
            platform: Platform::default(),
            queue: VecDeque::new(),
            trace: Vec::new(),
            violations: Vec::new(),
            schedule,
            frozen: BTreeMap::new(),
            late: Vec::new(),
            asked: BTreeMap::new(),
            platform_back_at: None,
            platform_slow_until: Instant::default(),
            store_slow_until: Instant::default(),
            listed_leaving: None,
            fail_swaps: 0,
            target: 2,
            config: Arc::new(manifest(2)),
            last_life: 0,
        };
        for index in 0..AGENTS {
            let agent = fleet.new_agent(index);
            fleet.agents.push(agent);
            fleet.agent_lives.push(fleet.last_life);
            fleet.report_engine(index);
        }
        for index in 0..OWNERS {
            let owner = fleet.new_owner(index);
            fleet.owners.push(owner);
            fleet.owner_lives.push(fleet.last_life);
        }
        fleet.inform();
        fleet
    }

    fn host(&self, index: usize) -> Host {
        let is_leaving = self.listed_leaving.is_some_and(|(agent, _)| agent == index);
        Host {
            name: format!("agent-{index}").as_str().into(),
            role: Role::Agent,
            address: SocketAddr::from(([127, 0, 0, 1], u16::try_from(index).expect("small"))),
            domain: "a".into(),
            serves: Some("p".into()),
            phase: if is_leaving {
                Phase::Leaving
            } else {
                Phase::Live
            },
        }
    }

    fn new_agent(&mut self, index: usize) -> Agent {
        self.last_life += 1;
        Agent::new(agent::Settings {
            host: self.host(index),
            incarnation: id::Incarnation(self.last_life),
            limit: 2,
            queue: 2,
            load_validity: Duration::from_secs(3),
        })
    }

    fn new_owner(&mut self, index: usize) -> RolloutController {
        self.last_life += 1;
        RolloutController::new(Settings {
            model: "m".into(),
            claimant: Claimant {
                host: format!("entry-{index}").as_str().into(),
                incarnation: id::Incarnation(self.last_life),
            },
            max_loads_from_store: 1,
            max_loads_per_peer: 2,
            max_loading_percent: 50,
        })
    }

    fn report_engine(&mut self, index: usize) {
        let versions = BTreeMap::from([("m".into(), Version(self.engines[index].version))]);
        self.feed_agent(index, agent::Event::ServerUp(versions));
    }

    fn is_frozen(&self, node: Node) -> bool {
        self.frozen
            .get(&node)
            .is_some_and(|until| self.now < *until)
    }

    /// Notes a step, and injects the fault that the schedule has there. A fault of the message
    /// that the step sends is given back, to be injected once it is sent.
    fn step(&mut self, name: &'static str, owner: usize, agent: usize) -> Option<Fault> {
        let place = self.trace.len();
        self.trace.push(name);
        let fault = self.schedule.remove(&place)?;
        if matches!(
            fault,
            Fault::MessageLost | Fault::MessageDoubled | Fault::MessageLate
        ) {
            return Some(fault);
        }
        self.inject(fault, owner, agent);
        None
    }

    fn feed_owner(&mut self, index: usize, event: Event) {
        let life = self.owner_lives[index];
        for action in self.owners[index].handle(self.now, event) {
            let name = match &action {
                Action::Store(_) => "owner.store",
                Action::LoadCommand(..) => "owner.order",
                Action::Released => "owner.released",
            };
            let agent = match &action {
                Action::LoadCommand(host, _) => usize::from(host.address.port()),
                _ => 0,
            };
            let fault = self.step(name, index, agent);
            if self.owner_lives[index] != life {
                return;
            }
            match action {
                Action::Store(call) => self.queue.push_back(Item::Call {
                    owner: index,
                    life,
                    call,
                }),
                Action::LoadCommand(_, command) => {
                    let taken = self.stored_fence();
                    if taken > command.fence {
                        let problem = format!("{} gave orders after {taken}", command.fence);
                        self.violations.push(problem);
                    }
                    self.asked.insert((index, agent), self.now);
                    self.post(
                        Node::Owner(index),
                        Node::Agent(agent),
                        &Message::Order(command),
                    );
                }
                Action::Released => {}
            }
            if let Some(fault) = fault {
                self.inject(fault, index, agent);
            }
        }
        if self.owners[index].loading() > AGENTS / 2 {
            self.violations
                .push("too many servers load at once".to_owned());
        }
    }

    fn feed_agent(&mut self, index: usize, event: agent::Event) {
        let life = self.agent_lives[index];
        for action in self.agents[index].handle(self.now, event) {
            let name = match &action {
                agent::Action::Load(_) => "agent.load",
                agent::Action::ReadVersions => "agent.read-back",
                agent::Action::ReadFence(_) => "agent.read-fence",
                agent::Action::LoadOutcome(_) => "agent.ordered",
                _ => continue,
            };
            let has = Version(self.engines[index].version);
            if matches!(action, agent::Action::LoadOutcome(wire::LoadOutcome::Loaded(said)) if said != has)
            {
                let problem = format!("agent {index} said {action:?}, but has {has}");
                self.violations.push(problem);
            }
            let fault = self.step(name, 0, index);
            if self.agent_lives[index] != life {
                return;
            }
            match action {
                agent::Action::Load(command) => {
                    self.queue.push_back(Item::Load {
                        agent: index,
                        life,
                        command,
                    });
                }
                agent::Action::ReadVersions => {
                    let version = Version(self.engines[index].version);
                    let versions = BTreeMap::from([("m".into(), version)]);
                    self.feed_agent(index, agent::Event::VersionsRead(Some(versions)));
                }
                agent::Action::ReadFence(_) => {
                    self.queue.push_back(Item::ReadFence { agent: index, life });
                }
                agent::Action::LoadOutcome(outcome) => {
                    let host = self.host(index).name;
                    let message = Message::Ordered(host, outcome);
                    // The answer goes to the latest owner that asked.
                    let latest = self
                        .asked
                        .iter()
                        .filter(|((_, agent), _)| *agent == index)
                        .max_by_key(|(_, at)| **at)
                        .map(|((owner, _), _)| *owner);
                    if let Some(owner) = latest {
                        self.post(Node::Agent(index), Node::Owner(owner), &message);
                    }
                }
                _ => {}
            }
            if let Some(fault) = fault {
                self.inject(fault, 0, index);
            }
        }
    }

    fn post(&mut self, from: Node, to: Node, message: &Message) {
        self.queue.push_back(Item::Message {
            from,
            to,
            bytes: wire::encode(message),
        });
    }

    pub fn deliver(&mut self, item: Item) {
        match item {
            Item::Call { owner, life, call } => {
                if self.now < self.platform_slow_until {
                    let reply = Reply {
                        ticket: call.ticket,
                        answer: Answer::Lost,
                    };
                    let until = self.platform_slow_until;
                    self.late.push((until, Item::Call { owner, life, call }));
                    self.queue.push_back(Item::Reply { owner, life, reply });
                    return;
                }
                let reply = self.platform.call(&call);
                self.queue.push_back(Item::Reply { owner, life, reply });
            }
            Item::Reply { owner, life, reply } => {
                if self.is_frozen(Node::Owner(owner)) {
                    let until = self.frozen[&Node::Owner(owner)];
                    self.late.push((until, Item::Reply { owner, life, reply }));
                } else if self.owner_lives[owner] == life {
                    self.feed_owner(owner, Event::Stored(reply));
                }
            }
            Item::Message { from, to, bytes } => {
                if self.is_frozen(to) {
                    let until = self.frozen[&to];
                    self.late.push((until, Item::Message { from, to, bytes }));
                    return;
                }
                let message: Message = wire::decode(&bytes).expect("our own message");
                match (to, message) {
                    (Node::Agent(index), Message::Order(command)) => {
                        self.feed_agent(index, agent::Event::LoadCommand(command));
                    }
                    (Node::Owner(index), Message::Ordered(host, outcome)) => {
                        if let Node::Agent(agent) = from {
                            self.asked.remove(&(index, agent));
                        }
                        self.feed_owner(index, Event::LoadOutcome(host, outcome));
                    }
                    _ => {}
                }
            }
            Item::Load {
                agent,
                life,
                command,
            } => self.load(agent, life, &command),
            Item::ReadFence { agent, life } => self.read_fence(agent, life),
        }
    }

    fn load(&mut self, agent: usize, life: u64, command: &LoadCommand) {
        if self.now < self.store_slow_until && command.source.is_none() {
            let until = self.store_slow_until;
            let item = Item::Load {
                agent,
                life,
                command: command.clone(),
            };
            self.late.push((until, item));
            return;
        }
        if self.agent_lives[agent] != life {
            return; // The order died with the agent's connection.
        }
        if self.fail_swaps > 0 {
            self.fail_swaps -= 1;
        } else {
            let engine = &mut self.engines[agent];
            if engine
                .fences
                .last()
                .is_some_and(|last| *last > command.fence)
            {
                let problem = format!("agent {agent} passed an old order ({})", command.fence);
                self.violations.push(problem);
            }
            engine.fences.push(command.fence);
            engine.version = command.version.0;
        }
        self.feed_agent(agent, agent::Event::LoadEnded);
    }

    fn read_fence(&mut self, agent: usize, life: u64) {
        let is_down = self.platform.is_down || self.now < self.platform_slow_until;
        let fence = self.stored_fence();
        if self.agent_lives[agent] == life {
            let fence = (!is_down).then_some(fence);
            self.feed_agent(agent, agent::Event::FenceRead("m".into(), fence));
        }
    }

    /// The fencing number that the platform holds.
    fn stored_fence(&self) -> Fence {
        let stored = self.platform.objects.get("rollout/m");
        stored.map_or(Fence(0), |(_, value)| {
            let record: LeaseRecord =
                store::decode("rollout", value).expect("our own lease record");
            record.fence
        })
    }

    pub fn inject(&mut self, fault: Fault, owner: usize, agent: usize) {
        let until = self.now.after(FAULT_TIME);
        match fault {
            Fault::OwnerKilled => {
                self.owners[owner] = self.new_owner(owner);
                self.owner_lives[owner] = self.last_life;
                self.inform();
            }
            Fault::OwnerFrozen => drop(self.frozen.insert(Node::Owner(owner), until)),
            Fault::AgentKilled => {
                self.agents[agent] = self.new_agent(agent);
                self.agent_lives[agent] = self.last_life;
                self.report_engine(agent);
            }
            Fault::AgentFrozen => drop(self.frozen.insert(Node::Agent(agent), until)),
            Fault::EngineCrash => {
                // It restarts into the weights it was installed with.
                self.engines[agent].version = 1;
                self.feed_agent(agent, agent::Event::ServerDown);
                self.report_engine(agent);
            }
            Fault::SwapFails => self.fail_swaps += 1,
            Fault::SwapAnswerLost => {
                // The order was carried out, but nobody says so: only a read-back shows it.
                self.engines[agent].version = self.target;
            }
            Fault::StoreSlow => self.store_slow_until = until,
            Fault::PlatformDown => {
                self.platform.is_down = true;
                self.platform_back_at = Some(until);
            }
            Fault::PlatformSlow => self.platform_slow_until = until,
            Fault::AnswerLost => self.platform.lose_answers += 1,
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
            Fault::HostListWrong => {
                self.listed_leaving = Some((agent, until));
                self.inform();
            }
            Fault::NewVersion => {
                self.target += 1;
                self.config = Arc::new(manifest(self.target));
                self.inform();
            }
        }
    }

    fn take_message(&mut self) -> Option<Item> {
        let is_message = |item: &Item| matches!(item, Item::Message { .. });
        let place = self.queue.iter().rposition(is_message)?;
        self.queue.remove(place)
    }

    fn inform(&mut self) {
        let config = Arc::clone(&self.config);
        let hosts: Vec<Host> = (0..AGENTS).map(|index| self.host(index)).collect();
        for index in 0..OWNERS {
            if !self.is_frozen(Node::Owner(index)) {
                self.feed_owner(index, Event::Config(Arc::clone(&config)));
                self.feed_owner(index, Event::Hosts(hosts.clone()));
            }
        }
    }

    pub fn pass(&mut self, time: Duration) {
        /// After this an owner takes an order without an answer for lost.
        const PATIENCE: Duration = Duration::from_secs(5);
        self.now = self.now.after(time);
        let (due, late): (Vec<_>, Vec<_>) =
            self.late.drain(..).partition(|(at, _)| *at <= self.now);
        self.late = late;
        self.queue.extend(due.into_iter().map(|(_, item)| item));
        if self.platform_back_at.is_some_and(|at| at <= self.now) {
            self.platform.is_down = false;
            self.platform_back_at = None;
        }
        if self
            .listed_leaving
            .is_some_and(|(_, until)| until <= self.now)
        {
            self.listed_leaving = None;
            self.inform();
        }
        let now = self.now;
        let lost: Vec<(usize, usize)> = self
            .asked
            .iter()
            .filter(|(_, at)| now.since(**at) >= PATIENCE)
            .map(|(pair, _)| *pair)
            .collect();
        for (owner, agent) in lost {
            self.asked.remove(&(owner, agent));
            if !self.is_frozen(Node::Owner(owner)) {
                let host = self.host(agent).name;
                self.feed_owner(owner, Event::LoadOutcomeLost(host));
            }
        }
        for index in 0..OWNERS {
            if !self.is_frozen(Node::Owner(index)) {
                self.feed_owner(index, Event::Tick);
            }
        }
        for index in 0..AGENTS {
            if !self.is_frozen(Node::Agent(index)) {
                self.feed_agent(index, agent::Event::Tick);
            }
        }
    }

    pub fn settle(&mut self, time: Duration) {
        const STEP: Duration = Duration::from_millis(500);
        let end = self.now.after(time);
        while self.now < end {
            while let Some(item) = self.queue.pop_front() {
                self.deliver(item);
            }
            self.inform();
            self.pass(STEP);
        }
    }

    /// Every engine has the target, and the agents say what the engines have.
    pub fn check(&mut self) {
        for index in 0..AGENTS {
            let version = self.engines[index].version;
            if version != self.target {
                self.violations
                    .push(format!("engine {index} has {version}, not {}", self.target));
            }
        }
    }
}
