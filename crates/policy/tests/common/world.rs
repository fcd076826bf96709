//! Entries, agents, engines and the platform, joined by one queue.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tamaracksail_model::config::Snapshot;
use tamaracksail_model::host::{Host, Phase, Role};
use tamaracksail_model::id;
use tamaracksail_model::manifest::Set;
use tamaracksail_model::outcome::Class;
use tamaracksail_model::store::{Answer, Call, Reply};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::agent::{self, Agent};
use tamaracksail_policy::entry::{self, Entry};
use tamaracksail_policy::request::arrival::{Arrival, Target};
use tamaracksail_wire::{self as wire, Message};

use super::fault::Fault;
use super::observer::{Observer, Seen, TOKENS, token};
use super::platform::Platform;

pub const ENTRIES: usize = 2;
pub const AGENTS: usize = 3;

/// The time that a caller waits.
pub const DEADLINE: Duration = Duration::from_secs(20);

/// How long a frozen process stays frozen, and a fault of the platform or a link lasts.
pub const FAULT_TIME: Duration = Duration::from_secs(8);

const MANIFEST: &str = "
kind: Domain
name: a
spec: {region: r}
---
kind: Model
name: m
spec: {serve: v1}
---
kind: Version
name: v1
spec: {model: m, number: 1}
---
kind: Pool
name: engines
spec: {model: m, domains: [a], checks_orders: true, concurrency: 2}
---
kind: Service
name: register
spec: {domains: [a], concurrency: 2}
";

/// One of the processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Entry(usize),
    Agent(usize),
}

/// Something that waits to happen.
#[derive(Clone, Debug)]
pub enum Item {
    /// An encoded message on its way.
    Message {
        from: Node,
        to: Node,
        bytes: Vec<u8>,
        is_copy: bool,
    },
    /// A call on its way to the platform.
    Call {
        from: Node,
        life: id::Incarnation,
        call: Call,
    },
    /// A reply on its way back. It belongs to a connection, so a later life does not get it.
    Reply {
        to: Node,
        life: id::Incarnation,
        reply: Reply,
    },
}

struct Run {
    fingerprint: id::Fingerprint,
    next: u64,
    has_head: bool,
}

#[derive(Default)]
pub struct Engine {
    pub is_up: bool,
    pub hangs: bool,
    pub version: u64,
    runs: BTreeMap<id::Attempt, Run>,
}

/// What the harness noticed on its way: the names of the steps, in order.
pub type Trace = Vec<&'static str>;

pub struct World {
    pub now: Instant,
    pub entries: Vec<Entry>,
    pub agents: Vec<Agent>,
    pub engines: Vec<Engine>,
    pub platform: Platform,
    pub queue: VecDeque<Item>,
    pub observer: Observer,
    pub trace: Trace,
    pub serves: &'static str,
    schedule: BTreeMap<usize, Fault>,
    frozen: BTreeMap<Node, Instant>,
    cut: BTreeMap<(Node, Node), Instant>,
    late: Vec<(Instant, Item)>,
    platform_back_at: Option<Instant>,
    platform_slow_until: Instant,
    listed_leaving: BTreeSet<usize>,
    contents: BTreeMap<id::Attempt, id::Fingerprint>,
    /// Content that crashes the engine that runs it.
    pub poison: Option<id::Fingerprint>,
    pub crashes: u32,
    last_incarnation: u64,
    last_request: u64,
    pub config: Arc<Snapshot>,
}

fn host(name: &str, role: Role, port: u16, serves: Option<&str>) -> Host {
    Host {
        name: name.into(),
        role,
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        domain: "a".into(),
        serves: serves.map(Into::into),
        phase: Phase::Live,
    }
}

fn address_of(node: Node) -> u16 {
    match node {
        Node::Entry(index) => u16::try_from(index).unwrap() + 100,
        Node::Agent(index) => u16::try_from(index).unwrap() + 200,
    }
}

fn node_at(address: SocketAddr) -> Node {
    match address.port() {
        port @ 200.. => Node::Agent(usize::from(port) - 200),
        port => Node::Entry(usize::from(port) - 100),
    }
}

