//! A simulation of gateways that send lookups to a plain service, in virtual time. Each gateway has a
//! fleet of its own and learns of servers only through their responses.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::pace::Reading;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::{Fleet, Query, SendOutcome, ServerKey};

use crate::paces;

#[path = "lookup_setup.rs"]
mod setup;

pub use setup::{Figures, Report, Scene, Setup, Shape};

/// The slots of a server.
pub const SLOTS: usize = 6;

/// The number of requests that may wait at a server.
const QUEUE: usize = 24;

/// The mean time that a lookup takes at normal pace: a fixed part, and one that differs.
pub const WORK: Duration = Duration::from_millis(30);
const FIXED_WORK: Duration = Duration::from_millis(10);

/// When a lookup is sent to a second server: half of its objective of 150 ms.
const HEDGE_AFTER: Duration = Duration::from_millis(75);

/// When a second attempt that did not pay is considered again.
const HEDGE_RETRY: Duration = Duration::from_millis(20);

/// The number of servers that a lookup is sent to at most.
const MAX_ATTEMPTS: usize = 3;

/// The latency that a lookup without a response counts with: the limit of callers.
const LOST: Duration = Duration::from_millis(800);

/// The time before latencies are recorded.
const WARM_UP: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    AtServer(usize),
    Done(usize),
    /// A response with the load, and the figure in percent.
    Response(usize, u32, Option<u32>),
    Refusal(usize),
    Hedge(usize),
    /// The server notices that the client is gone: the request ends if it waits.
    Cancel(usize),
}

struct Request {
    gateway: usize,
    /// How long it takes at normal pace.
    work: Duration,
    arrived: Instant,
    attempts: Vec<usize>,
    is_ended: bool,
}

struct Attempt {
    request: usize,
    server: usize,
    sent_at: Instant,
    is_recorded: bool,
}

#[derive(Default)]
struct Server {
    running: usize,
    queue: VecDeque<usize>,
}

/// The simulation.
struct Lookups {
    setup: Setup,
    now: Instant,
    start: Instant,
    random: SmallRng,
    events: BinaryHeap<Reverse<(Instant, usize, Event)>>,
    event_count: usize,
    fleets: Vec<Fleet>,
    keys: Vec<Vec<ServerKey>>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    report: Report,
}

fn domain(index: usize) -> String {
    format!("d{}", index % 4)
}

fn registration(server: usize) -> Registration {
    Registration {
        instance: format!("s{server}"),
        started_at_ms: Some(1),
        service: "app".to_owned(),
        software: "v1".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: domain(server),
        slots: u32::try_from(SLOTS).expect("few slots"),
        state: State::Ready,
        models: BTreeMap::new(),
    }
}

/// Runs a simulation.
pub fn run(setup: Setup) -> Report {
    let start = Instant::from_millis(1_000_000);
    let mut fleets = vec![Fleet::default(); setup.gateways];
    let mut keys = Vec::new();
    for fleet in &mut fleets {
        let mut of_fleet = Vec::new();
        for server in 0..setup.servers {
            fleet.register(registration(server));
            let key = fleet.key_of(&format!("s{server}"), Some(1));
            of_fleet.push(key.expect("the server is registered"));
        }
        keys.push(of_fleet);
    }
    let mut simulation = Lookups {
        setup,
        now: start,
        start,
        random: SmallRng::seed_from_u64(setup.seed),
        events: BinaryHeap::new(),
        event_count: 0,
        fleets,
        keys,
        servers: (0..setup.servers).map(|_| Server::default()).collect(),
        requests: Vec::new(),
        attempts: Vec::new(),
        report: Report::default(),
    };
    simulation.report.changes = vec![Vec::new(); setup.gateways];
    for gateway in 0..setup.gateways {
        if setup.has_locality {
            simulation.fleets[gateway].enable_locality(&domain(gateway), &format!("g{gateway}"));
        }
        simulation.schedule_arrival(gateway);
    }
    let end = start.after(setup.duration);
    let seconds = usize::try_from(setup.duration.as_secs()).expect("few seconds");
    simulation.report.left = vec![0; seconds + 1];
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now = at;
        simulation.handle(event, end);
    }
    let fleets = simulation.fleets.iter();
    simulation.report.bytes_left = fleets.map(|fleet| fleet.left("app").bytes).sum();
    simulation.report
}

impl Lookups {
    fn push(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        let entry = (self.now.after(delay), self.event_count, event);
        self.events.push(Reverse(entry));
    }

    fn draw_exponential(&mut self, mean: f64) -> Duration {
        let draw: f64 = self.random.random_range(1e-9..1.0);
        Duration::from_secs_f64(-draw.ln() * mean)
    }

    fn schedule_arrival(&mut self, gateway: usize) {
        let speed: f64 = (0..self.setup.servers).map(paces::mean_speed).sum();
        let capacity = speed * 6.0 / WORK.as_secs_f64();
        let gateways = f64::from(u32::try_from(self.setup.gateways).expect("few gateways"));
        let is_burst = self.setup.scene == Scene::Burst && gateway.is_multiple_of(4);
        let factor = if is_burst && self.is_middle() {
            3.0
        } else {
            1.0
        };
        let gap = self.draw_exponential(gateways / (capacity * self.setup.load * factor));
        self.push(gap, Event::Arrive(gateway));
    }

