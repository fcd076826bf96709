//! A simulation of clients, gateways and the servers of one service in virtual time, around real
//! admission queues and fleets.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::admission::{Decision, Queue, Request, Room, Ticket, Verdict};
use tamaracksail_policy::fleet::{Fleet, Query, SendOutcome, ServerKey};

/// The objective of lookups.
pub const OBJECTIVE: Duration = Duration::from_millis(150);

/// The time after which clients give a lookup up.
const LIMIT: Duration = Duration::from_millis(800);

/// The time that a server takes for a request, at least and at most; uniformly distributed.
const SERVICE_TIME_US: (u64, u64) = (25_000, 55_000);

/// The requests that wait at a server before it refuses more.
const SERVER_QUEUE: usize = 24;

/// The one-way latency between a gateway and a server.
const LATENCY: Duration = Duration::from_micros(300);

/// How often a gateway polls while requests wait.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The number of servers to which a request is sent at most.
const MAX_ATTEMPTS: usize = 3;

const SERVICE: &str = "app";

/// What the requests of one account met with.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// The mean number of requests a second.
    pub rate: f64,
    pub offered: u32,
    /// Requests with a response within the client's limit.
    pub served: u32,
    /// Requests among them with a response after their objective.
    pub late: u32,
    /// Requests that waited at a gateway.
    pub waited: u32,
    pub refused: u32,
    /// Requests that were refused after they had waited for longer than their objective.
    pub refused_late: u32,
    /// The longest wait of a request that began.
    pub longest_wait: Duration,
    /// The least and greatest time after which a refused request may come again.
    pub retry_after: Option<(Duration, Duration)>,
}

impl Account {
    /// Returns the part of the offered requests that were served.
    pub fn served_part(&self) -> f64 {
        f64::from(self.served) / f64::from(self.offered.max(1))
    }
}

#[derive(Clone, Debug)]
struct Call {
    account: usize,
    gateway: usize,
    arrival: Instant,
    ticket: Option<Ticket>,
    tried: Vec<usize>,
    sent_at: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive {
        account: usize,
    },
    ReachServer {
        server: usize,
        call: u64,
    },
    Finish {
        server: usize,
        call: u64,
    },
    Respond {
        server: usize,
        call: u64,
        load: u32,
        is_run: bool,
    },
    Poll {
        gateway: usize,
    },
    SetGateway {
        gateway: usize,
        is_up: bool,
    },
}

#[derive(Debug, Default)]
struct Server {
    running: u32,
    queue: VecDeque<u64>,
}

struct Gateway {
    is_up: bool,
    /// Its part of the arrivals relative to the other gateways.
    part: f64,
    queue: Queue,
    fleet: Fleet,
    keys: Vec<ServerKey>,
    waiting: BTreeMap<Ticket, u64>,
    is_polled: bool,
}

/// The simulation.
pub struct Simulation {
    pub now: Instant,
    pub accounts: Vec<Account>,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    slots: u32,
    calls: BTreeMap<u64, Call>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    last: u64,
    random: SmallRng,
    measured_from: Instant,
    /// Whether clients send no further requests.
    is_closed: bool,
    /// Whether requests wait in the queues of gateways; otherwise all begin at once.
    pub has_admission: bool,
    /// Requests that waited although fewer requests than the servers have slots were on their way,
    /// running or being responded to.
    pub needless_waits: u32,
}

/// Returns the requests that `servers` can serve a second.
pub fn capacity(servers: u32, slots: u32) -> f64 {
    let (least, most) = SERVICE_TIME_US;
    let mean = Duration::from_micros(least.midpoint(most)).as_secs_f64();
    f64::from(servers * slots) / mean
}

