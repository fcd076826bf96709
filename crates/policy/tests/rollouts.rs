//! The rollout of weights and the change of its owner under failure.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::fleet::{AGENTS, Fault, Fleet, OWNERS};
use common::matrix;
use proptest::prelude::*;

/// Long enough for every fault to pass, a lease to lapse and lost servers to be looked at again.
const PATIENCE: Duration = Duration::from_mins(2);

fn run(schedule: BTreeMap<usize, Fault>) -> Fleet {
    let mut fleet = Fleet::new(schedule);
    fleet.settle(PATIENCE);
    fleet.check();
    fleet
}

/// Every fault at the first occurrence of every step.
#[test]
fn each_fault_at_each_step_of_a_rollout() {
    let trace = run(BTreeMap::new()).trace;
    let cell = |schedule| matrix::held(&run(schedule).violations);
    let table = matrix::table(&trace, &Fault::ALL, cell);
    insta::assert_snapshot!(table);
}

/// Every ordered pair of faults, the second at the step that follows the first, over the steps
/// until the fleet has the target.
#[test]
fn each_pair_of_faults_at_neighbouring_steps() {
    const STEPS: usize = 24;
    matrix::check_pairs(STEPS, &Fault::ALL, |schedule| run(schedule).violations);
}

/// An order that is late, while another owner takes the rollout and rolls out a newer version.
#[test]
fn an_old_order_is_refused_whenever_it_arrives() {
    const STEPS: usize = 24;
    for place in 0..STEPS {
        for owner in [Fault::OwnerKilled, Fault::OwnerFrozen] {
            let schedule = BTreeMap::from([
                (place, Fault::MessageLate),
                (place + 1, owner),
                (place + 2, Fault::NewVersion),
            ]);
            let fleet = run(schedule);
            assert!(
                fleet.violations.is_empty(),
                "step {place}, {owner:?}: {:?}",
                fleet.violations
            );
        }
    }
}

fn play(choices: &[(u8, u16)]) -> Fleet {
    let mut fleet = Fleet::new(BTreeMap::new());
    for (kind, place) in choices {
        let place = usize::from(*place);
        match kind % 12 {
            0..=6 => {
                if !fleet.queue.is_empty() {
                    let item = fleet.queue.remove(place % fleet.queue.len());
                    fleet.deliver(item.expect("in bounds"));
                }
            }
            7 | 8 => {
                let millis = 50 + u64::try_from(place).unwrap_or(0) % 4000;
                fleet.pass(Duration::from_millis(millis));
            }
            _ => {
                let fault = Fault::ALL[place % Fault::ALL.len()];
                fleet.inject(fault, place % OWNERS, place % AGENTS);
            }
        }
    }
    fleet.settle(PATIENCE);
    fleet.check();
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_newest_owner_wins_and_every_server_gets_the_target(
        choices in prop::collection::vec((any::<u8>(), any::<u16>()), 20..150)
    ) {
        let fleet = play(&choices);
        prop_assert_eq!(fleet.violations, Vec::<String>::new());
    }
}
