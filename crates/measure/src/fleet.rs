//! Entries and agents under virtual time: one queue of events, and servers that take a random
//! time for each attempt.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tamaracksail_model::config::Snapshot;
use tamaracksail_model::host::{Host, Phase, Role};
use tamaracksail_model::id;
use tamaracksail_model::manifest::Set;
use tamaracksail_model::outcome::{Class, Outcome};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::agent::{self, Agent};
use tamaracksail_policy::connection::choice::Rule;
use tamaracksail_policy::entry::{self, Entry};
use tamaracksail_policy::request::arrival::{Arrival, Target};
use tamaracksail_wire::{Frame, Usage};

/// The way between two processes.
const LINK: Duration = Duration::from_millis(1);

/// The time between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// The shape of a fleet.
#[derive(Clone, Debug)]
pub struct Shape {
    pub entries: usize,
    pub agents: usize,
    /// Attempts that a server runs at a time.
    pub concurrency: u32,
    /// The mean time of an attempt.
    pub service: Duration,
    pub rule: Rule,
    pub retry_percent: u32,
    pub seed: u64,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Result {
    pub fingerprint: id::Fingerprint,
    pub class: Class,
    pub arrived: Instant,
    pub answered: Instant,
    pub outcome: Outcome,
    pub status: u16,
    pub attempts: u32,
}

enum Event {
    Entry(usize, entry::Event),
    Agent(usize, agent::Event),
    Hello(usize, usize, tamaracksail_wire::Hello),
    Done(usize, id::Attempt),
    Tick,
}

/// The fleet.
pub struct Fleet {
    pub shape: Shape,
    pub now: Instant,
    pub random: SmallRng,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: BTreeMap<u64, Event>,
    last: u64,
    open: BTreeMap<id::Request, (Instant, Class, id::Fingerprint)>,
    running: BTreeMap<(usize, id::Attempt), id::Fingerprint>,
    contents: BTreeMap<id::Attempt, id::Fingerprint>,
    pub results: Vec<Result>,
    /// Attempts that were sent to agents.
    pub dispatched: u64,
    /// Servers whose attempts fail.
    pub failing: BTreeSet<usize>,
    /// Content that crashes its server.
    pub poison: BTreeSet<id::Fingerprint>,
    /// Crashes of servers.
    pub crashes: u64,
    down_until: BTreeMap<usize, Instant>,
    last_request: u64,
}

fn manifest(shape: &Shape) -> Snapshot {
    let text = format!(
        "kind: Domain\nname: a\nspec: {{region: r}}\n---\n\
         kind: Model\nname: m\nspec: {{serve: v1}}\n---\n\
         kind: Version\nname: v1\nspec: {{model: m, number: 1}}\n---\n\
         kind: Pool\nname: p\n\
         spec: {{model: m, domains: [a], checks_orders: true, concurrency: {}}}\n---\n\
         kind: Rule\nname: retries\n\
         spec: {{type: retry, class: interactive, budget_percent: {}}}\n",
        shape.concurrency, shape.retry_percent,
    );
    let mut set = Set::default();
    set.add("measure.yaml", &text);
    let objects = set.finish().expect("the manifest is consistent");
    Snapshot {
        generation: id::Generation(1),
        objects,
    }
}

fn host(name: String, role: Role, port: usize) -> Host {
    Host {
        name: id::Host(name),
        role,
        address: SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).expect("small"))),
        domain: "a".into(),
        serves: (role == Role::Agent).then(|| "p".into()),
        phase: Phase::Live,
    }
}