impl World {
    /// A world whose agents serve the pool `engines` or the service `register`.
    pub fn new(serves: &'static str, schedule: BTreeMap<usize, Fault>) -> Self {
        let mut set = Set::default();
        set.add("harness.yaml", MANIFEST);
        let objects = set.finish().expect("the manifest is consistent");
        let config = Arc::new(Snapshot {
            generation: id::Generation(1),
            objects,
        });
        let mut world = Self {
            now: Instant::from_millis(1_000_000),
            entries: Vec::new(),
            agents: Vec::new(),
            engines: Vec::new(),
            platform: Platform::default(),
            queue: VecDeque::new(),
            observer: Observer::default(),
            trace: Vec::new(),
            serves,
            schedule: BTreeMap::new(),
            frozen: BTreeMap::new(),
            cut: BTreeMap::new(),
            late: Vec::new(),
            platform_back_at: None,
            platform_slow_until: Instant::default(),
            listed_leaving: BTreeSet::new(),
            contents: BTreeMap::new(),
            poison: None,
            crashes: 0,
            last_incarnation: 0,
            last_request: 0,
            config,
        };
        for index in 0..AGENTS {
            let agent = world.new_agent(index);
            world.agents.push(agent);
            world.engines.push(Engine {
                is_up: true,
                version: 1,
                ..Engine::default()
            });
        }
        for _ in 0..ENTRIES {
            let entry = world.new_entry(world.entries.len());
            world.entries.push(entry);
        }
        for index in 0..AGENTS {
            world.report_engine(index);
        }
        for index in 0..ENTRIES {
            world.inform_entry(index);
        }
        // The first heartbeats pass before faults begin.
        world.settle(Duration::from_millis(300));
        world.trace.clear();
        world.schedule = schedule;
        world
    }

    fn new_agent(&mut self, index: usize) -> Agent {
        self.last_incarnation += 1;
        Agent::new(agent::Settings {
            host: host(
                &format!("agent-{index}"),
                Role::Agent,
                address_of(Node::Agent(index)),
                None,
            ),
            incarnation: id::Incarnation(self.last_incarnation),
            limit: 2,
            queue: 2,
            load_validity: Duration::from_secs(3),
        })
    }

    fn new_entry(&mut self, index: usize) -> Entry {
        self.last_incarnation += 1;
        let host = host(
            &format!("entry-{index}"),
            Role::Entry,
            address_of(Node::Entry(index)),
            None,
        );
        let incarnation = id::Incarnation(self.last_incarnation);
        let settings = entry::Settings::builder(host, incarnation, self.last_incarnation)
            .stall_timeout(Duration::from_secs(3))
            .build()
            .expect("the settings are within their bounds");
        Entry::new(settings)
    }

    fn hosts(&self) -> Vec<Host> {
        let agents = (0..AGENTS).map(|index| {
            let port = address_of(Node::Agent(index));
            let mut host = host(
                &format!("agent-{index}"),
                Role::Agent,
                port,
                Some(self.serves),
            );
            if self.listed_leaving.contains(&index) {
                host.phase = Phase::Leaving;
            }
            host
        });
        let entries = (0..ENTRIES).map(|index| {
            host(
                &format!("entry-{index}"),
                Role::Entry,
                address_of(Node::Entry(index)),
                None,
            )
        });
        agents.chain(entries).collect()
    }

    fn inform_entry(&mut self, index: usize) {
        let (config, hosts) = (Arc::clone(&self.config), self.hosts());
        self.feed_entry(index, entry::Event::Config(config));
        self.feed_entry(index, entry::Event::Hosts(hosts));
    }

    fn report_engine(&mut self, index: usize) {
        let versions = BTreeMap::from([("m".into(), id::Version(self.engines[index].version))]);
        self.feed_agent(index, agent::Event::ServerUp(versions));
    }

    fn is_frozen(&self, node: Node) -> bool {
        self.frozen
            .get(&node)
            .is_some_and(|until| self.now < *until)
    }

