//! Which reward calls are sent when and where, beside requests of clients. All times are virtual.

#[path = "common/scoring.rs"]
mod scoring;

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use scoring::{CALL_WORK, MAX_FAILURES, OBJECTIVE, SLOTS, Simulation, registration};
use tamaracksail_model::backend::State;
use tamaracksail_policy::fleet::ServerKey;
use tamaracksail_policy::reward::{CallKey, Outcome, Rank, Verdict};

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