impl Fleet {
    /// A fleet whose first heartbeats have passed.
    pub fn new(shape: Shape) -> Self {
        let mut fleet = Self {
            now: Instant::from_millis(1_000_000),
            random: SmallRng::seed_from_u64(shape.seed),
            entries: Vec::new(),
            agents: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last: 0,
            open: BTreeMap::new(),
            running: BTreeMap::new(),
            contents: BTreeMap::new(),
            results: Vec::new(),
            dispatched: 0,
            failing: BTreeSet::new(),
            poison: BTreeSet::new(),
            crashes: 0,
            down_until: BTreeMap::new(),
            last_request: 0,
            shape,
        };
        let shape = fleet.shape.clone();
        let agent_hosts: Vec<Host> = (0..shape.agents)
            .map(|index| host(format!("agent-{index}"), Role::Agent, 1000 + index))
            .collect();
        let mut hosts = agent_hosts.clone();
        hosts.extend((0..shape.entries).map(|i| host(format!("entry-{i}"), Role::Entry, i)));
        for (index, host) in agent_hosts.into_iter().enumerate() {
            let mut agent = Agent::new(agent::Settings {
                host,
                incarnation: id::Incarnation(1000 + index as u64),
                limit: shape.concurrency,
                queue: shape.concurrency,
                load_validity: Duration::from_secs(3),
            });
            let versions = BTreeMap::from([("m".into(), id::Version(1))]);
            agent.handle(fleet.now, agent::Event::ServerUp(versions));
            fleet.agents.push(agent);
        }
        let config = Arc::new(manifest(&shape));
        for index in 0..shape.entries {
            let own = host(format!("entry-{index}"), Role::Entry, index);
            let incarnation = id::Incarnation(index as u64 + 1);
            let settings = entry::Settings::builder(own, incarnation, shape.seed + index as u64)
                .rule(shape.rule)
                .build()
                .expect("the settings are within their bounds");
            fleet.entries.push(Entry::new(settings));
            fleet.feed_entry(index, entry::Event::Config(Arc::clone(&config)));
            fleet.feed_entry(index, entry::Event::Hosts(hosts.clone()));
        }
        fleet.push(TICK, Event::Tick);
        fleet.run_until(fleet.now.after(Duration::from_millis(100)));
        fleet
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.last += 1;
        self.events.insert(self.last, event);
        self.queue.push(Reverse((self.now.after(after), self.last)));
    }

    /// Sends a request through an entry at random.
    pub fn request(&mut self, class: Class, fingerprint: u64, patience: Duration) {
        self.last_request += 1;
        let request = id::Request(self.last_request);
        let fingerprint = id::Fingerprint(fingerprint);
        self.open.insert(request, (self.now, class, fingerprint));
        let arrival = Arrival {
            request,
            caller: "caller".into(),
            target: Target::Model("m".into()),
            class,
            once: false,
            key: None,
            fingerprint,
            prefix: None,
            deadline: self.now.after(patience),
            streamed: false,
            resumable: false,
        };
        let entry = self.random.random_range(0..self.shape.entries);
        self.feed_entry(entry, entry::Event::Arrived(arrival));
    }

