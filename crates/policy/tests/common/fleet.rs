//! The harness of rollouts: two hosts that may own a rollout, agents with engines, and the
//! platform.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tamaracksail_model::config::Snapshot;
use tamaracksail_model::host::{Host, Phase, Role};
use tamaracksail_model::id::{self, Fence, Generation, Version};
use tamaracksail_model::manifest::Set;
use tamaracksail_model::store::{self, Call, CallResult, Reply};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::agent::{self, Agent};
use tamaracksail_policy::process::lease::{Claimant, LeaseRecord};
use tamaracksail_policy::version::rollout::{Action, Event, RolloutController, Settings};
use tamaracksail_wire::{self as wire, LoadCommand, Message};

use super::platform::Platform;

pub const OWNERS: usize = 2;
pub const AGENTS: usize = 4;

/// How long faults last.
pub const FAULT_DURATION: Duration = Duration::from_secs(25);

/// A fault. The match in [`RolloutHarness::inject`] is exhaustive.
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
pub enum Delivery {
    Call {
        owner: usize,
        incarnation: u64,
        call: Call,
    },
    Reply {
        owner: usize,
        incarnation: u64,
        reply: Reply,
    },
    Message {
        from: Node,
        to: Node,
        bytes: Vec<u8>,
    },
    /// An engine loads weights.
    Load {
        agent: usize,
        incarnation: u64,
        command: LoadCommand,
    },
    /// An agent reads the fencing token.
    ReadFence { agent: usize, incarnation: u64 },
}

/// An engine that loads whatever it is told to: only its agent checks fencing tokens.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub version: u64,
    pub fences: Vec<Fence>,
}

pub struct RolloutHarness {
    pub now: Instant,
    pub owners: Vec<RolloutController>,
    pub agents: Vec<Agent>,
    pub engines: Vec<Engine>,
    owner_incarnations: Vec<u64>,
    agent_incarnations: Vec<u64>,
    pub platform: Platform,
    pub queue: VecDeque<Delivery>,
    pub trace: Vec<&'static str>,
    pub violations: Vec<String>,
    schedule: BTreeMap<usize, Fault>,
    frozen: BTreeMap<Node, Instant>,
    late: Vec<(Instant, Delivery)>,
    /// The pairs of an owner that waits for the outcome from an agent, and when each started to.
    awaiting_outcome: BTreeMap<(usize, usize), Instant>,
    platform_up_at: Option<Instant>,
    platform_slow_until: Instant,
    store_slow_until: Instant,
    wrongly_leaving: Option<(usize, Instant)>,
    failing_loads: u32,
    pub target: u64,
    config: Arc<Snapshot>,
    last_incarnation: u64,
}

