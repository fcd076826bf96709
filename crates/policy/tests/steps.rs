//! A training step under failure: each sample once, none too old.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::matrix;
use common::steps::{Fault, HOSTS, Item, Steps};
use proptest::prelude::*;
use tamaracksail_model::store::{Answer, Reply};
use tamaracksail_policy::version::owner::Request;

/// Long enough for every fault to pass, a lease to lapse and the step to be done.
const PATIENCE: Duration = Duration::from_mins(5);

fn run(schedule: BTreeMap<usize, Fault>) -> Steps {
    let mut steps = Steps::new(schedule);
    steps.settle(PATIENCE);
    steps.check();
    steps
}

/// Every fault at the first occurrence of every step.
#[test]
fn each_fault_at_each_step_of_a_training_step() {
    let trace = run(BTreeMap::new()).trace;
    let cell = |schedule| matrix::held(&run(schedule).violations);
    let table = matrix::table(&trace, &Fault::ALL, cell);
    insta::assert_snapshot!(table);
}

/// Every ordered pair of faults, the second at the step that follows the first.
#[test]
fn each_pair_of_faults_at_neighbouring_steps() {
    let count = run(BTreeMap::new()).trace.len();
    matrix::check_pairs(count, &Fault::ALL, |schedule| run(schedule).violations);
}

/// A draft that may be scored when it is handed out, but not any more when its score arrives.
#[test]
fn reviewers_score_only_allowed_versions_also_when_the_rule_changes() {
    let mut steps = Steps::new(BTreeMap::new());
    steps.send_trainer_request(0);
    steps.serve(Duration::from_millis(900));
    let drafts = Request::Drafts { count: 4 };
    steps.send_request(0, drafts.clone());
    steps.serve(Duration::from_millis(900));
    let payloads: Vec<_> = steps
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
    steps.send_request(0, score(payloads[0]));
    steps.serve(Duration::from_millis(900));
    steps.forbid_version();
    steps.send_request(0, score(payloads[1]));
    steps.serve(Duration::from_secs(2));
    steps.trainer.drafts.clear();
    steps.send_request(0, drafts);
    steps.serve(Duration::from_secs(2));
    assert_eq!((steps.trainer.scored, steps.trainer.drafts.len()), (1, 0));
    insta::assert_debug_snapshot!(steps.trainer.refused);
}

fn play(choices: &[(u8, u16)]) -> Steps {
    let mut steps = Steps::new(BTreeMap::new());
    for (kind, place) in choices {
        let place = usize::from(*place);
        match kind % 16 {
            0..=6 => {
                if !steps.queue.is_empty() {
                    let item = steps
                        .queue
                        .remove(place % steps.queue.len())
                        .expect("in bounds");
                    steps.deliver(item);
                }
            }
            7 | 8 => steps.send_trainer_request(place % HOSTS),
            9 | 10 => {
                let millis = 50 + u64::try_from(place).unwrap_or(0) % 4000;
                steps.pass(Duration::from_millis(millis));
            }
            11 => steps.inform(),
            12 => {
                // A call that the owner has given up on may still take effect.
                let call = steps
                    .queue
                    .iter()
                    .find(|item| matches!(item, Item::Call { .. }));
                if let Some(Item::Call { host, life, call }) = call {
                    let reply = Reply {
                        ticket: call.ticket,
                        answer: Answer::Lost,
                    };
                    let item = Item::Reply {
                        host: *host,
                        life: *life,
                        reply,
                    };
                    steps.queue.push_back(item);
                }
            }
            _ => steps.inject(Fault::ALL[place % Fault::ALL.len()], place % HOSTS),
        }
    }
    steps.settle(PATIENCE);
    steps.check();
    steps
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
        let steps = play(&choices);
        prop_assert_eq!(steps.violations, Vec::<String>::new());
    }
}
