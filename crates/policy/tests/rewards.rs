//! Which reward calls are sent when and where, beside requests of clients. All times are virtual.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::reward::Call;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::{Fleet, Query, SendOutcome, ServerKey};
use tamaracksail_policy::reward::{
    Action, CallKey, Outcome, Queue, Rank, Submission, Target, Verdict,
};

/// The virtual time that passes in one tick.
const TICK: Duration = Duration::from_millis(5);

/// How long a server works on a call.
const CALL_WORK: Duration = Duration::from_millis(200);

/// How long a server works on a request of a client.
const REQUEST_WORK: Duration = Duration::from_millis(25);

/// The latency objective of requests of clients.
const OBJECTIVE: Duration = Duration::from_millis(150);

/// The slots of a server.
const SLOTS: u32 = 6;

const MAX_FAILURES: u32 = 3;

/// What runs or waits at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Job {
    Call(u64),
    Request(Instant),
}

#[derive(Clone, Debug)]
struct Server {
    /// The factor on the time that work takes.
    slowness: u32,
    is_silent: bool,
    running: Vec<(Job, Instant, Instant)>,
    waiting: Vec<(Job, Instant)>,
}

/// Servers of one service, a gateway that sends calls to them, and clients' requests.
struct Simulation {
    now: Instant,
    queue: Queue,
    fleet: Fleet,
    servers: BTreeMap<ServerKey, Server>,
    /// The calls in flight, by send.
    sends: BTreeMap<u64, (CallKey, ServerKey)>,
    /// The ranks of calls; the others have the rank of an awaited item with one item left.
    ranks: BTreeMap<CallKey, Rank>,
    /// The number of sends of each call.
    send_counts: BTreeMap<CallKey, u32>,
    /// The calls in the order in which they were first sent.
    order: Vec<CallKey>,
    verdicts: BTreeMap<CallKey, Verdict>,
    /// The latencies of requests of clients.
    latencies: Vec<Duration>,
    hedge_count: usize,
    /// The most calls in flight to one server.
    most_in_flight: usize,
    service: RefCell<Option<&'static str>>,
}

fn registration(number: usize, service: &str) -> Registration {
    Registration {
        instance: format!("{service}-{number}"),
        started_at_ms: Some(1),
        service: service.to_owned(),
        software: "v1".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d1".to_owned(),
        slots: SLOTS,
        state: State::Ready,
        models: BTreeMap::new(),
    }
}

impl Simulation {
    fn new(servers: usize) -> Self {
        let mut simulation = Self {
            now: Instant::from_millis(1_000_000),
            queue: Queue::default(),
            fleet: Fleet::default(),
            servers: BTreeMap::new(),
            sends: BTreeMap::new(),
            ranks: BTreeMap::new(),
            send_counts: BTreeMap::new(),
            order: Vec::new(),
            verdicts: BTreeMap::new(),
            latencies: Vec::new(),
            hedge_count: 0,
            most_in_flight: 0,
            service: RefCell::new(Some("scores")),
        };
        for number in 0..servers {
            simulation.add_server(number, "scores");
        }
        simulation
    }

    fn add_server(&mut self, number: usize, service: &str) -> ServerKey {
        let registration = registration(number, service);
        let instance = registration.instance.clone();
        self.fleet.register(registration);
        let key = self.fleet.key_of(&instance, Some(1)).expect("it is known");
        let server = Server {
            slowness: 1,
            is_silent: false,
            running: Vec::new(),
            waiting: Vec::new(),
        };
        self.servers.insert(key, server);
        key
    }

    fn add_call(&mut self) -> CallKey {
        let call = Call {
            id: "c".to_owned(),
            host: "h".to_owned(),
            path: "/x".to_owned(),
            body: bytes::Bytes::new(),
        };
        let submission = Submission {
            call: Rc::new(call),
            max_failures: MAX_FAILURES,
            failures: 0,
            deadline: self.now.after(Duration::from_mins(1)),
        };
        self.queue.add(self.now, submission)
    }

    /// Sends a request of a client to the best server.
    fn request(&mut self) {
        let query = Query {
            service: "scores",
            software: None,
            domain: "d1",
            except: &[],
        };
        let key = self.fleet.choose(self.now, query).expect("a server");
        self.fleet.record_sent(key);
        self.accept(key, Job::Request(self.now));
    }

    fn accept(&mut self, key: ServerKey, job: Job) {
        let now = self.now;
        self.servers
            .get_mut(&key)
            .expect("it is known")
            .waiting
            .push((job, now));
    }

