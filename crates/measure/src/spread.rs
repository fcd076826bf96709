//! The propagation of a configuration change to all processes, with traffic measured in bytes of
//! real encoded messages.

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

use crate::table::{self, percent, seconds, to_f64};

const DOMAINS: usize = 7;
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The number of objects in the configuration.
const OBJECTS: usize = 300;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Scenario {
    Baseline,
    Restarts,
    DomainLost,
    /// One process has read the change when the platform becomes unavailable.
    PlatformDownAfterOneWatcher,
    /// No gossip message that announces a newer generation arrives.
    AllPushesLost,
}

/// Simulated processes, the platform and the messages between them.
struct Cluster {
    now: Instant,
    replicas: Vec<ConfigReplica>,
    /// The objects of the platform.
    objects: BTreeMap<String, (Revision, Vec<u8>)>,
    queue: VecDeque<(usize, Event)>,
    /// Watches without a response: the node, the call, the key and the last known revision.
    watches: Vec<(usize, CallId, String, Revision)>,
    /// Bytes sent and received by each node.
    bytes: Vec<u64>,
    /// The number of calls to the platform.
    platform_calls: u64,
    is_platform_down: bool,
    /// The failure domain whose processes handle no events.
    lost_domain: Option<usize>,
    /// Whether gossip messages that announce a newer generation are dropped.
    drop_pushes: bool,
    last_incarnation: u64,
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

impl Cluster {
    fn new(count: usize) -> Self {
        let mut cluster = Self {
            now: Instant::from_millis(1_000_000),
            replicas: Vec::new(),
            objects: BTreeMap::new(),
            queue: VecDeque::new(),
            watches: Vec::new(),
            bytes: vec![0; count],
            platform_calls: 0,
            is_platform_down: false,
            lost_domain: None,
            drop_pushes: false,
            last_incarnation: 0,
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
        cluster
            .objects
            .insert(HOSTS_KEY.to_owned(), (Revision(1), store::encode(&hosts)));
        cluster.publish(1);
        for node in 0..count {
            let replica = cluster.new_replica(node);
            cluster.replicas.push(replica);
        }
        cluster.advance(Duration::from_secs(20));
        cluster
    }

    /// Creates the replica of a node that starts or restarts.
    fn new_replica(&mut self, node: usize) -> ConfigReplica {
        self.last_incarnation += 1;
        let seeds = (0..DOMAINS * 2).filter(|seed| *seed != node);
        ConfigReplica::new(Settings {
            host: id::Host(format!("host-{node:03}")),
            domain: domain(node),
            address: address(node),
            incarnation: id::Incarnation(self.last_incarnation),
            seeds: seeds
                .map(|seed| Seed {
                    domain: domain(seed),
                    address: address(seed),
                })
                .collect(),
            seed: self.last_incarnation,
        })
    }

    /// Publishes a generation on the platform.
    fn publish(&mut self, generation: u64) {
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

    fn handle_event(&mut self, node: usize, event: Event) {
        if self.lost_domain == Some(node % DOMAINS) {
            return;
        }
        for action in self.replicas[node].handle(self.now, event) {
            match action {
                Action::Store(call) => {
                    self.platform_calls += 1;
                    let result = match (&call.op, self.objects.get(&call.key)) {
                        _ if self.is_platform_down => CallResult::Lost,
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
                    ..
                } => {
                    self.platform_calls += 1;
                    self.watches.push((node, call_id, key, after));
                }
                Action::Send(to, message) => {
                    let size = wire::encode(&message).len() as u64;
                    let to = usize::from(to.port());
                    self.bytes[node] += size;
                    self.bytes[to] += size;
                    let is_push = matches!(&message, Message::Gossip(gossip)
                        if gossip.sender.generation > self.replicas[to].generation());
                    if !(is_push && self.drop_pushes) {
                        self.queue.push_back((to, Event::Received(message)));
                    }
                }
                Action::InForce(_) | Action::Hosts(_) | Action::UnreadableHost(_) => {}
            }
        }
    }

    /// Responds to the watches whose object has changed, or to all if the platform is down.
    fn complete_watches(&mut self) {
        for (node, call_id, key, after) in std::mem::take(&mut self.watches) {
            let result = match self.objects.get(&key) {
                _ if self.is_platform_down => CallResult::Lost,
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

    /// Runs all nodes for `time`.
    fn advance(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.now = self.now.after(TICK_INTERVAL);
            self.complete_watches();
            for node in 0..self.replicas.len() {
                self.handle_event(node, Event::Tick);
            }
            while let Some((node, event)) = self.queue.pop_front() {
                self.handle_event(node, event);
            }
        }
    }

    /// Returns the number of reachable nodes that do not have `generation` yet.
    fn outdated_count(&self, generation: Generation) -> usize {
        let is_outdated = |(node, replica): &(usize, &ConfigReplica)| {
            self.lost_domain != Some(node % DOMAINS) && replica.generation() < generation
        };
        self.replicas.iter().enumerate().filter(is_outdated).count()
    }
}

fn run(count: usize, scenario: Scenario) -> Vec<String> {
    /// The target for a change to be in force on all processes.
    const PROPAGATION_TARGET: Duration = Duration::from_mins(1);
    const BASELINE_DURATION: Duration = Duration::from_secs(30);
    let mut cluster = Cluster::new(count);
    cluster.bytes.fill(0);
    cluster.platform_calls = 0;
    cluster.advance(BASELINE_DURATION);
    let baseline_bytes: u64 = cluster.bytes.iter().sum();
    let calls = to_f64(usize::try_from(cluster.platform_calls).expect("small"))
        / BASELINE_DURATION.as_secs_f64();
    match scenario {
        Scenario::DomainLost => cluster.lost_domain = Some(3),
        Scenario::AllPushesLost => cluster.drop_pushes = true,
        Scenario::Baseline | Scenario::Restarts | Scenario::PlatformDownAfterOneWatcher => {}
    }
    cluster.bytes.fill(0);
    cluster.publish(2);
    if scenario == Scenario::PlatformDownAfterOneWatcher {
        // One process has read the change, and the platform is unavailable to all others.
        let node = cluster.watches.first().map_or(0, |(node, ..)| *node);
        cluster.watches.clear();
        cluster.is_platform_down = true;
        let snapshot = Snapshot {
            generation: Generation(2),
            objects: objects(2),
        };
        let sender_domain = id::Domain("operator".to_owned());
        let sender = wire::Sender {
            host: "host-operator".into(),
            incarnation: id::Incarnation(0),
            domain: sender_domain,
            generation: Generation(2),
        };
        let gossip = wire::Gossip {
            sender,
            address: address(node),
            hosts: Revision(0),
            ready: true,
        };
        cluster.handle_event(
            node,
            Event::Received(Message::Config(gossip, Arc::new(snapshot))),
        );
    }
    let start = cluster.now;
    let mut restarted = 0;
    while cluster.outdated_count(Generation(2)) > 0 && cluster.now.since(start) < PROPAGATION_TARGET
    {
        if scenario == Scenario::Restarts && restarted < count / 7 {
            // One process is replaced per tick, which is far more than 130 a day.
            let node = restarted * 7 % count;
            cluster.replicas[node] = cluster.new_replica(node);
            restarted += 1;
        }
        cluster.advance(TICK_INTERVAL);
    }
    let propagation_time = cluster.now.since(start);
    let max_bytes = cluster.bytes.iter().max().copied().unwrap_or(0);
    let per_node = |bytes: u64, time: Duration| {
        let bytes = to_f64(usize::try_from(bytes).expect("small"));
        format!("{:.0} B/s", bytes / to_f64(count) / time.as_secs_f64())
    };
    vec![
        count.to_string(),
        if cluster.outdated_count(Generation(2)) == 0 {
            seconds(propagation_time)
        } else {
            "not within 60 s".to_owned()
        },
        per_node(baseline_bytes, BASELINE_DURATION),
        format!("{} KB", max_bytes / 1000),
        format!("{calls:.1}/s"),
        cluster.watches.len().to_string(),
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
    table::print_header(
        "Spread of a change: 300 objects, 7 failure domains",
        &columns,
    );
    let scenarios = [
        (Scenario::Baseline, "calm"),
        (Scenario::Restarts, "a process replaced every 100 ms"),
        (Scenario::DomainLost, "a failure domain lost"),
        (
            Scenario::PlatformDownAfterOneWatcher,
            "platform down after one process heard",
        ),
        (Scenario::AllPushesLost, "every push lost"),
    ];
    for (scenario, name) in scenarios {
        for count in [20, 100, 940] {
            let mut cells = vec![name.to_owned()];
            cells.extend(run(count, scenario));
            table::print_row(&cells);
        }
    }
    let size = store::encode(&objects(1).iter().collect::<Vec<_>>()).len();
    println!(
        "\nThe change carries {size} bytes; {} of the platform's largest value.",
        percent(to_f64(size), 1e6)
    );
}
