//! Requests under failure: what runs, how often, and what callers are told.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::fault::Fault;
use common::matrix;
use common::world::{DEADLINE, Item, Node, World};
use proptest::prelude::*;
use tamaracksail_model::id::Fingerprint;
use tamaracksail_model::outcome::Outcome;
use tamaracksail_policy::agent::Event;
use tamaracksail_policy::entry::FinalResponse;

/// The flows of requests.
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
        let arrival = world.arrival(7, once, matches!(self, Self::Streamed));
        world.call(0, arrival);
        world.settle(DEADLINE + Duration::from_secs(10));
        world
    }
}

/// How the first call ended, and every broken promise.
fn cell(world: &World) -> String {
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
    match first.answers.first() {
        Some(answer) if answer.outcome == Outcome::Done => "held".to_owned(),
        Some(answer) => answer.outcome.to_string(),
        // Only the death of its own entry leaves a caller without an answer.
        None => "connection lost".to_owned(),
    }
}

/// Every fault at the first occurrence of every step of a flow.
fn matrix(flow: Flow) -> String {
    let trace = flow.run(BTreeMap::new()).trace;
    matrix::table(&trace, &Fault::ALL, |schedule| cell(&flow.run(schedule)))
}

#[test]
fn each_fault_at_each_step_of_an_idempotent_request() {
    insta::assert_snapshot!(matrix(Flow::Idempotent));
}

#[test]
fn each_fault_at_each_step_of_a_streamed_request() {
    insta::assert_snapshot!(matrix(Flow::Streamed));
}

#[test]
fn each_fault_at_each_step_of_a_request_that_may_not_be_repeated() {
    insta::assert_snapshot!(matrix(Flow::Once));
}

/// Found by `requests_that_may_not_be_repeated_run_at_most_once`: the entry wrote a second claim
/// over its own record without reading it.
#[test]
fn a_repeat_at_the_same_entry_gets_the_kept_answer() {
    let mut world = Flow::Once.run(BTreeMap::new());
    let arrival = world.arrival(7, true, false);
    world.call(0, arrival);
    world.settle(DEADLINE);
    assert_eq!(world.observer.violations(), Vec::<String>::new());
    let outcomes: Vec<_> = world
        .observer
        .calls
        .values()
        .map(|seen| {
            seen.answers
                .iter()
                .map(|answer| (answer.outcome, answer.attempts))
        })
        .map(Iterator::collect::<Vec<_>>)
        .collect();
    insta::assert_debug_snapshot!(outcomes);
}

/// Found by `a_filing_repeated_while_its_entry_is_frozen_runs_once` on real processes: an entry
/// that had once read a claim as running said so for ever.
#[test]
fn a_repeat_at_the_other_entry_gets_the_kept_answer_once_there_is_one() {
    let mut world = World::new("register", BTreeMap::new());
    let mut outcomes = Vec::new();
    let first = world.arrival(7, true, false);
    world.call(0, first);
    while let Some(item) = world.queue.pop_front() {
        world.deliver(item);
    }
    for pause in [Duration::ZERO, DEADLINE / 2] {
        world.settle(pause);
        let repeat = world.arrival(7, true, false);
        let request = repeat.request;
        world.call(1, repeat);
        while let Some(item) = world.queue.pop_front() {
            world.deliver(item);
        }
        let answers = &world.observer.calls[&request].answers;
        outcomes.push(
            answers
                .iter()
                .map(|answer| answer.outcome)
                .collect::<Vec<_>>(),
        );
    }
    assert_eq!(world.observer.violations(), Vec::<String>::new());
    insta::assert_debug_snapshot!(outcomes);
}

/// Pairs: every ordered pair of faults, the second at the step that follows the first. The
/// pair of a fault with itself is "the same fault twice".
#[test]
fn each_pair_of_faults_at_neighbouring_steps() {
    for flow in Flow::ALL {
        let steps = flow.run(BTreeMap::new()).trace.len();
        let violations = |schedule| flow.run(schedule).observer.violations();
        matrix::check_pairs(steps, &Fault::ALL, violations);
    }
}

/// However a host's leaving is announced, and though the platform is down: nothing new starts
/// there after a few seconds, and what runs there ends whole.
#[test]
fn a_leaving_server_gets_no_new_work_and_cuts_none() {
    const A_FEW_SECONDS: Duration = Duration::from_secs(3);
    for announce in ["agent drained", "agent stopped", "host list"] {
        let mut world = World::new("engines", BTreeMap::new());
        world.platform.is_down = true;
        for number in 0..6 {
            let arrival = world.arrival(number, false, true);
            world.call(0, arrival);
        }
        while let Some(item) = world.queue.pop_front() {
            world.deliver(item);
        }
        match announce {
            "agent drained" => world.feed_agent(0, Event::Drain),
            "agent stopped" => world.feed_agent(0, Event::Stop),
            _ => world.list_as_leaving(0),
        }
        world.settle(A_FEW_SECONDS);
        let before = world.observer.runs_at(0);
        for number in 10..30 {
            let arrival = world.arrival(number, false, false);
            world.call(usize::from(number % 2 == 0), arrival);
            world.settle(Duration::from_millis(500));
        }
        world.settle(DEADLINE);
        assert_eq!(world.observer.runs_at(0), before, "{announce}");
        assert_eq!(world.observer.violations(), Vec::<String>::new());
        let answers = world.observer.calls.values().flat_map(|seen| &seen.answers);
        let cut: Vec<&FinalResponse> = answers.filter(|a| a.outcome != Outcome::Done).collect();
        assert_eq!(cut, Vec::<&FinalResponse>::new(), "{announce}");
        assert_eq!(
            world.observer.answered(),
            world.observer.calls.len(),
            "{announce}"
        );
    }
}

