//! Processor time and memory of the state machines, at several sizes to show how they grow.
//! The results depend on the machine that runs the measurement and differ from run to run.

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant as StdInstant};

use bytes::Bytes;
use tamaracksail_model::config::{Objects, Snapshot};
use tamaracksail_model::host::{Host, Phase, Role};
use tamaracksail_model::id;
use tamaracksail_model::manifest::Set;
use tamaracksail_model::object::{Domain, Key, Kind, Spec};
use tamaracksail_model::outcome::Class;
use tamaracksail_model::store;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::agent::{self, Agent};
use tamaracksail_policy::entry::{self, Entry};
use tamaracksail_policy::request::arrival::{Arrival, Target};
use tamaracksail_policy::version::ledger::{Change, Ledger, Sample};
use tamaracksail_wire::{self as wire, Frame, Hello, Load, Message, Report, Sender, Usage};

use crate::ALLOCATOR;
use crate::table;

/// How often each operation is repeated for a mean time.
const ITERATIONS: u64 = 2000;

fn config() -> Arc<Snapshot> {
    let mut set = Set::default();
    set.add(
        "measure.yaml",
        "kind: Domain\nname: a\nspec: {region: r}\n---\n\
         kind: Model\nname: m\nspec: {serve: v1}\n---\n\
         kind: Version\nname: v1\nspec: {model: m, number: 1}\n---\n\
         kind: Pool\nname: p\nspec: {model: m, domains: [a], checks_orders: true, concurrency: 64}\n",
    );
    let objects = set.finish().expect("the manifest is consistent");
    Arc::new(Snapshot {
        generation: id::Generation(1),
        objects,
    })
}

fn host(index: usize, role: Role) -> Host {
    Host {
        name: id::Host(format!("host-{index:04}")),
        role,
        address: ([127, 0, 0, 1], u16::try_from(index).expect("small")).into(),
        domain: "a".into(),
        serves: (role == Role::Agent).then(|| "p".into()),
        phase: Phase::Live,
    }
}

fn load() -> Load {
    Load {
        running: 1,
        queued: 0,
        training: 0,
        limit: 64,
        service: Duration::from_millis(200),
        valid: Duration::from_secs(3),
        leaving: false,
        up: true,
    }
}

fn report(index: usize) -> Report {
    Report {
        sender: Sender {
            host: host(index, Role::Agent).name,
            incarnation: id::Incarnation(1),
            domain: "a".into(),
            generation: id::Generation(1),
        },
        load: load(),
        versions: BTreeMap::from([("m".into(), id::Version(1))]),
        suspects: Vec::new(),
    }
}

fn entry(servers: usize, now: Instant) -> Entry {
    let settings = entry::Settings::builder(host(0, Role::Entry), id::Incarnation(1), 1)
        .build()
        .expect("the settings are within their bounds");
    let mut entry = Entry::new(settings);
    entry.handle(now, entry::Event::Config(config()));
    let hosts = (1..=servers)
        .map(|index| host(index, Role::Agent))
        .collect();
    entry.handle(now, entry::Event::Hosts(hosts));
    for index in 1..=servers {
        entry.handle(now, entry::Event::Report(report(index)));
    }
    entry
}

fn arrival(number: u64, now: Instant) -> Arrival {
    Arrival {
        request: id::Request(number),
        caller: "caller".into(),
        target: Target::Model("m".into()),
        class: Class::Interactive,
        once: false,
        key: None,
        fingerprint: id::Fingerprint(number),
        prefix: Some(id::Fingerprint(7)),
        deadline: now.after(Duration::from_mins(1)),
        streamed: true,
        resumable: true,
    }
}

/// Runs a request from its arrival to its last frame, with `chunks` data frames in the response.
fn serve_request(entry: &mut Entry, number: u64, chunks: u64, now: Instant) {
    let mut actions = entry.handle(now, entry::Event::Arrived(arrival(number, now)));
    let Some(entry::Action::Dispatch { dispatch, .. }) = actions.pop() else {
        return;
    };
    let attempt = dispatch.attempt;
    let head = Frame::Head {
        attempt,
        status: 200,
        headers: Vec::new(),
    };
    entry.handle(now, entry::Event::Frame(head));
    for chunk in 0..chunks {
        let bytes = Bytes::from_static(b"0123456789");
        let version = Some(id::Version(1));
        let frame = Frame::Data {
            attempt,
            offset: chunk * 10,
            version,
            bytes,
        };
        black_box(entry.handle(now, entry::Event::Frame(frame)));
    }
    let (versions, usage) = (BTreeSet::new(), Usage::default());
    let end = Frame::End {
        attempt,
        length: chunks * 10,
        versions,
        usage,
        load: load(),
    };
    black_box(entry.handle(now, entry::Event::Frame(end)));
}

