//! Entries, agents, engines and the platform, connected by one queue of messages.

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
use tamaracksail_model::store::{Call, CallResult, Reply};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::agent::{self, Agent};
use tamaracksail_policy::entry::{self, Entry};
use tamaracksail_policy::request::arrival::{Arrival, Target};
use tamaracksail_wire::{self as wire, Message};

use super::fault::Fault;
use super::observer::{CallRecord, Observer, TOKENS, token};
use super::platform::Platform;

pub const ENTRIES: usize = 2;
pub const AGENTS: usize = 3;

/// How long a caller waits for its response.
pub const DEADLINE: Duration = Duration::from_secs(20);

/// How long a process stays frozen, a link stays cut and the platform stays down or slow.
pub const FAULT_DURATION: Duration = Duration::from_secs(8);

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

/// A process of the harness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Entry(usize),
    Agent(usize),
}

/// Something in transit between processes.
#[derive(Clone, Debug)]
pub enum Delivery {
    /// An encoded message.
    Message {
        from: Node,
        to: Node,
        bytes: Vec<u8>,
        is_copy: bool,
    },
    /// A call to the platform.
    Call {
        from: Node,
        incarnation: id::Incarnation,
        call: Call,
    },
    /// A reply from the platform. It belongs to a connection, so a later incarnation of the process
    /// does not receive it.
    Reply {
        to: Node,
        incarnation: id::Incarnation,
        reply: Reply,
    },
}

struct Run {
    fingerprint: id::Fingerprint,
    next: u64,
    has_head: bool,
    /// The status with which the engine responds, followed by an error's text.
    error: Option<u16>,
}

#[derive(Default)]
pub struct Engine {
    pub is_up: bool,
    pub hangs: bool,
    pub version: u64,
    runs: BTreeMap<id::Attempt, Run>,
}

/// The names of the steps that processes took, in order.
pub type Trace = Vec<&'static str>;