    fn is_cut(&self, from: Node, to: Node) -> bool {
        self.cut
            .get(&(from, to))
            .is_some_and(|until| self.now < *until)
    }

    /// A caller sends a request through an entry.
    pub fn call(&mut self, entry: usize, arrival: Arrival) {
        self.observer.calls.insert(
            arrival.request,
            Seen {
                fingerprint: arrival.fingerprint,
                once: arrival.once,
                streamed: arrival.streamed,
                relayed: Vec::new(),
                answers: Vec::new(),
            },
        );
        self.feed_entry(entry, entry::Event::Arrived(arrival));
    }

    /// A request of the harness.
    pub fn arrival(&mut self, fingerprint: u64, once: bool, streamed: bool) -> Arrival {
        self.last_request += 1;
        let target = match self.serves {
            "register" => Target::Service("register".into()),
            _ => Target::Model("m".into()),
        };
        Arrival {
            request: id::Request(self.last_request),
            caller: "clerk".into(),
            target,
            class: Class::Interactive,
            once,
            key: once.then(|| format!("key-{fingerprint}")),
            fingerprint: id::Fingerprint(fingerprint),
            prefix: None,
            deadline: self.now.after(DEADLINE),
            streamed,
            resumable: streamed,
        }
    }

    pub fn feed_entry(&mut self, index: usize, event: entry::Event) {
        for action in self.entries[index].handle(self.now, event) {
            self.act_entry(index, action);
        }
    }

    pub fn feed_agent(&mut self, index: usize, event: agent::Event) {
        for action in self.agents[index].handle(self.now, event) {
            self.act_agent(index, action);
        }
    }

    /// Notes a step, and injects the fault that the schedule has there. A fault of the message
    /// that the step sends is given back, to be injected once it is sent.
    fn step(&mut self, name: &'static str, node: Node) -> Option<Fault> {
        let place = self.trace.len();
        self.trace.push(name);
        let fault = self.schedule.remove(&place)?;
        if fault.is_of_message() {
            return Some(fault);
        }
        self.inject(fault, node);
        None
    }

    fn act_entry(&mut self, index: usize, action: entry::Action) {
        let from = Node::Entry(index);
        // The match is exhaustive: a new action is a new step.
        let name = match &action {
            entry::Action::Store(_) => "entry.store",
            entry::Action::Dispatch { .. } => "entry.dispatch",
            entry::Action::Revoke { .. } => "entry.revoke",
            entry::Action::Hello { .. } => "entry.hello",
            entry::Action::StartResponse { .. } => "entry.start",
            entry::Action::Relay { .. } => "entry.relay",
            entry::Action::Respond { .. } => "entry.answer",
            entry::Action::Exit => "entry.exit",
        };
        let mut fault = None;
        if name != "entry.hello" {
            let incarnation = self.entries[index].status(self.now).incarnation;
            fault = self.step(name, from);
            if self.entries[index].status(self.now).incarnation != incarnation {
                return; // It was killed before it could act.
            }
        }
        match action {
            entry::Action::Store(call) => {
                let life = self.entries[index].status(self.now).incarnation;
                self.queue.push_back(Item::Call { from, life, call });
            }
            entry::Action::Dispatch {
                request,
                address,
                dispatch,
                ..
            } => {
                self.observer.attempts.insert(dispatch.attempt, request);
                self.contents.insert(dispatch.attempt, dispatch.fingerprint);
                self.post(from, node_at(address), &Message::Dispatch(dispatch));
            }
            entry::Action::Revoke {
                address, revoke, ..
            } => {
                self.post(from, node_at(address), &Message::Revoke(revoke));
            }
            entry::Action::Hello { address, hello, .. } => {
                self.post(from, node_at(address), &Message::Hello(hello));
            }
            entry::Action::Relay { request, bytes, .. } => {
                if let Some(seen) = self.observer.calls.get_mut(&request) {
                    seen.relayed.extend_from_slice(&bytes);
                }
            }
            entry::Action::Respond { request, response } => {
                if let Some(seen) = self.observer.calls.get_mut(&request) {
                    seen.answers.push(*response);
                }
            }
            entry::Action::StartResponse { .. } | entry::Action::Exit => {}
        }
        if let Some(fault) = fault {
            self.inject(fault, from);
        }
    }

