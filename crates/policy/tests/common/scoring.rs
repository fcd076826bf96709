//! A simulation of reward calls and clients' requests at servers with slots, in virtual time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::reward::Call;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::{Fleet, Query, SendOutcome, ServerKey};
use tamaracksail_policy::reward::{
    Action, CallKey, Outcome, Queue, Rank, Submission, Target, Verdict,
};

/// The virtual time that passes in one tick.
pub const TICK: Duration = Duration::from_millis(5);

/// How long a server works on a call.
pub const CALL_WORK: Duration = Duration::from_millis(200);

/// How long a server works on a request of a client.
pub const REQUEST_WORK: Duration = Duration::from_millis(25);

/// The latency objective of requests of clients.
pub const OBJECTIVE: Duration = Duration::from_millis(150);

/// The slots of a server.
pub const SLOTS: u32 = 6;

pub const MAX_FAILURES: u32 = 3;

/// What runs or waits at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Job {
    Call(u64),
    Request(Instant),
}

#[derive(Clone, Debug)]
pub struct Server {
    /// The factor on the time that work takes.
    pub slowness: u32,
    pub is_silent: bool,
    pub running: Vec<(Job, Instant, Instant)>,
    pub waiting: Vec<(Job, Instant)>,
}

/// Servers of one service, a gateway that sends calls to them, and clients' requests.
pub struct Simulation {
    pub now: Instant,
    pub queue: Queue,
    pub fleet: Fleet,
    pub servers: BTreeMap<ServerKey, Server>,
    /// The calls in flight, by send.
    pub sends: BTreeMap<u64, (CallKey, ServerKey)>,
    /// The ranks of calls; the others have the rank of an awaited item with one item left.
    pub ranks: BTreeMap<CallKey, Rank>,
    /// The number of sends of each call.
    pub send_counts: BTreeMap<CallKey, u32>,
    /// The calls in the order in which they were first sent.
    pub order: Vec<CallKey>,
    pub verdicts: BTreeMap<CallKey, Verdict>,
    /// The latencies of requests of clients.
    pub latencies: Vec<Duration>,
    pub hedge_count: usize,
    /// The most calls in flight to one server.
    pub most_in_flight: usize,
    pub service: RefCell<Option<&'static str>>,
}

pub fn registration(number: usize, service: &str) -> Registration {
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
    pub fn new(servers: usize) -> Self {
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

    pub fn add_server(&mut self, number: usize, service: &str) -> ServerKey {
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

    pub fn add_call(&mut self) -> CallKey {
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
    pub fn request(&mut self) {
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

    pub fn accept(&mut self, key: ServerKey, job: Job) {
        let now = self.now;
        self.servers
            .get_mut(&key)
            .expect("it is known")
            .waiting
            .push((job, now));
    }

    pub fn poll(&mut self) {
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

    pub fn drop_job(&mut self, key: ServerKey, job: Job) {
        let server = self.servers.get_mut(&key).expect("it is known");
        server.running.retain(|(other, ..)| *other != job);
        server.waiting.retain(|(other, _)| *other != job);
    }

    /// Reports how a call ended.
    pub fn end_call(&mut self, send: u64, outcome: Outcome, latency: Duration) {
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

    pub fn tick(&mut self) {
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

    pub fn run_until(&mut self, calls: usize, limit: Duration) -> Duration {
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