    fn poll(&mut self) {
        let service = *self.service.borrow();
        let target = |_: &Call| {
            service.map(|service| Target {
                service: service.to_owned(),
                max_attempts: 1,
            })
        };
        let ranks = &self.ranks;
        let rank = |key| {
            ranks.get(&key).copied().unwrap_or(Rank {
                is_optional: false,
                unfinished: 1,
            })
        };
        let actions = self
            .queue
            .poll(self.now, &mut self.fleet, "d1", target, rank);
        for action in actions {
            match action {
                Action::Send {
                    send,
                    key,
                    server,
                    is_hedge,
                    ..
                } => {
                    assert!(!self.verdicts.contains_key(&key), "sent after its verdict");
                    let of_call = self.sends.values().filter(|(call, _)| *call == key);
                    let servers: Vec<ServerKey> = of_call.map(|(_, server)| *server).collect();
                    assert!(
                        servers.len() < 2 && !servers.contains(&server),
                        "{servers:?}"
                    );
                    assert_eq!(is_hedge, !servers.is_empty());
                    self.hedge_count += usize::from(is_hedge);
                    let count = self.send_counts.entry(key).or_default();
                    if *count == 0 {
                        self.order.push(key);
                    }
                    *count += 1;
                    self.sends.insert(send, (key, server));
                    let in_flight = self.sends.values().filter(|(_, at)| *at == server).count();
                    self.most_in_flight = self.most_in_flight.max(in_flight);
                    self.accept(server, Job::Call(send));
                }
                Action::Cancel { send, .. } => {
                    // It may have ended by itself meanwhile.
                    let Some((_, server)) = self.sends.remove(&send) else {
                        continue;
                    };
                    self.drop_job(server, Job::Call(send));
                    let outcome = SendOutcome::Abandoned(Duration::ZERO);
                    self.fleet.record_outcome(self.now, server, outcome);
                }
            }
        }
    }

    fn drop_job(&mut self, key: ServerKey, job: Job) {
        let server = self.servers.get_mut(&key).expect("it is known");
        server.running.retain(|(other, ..)| *other != job);
        server.waiting.retain(|(other, _)| *other != job);
    }

    /// Reports how a call ended.
    fn end_call(&mut self, send: u64, outcome: Outcome, latency: Duration) {
        let Some((_, server)) = self.sends.remove(&send) else {
            return;
        };
        self.drop_job(server, Job::Call(send));
        let report = match outcome {
            Outcome::Scored(_) => SendOutcome::Responded(latency),
            Outcome::Refused => SendOutcome::Refused,
            Outcome::Failed | Outcome::Broken => SendOutcome::Failed,
        };
        self.fleet.record_outcome(self.now, server, report);
        let verdict = self.queue.record_outcome(self.now, send, outcome);
        if let Some((key, verdict)) = verdict {
            assert!(self.verdicts.insert(key, verdict).is_none());
        }
    }

    fn tick(&mut self) {
        self.now = self.now.after(TICK);
        let keys: Vec<ServerKey> = self.servers.keys().copied().collect();
        for key in keys {
            let now = self.now;
            let server = self.servers.get_mut(&key).expect("it is known");
            if server.is_silent {
                continue;
            }
            let (done, running) = std::mem::take(&mut server.running)
                .into_iter()
                .partition(|(_, _, end)| *end <= now);
            server.running = running;
            let done: Vec<(Job, Instant, Instant)> = done;
            while server.running.len() < SLOTS as usize && !server.waiting.is_empty() {
                let (job, sent_at) = server.waiting.remove(0);
                let work = match job {
                    Job::Call(_) => CALL_WORK,
                    Job::Request(_) => REQUEST_WORK,
                };
                let end = now.after(work * server.slowness);
                server.running.push((job, sent_at, end));
            }
            let load = u32::try_from(server.running.len() + server.waiting.len()).expect("few");
            for (job, sent_at, _) in done {
                let latency = now.since(sent_at);
                match job {
                    Job::Call(send) => {
                        self.fleet.record_load(now, key, load);
                        self.end_call(send, Outcome::Scored("s".to_owned()), latency);
                    }
                    Job::Request(sent_at) => {
                        let latency = now.since(sent_at);
                        self.latencies.push(latency);
                        self.fleet.record_load(now, key, load);
                        self.fleet
                            .record_outcome(now, key, SendOutcome::Responded(latency));
                    }
                }
            }
        }
        self.poll();
    }

    fn run_until(&mut self, calls: usize, limit: Duration) -> Duration {
        let start = self.now;
        while self.verdicts.len() < calls {
            self.tick();
            assert!(
                self.now.since(start) < limit,
                "{} of {calls} calls ended",
                self.verdicts.len()
            );
        }
        self.now.since(start)
    }
}

