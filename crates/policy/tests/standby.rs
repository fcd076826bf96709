//! The search for another server of a stream whose servers are silent.

use std::time::Duration;

use proptest::prelude::*;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::request::standby::{IDLE_TIMEOUT, Standby};

fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

// Guards against: no further server is sought after one was found that is silent too.
#[test]
fn a_further_server_is_sought_after_each_silence_while_attempts_are_left() {
    let mut standby = Standby::new(at(0));
    assert_eq!(standby.next_search(2, false), Some(at(900)));
    assert_eq!(standby.next_search(0, false), None);
    assert_eq!(standby.next_search(2, true), None);
    standby.record_taken(at(950));
    assert_eq!(standby.next_search(1, false), Some(at(1850)));
    assert_eq!(standby.silence(at(1850)), Duration::from_millis(1850));
    standby.record_event(at(1900));
    assert_eq!(standby.next_search(1, false), Some(at(2800)));
}

// Guards against: full servers get the request of a silent stream again and again.
#[test]
fn searches_become_rarer_while_no_server_is_found() {
    let mut standby = Standby::new(at(0));
    let mut now = at(900);
    let delays: Vec<u128> = (0..5)
        .map(|_| {
            standby.record_failure(now);
            let next = standby.next_search(1, false).expect("a search");
            let delay = next.since(now).as_millis();
            now = next;
            delay
        })
        .collect();
    assert_eq!(delays, [200, 400, 800, 1000, 1000]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_206),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against: a search for another server of a stream whose server sends events.
    #[test]
    fn no_search_begins_within_the_idle_limit_after_an_event(
        steps in prop::collection::vec((0..4_u8, 0..2000_u64), 1..40)
    ) {
        let mut standby = Standby::new(at(0));
        let (mut now, mut last_event) = (0, 0);
        for (kind, millis) in steps {
            now += millis;
            let is_searching = kind == 1;
            match kind {
                0 => {
                    standby.record_event(at(now));
                    last_event = now;
                }
                1 => {}
                2 => standby.record_failure(at(now)),
                _ => standby.record_taken(at(now)),
            }
            prop_assert!(standby.next_search(0, is_searching).is_none());
            if let Some(next) = standby.next_search(1, is_searching) {
                let is_idle = next.since(at(last_event)) >= IDLE_TIMEOUT;
                prop_assert!(is_idle || kind == 2, "{next:?} after {last_event}");
            }
        }
    }
}
