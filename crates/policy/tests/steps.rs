//! Training steps under faults: the trainer receives each sample once, and none that is stale.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::matrix;
use common::steps::{Delivery, Fault, HOSTS, StepHarness};
use proptest::prelude::*;
use tamaracksail_model::store::{CallResult, Reply};
use tamaracksail_policy::version::owner::Request;

/// Long enough for every fault to end, a lease to expire and the step to complete.
const RUN_LIMIT: Duration = Duration::from_mins(5);

fn run(schedule: BTreeMap<usize, Fault>) -> StepHarness {
    let mut harness = StepHarness::new(schedule);
    harness.run_until_complete(RUN_LIMIT);
    harness.check();
    harness
}

/// Injects every fault at the first occurrence of every step of the trace.
#[test]
fn each_fault_at_each_step_of_a_training_step() {
    let trace = run(BTreeMap::new()).trace;
    let cell = |schedule| matrix::held(&run(schedule).violations);
    let table = matrix::table(&trace, &Fault::ALL, cell);
    insta::assert_snapshot!(table);
}

/// Injects every ordered pair of faults, the second at the step after the first.
#[test]
fn each_pair_of_faults_at_neighbouring_steps() {
    let count = run(BTreeMap::new()).trace.len();
    matrix::check_pairs(count, &Fault::ALL, |schedule| run(schedule).violations);
}

/// A draft's version may be scored when the draft is sent, but no longer when its score arrives.
#[test]
fn reviewers_score_only_allowed_versions_also_when_the_rule_changes() {
    let mut harness = StepHarness::new(BTreeMap::new());
    harness.send_trainer_request(0);
    harness.run_for(Duration::from_millis(900));
    let drafts = Request::Drafts { count: 4 };
    harness.send_request(0, drafts.clone());
    harness.run_for(Duration::from_millis(900));
    let payloads: Vec<_> = harness
        .trainer
        .drafts
        .iter()
        .map(|draft| draft.payload)
        .collect();
    assert!(payloads.len() >= 2);
    let score = |payload| Request::Score {
        payload,
        score: 0.5,
    };
    harness.send_request(0, score(payloads[0]));
    harness.run_for(Duration::from_millis(900));
    harness.allow_only_next_version();
    harness.send_request(0, score(payloads[1]));
    harness.run_for(Duration::from_secs(2));
    harness.trainer.drafts.clear();
    harness.send_request(0, drafts);
    harness.run_for(Duration::from_secs(2));
    assert_eq!(
        (harness.trainer.scored, harness.trainer.drafts.len()),
        (1, 0)
    );
    insta::assert_debug_snapshot!(harness.trainer.refused);
}

fn run_choices(choices: &[(u8, u16)]) -> StepHarness {
    let mut harness = StepHarness::new(BTreeMap::new());
    for (kind, position) in choices {
        let position = usize::from(*position);
        match kind % 16 {
            0..=6 => {
                if !harness.queue.is_empty() {
                    let delivery = harness
                        .queue
                        .remove(position % harness.queue.len())
                        .expect("in bounds");
                    harness.deliver(delivery);
                }
            }
            7 | 8 => harness.send_trainer_request(position % HOSTS),
            9 | 10 => {
                let millis = 50 + u64::try_from(position).unwrap_or(0) % 4000;
                harness.advance(Duration::from_millis(millis));
            }
            11 => harness.send_config(),
            12 => {
                // A call that the owner considers lost may still take effect.
                let call = harness
                    .queue
                    .iter()
                    .find(|delivery| matches!(delivery, Delivery::Call { .. }));
                if let Some(Delivery::Call {
                    host,
                    incarnation,
                    call,
                }) = call
                {
                    let reply = Reply {
                        call_id: call.call_id,
                        result: CallResult::Lost,
                    };
                    let delivery = Delivery::Reply {
                        host: *host,
                        incarnation: *incarnation,
                        reply,
                    };
                    harness.queue.push_back(delivery);
                }
            }
            _ => harness.inject(Fault::ALL[position % Fault::ALL.len()], position % HOSTS),
        }
    }
    harness.run_until_complete(RUN_LIMIT);
    harness.check();
    harness
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_sample_reaches_the_trainer_once_and_fresh(
        choices in prop::collection::vec((any::<u8>(), any::<u16>()), 20..200)
    ) {
        let harness = run_choices(&choices);
        prop_assert_eq!(harness.violations, Vec::<String>::new());
    }
}