/// Formats the mean time of an iteration since `start`.
fn mean_micros(start: StdInstant, iterations: u64) -> String {
    let mean = start.elapsed().as_secs_f64() * 1e6 / to_f64(iterations);
    format!("{mean:.2} µs")
}

fn to_f64(count: u64) -> f64 {
    table::to_f64(usize::try_from(count).expect("small"))
}

fn print_entry() {
    let columns = [
        "servers in view",
        "a request",
        "a piece of an answer",
        "a load report",
        "a tick",
    ];
    table::print_header("Entry: processor time", &columns);
    for servers in [6, 12, 24] {
        let now = Instant::from_millis(1_000_000);
        let mut machine = entry(servers, now);
        let start = StdInstant::now();
        for number in 0..ITERATIONS {
            serve_request(&mut machine, number, 0, now);
        }
        let request = mean_micros(start, ITERATIONS);
        let start = StdInstant::now();
        serve_request(&mut machine, ITERATIONS, ITERATIONS, now);
        let chunk = mean_micros(start, ITERATIONS);
        let start = StdInstant::now();
        for _ in 0..ITERATIONS {
            black_box(machine.handle(now, entry::Event::Report(report(1))));
        }
        let load_report = mean_micros(start, ITERATIONS);
        let start = StdInstant::now();
        for iteration in 0..ITERATIONS {
            let now = now.after(Duration::from_millis(50 * iteration));
            black_box(machine.handle(now, entry::Event::Tick));
        }
        let tick = mean_micros(start, ITERATIONS);
        table::print_row(&[servers.to_string(), request, chunk, load_report, tick]);
    }
}

fn print_agent() {
    let columns = ["attempts remembered", "an attempt", "a heartbeat"];
    table::print_header("Agent: processor time", &columns);
    for remembered in [0_u64, 2000, 4000] {
        let now = Instant::from_millis(1_000_000);
        let mut machine = Agent::new(agent::Settings {
            host: host(1, Role::Agent),
            incarnation: id::Incarnation(1),
            limit: 64,
            queue: 64,
            load_validity: Duration::from_secs(3),
        });
        machine.handle(now, agent::Event::ServerUp(BTreeMap::new()));
        let mut attempt = |number: u64| {
            let attempt = id::Attempt {
                entry: id::Incarnation(9),
                number,
            };
            let dispatch = wire::Dispatch {
                attempt,
                agent: id::Incarnation(1),
                class: Class::Interactive,
                timeout: Duration::from_mins(1),
                fingerprint: id::Fingerprint(number),
                alone: false,
                once: false,
                resume: 0,
            };
            black_box(machine.handle(now, agent::Event::Dispatch(dispatch)));
            let (versions, usage) = (BTreeSet::new(), Usage::default());
            black_box(machine.handle(
                now,
                agent::Event::Finished {
                    attempt,
                    versions,
                    usage,
                },
            ));
        };
        (0..remembered).for_each(&mut attempt);
        let start = StdInstant::now();
        (remembered..remembered + ITERATIONS).for_each(&mut attempt);
        let attempt_time = mean_micros(start, ITERATIONS);
        let hello = Hello {
            sender: report(0).sender,
            leaving: false,
            suspects: Vec::new(),
        };
        let start = StdInstant::now();
        for _ in 0..ITERATIONS {
            black_box(machine.handle(now, agent::Event::Hello(hello.clone())));
        }
        table::print_row(&[
            remembered.to_string(),
            attempt_time,
            mean_micros(start, ITERATIONS),
        ]);
    }
}

fn print_ledger() {
    let columns = ["samples", "stored bytes", "a fill", "encode", "decode"];
    table::print_header("Ledger: size and processor time", &columns);
    for groups in [64, 256, 512, 1024] {
        let mut ledger = Ledger::default();
        let (step, prompts_digest, prompt_parts) = (id::Step(1), id::Fingerprint(1), 1);
        ledger.apply(&Change::Open {
            step,
            prompts_digest,
            prompt_parts,
            groups,
            group_size: 4,
        });
        let start = StdInstant::now();
        for group in 0..groups {
            for index in 0..4 {
                let sample = Sample {
                    payload: id::Nonce(u64::MAX / 3 + u64::from(group * 4 + index)),
                    shelves: vec!["shelf-tunis-a-1".into(), "shelf-tunis-b-1".into()],
                    versions: BTreeSet::from([id::Version(1234)]),
                    requested_at: Instant(1_796_000_000_000_000),
                    score: Some(0.25),
                };
                ledger.apply(&Change::Fill(step, id::Slot { group, index }, sample));
            }
        }
        let fill = mean_micros(start, u64::from(groups) * 4);
        let start = StdInstant::now();
        let value = store::encode(&ledger);
        let encode = mean_micros(start, 1);
        let start = StdInstant::now();
        black_box(store::decode::<Ledger>("ledger", &value).expect("the encoded ledger decodes"));
        let decode = mean_micros(start, 1);
        table::print_row(&[
            (groups * 4).to_string(),
            value.len().to_string(),
            fill,
            encode,
            decode,
        ]);
    }
}

