//! Who waits before it takes the lease.

use std::time::Duration;

use tamaracksail_model::time::Instant;
use tamaracksail_policy::deference::Deference;

fn wait(is_strong: bool, age_s: u64) -> Duration {
    let age = Duration::from_secs(age_s);
    Deference::default().takeable(Instant::from_millis(1000), is_strong, age)
}

#[test]
fn the_wait_begins_anew_after_another_has_held() {
    let at = Instant::from_millis;
    let mut deference = Deference::default();
    let mut takeable = |millis| deference.takeable(at(millis), false, Duration::ZERO);
    assert_eq!(takeable(1000), Duration::from_millis(500));
    assert_eq!(takeable(1300), Duration::from_millis(200));
    deference.held();
    let mut takeable = |millis| deference.takeable(at(millis), false, Duration::ZERO);
    assert_eq!(takeable(9000), Duration::from_millis(500));
    assert_eq!(takeable(9600), Duration::ZERO);
}

#[test]
fn a_process_that_was_just_restarted_goes_before_one_that_is_still_to_be() {
    assert_eq!(wait(true, 0), Duration::ZERO);
    assert!(wait(true, 4) < wait(true, 30));
    assert_eq!(wait(true, 60), wait(true, 6000));
    assert!(wait(true, 6000) < wait(false, 0));
}
