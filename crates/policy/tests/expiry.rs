//! Registrations that disappear from the store, in outages and at other times.

use std::collections::BTreeMap;

use proptest::prelude::*;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::expiry::{Expiry, GRACE, Verdict};

fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

// Guards against: a server that has left is used for longer since the store was away before.
#[test]
fn a_server_that_leaves_after_an_outage_is_gone_at_the_end_of_the_grace_of_the_outage() {
    let mut expiry = Expiry::default();
    assert_eq!(expiry.record_removal(at(0), "a"), Verdict::Gone);
    expiry.record_failure();
    expiry.record_answer(at(1000));
    let end = at(1000).after(GRACE);
    assert_eq!(
        expiry.record_removal(at(3000), "b"),
        Verdict::Kept(Some(end))
    );
    assert_eq!(expiry.next_end(), Some(end));
    assert!(expiry.take_gone(at(3199)).is_empty());
    assert_eq!(expiry.take_gone(end), ["b".to_owned()].into());
    assert_eq!(expiry.record_removal(end, "c"), Verdict::Gone);
}

// Guards against: servers that could not renew their registrations in a long outage are removed as it ends.
#[test]
fn servers_that_expired_in_an_outage_of_any_length_count_until_they_had_time_to_register_again() {
    for outage in [100, 3000, 20_000, 600_000] {
        let mut expiry = Expiry::default();
        expiry.record_failure();
        assert_eq!(
            expiry.record_removal(at(outage - 50), "a"),
            Verdict::Kept(None)
        );
        assert!(expiry.take_gone(at(outage)).is_empty());
        expiry.record_answer(at(outage));
        let end = at(outage).after(GRACE);
        assert_eq!(
            expiry.record_removal(at(outage), "b"),
            Verdict::Kept(Some(end))
        );
        expiry.record_registration("b");
        assert_eq!(expiry.take_gone(end), ["a".to_owned()].into());
    }
}

#[derive(Clone, Debug)]
enum Input {
    Failure,
    Answer,
    Recovery,
    Removal(u8),
    Registration(u8),
}

fn input() -> impl Strategy<Value = Input> {
    prop_oneof![
        Just(Input::Failure),
        Just(Input::Answer),
        Just(Input::Recovery),
        (0..4_u8).prop_map(Input::Removal),
        (0..4_u8).prop_map(Input::Registration),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_205),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against: any order of failures and answers in which a server counts for longer than the grace
    // after the store was back, or in which one that is registered is taken for gone.
    #[test]
    fn a_kept_server_is_gone_by_the_end_of_the_grace_and_never_while_it_is_registered(
        inputs in prop::collection::vec((0..1500_u64, input()), 1..60),
    ) {
        let mut expiry = Expiry::default();
        let mut time = 0;
        let mut is_failing = false;
        let mut last_recovery = None;
        // The servers that are not registered and still count.
        let mut kept = BTreeMap::new();
        for (pause, input) in inputs {
            time += pause;
            let now = at(time);
            for gone in expiry.take_gone(now) {
                prop_assert!(kept.remove(&gone).is_some(), "{gone} is registered, or was gone");
            }
            let is_late = last_recovery.is_none_or(|recovery: Instant| now >= recovery.after(GRACE));
            if !is_failing && is_late {
                prop_assert!(kept.is_empty(), "{kept:?}");
            }
            match input {
                Input::Failure => {
                    expiry.record_failure();
                    is_failing = true;
                }
                Input::Answer => {
                    expiry.record_answer(now);
                    if std::mem::take(&mut is_failing) {
                        last_recovery = Some(now);
                    }
                }
                Input::Recovery => {
                    expiry.record_recovery(now);
                    if !is_failing {
                        last_recovery = Some(now);
                    }
                }
                Input::Registration(server) => {
                    expiry.record_registration(&server.to_string());
                    kept.remove(&server.to_string());
                }
                Input::Removal(server) => {
                    let verdict = expiry.record_removal(now, &server.to_string());
                    prop_assert_eq!(verdict == Verdict::Gone, !is_failing && is_late);
                    if verdict == Verdict::Gone {
                        kept.remove(&server.to_string());
                    } else {
                        kept.insert(server.to_string(), now);
                    }
                }
            }
        }
    }
}
