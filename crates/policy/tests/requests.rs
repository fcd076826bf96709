//! Requests under injected faults: what runs and how often, and what responses callers get.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::fault::Fault;
use common::matrix;
use common::world::{DEADLINE, Delivery, Node, World};
use proptest::prelude::*;
use tamaracksail_model::id::Fingerprint;
use tamaracksail_model::outcome::{Class, Outcome};
use tamaracksail_policy::agent::Event;
use tamaracksail_policy::entry::FinalResponse;

/// The kinds of requests that the fault matrix covers.
#[derive(Clone, Copy, Debug)]
enum Flow {
    Idempotent,
    Streamed,
    Once,
}

impl Flow {
    const ALL: [Self; 3] = [Self::Idempotent, Self::Streamed, Self::Once];

    fn run(self, schedule: BTreeMap<usize, Fault>) -> World {
        let serves = if matches!(self, Self::Once) {
            "register"
        } else {
            "engines"
        };
        let mut world = World::new(serves, schedule);
        let once = matches!(self, Self::Once);
        let arrival = world.new_arrival(7, once, matches!(self, Self::Streamed));
        world.send_request(0, arrival);
        world.run_for(DEADLINE + Duration::from_secs(10));
        world
    }
}

/// Returns the violated guarantees, or else how the first call ended.
fn describe(world: &World) -> String {
    let violations = world.observer.violations();
    if !violations.is_empty() {
        return violations.join(", ");
    }
    let first = world
        .observer
        .calls
        .values()
        .next()
        .expect("there was a call");
    match first.responses.first() {
        Some(response) if response.outcome == Outcome::Done => "held".to_owned(),
        Some(response) => response.outcome.to_string(),
        // A caller gets no response only if its own entry was killed.
        None => "connection lost".to_owned(),
    }
}

/// Injects every fault at the first occurrence of every step of a flow.
fn fault_matrix(flow: Flow) -> String {
    let trace = flow.run(BTreeMap::new()).trace;
    matrix::table(&trace, &Fault::ALL, |schedule| {
        describe(&flow.run(schedule))
    })
}

#[test]
fn each_fault_at_each_step_of_an_idempotent_request() {
    insta::assert_snapshot!(fault_matrix(Flow::Idempotent));
}

#[test]
fn each_fault_at_each_step_of_a_streamed_request() {
    insta::assert_snapshot!(fault_matrix(Flow::Streamed));
}

#[test]
fn each_fault_at_each_step_of_a_request_that_may_not_be_repeated() {
    insta::assert_snapshot!(fault_matrix(Flow::Once));
}