pub struct World {
    pub now: Instant,
    pub entries: Vec<Entry>,
    pub agents: Vec<Agent>,
    pub engines: Vec<Engine>,
    pub platform: Platform,
    pub queue: VecDeque<Delivery>,
    pub observer: Observer,
    pub trace: Trace,
    pub serves: &'static str,
    schedule: BTreeMap<usize, Fault>,
    frozen_until: BTreeMap<Node, Instant>,
    cut_links: BTreeMap<(Node, Node), Instant>,
    delayed: Vec<(Instant, Delivery)>,
    platform_up_at: Option<Instant>,
    platform_slow_until: Instant,
    listed_as_leaving: BTreeSet<usize>,
    fingerprints: BTreeMap<id::Attempt, id::Fingerprint>,
    /// The content that crashes the engine that runs it.
    pub poison: Option<id::Fingerprint>,
    /// The status with which engines respond to requests that continue a stream, followed by an error's
    /// text.
    pub continuation_error: Option<u16>,
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

fn port_of(node: Node) -> u16 {
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
    /// Creates a world whose agents serve the pool `engines` or the service `register`.
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
            frozen_until: BTreeMap::new(),
            cut_links: BTreeMap::new(),
            delayed: Vec::new(),
            platform_up_at: None,
            platform_slow_until: Instant::default(),
            listed_as_leaving: BTreeSet::new(),
            fingerprints: BTreeMap::new(),
            poison: None,
            continuation_error: None,
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
            world.report_engine_up(index);
        }
        for index in 0..ENTRIES {
            world.configure_entry(index);
        }
        // The first heartbeats are delivered before any fault is injected.
        world.run_for(Duration::from_millis(300));
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
                port_of(Node::Agent(index)),
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
            port_of(Node::Entry(index)),
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
            let port = port_of(Node::Agent(index));
            let mut host = host(
                &format!("agent-{index}"),
                Role::Agent,
                port,
                Some(self.serves),
            );
            if self.listed_as_leaving.contains(&index) {
                host.phase = Phase::Leaving;
            }
            host
        });
        let entries = (0..ENTRIES).map(|index| {
            host(
                &format!("entry-{index}"),
                Role::Entry,
                port_of(Node::Entry(index)),
                None,
            )
        });
        agents.chain(entries).collect()
    }

    fn configure_entry(&mut self, index: usize) {
        let (config, hosts) = (Arc::clone(&self.config), self.hosts());
        self.feed_entry(index, entry::Event::Config(config));
        self.feed_entry(index, entry::Event::Hosts(hosts));
    }

    fn report_engine_up(&mut self, index: usize) {
        let versions = BTreeMap::from([("m".into(), id::Version(self.engines[index].version))]);
        self.feed_agent(index, agent::Event::ServerUp(versions));
    }

    fn is_frozen(&self, node: Node) -> bool {
        self.frozen_until
            .get(&node)
            .is_some_and(|until| self.now < *until)
    }

    fn is_cut(&self, from: Node, to: Node) -> bool {
        self.cut_links
            .get(&(from, to))
            .is_some_and(|until| self.now < *until)
    }

    /// Sends a caller's request through an entry.
    pub fn send_request(&mut self, entry: usize, arrival: Arrival) {
        self.observer.calls.insert(
            arrival.request,
            CallRecord {
                fingerprint: arrival.fingerprint,
                once: arrival.once,
                streamed: arrival.streamed,
                relayed: Vec::new(),
                responses: Vec::new(),
            },
        );
        self.feed_entry(entry, entry::Event::Arrived(arrival));
    }

    /// Creates a request of a caller.
    pub fn new_arrival(&mut self, fingerprint: u64, once: bool, streamed: bool) -> Arrival {
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

    /// Lets an entry handle an event, and carries out its actions.
    pub fn feed_entry(&mut self, index: usize, event: entry::Event) {
        for action in self.entries[index].handle(self.now, event) {
            self.apply_entry_action(index, action);
        }
    }

    /// Lets an agent handle an event, and carries out its actions.
    pub fn feed_agent(&mut self, index: usize, event: agent::Event) {
        for action in self.agents[index].handle(self.now, event) {
            self.apply_agent_action(index, action);
        }
    }

    /// Records a step and injects the fault that is scheduled for it. A fault that concerns the
    /// message of the step is returned instead, to be injected once the message was sent.
    fn record_step(&mut self, name: &'static str, node: Node) -> Option<Fault> {
        let position = self.trace.len();
        self.trace.push(name);
        let fault = self.schedule.remove(&position)?;
        if fault.concerns_message() {
            return Some(fault);
        }
        self.inject(fault, node);
        None
    }

    fn apply_entry_action(&mut self, index: usize, action: entry::Action) {
        let from = Node::Entry(index);
        // Every action is a step of the fault matrix.
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
            fault = self.record_step(name, from);
            if self.entries[index].status(self.now).incarnation != incarnation {
                return; // It was killed before it could act.
            }
        }
        match action {
            entry::Action::Store(call) => {
                let incarnation = self.entries[index].status(self.now).incarnation;
                self.queue.push_back(Delivery::Call {
                    from,
                    incarnation,
                    call,
                });
            }
            entry::Action::Dispatch {
                request,
                address,
                dispatch,
                ..
            } => {
                self.observer.attempts.insert(dispatch.attempt, request);
                self.fingerprints
                    .insert(dispatch.attempt, dispatch.fingerprint);
                self.send(from, node_at(address), &Message::Dispatch(dispatch));
            }
            entry::Action::Revoke {
                address, revoke, ..
            } => {
                self.send(from, node_at(address), &Message::Revoke(revoke));
            }
            entry::Action::Hello { address, hello, .. } => {
                self.send(from, node_at(address), &Message::Hello(hello));
            }
            entry::Action::Relay { request, bytes, .. } => {
                if let Some(call) = self.observer.calls.get_mut(&request) {
                    call.relayed.extend_from_slice(&bytes);
                }
            }
            entry::Action::Respond { request, response } => {
                if let Some(call) = self.observer.calls.get_mut(&request) {
                    call.responses.push(*response);
                }
            }
            entry::Action::StartResponse { .. } | entry::Action::Exit => {}
        }
        if let Some(fault) = fault {
            self.inject(fault, from);
        }
    }

    fn apply_agent_action(&mut self, index: usize, action: agent::Action) {
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
            let (incarnation, was_up) = (self.agent_incarnation(index), self.engines[index].is_up);
            fault = self.record_step(name, from);
            if self.agent_incarnation(index) != incarnation || self.engines[index].is_up != was_up {
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
                    self.send(
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

    fn agent_incarnation(&self, index: usize) -> id::Incarnation {
        self.agents[index].incarnation()
    }

    fn start_run(&mut self, index: usize, attempt: id::Attempt, resume: u64) {
        self.observer.runs.push(attempt);
        self.observer.run_agents.push(index);
        let Some(fingerprint) = self.fingerprints.get(&attempt).copied() else {
            return;
        };
        // All tokens have the same length, so the bytes already delivered give their number.
        let length = token(fingerprint, 0, self.engines[index].version).len() as u64;
        let run = Run {
            fingerprint,
            next: resume / length,
            has_head: false,
            error: self.continuation_error.filter(|_| resume > 0),
        };
        self.engines[index].runs.insert(attempt, run);
    }

    fn reply_to_entry(&mut self, from: Node, message: &Message) {
        let attempt = match message {
            Message::Frame(frame) => frame.attempt(),
            Message::Revoked(revoked) => revoked.attempt,
            _ => return,
        };
        let incarnations: Vec<id::Incarnation> = self
            .entries
            .iter()
            .map(|entry| entry.status(self.now).incarnation)
            .collect();
        if let Some(index) = incarnations
            .iter()
            .position(|incarnation| *incarnation == attempt.entry)
        {
            self.send(from, Node::Entry(index), message);
        }
    }

    fn send(&mut self, from: Node, to: Node, message: &Message) {
        let bytes = wire::encode(message);
        self.queue.push_back(Delivery::Message {
            from,
            to,
            bytes,
            is_copy: false,
        });
    }

    /// Delivers a message, call or reply, or delays it if its receiver is frozen.
    pub fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Message {
                from,
                to,
                bytes,
                is_copy,
            } => {
                if self.is_cut(from, to) {
                    return self.lose(from, &bytes, is_copy, true);
                }
                if self.is_frozen(to) {
                    let until = self.frozen_until[&to];
                    self.delayed.push((
                        until,
                        Delivery::Message {
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
            Delivery::Call {
                from,
                incarnation,
                call,
            } => {
                if self.now < self.platform_slow_until {
                    let until = self.platform_slow_until;
                    let call_id = call.call_id;
                    self.delayed.push((
                        until,
                        Delivery::Call {
                            from,
                            incarnation,
                            call,
                        },
                    ));
                    let reply = Reply {
                        call_id,
                        result: CallResult::Lost,
                    };
                    self.queue.push_back(Delivery::Reply {
                        to: from,
                        incarnation,
                        reply,
                    });
                    return;
                }
                let reply = self.platform.call(&call);
                self.queue.push_back(Delivery::Reply {
                    to: from,
                    incarnation,
                    reply,
                });
            }
            Delivery::Reply {
                to,
                incarnation,
                reply,
            } => {
                if self.is_frozen(to) {
                    let until = self.frozen_until[&to];
                    self.delayed.push((
                        until,
                        Delivery::Reply {
                            to,
                            incarnation,
                            reply,
                        },
                    ));
                    return;
                }
                if let Node::Entry(index) = to
                    && self.entries[index].status(self.now).incarnation == incarnation
                {
                    self.feed_entry(index, entry::Event::Stored(reply));
                }
            }
        }
    }

    /// Loses a message. If `sender_notices`, the sender of a dispatch sees its connection fail.
    pub fn lose(&mut self, from: Node, bytes: &[u8], is_copy: bool, sender_notices: bool) {
        let Ok(Message::Dispatch(dispatch)) = wire::decode(bytes) else {
            return;
        };
        if let (Node::Entry(index), true) = (from, sender_notices) {
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

    /// Lets every engine make one step of each of its runs: the head, a token or the end.
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
                status: run.error.unwrap_or(200),
                headers: Vec::new(),
            }
        } else if run.error.is_some() && run.next < TOKENS {
            run.next = TOKENS;
            agent::Event::Chunk {
                attempt,
                bytes: Bytes::from_static(b"error"),
                version: None,
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

    /// Whether an engine runs a request.
    pub fn is_running(&self, index: usize) -> bool {
        !self.engines[index].runs.is_empty()
    }

    /// Injects a fault that affects a node.
    pub fn inject(&mut self, fault: Fault, at: Node) {
        let until = self.now.after(FAULT_DURATION);
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
                // No one is notified: the connections just stay silent.
                self.engines[agent].runs.clear();
                self.agents[agent] = self.new_agent(agent);
                self.report_engine_up(agent);
            }
            Fault::AgentFrozen => drop(self.frozen_until.insert(Node::Agent(agent), until)),
            Fault::EntryKilled => self.kill_entry(entry),
            Fault::EntryFrozen => drop(self.frozen_until.insert(Node::Entry(entry), until)),
            Fault::PlatformDown => {
                self.platform.is_down = true;
                self.platform_up_at = Some(until);
            }
            Fault::PlatformSlow => self.platform_slow_until = until,
            Fault::AnswerLost => self.platform.lose_answers += 1,
            Fault::LinkCut => {
                for (from, to) in [
                    (Node::Entry(entry), Node::Agent(agent)),
                    (Node::Agent(agent), Node::Entry(entry)),
                ] {
                    self.cut_links.insert((from, to), until);
                }
            }
            Fault::LinkCutOneWay => {
                let link = (Node::Agent(agent), Node::Entry(entry));
                self.cut_links.insert(link, until);
            }
            Fault::MessageLost => {
                if let Some(Delivery::Message {
                    from,
                    bytes,
                    is_copy,
                    ..
                }) = self.take_latest_message()
                {
                    self.lose(from, &bytes, is_copy, true);
                }
            }
            Fault::MessageDoubled => {
                if let Some(Delivery::Message {
                    from, to, bytes, ..
                }) = self.take_latest_message()
                {
                    let copy = Delivery::Message {
                        from,
                        to,
                        bytes,
                        is_copy: true,
                    };
                    self.delayed.push((until, copy.clone()));
                    self.queue.push_back(copy);
                }
            }
            Fault::MessageLate => {
                if let Some(delivery) = self.take_latest_message() {
                    self.delayed.push((until, delivery));
                }
            }
            Fault::CallerRepeats => self.repeat_calls(),
            Fault::HostListWrong => {
                self.listed_as_leaving.insert(agent);
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

    /// Removes and returns the latest queued message that is not a heartbeat or a report.
    pub fn take_latest_message(&mut self) -> Option<Delivery> {
        let position = self.queue.iter().rposition(|delivery| {
            let Delivery::Message { bytes, .. } = delivery else {
                return false;
            };
            !matches!(
                wire::decode(bytes),
                Ok(Message::Hello(_) | Message::Report(_))
            )
        })?;
        self.queue.remove(position)
    }

    pub fn crash_engine(&mut self, index: usize) {
        self.engines[index].runs.clear();
        self.engines[index].is_up = false;
        self.feed_agent(index, agent::Event::ServerDown);
    }

    pub fn kill_agent(&mut self, index: usize) {
        self.engines[index].runs.clear();
        self.agents[index] = self.new_agent(index);
        self.fail_connections(index);
        self.report_engine_up(index);
    }

    /// Lets entries see their connections to a killed agent fail.
    fn fail_connections(&mut self, index: usize) {
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
        let incarnation = self.entries[index].status(self.now).incarnation;
        self.entries[index] = self.new_entry(index);
        self.configure_entry(index);
        // Agents see the connections of the old incarnation close.
        for agent in 0..AGENTS {
            let attempts: Vec<id::Attempt> = self
                .fingerprints
                .keys()
                .filter(|attempt| attempt.entry == incarnation)
                .copied()
                .collect();
            for attempt in attempts {
                self.feed_agent(agent, agent::Event::EntryDisconnected(attempt));
            }
        }
    }

    /// Lets every caller repeat its request through the other entry.
    pub fn repeat_calls(&mut self) {
        let calls: Vec<CallRecord> = self.observer.calls.values().cloned().collect();
        for call in calls {
            let arrival = self.new_arrival(call.fingerprint.0, call.once, call.streamed);
            self.send_request(1, arrival);
        }
    }

    /// Advances time: queues the delayed deliveries that are due, ends an outage of the platform,
    /// restarts crashed engines, and sends a tick to every process that is not frozen.
    pub fn advance(&mut self, time: Duration) {
        self.now = self.now.after(time);
        let (due, delayed) = self.delayed.drain(..).partition(|(at, _)| *at <= self.now);
        self.delayed = delayed;
        let due: Vec<(Instant, Delivery)> = due;
        self.queue
            .extend(due.into_iter().map(|(_, delivery)| delivery));
        if self.platform_up_at.is_some_and(|at| at <= self.now) {
            self.platform.is_down = false;
            self.platform_up_at = None;
        }
        for index in 0..ENTRIES {
            if !self.is_frozen(Node::Entry(index)) {
                self.feed_entry(index, entry::Event::Tick);
            }
        }
        for index in 0..AGENTS {
            if !self.engines[index].is_up && !self.is_frozen(Node::Agent(index)) {
                self.engines[index].is_up = true;
                self.report_engine_up(index);
            }
            if !self.is_frozen(Node::Agent(index)) {
                self.feed_agent(index, agent::Event::Tick);
            }
        }
    }

    /// Marks an agent's host as leaving in the host list, and sends the list to all entries.
    pub fn list_as_leaving(&mut self, index: usize) {
        self.inject(Fault::HostListWrong, Node::Agent(index));
    }

    /// Delivers everything in order for the given time. Skips the rest of the time once nothing
    /// more can happen.
    pub fn run_for(&mut self, time: Duration) {
        const STEP: Duration = Duration::from_millis(100);
        let end = self.now.after(time);
        while self.now < end {
            while let Some(delivery) = self.queue.pop_front() {
                self.deliver(delivery);
            }
            self.run_engines();
            while let Some(delivery) = self.queue.pop_front() {
                self.deliver(delivery);
            }
            if self.is_quiet() {
                self.now = end;
            }
            self.advance(STEP);
        }
    }

    /// Returns whether nothing but heartbeats can happen any more.
    fn is_quiet(&self) -> bool {
        let is_idle = self.entries.iter().all(|entry| entry.in_flight() == 0);
        let is_running = self.engines.iter().any(|engine| !engine.runs.is_empty());
        is_idle && !is_running && self.queue.is_empty() && self.delayed.is_empty()
    }
}