fn config_snapshot(version: u64) -> Snapshot {
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

impl RolloutHarness {
    pub fn new(schedule: BTreeMap<usize, Fault>) -> Self {
        let mut harness = Self {
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
            owner_incarnations: Vec::new(),
            agent_incarnations: Vec::new(),
            platform: Platform::default(),
            queue: VecDeque::new(),
            trace: Vec::new(),
            violations: Vec::new(),
            schedule,
            frozen: BTreeMap::new(),
            late: Vec::new(),
            awaiting_outcome: BTreeMap::new(),
            platform_up_at: None,
            platform_slow_until: Instant::default(),
            store_slow_until: Instant::default(),
            wrongly_leaving: None,
            failing_loads: 0,
            target: 2,
            config: Arc::new(config_snapshot(2)),
            last_incarnation: 0,
        };
        for index in 0..AGENTS {
            let agent = harness.new_agent(index);
            harness.agents.push(agent);
            harness.agent_incarnations.push(harness.last_incarnation);
            harness.report_engine(index);
        }
        for index in 0..OWNERS {
            let owner = harness.new_owner(index);
            harness.owners.push(owner);
            harness.owner_incarnations.push(harness.last_incarnation);
        }
        harness.send_config_and_hosts();
        harness
    }

    fn host(&self, index: usize) -> Host {
        let is_leaving = self
            .wrongly_leaving
            .is_some_and(|(agent, _)| agent == index);
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
        self.last_incarnation += 1;
        Agent::new(agent::Settings {
            host: self.host(index),
            incarnation: id::Incarnation(self.last_incarnation),
            limit: 2,
            queue: 2,
            load_validity: Duration::from_secs(3),
        })
    }

    fn new_owner(&mut self, index: usize) -> RolloutController {
        self.last_incarnation += 1;
        RolloutController::new(Settings {
            model: "m".into(),
            claimant: Claimant {
                host: format!("entry-{index}").as_str().into(),
                incarnation: id::Incarnation(self.last_incarnation),
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

    /// Records a step and injects the fault that is scheduled for it. A fault that concerns the
    /// message sent by the step is returned, to be injected once the message is sent.
    fn record_step(&mut self, name: &'static str, owner: usize, agent: usize) -> Option<Fault> {
        let position = self.trace.len();
        self.trace.push(name);
        let fault = self.schedule.remove(&position)?;
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
        let incarnation = self.owner_incarnations[index];
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
            let fault = self.record_step(name, index, agent);
            if self.owner_incarnations[index] != incarnation {
                return;
            }
            match action {
                Action::Store(call) => self.queue.push_back(Delivery::Call {
                    owner: index,
                    incarnation,
                    call,
                }),
                Action::LoadCommand(_, command) => {
                    let stored = self.stored_fence();
                    if stored > command.fence {
                        let problem =
                            format!("{} sent a load command after {stored}", command.fence);
                        self.violations.push(problem);
                    }
                    self.awaiting_outcome.insert((index, agent), self.now);
                    self.send(
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
        let incarnation = self.agent_incarnations[index];
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
            let fault = self.record_step(name, 0, index);
            if self.agent_incarnations[index] != incarnation {
                return;
            }
            match action {
                agent::Action::Load(command) => {
                    self.queue.push_back(Delivery::Load {
                        agent: index,
                        incarnation,
                        command,
                    });
                }
                agent::Action::ReadVersions => {
                    let version = Version(self.engines[index].version);
                    let versions = BTreeMap::from([("m".into(), version)]);
                    self.feed_agent(index, agent::Event::VersionsRead(Some(versions)));
                }
                agent::Action::ReadFence(_) => {
                    self.queue.push_back(Delivery::ReadFence {
                        agent: index,
                        incarnation,
                    });
                }
                agent::Action::LoadOutcome(outcome) => {
                    let host = self.host(index).name;
                    let message = Message::Ordered(host, outcome);
                    // The outcome goes to the owner that sent the latest command.
                    let latest = self
                        .awaiting_outcome
                        .iter()
                        .filter(|((_, agent), _)| *agent == index)
                        .max_by_key(|(_, at)| **at)
                        .map(|((owner, _), _)| *owner);
                    if let Some(owner) = latest {
                        self.send(Node::Agent(index), Node::Owner(owner), &message);
                    }
                }
                _ => {}
            }
            if let Some(fault) = fault {
                self.inject(fault, 0, index);
            }
        }
    }

    fn send(&mut self, from: Node, to: Node, message: &Message) {
        self.queue.push_back(Delivery::Message {
            from,
            to,
            bytes: wire::encode(message),
        });
    }

    pub fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Call {
                owner,
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
                            owner,
                            incarnation,
                            call,
                        },
                    ));
                    self.queue.push_back(Delivery::Reply {
                        owner,
                        incarnation,
                        reply,
                    });
                    return;
                }
                let reply = self.platform.call(&call);
                self.queue.push_back(Delivery::Reply {
                    owner,
                    incarnation,
                    reply,
                });
            }
            Delivery::Reply {
                owner,
                incarnation,
                reply,
            } => {
                if self.is_frozen(Node::Owner(owner)) {
                    let until = self.frozen[&Node::Owner(owner)];
                    self.late.push((
                        until,
                        Delivery::Reply {
                            owner,
                            incarnation,
                            reply,
                        },
                    ));
                } else if self.owner_incarnations[owner] == incarnation {
                    self.feed_owner(owner, Event::Stored(reply));
                }
            }
            Delivery::Message { from, to, bytes } => {
                if self.is_frozen(to) {
                    let until = self.frozen[&to];
                    self.late
                        .push((until, Delivery::Message { from, to, bytes }));
                    return;
                }
                let message: Message = wire::decode(&bytes).expect("our own message");
                match (to, message) {
                    (Node::Agent(index), Message::Order(command)) => {
                        self.feed_agent(index, agent::Event::LoadCommand(command));
                    }
                    (Node::Owner(index), Message::Ordered(host, outcome)) => {
                        if let Node::Agent(agent) = from {
                            self.awaiting_outcome.remove(&(index, agent));
                        }
                        self.feed_owner(index, Event::LoadOutcome(host, outcome));
                    }
                    _ => {}
                }
            }
            Delivery::Load {
                agent,
                incarnation,
                command,
            } => self.load(agent, incarnation, &command),
            Delivery::ReadFence { agent, incarnation } => self.read_fence(agent, incarnation),
        }
    }

    fn load(&mut self, agent: usize, incarnation: u64, command: &LoadCommand) {
        if self.now < self.store_slow_until && command.source.is_none() {
            let until = self.store_slow_until;
            let delivery = Delivery::Load {
                agent,
                incarnation,
                command: command.clone(),
            };
            self.late.push((until, delivery));
            return;
        }
        if self.agent_incarnations[agent] != incarnation {
            return; // The command was lost with the agent's connection to the engine.
        }
        if self.failing_loads > 0 {
            self.failing_loads -= 1;
        } else {
            let engine = &mut self.engines[agent];
            if engine
                .fences
                .last()
                .is_some_and(|last| *last > command.fence)
            {
                let problem = format!(
                    "agent {agent} passed on an old load command ({})",
                    command.fence
                );
                self.violations.push(problem);
            }
            engine.fences.push(command.fence);
            engine.version = command.version.0;
        }
        self.feed_agent(agent, agent::Event::LoadEnded);
    }

    fn read_fence(&mut self, agent: usize, incarnation: u64) {
        let is_down = self.platform.is_down || self.now < self.platform_slow_until;
        let fence = self.stored_fence();
        if self.agent_incarnations[agent] == incarnation {
            let fence = (!is_down).then_some(fence);
            self.feed_agent(agent, agent::Event::FenceRead("m".into(), fence));
        }
    }

    /// Returns the fencing token stored in the platform.
    fn stored_fence(&self) -> Fence {
        let stored = self.platform.objects.get("rollout/m");
        stored.map_or(Fence(0), |(_, value)| {
            let record: LeaseRecord =
                store::decode("rollout", value).expect("our own lease record");
            record.fence
        })
    }

    pub fn inject(&mut self, fault: Fault, owner: usize, agent: usize) {
        let until = self.now.after(FAULT_DURATION);
        match fault {
            Fault::OwnerKilled => {
                self.owners[owner] = self.new_owner(owner);
                self.owner_incarnations[owner] = self.last_incarnation;
                self.send_config_and_hosts();
            }
            Fault::OwnerFrozen => drop(self.frozen.insert(Node::Owner(owner), until)),
            Fault::AgentKilled => {
                self.agents[agent] = self.new_agent(agent);
                self.agent_incarnations[agent] = self.last_incarnation;
                self.report_engine(agent);
            }
            Fault::AgentFrozen => drop(self.frozen.insert(Node::Agent(agent), until)),
            Fault::EngineCrash => {
                // The engine restarts with the weights it was installed with.
                self.engines[agent].version = 1;
                self.feed_agent(agent, agent::Event::ServerDown);
                self.report_engine(agent);
            }
            Fault::SwapFails => self.failing_loads += 1,
            Fault::SwapAnswerLost => {
                // The weights are loaded without an outcome; only reading the versions shows it.
                self.engines[agent].version = self.target;
            }
            Fault::StoreSlow => self.store_slow_until = until,
            Fault::PlatformDown => {
                self.platform.is_down = true;
                self.platform_up_at = Some(until);
            }
            Fault::PlatformSlow => self.platform_slow_until = until,
            Fault::AnswerLost => self.platform.lose_answers += 1,
            Fault::MessageLost => drop(self.take_latest_message()),
            Fault::MessageDoubled => {
                if let Some(delivery) = self.take_latest_message() {
                    self.late.push((until, delivery.clone()));
                    self.queue.push_back(delivery);
                }
            }
            Fault::MessageLate => {
                if let Some(delivery) = self.take_latest_message() {
                    self.late.push((until, delivery));
                }
            }
            Fault::HostListWrong => {
                self.wrongly_leaving = Some((agent, until));
                self.send_config_and_hosts();
            }
            Fault::NewVersion => {
                self.target += 1;
                self.config = Arc::new(config_snapshot(self.target));
                self.send_config_and_hosts();
            }
        }
    }

    fn take_latest_message(&mut self) -> Option<Delivery> {
        let is_message = |delivery: &Delivery| matches!(delivery, Delivery::Message { .. });
        let position = self.queue.iter().rposition(is_message)?;
        self.queue.remove(position)
    }

    fn send_config_and_hosts(&mut self) {
        let config = Arc::clone(&self.config);
        let hosts: Vec<Host> = (0..AGENTS).map(|index| self.host(index)).collect();
        for index in 0..OWNERS {
            if !self.is_frozen(Node::Owner(index)) {
                self.feed_owner(index, Event::Config(Arc::clone(&config)));
                self.feed_owner(index, Event::Hosts(hosts.clone()));
            }
        }
    }

    pub fn advance(&mut self, time: Duration) {
        /// The time after which an owner's process considers a load command lost.
        const LOAD_COMMAND_TIMEOUT: Duration = Duration::from_secs(5);
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
        if self
            .wrongly_leaving
            .is_some_and(|(_, until)| until <= self.now)
        {
            self.wrongly_leaving = None;
            self.send_config_and_hosts();
        }
        let now = self.now;
        let lost: Vec<(usize, usize)> = self
            .awaiting_outcome
            .iter()
            .filter(|(_, at)| now.since(**at) >= LOAD_COMMAND_TIMEOUT)
            .map(|(pair, _)| *pair)
            .collect();
        for (owner, agent) in lost {
            self.awaiting_outcome.remove(&(owner, agent));
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

    pub fn run_for(&mut self, time: Duration) {
        const STEP: Duration = Duration::from_millis(500);
        let end = self.now.after(time);
        while self.now < end {
            while let Some(delivery) = self.queue.pop_front() {
                self.deliver(delivery);
            }
            self.send_config_and_hosts();
            self.advance(STEP);
        }
    }

    /// Checks that every engine has the target version. That agents report the versions that their
    /// engines have is checked at each outcome, in `feed_agent`.
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
