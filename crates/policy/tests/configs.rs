//! Configuration under failure: what is accepted is in force everywhere and never reverts.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::matrix;
use common::spread::{FAULT_TIME, Fault, PROCESSES, SPREAD, Spread};
use proptest::prelude::*;
use tamaracksail_policy::version::publish::Error;

/// A change of configuration, with faults at given steps. Everything must be in force within
/// the target once the faults are over.
fn run(schedule: BTreeMap<usize, Fault>) -> Spread {
    let mut spread = Spread::new(schedule);
    spread.operate("contested", "mine");
    spread.settle(Duration::from_secs(2));
    let rest = spread.calm_since.since(spread.now);
    spread.settle(rest + SPREAD);
    spread.check();
    spread
}

fn cell(spread: &Spread) -> String {
    if !spread.violations.is_empty() {
        return spread.violations.join(", ");
    }
    match spread.operators[1].result.as_ref().expect("checked") {
        Ok(_) => "held".to_owned(),
        Err(Error::Refused(_)) => "conflict".to_owned(),
        Err(Error::Unknown(_)) => "unknown".to_owned(),
        Err(_) => "not published".to_owned(),
    }
}

/// Every fault at the first occurrence of every step.
#[test]
fn each_fault_at_each_step_of_a_change() {
    let trace = run(BTreeMap::new()).trace;
    let table = matrix::table(&trace, &Fault::ALL, |schedule| cell(&run(schedule)));
    insta::assert_snapshot!(table);
}

/// Every ordered pair of faults at neighbouring steps, over the steps of the operator and those
/// in which the first processes hear of the change.
#[test]
fn each_pair_of_faults_at_neighbouring_steps() {
    const STEPS: usize = 10;
    matrix::check_pairs(STEPS, &Fault::ALL, |schedule| run(schedule).violations);
}

fn play(choices: &[(u8, u16)]) -> Spread {
    let mut spread = Spread::new(BTreeMap::new());
    for (kind, place) in choices {
        let place = usize::from(*place);
        match kind % 12 {
            0..=5 => {
                if !spread.queue.is_empty() {
                    let item = spread.queue.remove(place % spread.queue.len());
                    spread.deliver(item.expect("in bounds"));
                }
            }
            6 | 7 => {
                let millis = 50 + u64::try_from(place).unwrap_or(0) % 3000;
                spread.pass(Duration::from_millis(millis));
            }
            8 => {
                let text = format!("text {}", spread.operators.len());
                let name = format!("object-{}", place % 2);
                spread.operate(&name, &text);
            }
            _ => spread.inject(Fault::ALL[place % Fault::ALL.len()], place % PROCESSES),
        }
    }
    spread.settle(FAULT_TIME + SPREAD);
    spread.check();
    spread
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn accepted_changes_are_in_force_everywhere_and_never_revert(
        choices in prop::collection::vec((any::<u8>(), any::<u16>()), 20..150)
    ) {
        let spread = play(&choices);
        prop_assert_eq!(spread.violations, Vec::<String>::new());
    }
}