/// The load: 300 items of a step become complete at once, before four servers with six slots each,
/// beside 60 requests of clients a second.
#[test]
fn requests_keep_their_objective_beside_a_burst_of_calls_and_no_call_fails() {
    let mut simulation = Simulation::new(4);
    for _ in 0..300 {
        simulation.add_call();
    }
    let start = simulation.now;
    while simulation.verdicts.len() < 300 {
        for _ in 0..10 {
            simulation.tick();
        }
        for _ in 0..3 {
            simulation.request();
        }
        assert!(simulation.now.since(start) < Duration::from_secs(30));
    }
    let took = simulation.now.since(start);
    let late = simulation.latencies.iter().filter(|it| **it > OBJECTIVE);
    let (late, all) = (late.count(), simulation.latencies.len());
    assert!(late * 100 <= all, "{late} of {all} requests are late");
    let is_scored = |verdict: &Verdict| matches!(verdict, Verdict::Scored(_));
    assert!(simulation.verdicts.values().all(is_scored));
    // All slots together would take 2.5 s for the calls alone.
    assert!(took < Duration::from_secs(5), "{took:?}");
}

/// The load: as above, and half of the servers are three times as slow.
#[test]
fn requests_keep_their_objective_beside_a_burst_at_slow_servers() {
    let mut simulation = Simulation::new(4);
    for server in simulation.servers.values_mut().take(2) {
        server.slowness = 3;
    }
    for _ in 0..150 {
        simulation.add_call();
    }
    let start = simulation.now;
    while simulation.verdicts.len() < 150 {
        for _ in 0..10 {
            simulation.tick();
        }
        for _ in 0..3 {
            simulation.request();
        }
        assert!(simulation.now.since(start) < Duration::from_secs(30));
    }
    let late = simulation.latencies.iter().filter(|it| **it > OBJECTIVE);
    let (late, all) = (late.count(), simulation.latencies.len());
    assert!(late * 100 <= all, "{late} of {all} requests are late");
}

/// The load: more calls than slots, of groups that lack one item to eight, and of optional groups.
#[test]
fn calls_that_complete_awaited_groups_go_first() {
    let mut simulation = Simulation::new(1);
    let ranks = (0..24).map(|number| Rank {
        is_optional: number % 3 == 0,
        unfinished: 8 - number % 8,
    });
    for rank in ranks {
        let key = simulation.add_call();
        simulation.ranks.insert(key, rank);
    }
    simulation.run_until(24, Duration::from_secs(30));
    let order: Vec<Rank> = simulation
        .order
        .iter()
        .map(|key| simulation.ranks[key])
        .collect();
    assert!(order.is_sorted(), "{order:?}");
}

#[test]
fn a_call_at_a_server_that_stops_responding_goes_to_another_after_the_usual_time() {
    let mut simulation = Simulation::new(3);
    for _ in 0..60 {
        simulation.add_call();
    }
    simulation.run_until(60, Duration::from_secs(30));
    simulation
        .servers
        .values_mut()
        .next()
        .expect("a server")
        .is_silent = true;
    for _ in 0..9 {
        simulation.add_call();
    }
    // The usual time of a call is 0.2 s, and a second copy takes as long.
    let took = simulation.run_until(69, Duration::from_secs(30));
    assert!(took < Duration::from_millis(800), "{took:?}");
    assert!(simulation.hedge_count > 0);
}

/// The load: thirty calls in flight when all servers become ten times as slow, and slots for a second
/// copy of each.
#[test]
fn few_second_copies_are_sent_while_all_servers_are_slow() {
    let mut simulation = Simulation::new(30);
    for _ in 0..40 {
        simulation.add_call();
    }
    simulation.run_until(40, Duration::from_secs(30));
    let before = simulation.hedge_count;
    for server in simulation.servers.values_mut() {
        server.slowness = 10;
    }
    for _ in 0..30 {
        simulation.add_call();
    }
    simulation.run_until(70, Duration::from_mins(2));
    let count = simulation.hedge_count - before;
    // One in ten, and the twelve that are saved up.
    assert!((1..=15).contains(&count), "{count}");
}

#[test]
fn a_call_whose_copies_are_at_servers_that_stopped_responding_goes_to_a_third() {
    let mut simulation = Simulation::new(3);
    for server in simulation.servers.values_mut() {
        server.is_silent = true;
    }
    simulation.add_call();
    while simulation.sends.len() < 2 {
        simulation.tick();
    }
    let used: Vec<ServerKey> = simulation.sends.values().map(|(_, at)| *at).collect();
    for (key, server) in &mut simulation.servers {
        server.is_silent = used.contains(key);
    }
    simulation.run_until(1, Duration::from_secs(6));
}