impl Simulation {
    /// Starts gateways that get these parts of the arrivals, servers with `slots` slots, and
    /// accounts that send these rates at random times.
    pub fn new(seed: u64, parts: &[f64], servers: u32, slots: u32, rates: &[f64]) -> Self {
        let mut simulation = Self {
            now: Instant::from_millis(1_000_000),
            accounts: Vec::new(),
            gateways: Vec::new(),
            servers: (0..servers).map(|_| Server::default()).collect(),
            slots,
            calls: BTreeMap::new(),
            events: BinaryHeap::new(),
            last: 0,
            random: SmallRng::seed_from_u64(seed),
            measured_from: Instant(0),
            is_closed: false,
            has_admission: true,
            needless_waits: 0,
        };
        for part in parts {
            let gateway = simulation.gateway(*part);
            simulation.gateways.push(gateway);
        }
        for (account, rate) in rates.iter().enumerate() {
            simulation.accounts.push(Account {
                rate: *rate,
                ..Account::default()
            });
            simulation.plan_arrival(account);
        }
        simulation
    }

    fn gateway(&self, part: f64) -> Gateway {
        let mut fleet = Fleet::default();
        let mut keys = Vec::new();
        for number in 0..self.servers.len() {
            let instance = format!("server-{number}");
            fleet.register(Registration {
                instance: instance.clone(),
                started_at_ms: Some(1),
                service: SERVICE.to_owned(),
                software: "v1".to_owned(),
                address: ([127, 0, 0, 1], 1).into(),
                domain: "d1".to_owned(),
                slots: self.slots,
                state: State::Ready,
                models: BTreeMap::new(),
            });
            keys.push(fleet.key_of(&instance, Some(1)).expect("it is registered"));
        }
        Gateway {
            is_up: true,
            part,
            queue: Queue::default(),
            fleet,
            keys,
            waiting: BTreeMap::new(),
            is_polled: false,
        }
    }

    /// Plans the loss or the return of a gateway.
    pub fn set_gateway(&mut self, after: Duration, gateway: usize, is_up: bool) {
        let at = self.now.after(after);
        self.plan(at, Event::SetGateway { gateway, is_up });
    }

    /// Runs for a time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now.after(time);
        while let Some(Reverse((at, _, _))) = self.events.peek()
            && *at <= end
        {
            let Reverse((at, _, event)) = self.events.pop().expect("it was peeked");
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Ends the arrivals, and runs until each request has ended.
    pub fn finish(&mut self) {
        self.is_closed = true;
        self.run(LIMIT * 2);
    }

    /// Forgets what was counted so far. Requests that have arrived are not counted further.
    pub fn start_measuring(&mut self) {
        self.measured_from = self.now;
        self.needless_waits = 0;
        for account in &mut self.accounts {
            *account = Account {
                rate: account.rate,
                ..Account::default()
            };
        }
    }

    /// Returns the number of requests served in total.
    pub fn served(&self) -> u32 {
        self.accounts.iter().map(|account| account.served).sum()
    }

    fn plan(&mut self, at: Instant, event: Event) {
        self.last += 1;
        self.events.push(Reverse((at, self.last, event)));
    }

    fn plan_arrival(&mut self, account: usize) {
        if self.is_closed {
            return;
        }
        let rate = self.accounts[account].rate;
        let draw: f64 = self.random.random();
        let gap = -(1.0 - draw).ln() / rate;
        let at = self.now.after(Duration::from_secs_f64(gap));
        self.plan(at, Event::Arrive { account });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { .. } if self.is_closed => {}
            Event::Arrive { account } => {
                self.plan_arrival(account);
                self.arrive(account);
            }
            Event::ReachServer { server, call } => self.reach_server(server, call),
            Event::Finish { server, call } => self.end_service(server, call),
            Event::Respond {
                server,
                call,
                load,
                is_run,
            } => self.respond(server, call, load, is_run),
            Event::Poll { gateway } => {
                self.gateways[gateway].is_polled = false;
                self.poll(gateway);
            }
            Event::SetGateway { gateway, is_up } => self.change_gateway(gateway, is_up),
        }
    }

