//! The spread of a configuration to every process, in bytes of real encoded messages.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tamaracksail_model::config::{Objects, Snapshot};
use tamaracksail_model::host::{Host, Phase, Role};
use tamaracksail_model::id::{self, Generation, Nonce, Revision};
use tamaracksail_model::object::{Domain, Key, Kind, Spec};
use tamaracksail_model::store::{self, CallId, CallResult, Op, Reply};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::version::head::{self, AcceptedChange, Head};
use tamaracksail_policy::version::replica::{
    Action, ConfigReplica, Event, HOSTS_KEY, Seed, Settings,
};
use tamaracksail_wire::{self as wire, Message};

use crate::table::{self, percent, real, seconds};

const DOMAINS: usize = 7;
const TICK: Duration = Duration::from_millis(100);

/// Objects of the configuration.
const OBJECTS: usize = 300;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Scene {
    Calm,
    Restarts,
    DomainLost,
    PlatformDownAfterOneWatcher,
    NoPushArrives,
}

struct Nodes {
    now: Instant,
    replicas: Vec<ConfigReplica>,
    objects: BTreeMap<String, (Revision, Vec<u8>)>,
    queue: VecDeque<(usize, Event)>,
    watches: Vec<(usize, CallId, String, Revision)>,
    bytes: Vec<u64>,
    calls: u64,
    is_down: bool,
    lost_domain: Option<usize>,
    lose_pushes: bool,
    last_life: u64,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(node).expect("small")))
}

fn domain(node: usize) -> id::Domain {
    id::Domain(format!("d{}", node % DOMAINS))
}

fn objects(generation: u64) -> Objects {
    (0..OBJECTS)
        .map(|index| {
            let key = Key {
                kind: Kind::Domain,
                name: id::Object(format!("object-{index}")),
            };
            let region = format!("a text of the length that specs have, in {generation}");
            (key, Spec::Domain(Domain { region }))
        })
        .collect()
}

impl Nodes {
    fn new(count: usize) -> Self {
        let mut nodes = Self {
            now: Instant::from_millis(1_000_000),
            replicas: Vec::new(),
            objects: BTreeMap::new(),
            queue: VecDeque::new(),
            watches: Vec::new(),
            bytes: vec![0; count],
            calls: 0,
            is_down: false,
            lost_domain: None,
            lose_pushes: false,
            last_life: 0,
        };
        let hosts: Vec<Host> = (0..count)
            .map(|node| Host {
                name: id::Host(format!("host-{node:03}")),
                role: Role::Entry,
                address: address(node),
                domain: domain(node),
                serves: None,
                phase: Phase::Live,
            })
            .collect();
        nodes
            .objects
            .insert(HOSTS_KEY.to_owned(), (Revision(1), store::encode(&hosts)));
        nodes.accept(1);
        for node in 0..count {
            let replica = nodes.replica(node);
            nodes.replicas.push(replica);
        }
        nodes.pass(Duration::from_secs(20));
        nodes
    }

    fn replica(&mut self, node: usize) -> ConfigReplica {
        self.last_life += 1;
        let seeds = (0..DOMAINS * 2).filter(|seed| *seed != node);
        ConfigReplica::new(Settings {
            host: id::Host(format!("host-{node:03}")),
            domain: domain(node),
            address: address(node),
            incarnation: id::Incarnation(self.last_life),
            seeds: seeds
                .map(|seed| Seed {
                    domain: domain(seed),
                    address: address(seed),
                })
                .collect(),
            seed: self.last_life,
        })
    }

    fn accept(&mut self, generation: u64) {
        let parts = head::encode_parts(&objects(generation));
        let accepted = AcceptedChange {
            generation: Generation(generation),
            change: Nonce(generation),
            prefix: Nonce(generation),
            author: String::new(),
            at: self.now,
            objects: Vec::new(),
            parts: u32::try_from(parts.len()).expect("small"),
        };
        for (index, part) in (0..).zip(parts) {
            self.objects
                .insert(accepted.part_key(index), (Revision(1), part));
        }
        let value = store::encode(&Head {
            history: vec![accepted],
        });
        self.objects
            .insert(head::HEAD_KEY.to_owned(), (Revision(generation), value));
    }

    fn feed(&mut self, node: usize, event: Event) {
        if self.lost_domain == Some(node % DOMAINS) {
            return;
        }
        for action in self.replicas[node].handle(self.now, event) {
            match action {
                Action::Store(call) => {
                    self.calls += 1;
                    let result = match (&call.op, self.objects.get(&call.key)) {
                        _ if self.is_down => CallResult::Lost,
                        (Op::Get, Some((revision, value))) => CallResult::Value {
                            revision: *revision,
                            value: value.clone(),
                        },
                        _ => CallResult::Missing,
                    };
                    if let CallResult::Value { value, .. } = &result {
                        self.bytes[node] += value.len() as u64;
                    }
                    let reply = Reply {
                        call_id: call.call_id,
                        result,
                    };
                    self.queue.push_back((node, Event::Stored(reply)));
                }
                Action::Watch {
                    call_id,
                    key,
                    after,
                } => {
                    self.calls += 1;
                    self.watches.push((node, call_id, key, after));
                }
                Action::Send(to, message) => {
                    let size = wire::encode(&message).len() as u64;
                    let to = usize::from(to.port());
                    self.bytes[node] += size;
                    self.bytes[to] += size;
                    let is_push = matches!(&message, Message::Gossip(gossip)
                        if gossip.sender.generation > self.replicas[to].generation());
                    if !(is_push && self.lose_pushes) {
                        self.queue.push_back((to, Event::Received(message)));
                    }
                }
                Action::InForce(_) | Action::Hosts(_) => {}
            }
        }
    }

