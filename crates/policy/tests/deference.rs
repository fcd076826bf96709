//! A weak host lets others take the lease first, each time that it becomes free.

use std::time::Duration;

use tamaracksail_model::time::Instant;
use tamaracksail_policy::deference::Deference;

#[test]
fn the_wait_begins_anew_after_another_has_held() {
    let at = Instant::from_millis;
    let mut deference = Deference::default();
    assert_eq!(deference.takeable(at(1000)), Duration::from_millis(500));
    assert_eq!(deference.takeable(at(1300)), Duration::from_millis(200));
    deference.held();
    assert_eq!(deference.takeable(at(9000)), Duration::from_millis(500));
    assert_eq!(deference.takeable(at(9600)), Duration::ZERO);
}