    /// Lets events happen until `end`.
    pub fn run_until(&mut self, end: Instant) {
        while let Some(Reverse((at, key))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&key) {
                self.happen(event);
            }
        }
        self.now = end;
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Entry(index, event) => self.feed_entry(index, event),
            Event::Agent(index, event) => self.feed_agent(index, event),
            Event::Hello(entry, agent, hello) => {
                let now = self.now;
                for action in self.agents[agent].handle(now, agent::Event::Hello(hello)) {
                    match action {
                        agent::Action::Report(report) => {
                            self.push(LINK, Event::Entry(entry, entry::Event::Report(*report)));
                        }
                        other => self.act_agent(agent, other),
                    }
                }
            }
            Event::Done(agent, attempt) => self.finish(agent, attempt),
            Event::Tick => {
                for index in 0..self.entries.len() {
                    self.feed_entry(index, entry::Event::Tick);
                }
                for index in 0..self.agents.len() {
                    if self
                        .down_until
                        .get(&index)
                        .is_some_and(|until| *until <= self.now)
                    {
                        self.down_until.remove(&index);
                        let versions = BTreeMap::from([("m".into(), id::Version(1))]);
                        self.feed_agent(index, agent::Event::ServerUp(versions));
                    }
                    self.feed_agent(index, agent::Event::Tick);
                }
                self.push(TICK, Event::Tick);
            }
        }
    }

    fn feed_entry(&mut self, index: usize, event: entry::Event) {
        for action in self.entries[index].handle(self.now, event) {
            match action {
                entry::Action::Dispatch {
                    address, dispatch, ..
                } => {
                    self.dispatched += 1;
                    self.contents.insert(dispatch.attempt, dispatch.fingerprint);
                    let agent = usize::from(address.port()) - 1000;
                    self.push(LINK, Event::Agent(agent, agent::Event::Dispatch(dispatch)));
                }
                entry::Action::Revoke {
                    address, revoke, ..
                } => {
                    let agent = usize::from(address.port()) - 1000;
                    self.push(LINK, Event::Agent(agent, agent::Event::Revoke(revoke)));
                }
                entry::Action::Hello { address, hello, .. } => {
                    let agent = usize::from(address.port()) - 1000;
                    self.push(LINK, Event::Hello(index, agent, hello));
                }
                entry::Action::Respond { request, response } => {
                    if let Some((arrived, class, fingerprint)) = self.open.remove(&request) {
                        self.results.push(Result {
                            fingerprint,
                            class,
                            arrived,
                            answered: self.now,
                            outcome: response.outcome,
                            status: response.status,
                            attempts: response.attempts,
                        });
                    }
                }
                _ => {}
            }
        }
    }

    fn feed_agent(&mut self, index: usize, event: agent::Event) {
        for action in self.agents[index].handle(self.now, event) {
            self.act_agent(index, action);
        }
    }

    fn act_agent(&mut self, index: usize, action: agent::Action) {
        match action {
            agent::Action::Run { attempt, .. } => {
                let fingerprint = self.contents.get(&attempt).copied().unwrap_or_default();
                self.running.insert((index, attempt), fingerprint);
                // Exponential service times: many short answers and some long ones.
                let draw: f64 = self.random.random_range(1e-9..1.0);
                let time = self.shape.service.mul_f64(-draw.ln());
                self.push(time, Event::Done(index, attempt));
            }
            agent::Action::Cancel(attempt) => {
                self.running.remove(&(index, attempt));
            }
            agent::Action::SendFrame(frame) => {
                let attempt = match &frame {
                    Frame::Head { attempt, .. }
                    | Frame::Data { attempt, .. }
                    | Frame::End { attempt, .. }
                    | Frame::Failed { attempt, .. } => *attempt,
                };
                let entry = usize::try_from(attempt.entry.0).expect("small") - 1;
                self.push(LINK, Event::Entry(entry, entry::Event::Frame(frame)));
            }
            agent::Action::Revoked(revoked) => {
                let entry = usize::try_from(revoked.attempt.entry.0).expect("small") - 1;
                self.push(LINK, Event::Entry(entry, entry::Event::Revoked(revoked)));
            }
            _ => {}
        }
    }

    fn finish(&mut self, agent: usize, attempt: id::Attempt) {
        let Some(fingerprint) = self.running.remove(&(agent, attempt)) else {
            return;
        };
        if self.poison.contains(&fingerprint) {
            return self.crash(agent);
        }
        if self.failing.contains(&agent) {
            return self.feed_agent(
                agent,
                agent::Event::Failed {
                    attempt,
                    sent: true,
                },
            );
        }
        let headers = Vec::new();
        self.feed_agent(
            agent,
            agent::Event::Head {
                attempt,
                status: 200,
                headers,
            },
        );
        let bytes = Bytes::from_static(b"answer");
        let version = Some(id::Version(1));
        self.feed_agent(
            agent,
            agent::Event::Chunk {
                attempt,
                bytes,
                version,
            },
        );
        let usage = Usage {
            completion_tokens: 1,
            ..Usage::default()
        };
        let versions = BTreeSet::new();
        self.feed_agent(
            agent,
            agent::Event::Finished {
                attempt,
                versions,
                usage,
            },
        );
    }

    fn crash(&mut self, agent: usize) {
        const RESTART: Duration = Duration::from_secs(10);
        self.crashes += 1;
        self.running.retain(|(at, _), _| *at != agent);
        self.down_until.insert(agent, self.now.after(RESTART));
        self.feed_agent(agent, agent::Event::ServerDown);
    }

    /// The requests per second that the fleet can serve.
    pub fn capacity(&self) -> f64 {
        f64::from(self.shape.concurrency) * crate::table::real(self.shape.agents)
            / self.shape.service.as_secs_f64()
    }
}