    fn act_agent(&mut self, index: usize, action: agent::Action) {
        let from = Node::Agent(index);
        let name = match &action {
            agent::Action::Run { .. } => "agent.run",
            agent::Action::Cancel(_) => "agent.cancel",
            agent::Action::SendFrame(wire::Frame::Head { .. }) => "agent.head",
            agent::Action::SendFrame(wire::Frame::Data { .. }) => "agent.data",
            agent::Action::SendFrame(wire::Frame::End { .. }) => "agent.end",
            agent::Action::SendFrame(wire::Frame::Failed { .. }) => "agent.failed",
            agent::Action::CloseDuplicate(_) => "agent.drop",
            agent::Action::Revoked(_) => "agent.revoked",
            agent::Action::Report(_) => "agent.report",
            agent::Action::Load(_) => "agent.load",
            agent::Action::ReadVersions => "agent.read-back",
            agent::Action::ReadFence(_) => "agent.read-fence",
            agent::Action::LoadOutcome(_) => "agent.ordered",
            agent::Action::Exit => "agent.exit",
        };
        let mut fault = None;
        if name != "agent.report" {
            let (life, crashes) = (self.life(index), self.engines[index].is_up);
            fault = self.step(name, from);
            if self.life(index) != life || self.engines[index].is_up != crashes {
                return; // It was killed, or its engine was, before it could act.
            }
        }
        match action {
            agent::Action::Run { attempt, resume } => self.start_run(index, attempt, resume),
            agent::Action::Cancel(attempt) => {
                self.engines[index].runs.remove(&attempt);
            }
            agent::Action::SendFrame(frame) => self.reply_to_entry(from, &Message::Frame(frame)),
            agent::Action::Revoked(revoked) => {
                self.reply_to_entry(from, &Message::Revoked(revoked));
            }
            agent::Action::Report(report) => {
                for entry in 0..ENTRIES {
                    self.post(
                        from,
                        Node::Entry(entry),
                        &Message::Report((*report).clone()),
                    );
                }
            }
            agent::Action::CloseDuplicate(_)
            | agent::Action::Load(_)
            | agent::Action::ReadVersions
            | agent::Action::ReadFence(_)
            | agent::Action::LoadOutcome(_)
            | agent::Action::Exit => {}
        }
        if let Some(fault) = fault {
            self.inject(fault, from);
        }
    }

    fn life(&self, index: usize) -> id::Incarnation {
        self.agents[index].incarnation()
    }

    fn start_run(&mut self, index: usize, attempt: id::Attempt, resume: u64) {
        self.observer.runs.push(attempt);
        self.observer.places.push(index);
        let Some(fingerprint) = self.contents.get(&attempt).copied() else {
            return;
        };
        // Tokens have one length, so the bytes already given tell how many there are.
        let length = token(fingerprint, 0, self.engines[index].version).len() as u64;
        let run = Run {
            fingerprint,
            next: resume / length,
            has_head: false,
        };
        self.engines[index].runs.insert(attempt, run);
    }

    fn reply_to_entry(&mut self, from: Node, message: &Message) {
        let attempt = match message {
            Message::Frame(frame) => frame.attempt(),
            Message::Revoked(revoked) => revoked.attempt,
            _ => return,
        };
        let lives: Vec<id::Incarnation> = self
            .entries
            .iter()
            .map(|entry| entry.status(self.now).incarnation)
            .collect();
        if let Some(index) = lives.iter().position(|life| *life == attempt.entry) {
            self.post(from, Node::Entry(index), message);
        }
    }

    fn post(&mut self, from: Node, to: Node, message: &Message) {
        let bytes = wire::encode(message);
        self.queue.push_back(Item::Message {
            from,
            to,
            bytes,
            is_copy: false,
        });
    }