    fn change_gateway(&mut self, gateway: usize, is_up: bool) {
        let part = self.gateways[gateway].part;
        self.gateways[gateway] = self.gateway(part);
        self.gateways[gateway].is_up = is_up;
        // The clients of a lost gateway see closed connections.
        self.calls.retain(|_, call| call.gateway != gateway);
        let calls: BTreeSet<u64> = self.calls.keys().copied().collect();
        for server in &mut self.servers {
            server.queue.retain(|call| calls.contains(call));
        }
    }

    fn account(&mut self, call: &Call) -> Option<&mut Account> {
        (call.arrival >= self.measured_from).then(|| &mut self.accounts[call.account])
    }

    fn arrive(&mut self, account: usize) {
        let up = self.gateways.iter().filter(|gateway| gateway.is_up);
        let total: f64 = up.map(|gateway| gateway.part).sum();
        let mut left = self.random.random::<f64>() * total;
        let mut chosen = 0;
        for (number, gateway) in self.gateways.iter().enumerate() {
            if gateway.is_up {
                chosen = number;
                left -= gateway.part;
                if left < 0.0 {
                    break;
                }
            }
        }
        let call = Call {
            account,
            gateway: chosen,
            arrival: self.now,
            ticket: None,
            tried: Vec::new(),
            sent_at: self.now,
        };
        self.last += 1;
        let id = self.last;
        self.calls.insert(id, call.clone());
        if let Some(account) = self.account(&call) {
            account.offered += 1;
        }
        if !self.has_admission {
            return self.send(id);
        }
        let request = Request {
            account: Some(format!("account-{account}")),
            priority: 1,
            weight: 1.0,
            arrival: self.now,
            objective: OBJECTIVE,
            deadline: self.now.after(LIMIT),
        };
        let (now, draw) = (self.now, self.random.random());
        let gateway = &mut self.gateways[chosen];
        let room = gateway.fleet.room(now, SERVICE);
        match gateway.queue.arrive(now, &request, room, draw) {
            Decision::Begin(ticket) => self.begin(id, ticket),
            Decision::Wait(ticket) => {
                gateway.waiting.insert(ticket, id);
                self.poll(chosen);
                if self.gateways[chosen].waiting.contains_key(&ticket) {
                    if let Some(account) = self.account(&call) {
                        account.waited += 1;
                    }
                    let begun: usize = self.gateways.iter().map(|g| g.queue.running()).sum();
                    let slots = self.servers.len() * self.slots as usize;
                    self.needless_waits += u32::from(begun < slots);
                }
            }
            Decision::Refuse(retry_after) => self.refuse(id, Some(retry_after)),
        }
    }