#[test]
fn a_call_waits_while_it_has_no_route_and_follows_a_route_that_moves() {
    let mut simulation = Simulation::new(2);
    *simulation.service.borrow_mut() = None;
    let key = simulation.add_call();
    for _ in 0..200 {
        simulation.tick();
    }
    assert!(simulation.send_counts.is_empty());
    let moved = simulation.add_server(7, "other");
    *simulation.service.borrow_mut() = Some("other");
    simulation.tick();
    let at: Vec<ServerKey> = simulation.sends.values().map(|(_, at)| *at).collect();
    assert_eq!(at, [moved]);
    simulation.run_until(1, Duration::from_secs(5));
    assert_eq!(simulation.send_counts[&key], 1);
}

#[test]
fn a_draining_server_gets_no_call() {
    let mut simulation = Simulation::new(2);
    let mut draining = registration(0, "scores");
    draining.state = State::Draining;
    simulation.fleet.register(draining);
    let leaving = simulation.fleet.key_of("scores-0", Some(1));
    for _ in 0..40 {
        simulation.add_call();
    }
    while simulation.verdicts.len() < 40 {
        simulation.tick();
        let mut servers = simulation.sends.values().map(|(_, server)| *server);
        assert!(servers.all(|server| Some(server) != leaving));
    }
}

#[test]
fn a_removed_call_is_cancelled_and_not_sent_again() {
    let mut simulation = Simulation::new(2);
    let key = simulation.add_call();
    simulation.tick();
    assert_eq!(simulation.sends.len(), 1);
    simulation.queue.remove(key, "the batch has ended");
    simulation.tick();
    assert!(simulation.sends.is_empty());
    for _ in 0..400 {
        simulation.tick();
    }
    assert_eq!(simulation.send_counts[&key], 1);
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Fail(usize),
    Refuse(usize),
    Break(usize),
    Silence(usize),
    Wake(usize),
    Add,
    RunFor(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0..12usize).prop_map(Event::Fail),
        2 => (0..12usize).prop_map(Event::Refuse),
        2 => (0..12usize).prop_map(Event::Break),
        1 => (0..3usize).prop_map(Event::Silence),
        1 => (0..3usize).prop_map(Event::Wake),
        3 => Just(Event::Add),
        4 => (5..700u64).prop_map(Event::RunFor),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(128) })]

    /// Whatever servers do, each call gets one verdict, and is given up after exactly as many reported
    /// failures as allowed. The simulation checks at every send that the call has no verdict, that no
    /// server has it twice and that no more than two servers have it.
    #[test]
    fn every_call_has_one_verdict(events in prop::collection::vec(event(), 1..60)) {
        let mut simulation = Simulation::new(3);
        let mut failures: BTreeMap<CallKey, u32> = BTreeMap::new();
        let mut calls = 0;
        for event in events {
            let nth = |number: usize| {
                let count = simulation.sends.len().max(1);
                simulation.sends.keys().nth(number % count).copied()
            };
            let key = |number: usize| *simulation.servers.keys().nth(number).expect("a server");
            let (send, outcome) = match event {
                Event::Fail(number) => (nth(number), Outcome::Failed),
                Event::Refuse(number) => (nth(number), Outcome::Refused),
                Event::Break(number) => (nth(number), Outcome::Broken),
                Event::Silence(number) | Event::Wake(number) => {
                    let key = key(number);
                    let is_silent = matches!(event, Event::Silence(_));
                    simulation.servers.get_mut(&key).expect("a server").is_silent = is_silent;
                    continue;
                }
                Event::Add => {
                    simulation.add_call();
                    calls += 1;
                    continue;
                }
                Event::RunFor(millis) => {
                    for _ in 0..millis / 5 {
                        simulation.tick();
                    }
                    continue;
                }
            };
            if let Some(send) = send {
                if outcome == Outcome::Failed {
                    *failures.entry(simulation.sends[&send].0).or_default() += 1;
                }
                simulation.end_call(send, outcome, CALL_WORK);
            }
        }
        for server in simulation.servers.values_mut() {
            server.is_silent = false;
        }
        simulation.run_until(calls, Duration::from_mins(1));
        for (key, verdict) in &simulation.verdicts {
            let failures = failures.get(key).copied().unwrap_or(0);
            match verdict {
                Verdict::Scored(_) => prop_assert!(failures < MAX_FAILURES),
                Verdict::Failed(count) => {
                    prop_assert_eq!(*count, MAX_FAILURES);
                    prop_assert_eq!(failures, MAX_FAILURES);
                }
            }
        }
        prop_assert!(simulation.most_in_flight <= SLOTS as usize);
    }
}