    /// Lets one queued item happen; gives it back if its receiver is frozen.
    pub fn deliver(&mut self, item: Item) {
        match item {
            Item::Message {
                from,
                to,
                bytes,
                is_copy,
            } => {
                if self.is_cut(from, to) {
                    return self.lose(from, &bytes, is_copy, true);
                }
                if self.is_frozen(to) {
                    let until = self.frozen[&to];
                    self.late.push((
                        until,
                        Item::Message {
                            from,
                            to,
                            bytes,
                            is_copy,
                        },
                    ));
                    return;
                }
                let message: Message = wire::decode(&bytes).expect("our own message");
                self.receive(to, message);
            }
            Item::Call { from, life, call } => {
                if self.now < self.platform_slow_until {
                    let until = self.platform_slow_until;
                    let ticket = call.ticket;
                    self.late.push((until, Item::Call { from, life, call }));
                    let reply = Reply {
                        ticket,
                        answer: Answer::Lost,
                    };
                    self.queue.push_back(Item::Reply {
                        to: from,
                        life,
                        reply,
                    });
                    return;
                }
                let reply = self.platform.call(&call);
                self.queue.push_back(Item::Reply {
                    to: from,
                    life,
                    reply,
                });
            }
            Item::Reply { to, life, reply } => {
                if self.is_frozen(to) {
                    let until = self.frozen[&to];
                    self.late.push((until, Item::Reply { to, life, reply }));
                    return;
                }
                if let Node::Entry(index) = to
                    && self.entries[index].status(self.now).incarnation == life
                {
                    self.feed_entry(index, entry::Event::Stored(reply));
                }
            }
        }
    }

    /// A message is lost. The sender of a dispatch sees its connection fail, if `is_told`.
    pub fn lose(&mut self, from: Node, bytes: &[u8], is_copy: bool, is_told: bool) {
        let Ok(Message::Dispatch(dispatch)) = wire::decode(bytes) else {
            return;
        };
        if let (Node::Entry(index), true) = (from, is_told) {
            let event = entry::Event::LinkFailed {
                attempt: dispatch.attempt,
                sent: is_copy,
            };
            self.feed_entry(index, event);
        }
    }

    fn receive(&mut self, to: Node, message: Message) {
        match (to, message) {
            (Node::Agent(index), Message::Dispatch(dispatch)) => {
                self.feed_agent(index, agent::Event::Dispatch(dispatch));
            }
            (Node::Agent(index), Message::Revoke(revoke)) => {
                self.feed_agent(index, agent::Event::Revoke(revoke));
            }
            (Node::Agent(index), Message::Hello(hello)) => {
                self.feed_agent(index, agent::Event::Hello(hello));
            }
            (Node::Entry(index), Message::Frame(frame)) => {
                self.feed_entry(index, entry::Event::Frame(frame));
            }
            (Node::Entry(index), Message::Revoked(revoked)) => {
                self.feed_entry(index, entry::Event::Revoked(revoked));
            }
            (Node::Entry(index), Message::Report(report)) => {
                self.feed_entry(index, entry::Event::Report(report));
            }
            _ => {}
        }
    }

    /// Every engine makes one token of every run.
    pub fn run_engines(&mut self) {
        for index in 0..AGENTS {
            let attempts: Vec<id::Attempt> = self.engines[index].runs.keys().copied().collect();
            for attempt in attempts {
                self.run_engine(index, attempt);
            }
        }
    }