    fn answer_watches(&mut self) {
        for (node, call_id, key, after) in std::mem::take(&mut self.watches) {
            let result = match self.objects.get(&key) {
                _ if self.is_down => CallResult::Lost,
                Some((revision, value)) if *revision > after => CallResult::Value {
                    revision: *revision,
                    value: value.clone(),
                },
                _ => {
                    self.watches.push((node, call_id, key, after));
                    continue;
                }
            };
            if let CallResult::Value { value, .. } = &result {
                self.bytes[node] += value.len() as u64;
            }
            self.queue
                .push_back((node, Event::Stored(Reply { call_id, result })));
        }
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.now = self.now.after(TICK);
            self.answer_watches();
            for node in 0..self.replicas.len() {
                self.feed(node, Event::Tick);
            }
            while let Some((node, event)) = self.queue.pop_front() {
                self.feed(node, event);
            }
        }
    }

    fn lacking(&self, generation: Generation) -> usize {
        let lacks = |(node, replica): &(usize, &ConfigReplica)| {
            self.lost_domain != Some(node % DOMAINS) && replica.generation() < generation
        };
        self.replicas.iter().enumerate().filter(lacks).count()
    }
}

fn run(count: usize, scene: Scene) -> Vec<String> {
    /// The target.
    const LIMIT: Duration = Duration::from_mins(1);
    const STEADY: Duration = Duration::from_secs(30);
    let mut nodes = Nodes::new(count);
    nodes.bytes.fill(0);
    nodes.calls = 0;
    nodes.pass(STEADY);
    let calm_bytes: u64 = nodes.bytes.iter().sum();
    let calls = real(usize::try_from(nodes.calls).expect("small")) / STEADY.as_secs_f64();
    match scene {
        Scene::DomainLost => nodes.lost_domain = Some(3),
        Scene::NoPushArrives => nodes.lose_pushes = true,
        Scene::Calm | Scene::Restarts | Scene::PlatformDownAfterOneWatcher => {}
    }
    nodes.bytes.fill(0);
    nodes.accept(2);
    if scene == Scene::PlatformDownAfterOneWatcher {
        // One watcher has read the change; the platform is gone for all others.
        let node = nodes.watches.first().map_or(0, |(node, ..)| *node);
        nodes.watches.clear();
        nodes.is_down = true;
        let snapshot = Snapshot {
            generation: Generation(2),
            objects: objects(2),
        };
        let own = id::Domain("operator".to_owned());
        let sender = wire::Sender {
            host: "host-operator".into(),
            incarnation: id::Incarnation(0),
            domain: own,
            generation: Generation(2),
        };
        let gossip = wire::Gossip {
            sender,
            address: address(node),
            hosts: Revision(0),
            ready: true,
        };
        nodes.feed(
            node,
            Event::Received(Message::Config(gossip, Arc::new(snapshot))),
        );
    }
    let start = nodes.now;
    let mut restarted = 0;
    while nodes.lacking(Generation(2)) > 0 && nodes.now.since(start) < LIMIT {
        if scene == Scene::Restarts && restarted < count / 7 {
            // One process a tick is replaced: far more than 130 a day.
            let node = restarted * 7 % count;
            nodes.replicas[node] = nodes.replica(node);
            restarted += 1;
        }
        nodes.pass(TICK);
    }
    let took = nodes.now.since(start);
    let most = nodes.bytes.iter().max().copied().unwrap_or(0);
    let per_node = |bytes: u64, time: Duration| {
        let bytes = real(usize::try_from(bytes).expect("small"));
        format!("{:.0} B/s", bytes / real(count) / time.as_secs_f64())
    };
    vec![
        count.to_string(),
        if nodes.lacking(Generation(2)) == 0 {
            seconds(took)
        } else {
            "not within 60 s".to_owned()
        },
        per_node(calm_bytes, STEADY),
        format!("{} KB", most / 1000),
        format!("{calls:.1}/s"),
        nodes.watches.len().to_string(),
    ]
}

/// Prints the table.
pub fn print(_seed: u64) {
    let columns = [
        "scene",
        "processes",
        "in force everywhere after",
        "calm traffic of a process",
        "most bytes of one process for the change",
        "platform calls, calm",
        "waiting watches",
    ];
    table::head(
        "Spread of a change: 300 objects, 7 failure domains",
        &columns,
    );
    let scenes = [
        (Scene::Calm, "calm"),
        (Scene::Restarts, "a process replaced every 100 ms"),
        (Scene::DomainLost, "a failure domain lost"),
        (
            Scene::PlatformDownAfterOneWatcher,
            "platform down after one process heard",
        ),
        (Scene::NoPushArrives, "every push lost"),
    ];
    for (scene, name) in scenes {
        for count in [20, 100, 940] {
            let mut cells = vec![name.to_owned()];
            cells.extend(run(count, scene));
            table::row(&cells);
        }
    }
    let size = store::encode(&objects(1).iter().collect::<Vec<_>>()).len();
    println!(
        "\nThe change carries {size} bytes; {} of the platform's largest value.",
        percent(real(size), 1e6)
    );
}