    fn handle(&mut self, event: Event, end: Instant) {
        match event {
            Event::Arrive(gateway) if self.now < end => {
                let varying = (WORK.saturating_sub(FIXED_WORK)).as_secs_f64();
                let work = FIXED_WORK + self.draw_exponential(varying);
                self.requests.push(Request {
                    gateway,
                    work,
                    arrived: self.now,
                    attempts: Vec::new(),
                    is_ended: false,
                });
                if matches!(self.setup.scene, Scene::Lost | Scene::OneLost) {
                    self.update_servers(gateway);
                }
                self.send(self.requests.len() - 1);
                self.schedule_arrival(gateway);
            }
            Event::Arrive(_) => {}
            Event::AtServer(attempt) => self.accept(attempt),
            Event::Done(attempt) => self.finish(attempt),
            Event::Response(attempt, load, figure) => self.respond(attempt, load, figure),
            Event::Cancel(attempt) => {
                let server = self.attempts[attempt].server;
                let queue = &mut self.servers[server].queue;
                queue.retain(|waiting| *waiting != attempt);
            }
            Event::Refusal(attempt) => {
                let request = self.attempts[attempt].request;
                self.record(attempt, SendOutcome::Refused);
                if self.requests[request].attempts.len() < MAX_ATTEMPTS {
                    self.send(request);
                } else {
                    self.lose(request);
                }
            }
            Event::Hedge(request) => {
                let state = &self.requests[request];
                if state.is_ended || state.attempts.len() > 1 {
                    return;
                }
                let gateway = state.gateway;
                let is_overdue = self.now.since(state.arrived) >= HEDGE_AFTER * 2;
                let key = self.keys[gateway][self.attempts[state.attempts[0]].server];
                let domain = domain(gateway);
                let query = Query {
                    service: "app",
                    software: None,
                    domain: &domain,
                    except: &[],
                };
                if self.fleets[gateway].hedge_pays(self.now, key, query, is_overdue) {
                    self.send(request);
                } else {
                    self.push(HEDGE_RETRY, Event::Hedge(request));
                }
            }
        }
    }

    fn lose(&mut self, request: usize) {
        let others = self.requests[request].attempts.iter();
        let is_last = others
            .copied()
            .all(|other| self.attempts[other].is_recorded);
        if is_last && !self.requests[request].is_ended {
            self.requests[request].is_ended = true;
            self.report.lost += 1;
            self.record_latency(request, LOST);
        }
    }

    fn record_latency(&mut self, request: usize, latency: Duration) {
        if self.requests[request].arrived.since(self.start) >= WARM_UP {
            self.report.latencies.push(latency);
        }
    }

    /// Sends a request to the best server that it was not sent to before.
    fn send(&mut self, request: usize) {
        let gateway = self.requests[request].gateway;
        let tried: Vec<ServerKey> = self.requests[request]
            .attempts
            .iter()
            .map(|attempt| self.keys[gateway][self.attempts[*attempt].server])
            .collect();
        let domain = domain(gateway);
        let query = Query {
            service: "app",
            software: None,
            domain: &domain,
            except: &tried,
        };
        let Some(key) = self.fleets[gateway].choose(self.now, query) else {
            return self.lose(request);
        };
        if tried.is_empty() {
            self.push(HEDGE_AFTER, Event::Hedge(request));
        }
        self.fleets[gateway].record_sent(key);
        self.review(gateway, request, key);
        let server = self.keys[gateway].iter().position(|known| *known == key);
        let server = server.expect("the server is known");
        self.attempts.push(Attempt {
            request,
            server,
            sent_at: self.now,
            is_recorded: false,
        });
        let attempt = self.attempts.len() - 1;
        self.requests[request].attempts.push(attempt);
        self.report.sends += 1;
        self.push(self.way(attempt), Event::AtServer(attempt));
    }

    /// Whether this is the middle third of the time.
    fn is_middle(&self) -> bool {
        let elapsed = self.now.since(self.start);
        elapsed >= self.setup.duration / 3 && elapsed < self.setup.duration * 2 / 3
    }

    /// Removes or adds the servers of the first failure domain in the view of a gateway.
    fn update_servers(&mut self, gateway: usize) {
        let step = if self.setup.scene == Scene::Lost {
            4
        } else {
            self.setup.servers
        };
        for server in (0..self.setup.servers).step_by(step) {
            let name = format!("s{server}");
            let is_known = self.fleets[gateway].registered(&name).is_some();
            if is_known && self.is_middle() {
                self.fleets[gateway].remove(&name);
            } else if !is_known && !self.is_middle() {
                self.fleets[gateway].register(registration(server));
                let key = self.fleets[gateway].key_of(&name, Some(1));
                self.keys[gateway][server] = key.expect("the server is registered");
            }
        }
    }