    fn run_engine(&mut self, index: usize, attempt: id::Attempt) {
        let engine = &mut self.engines[index];
        if engine.hangs || !engine.is_up || self.is_frozen(Node::Agent(index)) {
            return;
        }
        let content = self.engines[index].runs.get(&attempt);
        if self.poison.is_some() && content.map(|run| run.fingerprint) == self.poison {
            self.crashes += 1;
            return self.crash_engine(index);
        }
        let engine = &mut self.engines[index];
        let version = engine.version;
        let Some(run) = engine.runs.get_mut(&attempt) else {
            return;
        };
        let event = if !run.has_head {
            run.has_head = true;
            agent::Event::Head {
                attempt,
                status: 200,
                headers: Vec::new(),
            }
        } else if run.next < TOKENS {
            let bytes = Bytes::from(token(run.fingerprint, run.next, version));
            run.next += 1;
            let version = (self.serves == "engines").then_some(id::Version(version));
            agent::Event::Chunk {
                attempt,
                bytes,
                version,
            }
        } else {
            engine.runs.remove(&attempt);
            let usage = wire::Usage {
                completion_tokens: TOKENS,
                ..wire::Usage::default()
            };
            agent::Event::Finished {
                attempt,
                versions: BTreeSet::new(),
                usage,
            }
        };
        self.feed_agent(index, event);
    }

    /// Injects a fault at a node.
    pub fn inject(&mut self, fault: Fault, at: Node) {
        let until = self.now.after(FAULT_TIME);
        let agent = match at {
            Node::Agent(index) => index,
            Node::Entry(_) => self.busiest_agent(),
        };
        let entry = match at {
            Node::Entry(index) => index,
            Node::Agent(_) => 0,
        };
        match fault {
            Fault::EngineCrash => self.crash_engine(agent),
            Fault::EngineHang => self.engines[agent].hangs = true,
            Fault::AgentKilled => self.kill_agent(agent),
            Fault::HostLost => {
                // Nobody is told: its connections just stay silent.
                self.engines[agent].runs.clear();
                self.agents[agent] = self.new_agent(agent);
                self.report_engine(agent);
            }
            Fault::AgentFrozen => drop(self.frozen.insert(Node::Agent(agent), until)),
            Fault::EntryKilled => self.kill_entry(entry),
            Fault::EntryFrozen => drop(self.frozen.insert(Node::Entry(entry), until)),
            Fault::PlatformDown => {
                self.platform.is_down = true;
                self.platform_back_at = Some(until);
            }
            Fault::PlatformSlow => self.platform_slow_until = until,
            Fault::AnswerLost => self.platform.lose_answers += 1,
            Fault::LinkCut => {
                for (from, to) in [
                    (Node::Entry(entry), Node::Agent(agent)),
                    (Node::Agent(agent), Node::Entry(entry)),
                ] {
                    self.cut.insert((from, to), until);
                }
            }
            Fault::LinkCutOneWay => {
                let way = (Node::Agent(agent), Node::Entry(entry));
                self.cut.insert(way, until);
            }
            Fault::MessageLost => {
                if let Some(Item::Message {
                    from,
                    bytes,
                    is_copy,
                    ..
                }) = self.take_message()
                {
                    self.lose(from, &bytes, is_copy, true);
                }
            }
            Fault::MessageDoubled => {
                if let Some(Item::Message {
                    from, to, bytes, ..
                }) = self.take_message()
                {
                    let copy = Item::Message {
                        from,
                        to,
                        bytes,
                        is_copy: true,
                    };
                    self.late.push((until, copy.clone()));
                    self.queue.push_back(copy);
                }
            }
            Fault::MessageLate => {
                if let Some(item) = self.take_message() {
                    self.late.push((until, item));
                }
            }
            Fault::CallerRepeats => self.repeat_calls(),
            Fault::HostListWrong => {
                self.listed_leaving.insert(agent);
                for index in 0..ENTRIES {
                    let hosts = self.hosts();
                    self.feed_entry(index, entry::Event::Hosts(hosts));
                }
            }
            Fault::WeightsSwapped => self.engines[agent].version += 1,
        }
    }

    fn busiest_agent(&self) -> usize {
        let running = |index: &usize| self.engines[*index].runs.len();
        (0..AGENTS).rev().max_by_key(running).unwrap_or(0)
    }

    /// The latest message that is no heartbeat.
    pub fn take_message(&mut self) -> Option<Item> {
        let place = self.queue.iter().rposition(|item| {
            let Item::Message { bytes, .. } = item else {
                return false;
            };
            !matches!(
                wire::decode(bytes),
                Ok(Message::Hello(_) | Message::Report(_))
            )
        })?;
        self.queue.remove(place)
    }