    fn refuse(&mut self, id: u64, retry_after: Option<Duration>) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let waited = self.now.since(call.arrival);
        if let Some(account) = self.account(&call) {
            account.refused += 1;
            account.refused_late += u32::from(waited > OBJECTIVE);
            if let Some(retry) = retry_after {
                let (least, most) = account.retry_after.unwrap_or((retry, retry));
                account.retry_after = Some((least.min(retry), most.max(retry)));
            }
        }
    }

    fn begin(&mut self, id: u64, ticket: Ticket) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.ticket = Some(ticket);
        let call = call.clone();
        let waited = self.now.since(call.arrival);
        if let Some(account) = self.account(&call) {
            account.longest_wait = account.longest_wait.max(waited);
        }
        self.send(id);
    }

    fn send(&mut self, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let gateway = &mut self.gateways[call.gateway];
        let except: Vec<ServerKey> = call
            .tried
            .iter()
            .map(|tried| gateway.keys[*tried])
            .collect();
        let query = Query {
            service: SERVICE,
            software: None,
            domain: "d1",
            except: &except,
        };
        let chosen = gateway.fleet.choose(self.now, query);
        let Some(key) = chosen.filter(|_| call.tried.len() < MAX_ATTEMPTS) else {
            let (gateway, ticket) = (call.gateway, call.ticket);
            self.refuse(id, None);
            return self.end(gateway, ticket, false);
        };
        let server = gateway.keys.iter().position(|other| *other == key);
        let server = server.expect("it is a server");
        gateway.fleet.record_sent(key);
        if let Some(ticket) = call.ticket {
            gateway.queue.record_sent(ticket);
        }
        call.tried.push(server);
        call.sent_at = self.now;
        let at = self.now.after(LATENCY);
        self.plan(at, Event::ReachServer { server, call: id });
    }

    fn load(&self, server: usize) -> u32 {
        let queue = self.servers[server].queue.len();
        self.servers[server].running + u32::try_from(queue).expect("a short queue")
    }

    fn reach_server(&mut self, server: usize, call: u64) {
        if self.servers[server].running < self.slots {
            self.start(server, call);
        } else if self.servers[server].queue.len() < SERVER_QUEUE {
            self.servers[server].queue.push_back(call);
        } else {
            let load = self.load(server);
            let is_run = false;
            let at = self.now.after(LATENCY);
            self.plan(
                at,
                Event::Respond {
                    server,
                    call,
                    load,
                    is_run,
                },
            );
        }
    }

    fn start(&mut self, server: usize, call: u64) {
        self.servers[server].running += 1;
        let (least, most) = SERVICE_TIME_US;
        let time = Duration::from_micros(self.random.random_range(least..=most));
        let at = self.now.after(time);
        self.plan(at, Event::Finish { server, call });
    }

    fn end_service(&mut self, server: usize, call: u64) {
        self.servers[server].running -= 1;
        if let Some(next) = self.servers[server].queue.pop_front() {
            self.start(server, next);
        }
        let load = self.load(server);
        let is_run = true;
        let at = self.now.after(LATENCY);
        self.plan(
            at,
            Event::Respond {
                server,
                call,
                load,
                is_run,
            },
        );
    }

    fn respond(&mut self, server: usize, id: u64, load: u32, is_run: bool) {
        let Some(call) = self.calls.get(&id).cloned() else {
            return;
        };
        let now = self.now;
        let gateway = &mut self.gateways[call.gateway];
        let key = gateway.keys[server];
        gateway.fleet.record_load(now, key, load);
        if !is_run {
            gateway.fleet.record_outcome(now, key, SendOutcome::Refused);
            return self.send(id);
        }
        let outcome = SendOutcome::Responded(now.since(call.sent_at));
        gateway.fleet.record_outcome(now, key, outcome);
        self.calls.remove(&id);
        let is_late = now.since(call.arrival) > OBJECTIVE;
        let is_in_time = now.since(call.arrival) <= LIMIT;
        if let Some(account) = self.account(&call) {
            account.served += u32::from(is_in_time);
            account.late += u32::from(is_in_time && is_late);
        }
        self.end(call.gateway, call.ticket, true);
    }

    fn end(&mut self, gateway: usize, ticket: Option<Ticket>, is_served: bool) {
        if let Some(ticket) = ticket {
            self.gateways[gateway]
                .queue
                .end(self.now, ticket, is_served);
            self.poll(gateway);
        }
    }

    fn poll(&mut self, number: usize) {
        let now = self.now;
        let random = &mut self.random;
        let gateway = &mut self.gateways[number];
        if gateway.queue.waiting() == 0 {
            return;
        }
        let room: Room = gateway.fleet.room(now, SERVICE);
        let verdicts = gateway.queue.poll(now, room, || random.random());
        for (ticket, verdict) in verdicts {
            let id = self.gateways[number].waiting.remove(&ticket);
            let id = id.expect("the request waits");
            match verdict {
                Verdict::Begin => self.begin(id, ticket),
                Verdict::Refuse(retry_after) => self.refuse(id, Some(retry_after)),
            }
        }
        let gateway = &mut self.gateways[number];
        if gateway.queue.waiting() > 0 && !gateway.is_polled {
            gateway.is_polled = true;
            let at = now.after(POLL_INTERVAL);
            self.plan(at, Event::Poll { gateway: number });
        }
    }
}