    /// Reviews the share that leaves, and counts a request that does.
    fn review(&mut self, gateway: usize, request: usize, key: ServerKey) {
        let second = self.now.since(self.start).as_secs();
        if let Some(change) = self.fleets[gateway].review_locality(self.now, "app") {
            self.report.changes[gateway].push((second, change.to));
        }
        let server = self.fleets[gateway].registration(key).expect("known");
        let is_first = self.requests[request].attempts.is_empty();
        if is_first && server.domain != domain(gateway) {
            let index = usize::try_from(second).expect("few seconds");
            if let Some(count) = self.report.left.get_mut(index) {
                *count += 1;
            }
        }
    }

    /// Returns the one-way latency of an attempt's link.
    fn way(&self, attempt: usize) -> Duration {
        let attempt = &self.attempts[attempt];
        let gateway = self.requests[attempt.request].gateway;
        if domain(gateway) == domain(attempt.server) {
            Duration::from_micros(200)
        } else {
            Duration::from_micros(1400)
        }
    }

    fn accept(&mut self, attempt: usize) {
        let server = &mut self.servers[self.attempts[attempt].server];
        if server.running < SLOTS {
            self.begin(attempt);
        } else if server.queue.len() < QUEUE {
            server.queue.push_back(attempt);
        } else {
            self.push(self.way(attempt), Event::Refusal(attempt));
        }
    }

    fn begin(&mut self, attempt: usize) {
        let server = self.attempts[attempt].server;
        self.servers[server].running += 1;
        let mut work = self.requests[self.attempts[attempt].request].work;
        let mut took = Duration::ZERO;
        let step = Duration::from_millis(5);
        while !work.is_zero() {
            let pace = self.pace(server, self.now.after(took));
            let done = step.div_f64(pace).min(work);
            took += done.mul_f64(pace);
            work = work.saturating_sub(done.max(Duration::from_nanos(1)));
        }
        self.push(took, Event::Done(attempt));
    }

    /// Returns the true pace of a server.
    fn pace(&self, server: usize, at: Instant) -> f64 {
        let elapsed = at.since(self.start);
        let half = self.setup.duration / 2;
        let extra = match self.setup.shape {
            Shape::Step if elapsed >= half && server % 3 == 1 => 2.5,
            Shape::AllSlow if elapsed >= half && elapsed < half + Duration::from_secs(5) => 2.5,
            Shape::Even => return 1.0,
            _ => 1.0,
        };
        paces::mixed(server, at) * extra
    }

    fn figure(&mut self, server: usize) -> Option<u32> {
        let percent = |pace: f64| format!("{:.0}", pace * 100.0).parse().ok();
        let second_ago = Instant(self.now.0 - 1_000_000);
        match self.setup.figures {
            Figures::None => None,
            Figures::Late => percent(self.pace(server, second_ago)),
            Figures::Missing if self.random.random_bool(0.5) => None,
            Figures::True | Figures::Missing => percent(self.pace(server, self.now)),
            Figures::Wrong => Some(self.random.random_range(50..400)),
            Figures::Stuck => percent(self.pace(server, self.start)),
            Figures::Normal => Some(100),
        }
    }

    fn finish(&mut self, attempt: usize) {
        let index = self.attempts[attempt].server;
        let figure = self.figure(index);
        let server = &mut self.servers[index];
        server.running -= 1;
        if let Some(next) = server.queue.pop_front() {
            self.begin(next);
        }
        let server = &self.servers[index];
        let load = u32::try_from(server.running + server.queue.len()).expect("a small load");
        self.push(self.way(attempt), Event::Response(attempt, load, figure));
    }

    fn respond(&mut self, attempt: usize, load: u32, figure: Option<u32>) {
        let Attempt {
            request,
            server,
            sent_at,
            is_recorded,
        } = self.attempts[attempt];
        if is_recorded {
            return;
        }
        let gateway = self.requests[request].gateway;
        let key = self.keys[gateway][server];
        self.fleets[gateway].record_load(self.now, key, load);
        if let Some(figure) = figure {
            let reading = Reading::from_percent(f64::from(figure)).expect("a usable figure");
            self.fleets[gateway].record_pace(self.now, key, reading);
        }
        self.record(attempt, SendOutcome::Responded(self.now.since(sent_at)));
        self.requests[request].is_ended = true;
        self.record_latency(request, self.now.since(self.requests[request].arrived));
        for other in self.requests[request].attempts.clone() {
            let since = self.now.since(self.attempts[other].sent_at);
            if !self.attempts[other].is_recorded {
                self.push(self.way(other), Event::Cancel(other));
            }
            self.record(other, SendOutcome::Abandoned(since));
        }
    }

    fn record(&mut self, attempt: usize, outcome: SendOutcome) {
        let Attempt {
            request,
            server,
            is_recorded,
            ..
        } = self.attempts[attempt];
        if !is_recorded {
            self.attempts[attempt].is_recorded = true;
            let gateway = self.requests[request].gateway;
            let key = self.keys[gateway][server];
            self.fleets[gateway].record_bytes(key, 8192);
            self.fleets[gateway].record_outcome(self.now, key, outcome);
        }
    }
}
