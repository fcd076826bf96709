//! Rollouts of weights and changes of their owner under faults.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::fleet::{AGENTS, Fault, OWNERS, RolloutHarness};
use common::matrix;
use proptest::prelude::*;

/// Long enough for every fault to end, a lease to expire and lost servers to be rechecked.
const RUN_LIMIT: Duration = Duration::from_mins(2);

fn run(schedule: BTreeMap<usize, Fault>) -> RolloutHarness {
    let mut harness = RolloutHarness::new(schedule);
    harness.run_for(RUN_LIMIT);
    harness.check();
    harness
}

/// Injects every fault at the first occurrence of every step of the trace.
#[test]
fn each_fault_at_each_step_of_a_rollout() {
    let trace = run(BTreeMap::new()).trace;
    let cell = |schedule| matrix::held(&run(schedule).violations);
    let table = matrix::table(&trace, &Fault::ALL, cell);
    insta::assert_snapshot!(table);
}

/// Injects every ordered pair of faults, the second at the step after the first, over the steps
/// until all engines have the target version.
#[test]
fn each_pair_of_faults_at_neighbouring_steps() {
    const STEPS: usize = 24;
    matrix::check_pairs(STEPS, &Fault::ALL, |schedule| run(schedule).violations);
}

/// A load command arrives late, after another owner has taken over the rollout and rolls out a
/// newer version.
#[test]
fn an_old_order_is_refused_whenever_it_arrives() {
    const STEPS: usize = 24;
    for position in 0..STEPS {
        for owner in [Fault::OwnerKilled, Fault::OwnerFrozen] {
            let schedule = BTreeMap::from([
                (position, Fault::MessageLate),
                (position + 1, owner),
                (position + 2, Fault::NewVersion),
            ]);
            let harness = run(schedule);
            assert!(
                harness.violations.is_empty(),
                "step {position}, {owner:?}: {:?}",
                harness.violations
            );
        }
    }
}

fn run_choices(choices: &[(u8, u16)]) -> RolloutHarness {
    let mut harness = RolloutHarness::new(BTreeMap::new());
    for (kind, position) in choices {
        let position = usize::from(*position);
        match kind % 12 {
            0..=6 => {
                if !harness.queue.is_empty() {
                    let delivery = harness.queue.remove(position % harness.queue.len());
                    harness.deliver(delivery.expect("in bounds"));
                }
            }
            7 | 8 => {
                let millis = 50 + u64::try_from(position).unwrap_or(0) % 4000;
                harness.advance(Duration::from_millis(millis));
            }
            _ => {
                let fault = Fault::ALL[position % Fault::ALL.len()];
                harness.inject(fault, position % OWNERS, position % AGENTS);
            }
        }
    }
    harness.run_for(RUN_LIMIT);
    harness.check();
    harness
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
        let harness = run_choices(&choices);
        prop_assert_eq!(harness.violations, Vec::<String>::new());
    }
}
