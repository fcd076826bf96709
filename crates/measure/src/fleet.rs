//! Simulates entries and agents in virtual time, with a queue of events and with servers that take
//! a random time for each attempt.

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

/// The one-way network delay between two processes.
const NETWORK_DELAY: Duration = Duration::from_millis(1);

/// The interval between ticks of all state machines.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The size of a fleet and how it serves requests.
#[derive(Clone, Debug)]
pub struct FleetParameters {
    pub entries: usize,
    pub agents: usize,
    /// The number of attempts that a server runs at a time.
    pub concurrency: u32,
    /// The mean service time of an attempt.
    pub service_time: Duration,
    pub rule: Rule,
    pub retry_percent: u32,
    pub seed: u64,
}

/// The result of a request.
#[derive(Clone, Debug)]
pub struct RequestResult {
    pub fingerprint: id::Fingerprint,
    pub class: Class,
    pub arrived_at: Instant,
    pub completed_at: Instant,
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

/// A simulated fleet of entries, agents and servers.
pub struct Fleet {
    pub parameters: FleetParameters,
    pub now: Instant,
    pub random: SmallRng,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    /// The time and the id of each scheduled event; `events` holds the events by id.
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: BTreeMap<u64, Event>,
    last_event_id: u64,
    /// Arrival time, class and fingerprint of the requests without a response.
    open_requests: BTreeMap<id::Request, (Instant, Class, id::Fingerprint)>,
    /// Fingerprints of the attempts that run, by the index of the agent and the attempt.
    running: BTreeMap<(usize, id::Attempt), id::Fingerprint>,
    /// Fingerprints of all attempts that were sent to agents.
    fingerprints: BTreeMap<id::Attempt, id::Fingerprint>,
    pub results: Vec<RequestResult>,
    /// The number of attempts that were sent to agents.
    pub dispatched: u64,
    /// Indices of the servers on which all attempts fail.
    pub failing: BTreeSet<usize>,
    /// Fingerprints of requests that crash the server that runs them.
    pub poison_fingerprints: BTreeSet<id::Fingerprint>,
    /// The number of server crashes.
    pub crashes: u64,
    /// When each crashed server is up again.
    down_until: BTreeMap<usize, Instant>,
    last_request: u64,
}

fn manifest(parameters: &FleetParameters) -> Snapshot {
    let text = format!(
        "kind: Domain\nname: a\nspec: {{region: r}}\n---\n\
         kind: Model\nname: m\nspec: {{serve: v1}}\n---\n\
         kind: Version\nname: v1\nspec: {{model: m, number: 1}}\n---\n\
         kind: Pool\nname: p\n\
         spec: {{model: m, domains: [a], checks_orders: true, concurrency: {}}}\n---\n\
         kind: Rule\nname: retries\n\
         spec: {{type: retry, class: interactive, budget_percent: {}}}\n",
        parameters.concurrency, parameters.retry_percent,
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
    /// Creates a fleet and runs it until the first heartbeats have been exchanged.
    pub fn new(parameters: FleetParameters) -> Self {
        let mut fleet = Self {
            now: Instant::from_millis(1_000_000),
            random: SmallRng::seed_from_u64(parameters.seed),
            entries: Vec::new(),
            agents: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event_id: 0,
            open_requests: BTreeMap::new(),
            running: BTreeMap::new(),
            fingerprints: BTreeMap::new(),
            results: Vec::new(),
            dispatched: 0,
            failing: BTreeSet::new(),
            poison_fingerprints: BTreeSet::new(),
            crashes: 0,
            down_until: BTreeMap::new(),
            last_request: 0,
            parameters,
        };
        let parameters = fleet.parameters.clone();
        let agent_hosts: Vec<Host> = (0..parameters.agents)
            .map(|index| host(format!("agent-{index}"), Role::Agent, 1000 + index))
            .collect();
        let mut hosts = agent_hosts.clone();
        hosts.extend((0..parameters.entries).map(|i| host(format!("entry-{i}"), Role::Entry, i)));
        for (index, host) in agent_hosts.into_iter().enumerate() {
            let mut agent = Agent::new(agent::Settings {
                host,
                incarnation: id::Incarnation(1000 + index as u64),
                limit: parameters.concurrency,
                queue: parameters.concurrency,
                load_validity: Duration::from_secs(3),
            });
            let versions = BTreeMap::from([("m".into(), id::Version(1))]);
            agent.handle(fleet.now, agent::Event::ServerUp(versions));
            fleet.agents.push(agent);
        }
        let config = Arc::new(manifest(&parameters));
        for index in 0..parameters.entries {
            let own = host(format!("entry-{index}"), Role::Entry, index);
            let incarnation = id::Incarnation(index as u64 + 1);
            let settings =
                entry::Settings::builder(own, incarnation, parameters.seed + index as u64)
                    .rule(parameters.rule)
                    .build()
                    .expect("the settings are within their bounds");
            fleet.entries.push(Entry::new(settings));
            fleet.handle_entry_event(index, entry::Event::Config(Arc::clone(&config)));
            fleet.handle_entry_event(index, entry::Event::Hosts(hosts.clone()));
        }
        fleet.schedule(TICK_INTERVAL, Event::Tick);
        fleet.run_until(fleet.now.after(Duration::from_millis(100)));
        fleet
    }

    /// Schedules an event.
    fn schedule(&mut self, after: Duration, event: Event) {
        self.last_event_id += 1;
        self.events.insert(self.last_event_id, event);
        self.queue
            .push(Reverse((self.now.after(after), self.last_event_id)));
    }

    /// Sends a request through a randomly chosen entry.
    pub fn send_request(&mut self, class: Class, fingerprint: u64, timeout: Duration) {
        self.last_request += 1;
        let request = id::Request(self.last_request);
        let fingerprint = id::Fingerprint(fingerprint);
        self.open_requests
            .insert(request, (self.now, class, fingerprint));
        let arrival = Arrival {
            request,
            caller: "caller".into(),
            target: Target::Model("m".into()),
            class,
            once: false,
            key: None,
            fingerprint,
            prefix: None,
            deadline: self.now.after(timeout),
            streamed: false,
            resumable: false,
        };
        let entry = self.random.random_range(0..self.parameters.entries);
        self.handle_entry_event(entry, entry::Event::Arrived(arrival));
    }

    /// Handles the scheduled events until `end`.
    pub fn run_until(&mut self, end: Instant) {
        while let Some(Reverse((at, key))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&key) {
                self.handle_event(event);
            }
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Entry(index, event) => self.handle_entry_event(index, event),
            Event::Agent(index, event) => self.handle_agent_event(index, event),
            Event::Hello(entry, agent, hello) => {
                let now = self.now;
                for action in self.agents[agent].handle(now, agent::Event::Hello(hello)) {
                    match action {
                        agent::Action::Report(report) => {
                            self.schedule(
                                NETWORK_DELAY,
                                Event::Entry(entry, entry::Event::Report(*report)),
                            );
                        }
                        other => self.perform_agent_action(agent, other),
                    }
                }
            }
            Event::Done(agent, attempt) => self.finish_attempt(agent, attempt),
            Event::Tick => {
                for index in 0..self.entries.len() {
                    self.handle_entry_event(index, entry::Event::Tick);
                }
                for index in 0..self.agents.len() {
                    if self
                        .down_until
                        .get(&index)
                        .is_some_and(|until| *until <= self.now)
                    {
                        self.down_until.remove(&index);
                        let versions = BTreeMap::from([("m".into(), id::Version(1))]);
                        self.handle_agent_event(index, agent::Event::ServerUp(versions));
                    }
                    self.handle_agent_event(index, agent::Event::Tick);
                }
                self.schedule(TICK_INTERVAL, Event::Tick);
            }
        }
    }

    fn handle_entry_event(&mut self, index: usize, event: entry::Event) {
        for action in self.entries[index].handle(self.now, event) {
            match action {
                entry::Action::Dispatch {
                    address, dispatch, ..
                } => {
                    self.dispatched += 1;
                    self.fingerprints
                        .insert(dispatch.attempt, dispatch.fingerprint);
                    let agent = usize::from(address.port()) - 1000;
                    self.schedule(
                        NETWORK_DELAY,
                        Event::Agent(agent, agent::Event::Dispatch(dispatch)),
                    );
                }
                entry::Action::Revoke {
                    address, revoke, ..
                } => {
                    let agent = usize::from(address.port()) - 1000;
                    self.schedule(
                        NETWORK_DELAY,
                        Event::Agent(agent, agent::Event::Revoke(revoke)),
                    );
                }
                entry::Action::Hello { address, hello, .. } => {
                    let agent = usize::from(address.port()) - 1000;
                    self.schedule(NETWORK_DELAY, Event::Hello(index, agent, hello));
                }
                entry::Action::Respond { request, response } => {
                    if let Some((arrived_at, class, fingerprint)) =
                        self.open_requests.remove(&request)
                    {
                        self.results.push(RequestResult {
                            fingerprint,
                            class,
                            arrived_at,
                            completed_at: self.now,
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

    fn handle_agent_event(&mut self, index: usize, event: agent::Event) {
        for action in self.agents[index].handle(self.now, event) {
            self.perform_agent_action(index, action);
        }
    }

    fn perform_agent_action(&mut self, index: usize, action: agent::Action) {
        match action {
            agent::Action::Run { attempt, .. } => {
                let fingerprint = self.fingerprints.get(&attempt).copied().unwrap_or_default();
                self.running.insert((index, attempt), fingerprint);
                // Exponential service times: many short responses and some long ones.
                let draw: f64 = self.random.random_range(1e-9..1.0);
                let time = self.parameters.service_time.mul_f64(-draw.ln());
                self.schedule(time, Event::Done(index, attempt));
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
                self.schedule(
                    NETWORK_DELAY,
                    Event::Entry(entry, entry::Event::Frame(frame)),
                );
            }
            agent::Action::Revoked(revoked) => {
                let entry = usize::try_from(revoked.attempt.entry.0).expect("small") - 1;
                self.schedule(
                    NETWORK_DELAY,
                    Event::Entry(entry, entry::Event::Revoked(revoked)),
                );
            }
            _ => {}
        }
    }

    fn finish_attempt(&mut self, agent: usize, attempt: id::Attempt) {
        let Some(fingerprint) = self.running.remove(&(agent, attempt)) else {
            return;
        };
        if self.poison_fingerprints.contains(&fingerprint) {
            return self.crash_server(agent);
        }
        if self.failing.contains(&agent) {
            return self.handle_agent_event(
                agent,
                agent::Event::Failed {
                    attempt,
                    sent: true,
                },
            );
        }
        let headers = Vec::new();
        self.handle_agent_event(
            agent,
            agent::Event::Head {
                attempt,
                status: 200,
                headers,
            },
        );
        let bytes = Bytes::from_static(b"answer");
        let version = Some(id::Version(1));
        self.handle_agent_event(
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
        self.handle_agent_event(
            agent,
            agent::Event::Finished {
                attempt,
                versions,
                usage,
            },
        );
    }

    fn crash_server(&mut self, agent: usize) {
        const RESTART_TIME: Duration = Duration::from_secs(10);
        self.crashes += 1;
        self.running.retain(|(at, _), _| *at != agent);
        self.down_until.insert(agent, self.now.after(RESTART_TIME));
        self.handle_agent_event(agent, agent::Event::ServerDown);
    }

    /// Returns the number of requests per second that the fleet can serve.
    pub fn capacity(&self) -> f64 {
        f64::from(self.parameters.concurrency) * crate::table::to_f64(self.parameters.agents)
            / self.parameters.service_time.as_secs_f64()
    }
}