fn print_memory() {
    let columns = ["what", "count", "bytes each"];
    table::print_header("Memory", &columns);
    let measure = |name: &str, count: usize, make: &mut dyn FnMut() -> Box<dyn std::any::Any>| {
        let before = ALLOCATOR.allocated();
        let value = make();
        let bytes = ALLOCATOR.allocated() - before;
        table::print_row(&[
            name.to_owned(),
            count.to_string(),
            (bytes / count).to_string(),
        ]);
        drop(value);
    };
    let now = Instant::from_millis(1_000_000);
    for servers in [6, 12, 24] {
        measure("server in an entry's view", servers, &mut || {
            Box::new(entry(servers, now))
        });
    }
    for requests in [100, 1000, 10_000] {
        measure("request that waits at an entry", requests, &mut || {
            let mut machine = entry(24, now);
            for number in 0..requests as u64 {
                machine.handle(now, entry::Event::Arrived(arrival(number, now)));
            }
            Box::new(machine)
        });
    }
    for hosts in [20, 100, 940] {
        measure("host of the host list", hosts, &mut || {
            let list: Vec<Host> = (0..hosts).map(|index| host(index, Role::Agent)).collect();
            Box::new(list)
        });
    }
    for objects in [100, 300, 1000] {
        measure("object of the configuration", objects, &mut || {
            let set: Objects = (0..objects)
                .map(|index| {
                    let key = Key {
                        kind: Kind::Domain,
                        name: id::Object(format!("object-{index}")),
                    };
                    (
                        key,
                        Spec::Domain(Domain {
                            region: "a text of usual length".to_owned(),
                        }),
                    )
                })
                .collect();
            Box::new(set)
        });
    }
    for attempts in [100, 1000, 4000] {
        measure("attempt remembered by an agent", attempts, &mut || {
            let mut machine = Agent::new(agent::Settings {
                host: host(1, Role::Agent),
                incarnation: id::Incarnation(1),
                limit: 64,
                queue: 64,
                load_validity: Duration::from_secs(3),
            });
            for number in 0..attempts as u64 {
                let attempt = id::Attempt {
                    entry: id::Incarnation(9),
                    number,
                };
                let revoke = wire::Revoke {
                    attempt,
                    agent: id::Incarnation(1),
                };
                machine.handle(now, agent::Event::Revoke(revoke));
            }
            Box::new(machine)
        });
    }
}

fn print_messages() {
    let columns = ["message", "bytes", "encode and decode"];
    table::print_header("Messages", &columns);
    let sender = report(0).sender;
    let hello = Hello {
        sender: sender.clone(),
        leaving: false,
        suspects: Vec::new(),
    };
    let gossip = wire::Gossip {
        sender,
        address: ([127, 0, 0, 1], 1).into(),
        hosts: id::Revision(1),
        ready: true,
    };
    let attempt = id::Attempt {
        entry: id::Incarnation(1 << 52),
        number: 1 << 20,
    };
    let version = Some(id::Version(1234));
    let bytes = Bytes::from_static(&[b'x'; 200]);
    let messages = [
        ("heartbeat", Message::Hello(hello)),
        ("load report", Message::Report(report(1))),
        ("gossip", Message::Gossip(gossip)),
        (
            "piece of 200 bytes",
            Message::Frame(Frame::Data {
                attempt,
                offset: 0,
                version,
                bytes,
            }),
        ),
    ];
    for (name, message) in messages {
        let size = wire::encode(&message).len();
        let start = StdInstant::now();
        for _ in 0..ITERATIONS {
            let encoded = wire::encode(black_box(&message));
            black_box(wire::decode::<Message>(&encoded).expect("the encoded message decodes"));
        }
        table::print_row(&[
            name.to_owned(),
            size.to_string(),
            mean_micros(start, ITERATIONS),
        ]);
    }
}

/// Prints the tables.
pub fn print(_seed: u64) {
    print_entry();
    print_agent();
    print_ledger();
    print_messages();
    print_memory();
}