    pub fn crash_engine(&mut self, index: usize) {
        self.engines[index].runs.clear();
        self.engines[index].is_up = false;
        self.feed_agent(index, agent::Event::ServerDown);
    }

    pub fn kill_agent(&mut self, index: usize) {
        self.engines[index].runs.clear();
        self.agents[index] = self.new_agent(index);
        self.break_links(index);
        self.report_engine(index);
    }

    /// Entries see their connections to a killed agent fail.
    fn break_links(&mut self, index: usize) {
        for entry in 0..ENTRIES {
            let broken: Vec<id::Attempt> =
                self.entries[entry].attempts_at(&format!("agent-{index}").as_str().into());
            for attempt in broken {
                self.feed_entry(
                    entry,
                    entry::Event::LinkFailed {
                        attempt,
                        sent: true,
                    },
                );
            }
        }
    }

    pub fn kill_entry(&mut self, index: usize) {
        let life = self.entries[index].status(self.now).incarnation;
        self.entries[index] = self.new_entry(index);
        self.inform_entry(index);
        // Agents see the connections of the old life close.
        for agent in 0..AGENTS {
            let attempts: Vec<id::Attempt> = self
                .contents
                .keys()
                .filter(|attempt| attempt.entry == life)
                .copied()
                .collect();
            for attempt in attempts {
                self.feed_agent(agent, agent::Event::EntryDisconnected(attempt));
            }
        }
    }

    /// Every caller without a whole answer sends again, through the other entry.
    pub fn repeat_calls(&mut self) {
        let open: Vec<Seen> = self.observer.calls.values().cloned().collect();
        for seen in open {
            let arrival = self.arrival(seen.fingerprint.0, seen.once, seen.streamed);
            self.call(1, arrival);
        }
    }

    /// Time passes: late items arrive, frozen processes go on, everybody ticks.
    pub fn pass(&mut self, time: Duration) {
        self.now = self.now.after(time);
        let (due, late) = self.late.drain(..).partition(|(at, _)| *at <= self.now);
        self.late = late;
        let due: Vec<(Instant, Item)> = due;
        self.queue.extend(due.into_iter().map(|(_, item)| item));
        if self.platform_back_at.is_some_and(|at| at <= self.now) {
            self.platform.is_down = false;
            self.platform_back_at = None;
        }
        for index in 0..ENTRIES {
            if !self.is_frozen(Node::Entry(index)) {
                self.feed_entry(index, entry::Event::Tick);
            }
        }
        for index in 0..AGENTS {
            if !self.engines[index].is_up && !self.is_frozen(Node::Agent(index)) {
                self.engines[index].is_up = true;
                self.report_engine(index);
            }
            if !self.is_frozen(Node::Agent(index)) {
                self.feed_agent(index, agent::Event::Tick);
            }
        }
    }

    /// Tells everybody that the host list shows an agent's host as leaving.
    pub fn list_as_leaving(&mut self, index: usize) {
        self.inject(Fault::HostListWrong, Node::Agent(index));
    }

    /// Delivers everything in order while time passes.
    pub fn settle(&mut self, time: Duration) {
        const STEP: Duration = Duration::from_millis(100);
        let end = self.now.after(time);
        while self.now < end {
            while let Some(item) = self.queue.pop_front() {
                self.deliver(item);
            }
            self.run_engines();
            while let Some(item) = self.queue.pop_front() {
                self.deliver(item);
            }
            if self.is_quiet() {
                self.now = end;
            }
            self.pass(STEP);
        }
    }

    /// Whether nothing but heartbeats can happen any more.
    fn is_quiet(&self) -> bool {
        let is_idle = self.entries.iter().all(|entry| entry.in_flight() == 0);
        let is_running = self.engines.iter().any(|engine| !engine.runs.is_empty());
        is_idle && !is_running && self.queue.is_empty() && self.late.is_empty()
    }
}