/// Sent again and again under new ids through both entries, with others in flight beside it.
#[test]
fn a_request_that_crashes_its_servers_is_stopped_and_others_are_served() {
    const MAX_CRASHES: u32 = 3;
    const POISON: u64 = 99;
    let mut world = World::new("engines", BTreeMap::new());
    world.poison = Some(Fingerprint(POISON));
    for round in 0..12 {
        let entry = usize::try_from(round % 2).expect("small");
        for number in [POISON, 100 + round, 200 + round] {
            let arrival = world.arrival(number, false, false);
            world.call(entry, arrival);
        }
        world.settle(Duration::from_secs(2));
    }
    world.settle(DEADLINE);
    assert!(world.crashes <= MAX_CRASHES, "{} crashes", world.crashes);
    assert_eq!(world.observer.violations(), Vec::<String>::new());
    let (poison, others): (Vec<_>, Vec<_>) = world
        .observer
        .calls
        .values()
        .partition(|seen| seen.fingerprint.0 == POISON);
    assert!(
        poison
            .iter()
            .all(|seen| seen.answers[0].outcome != Outcome::Done)
    );
    assert!(
        poison
            .iter()
            .filter(|seen| seen.answers[0].status == 422)
            .count()
            >= 8
    );
    assert!(
        others
            .iter()
            .all(|seen| seen.answers[0].outcome == Outcome::Done)
    );
}

/// Lets proptest's choices decide what is delivered, lost, doubled, delayed and reordered, and
/// who stops, freezes or restarts.
fn play(serves: &'static str, choices: &[(u8, u16)]) -> World {
    let mut world = World::new(serves, BTreeMap::new());
    let once = serves == "register";
    for (kind, place) in choices {
        let place = usize::from(*place);
        match kind % 16 {
            0..=5 => {
                if !world.queue.is_empty() {
                    let item = world
                        .queue
                        .remove(place % world.queue.len())
                        .expect("in bounds");
                    world.deliver(item);
                }
            }
            6 | 7 => world.run_engines(),
            8 => world.pass(Duration::from_millis(
                50 + u64::try_from(place).unwrap_or(0) % 2000,
            )),
            9 | 10 => {
                let streamed = !once && place % 2 == 0;
                let arrival = world.arrival(u64::try_from(place % 3).unwrap_or(0), once, streamed);
                world.call(place % 2, arrival);
            }
            11 => {
                if let Some(Item::Message {
                    from,
                    bytes,
                    is_copy,
                    ..
                }) = world.take_message()
                {
                    world.lose(from, &bytes, is_copy, place % 2 == 0);
                }
            }
            12 => {
                // A call that the process has given up on may still take effect.
                let call = world
                    .queue
                    .iter()
                    .position(|item| matches!(item, Item::Call { .. }));
                let call = call.and_then(|at| world.queue.get(at));
                if let Some(Item::Call { from, life, call }) = call {
                    let lost = tamaracksail_model::store::Reply {
                        ticket: call.ticket,
                        answer: tamaracksail_model::store::Answer::Lost,
                    };
                    let item = Item::Reply {
                        to: *from,
                        life: *life,
                        reply: lost,
                    };
                    world.queue.push_back(item);
                }
            }
            _ => {
                let fault = Fault::ALL[place % Fault::ALL.len()];
                let node = if place % 2 == 0 {
                    Node::Entry(place % 2)
                } else {
                    Node::Agent(place % 3)
                };
                world.inject(fault, node);
            }
        }
    }
    world.settle(DEADLINE + Duration::from_secs(30));
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
    fn repeatable_requests_keep_the_promises(
        choices in prop::collection::vec((any::<u8>(), any::<u16>()), 20..200)
    ) {
        let world = play("engines", &choices);
        prop_assert_eq!(world.observer.violations(), Vec::<String>::new());
    }

    #[test]
    fn requests_that_may_not_be_repeated_run_at_most_once(
        choices in prop::collection::vec((any::<u8>(), any::<u16>()), 20..200)
    ) {
        let world = play("register", &choices);
        prop_assert_eq!(world.observer.violations(), Vec::<String>::new());
    }
}