/// Guards against a second run of a repeated request: the entry overwrote its own record of the
/// first claim without reading it. Found by
/// `requests_that_may_not_be_repeated_run_at_most_once`.
#[test]
fn a_repeat_at_the_same_entry_gets_the_saved_response() {
    let mut world = Flow::Once.run(BTreeMap::new());
    let arrival = world.new_arrival(7, true, false);
    world.send_request(0, arrival);
    world.run_for(DEADLINE);
    assert_eq!(world.observer.violations(), Vec::<String>::new());
    let outcomes: Vec<_> = world
        .observer
        .calls
        .values()
        .map(|call| {
            call.responses
                .iter()
                .map(|response| (response.outcome, response.attempts))
        })
        .map(Iterator::collect::<Vec<_>>)
        .collect();
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against a stale cache: an entry that had once read a claim as running reported it as
/// running from then on. Found by `a_filing_repeated_while_its_entry_is_frozen_runs_once` on real
/// processes.
#[test]
fn a_repeat_at_the_other_entry_gets_the_saved_response_once_the_first_run_has_ended() {
    let mut world = World::new("register", BTreeMap::new());
    let mut outcomes = Vec::new();
    let first = world.new_arrival(7, true, false);
    world.send_request(0, first);
    while let Some(delivery) = world.queue.pop_front() {
        world.deliver(delivery);
    }
    for pause in [Duration::ZERO, DEADLINE / 2] {
        world.run_for(pause);
        let repeat = world.new_arrival(7, true, false);
        let request = repeat.request;
        world.send_request(1, repeat);
        while let Some(delivery) = world.queue.pop_front() {
            world.deliver(delivery);
        }
        let responses = &world.observer.calls[&request].responses;
        outcomes.push(
            responses
                .iter()
                .map(|response| response.outcome)
                .collect::<Vec<_>>(),
        );
    }
    assert_eq!(world.observer.violations(), Vec::<String>::new());
    insta::assert_debug_snapshot!(outcomes);
}

/// Injects every ordered pair of faults, the second one at the step after the first. The pairs
/// include each fault with itself.
#[test]
fn each_pair_of_faults_at_neighbouring_steps() {
    for flow in Flow::ALL {
        let steps = flow.run(BTreeMap::new()).trace.len();
        let violations = |schedule| flow.run(schedule).observer.violations();
        matrix::check_pairs(steps, &Fault::ALL, violations);
    }
}

/// However it is announced that a host is leaving, and even if the platform is down, no run starts
/// there after a few seconds, and the runs in progress complete.
#[test]
fn a_leaving_server_starts_no_new_runs_and_completes_those_in_progress() {
    const DRAIN_TIME: Duration = Duration::from_secs(3);
    for announce in ["agent drained", "agent stopped", "host list"] {
        let mut world = World::new("engines", BTreeMap::new());
        world.platform.is_down = true;
        for number in 0..6 {
            let arrival = world.new_arrival(number, false, true);
            world.send_request(0, arrival);
        }
        while let Some(delivery) = world.queue.pop_front() {
            world.deliver(delivery);
        }
        match announce {
            "agent drained" => world.feed_agent(0, Event::Drain),
            "agent stopped" => world.feed_agent(0, Event::Stop),
            _ => world.list_as_leaving(0),
        }
        world.run_for(DRAIN_TIME);
        let before = world.observer.runs_at(0);
        for number in 10..30 {
            let arrival = world.new_arrival(number, false, false);
            world.send_request(usize::from(number % 2 == 0), arrival);
            world.run_for(Duration::from_millis(500));
        }
        world.run_for(DEADLINE);
        assert_eq!(world.observer.runs_at(0), before, "{announce}");
        assert_eq!(world.observer.violations(), Vec::<String>::new());
        let responses = world
            .observer
            .calls
            .values()
            .flat_map(|call| &call.responses);
        let incomplete: Vec<&FinalResponse> =
            responses.filter(|a| a.outcome != Outcome::Done).collect();
        assert_eq!(incomplete, Vec::<&FinalResponse>::new(), "{announce}");
        assert_eq!(
            world.observer.count_answered(),
            world.observer.calls.len(),
            "{announce}"
        );
    }
}

/// The request is sent repeatedly with new ids through both entries, while others are in flight.
#[test]
fn a_request_that_crashes_its_servers_is_stopped_and_others_are_served() {
    const MAX_CRASHES: u32 = 3;
    const POISON: u64 = 99;
    let mut world = World::new("engines", BTreeMap::new());
    world.poison = Some(Fingerprint(POISON));
    for round in 0..12 {
        let entry = usize::try_from(round % 2).expect("small");
        for number in [POISON, 100 + round, 200 + round] {
            let arrival = world.new_arrival(number, false, false);
            world.send_request(entry, arrival);
        }
        world.run_for(Duration::from_secs(2));
    }
    world.run_for(DEADLINE);
    assert!(world.crashes <= MAX_CRASHES, "{} crashes", world.crashes);
    assert_eq!(world.observer.violations(), Vec::<String>::new());
    let (poison, others): (Vec<_>, Vec<_>) = world
        .observer
        .calls
        .values()
        .partition(|call| call.fingerprint.0 == POISON);
    assert!(
        poison
            .iter()
            .all(|call| call.responses[0].outcome != Outcome::Done)
    );
    assert!(
        poison
            .iter()
            .filter(|call| call.responses[0].status == 422)
            .count()
            >= 8
    );
    assert!(
        others
            .iter()
            .all(|call| call.responses[0].outcome == Outcome::Done)
    );
}

/// Runs a random scenario: the choices decide which messages are delivered, lost, duplicated,
/// delayed and reordered, and which processes stop, freeze or restart.
fn run_scenario(serves: &'static str, choices: &[(u8, u16)]) -> World {
    let mut world = World::new(serves, BTreeMap::new());
    let once = serves == "register";
    for (kind, argument) in choices {
        let argument = usize::from(*argument);
        match kind % 16 {
            0..=5 => {
                if !world.queue.is_empty() {
                    let delivery = world
                        .queue
                        .remove(argument % world.queue.len())
                        .expect("in bounds");
                    world.deliver(delivery);
                }
            }
            6 | 7 => world.run_engines(),
            8 => world.advance(Duration::from_millis(
                50 + u64::try_from(argument).unwrap_or(0) % 2000,
            )),
            9 | 10 => {
                let streamed = !once && argument % 2 == 0;
                let arrival =
                    world.new_arrival(u64::try_from(argument % 3).unwrap_or(0), once, streamed);
                world.send_request(argument % 2, arrival);
            }
            11 => {
                if let Some(Delivery::Message {
                    from,
                    bytes,
                    is_copy,
                    ..
                }) = world.take_latest_message()
                {
                    world.lose(from, &bytes, is_copy, argument % 2 == 0);
                }
            }
            12 => {
                // A call that the process considers lost may still take effect.
                let call = world
                    .queue
                    .iter()
                    .position(|delivery| matches!(delivery, Delivery::Call { .. }));
                let call = call.and_then(|at| world.queue.get(at));
                if let Some(Delivery::Call {
                    from,
                    incarnation,
                    call,
                }) = call
                {
                    let lost = tamaracksail_model::store::Reply {
                        call_id: call.call_id,
                        result: tamaracksail_model::store::CallResult::Lost,
                    };
                    let delivery = Delivery::Reply {
                        to: *from,
                        incarnation: *incarnation,
                        reply: lost,
                    };
                    world.queue.push_back(delivery);
                }
            }
            _ => {
                let fault = Fault::ALL[argument % Fault::ALL.len()];
                let node = if argument % 2 == 0 {
                    Node::Entry(argument % 2)
                } else {
                    Node::Agent(argument % 3)
                };
                world.inject(fault, node);
            }
        }
    }
    world.run_for(DEADLINE + Duration::from_secs(30));
    world
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn repeatable_requests_violate_no_guarantee(
        choices in prop::collection::vec((any::<u8>(), any::<u16>()), 20..200)
    ) {
        let world = run_scenario("engines", &choices);
        prop_assert_eq!(world.observer.violations(), Vec::<String>::new());
    }

    #[test]
    fn requests_that_may_not_be_repeated_run_at_most_once(
        choices in prop::collection::vec((any::<u8>(), any::<u16>()), 20..200)
    ) {
        let world = run_scenario("register", &choices);
        prop_assert_eq!(world.observer.violations(), Vec::<String>::new());
    }
}

#[test]
fn a_sample_is_generated_after_servers_crashed_under_it() {
    let mut world = World::new("engines", BTreeMap::new());
    let send = |world: &mut World| {
        let mut arrival = world.new_arrival(Fingerprint::OWED.0, false, false);
        arrival.class = Class::Training;
        let request = arrival.request;
        world.send_request(0, arrival);
        world.run_for(Duration::from_secs(2));
        request
    };
    world.poison = Some(Fingerprint::OWED);
    for _ in 0..6 {
        send(&mut world);
    }
    assert!(world.crashes >= 3, "{} crashes", world.crashes);
    world.poison = None;
    world.run_for(DEADLINE);
    let request = send(&mut world);
    world.run_for(DEADLINE);
    let responses = &world.observer.calls[&request].responses;
    assert_eq!(responses[0].outcome, Outcome::Done);
}
