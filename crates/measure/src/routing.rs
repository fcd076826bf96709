//! Routing: compares five rules for choosing a server under the same load, also with late load
//! reports, slow servers and a lost failure domain.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tamaracksail_model::host::{Host, Phase, Role};
use tamaracksail_model::id;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::connection::choice::{Candidate, Chooser, Rule};
use tamaracksail_policy::connection::view::ServerView;
use tamaracksail_wire::Load;

use crate::table::{self, millis, percent, quantile, to_f64};

const SERVERS: usize = 24;

/// The number of requests that a server runs at a time.
const SLOTS_PER_SERVER: u32 = 4;

/// The mean service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(200);

const REQUESTS: usize = 40_000;

/// The offered load as a share of the capacity of all servers.
const UTILISATION: f64 = 0.75;

/// The interval between load reports of a server.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Scenario {
    Baseline,
    SlowServers,
    LateReports,
    LostDomain,
}

/// A simulated server.
struct Server {
    /// When each slot becomes free.
    slots: Vec<Instant>,
    /// The factor by which service times are longer than usual.
    slowdown: f64,
    is_lost: bool,
}

impl Server {
    /// Runs a request on the slot that is free first and returns when it is done.
    fn serve(&mut self, now: Instant, time: Duration) -> Instant {
        let slot = self.slots.iter_mut().min().expect("a server has slots");
        let done = (*slot).max(now).after(time.mul_f64(self.slowdown));
        *slot = done;
        done
    }

    /// Returns the number of running and queued requests that the server reports.
    fn load(&self, now: Instant) -> u32 {
        // A slot that is busy for longer than one service time counts as that many requests.
        let remaining = self
            .slots
            .iter()
            .map(|until| until.since(now).as_secs_f64());
        let queued: f64 = remaining
            .map(|time| (time / SERVICE_TIME.as_secs_f64()).min(8.0))
            .sum();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small"
        )]
        let load = queued.ceil() as u32;
        load
    }
}

fn view(index: usize) -> ServerView {
    let host = Host {
        name: id::Host(format!("server-{index}")),
        role: Role::Agent,
        address: ([127, 0, 0, 1], 1).into(),
        domain: id::Domain(format!("d{}", index % 3)),
        serves: None,
        phase: Phase::Live,
    };
    let mut view = ServerView::new(&host, "p".into(), SLOTS_PER_SERVER);
    view.incarnation = Some(id::Incarnation(1));
    view
}

struct Outcome {
    latencies: Vec<Duration>,
    /// The number of requests that reached no server.
    failed: usize,
    /// The number of requests that were sent to another failure domain.
    remote: usize,
}

fn run(rule: Rule, scenario: Scenario, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut chooser = Chooser::new(rule, Duration::from_millis(20));
    let mut servers: Vec<Server> = (0..SERVERS)
        .map(|index| Server {
            slots: vec![Instant::default(); SLOTS_PER_SERVER as usize],
            slowdown: if scenario == Scenario::SlowServers && index % 10 == 0 {
                5.0
            } else {
                1.0
            },
            is_lost: false,
        })
        .collect();
    let mut views: Vec<ServerView> = (0..SERVERS).map(view).collect();
    let mut pending: VecDeque<(Instant, usize, Load)> = VecDeque::new();
    let mut running: Vec<(Instant, usize, id::Attempt)> = Vec::new();
    let report_delay = if scenario == Scenario::LateReports {
        Duration::from_secs(1)
    } else {
        Duration::ZERO
    };
    let rate =
        UTILISATION * to_f64(SERVERS) * f64::from(SLOTS_PER_SERVER) / SERVICE_TIME.as_secs_f64();
    let mut now = Instant::from_millis(1_000_000);
    let mut report_at = now;
    let mut outcome = Outcome {
        latencies: Vec::new(),
        failed: 0,
        remote: 0,
    };
    for number in 0..REQUESTS {
        let gap: f64 = random.random_range(1e-9..1.0);
        now = now.after(Duration::from_secs_f64(-gap.ln() / rate));
        if scenario == Scenario::LostDomain && number == REQUESTS / 2 {
            for server in servers.iter_mut().step_by(3) {
                server.is_lost = true;
            }
        }
        running.retain(|(done, server, attempt)| {
            if *done <= now {
                views[*server].record_end(*attempt);
            }
            *done > now
        });
        if now >= report_at {
            report_at = now.after(REPORT_PERIOD);
            for (index, server) in servers.iter().enumerate().filter(|(_, s)| !s.is_lost) {
                let load = Load {
                    running: server.load(now),
                    queued: 0,
                    training: 0,
                    limit: SLOTS_PER_SERVER,
                    service: SERVICE_TIME.mul_f64(server.slowdown),
                    valid: Duration::from_secs(3),
                    leaving: false,
                    up: true,
                };
                pending.push_back((now.after(report_delay), index, load));
            }
        }
        while pending.front().is_some_and(|(at, _, _)| *at <= now) {
            if let Some((at, index, load)) = pending.pop_front() {
                views[index].record_load(at, load);
            }
        }
        let usable: Vec<usize> = (0..SERVERS)
            .filter(|index| views[*index].is_eligible(now))
            .collect();
        let candidates: Vec<Candidate> = usable
            .iter()
            .map(|index| Candidate {
                delay: views[*index].expected_delay(now),
                load: views[*index].estimated_load(now),
                slots: f64::from(SLOTS_PER_SERVER),
                is_remote: index % 3 != 0,
                affinity: 0,
            })
            .collect();
        let Some(chosen) = chooser.choose(&mut random, &candidates) else {
            outcome.failed += 1;
            continue;
        };
        let index = usable[chosen];
        outcome.remote += usize::from(!index.is_multiple_of(3));
        if servers[index].is_lost {
            // The connection is refused at once. The circuit breaker opens after a few failures.
            views[index].link_breaker.record_failure(now);
            outcome.failed += 1;
            continue;
        }
        let draw: f64 = random.random_range(1e-9..1.0);
        let done = servers[index].serve(now, SERVICE_TIME.mul_f64(-draw.ln()));
        let attempt = id::Attempt {
            entry: id::Incarnation(1),
            number: number as u64,
        };
        views[index].record_dispatch(attempt);
        running.push((done, index, attempt));
        outcome.latencies.push(done.since(now));
    }
    outcome
}

/// Prints the table.
pub fn print(seed: u64) {
    let columns = [
        "scene",
        "rule",
        "median",
        "99th percentile",
        "refused by a dead link",
        "remote",
    ];
    table::print_header(
        "Routing: 24 servers of 4 lanes at 75% load, reports every 500 ms",
        &columns,
    );
    let scenarios = [
        (Scenario::Baseline, "calm"),
        (Scenario::SlowServers, "10% of servers 5 times slower"),
        (Scenario::LateReports, "reports 1 s late"),
        (Scenario::LostDomain, "one domain of three lost half-way"),
    ];
    let rules = [
        Rule::Random,
        Rule::RoundRobin,
        Rule::TwoRandom,
        Rule::LoadSteps,
        Rule::LeastDelay,
    ];
    for (scenario, name) in scenarios {
        for rule in rules {
            let mut outcome = run(rule, scenario, seed);
            table::print_row(&[
                name.to_owned(),
                format!("{rule:?}"),
                millis(quantile(&mut outcome.latencies, 0.5)),
                millis(quantile(&mut outcome.latencies, 0.99)),
                outcome.failed.to_string(),
                percent(to_f64(outcome.remote), to_f64(REQUESTS)),
            ]);
        }
    }
}
