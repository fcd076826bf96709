//! Which backend server takes a request.

use std::collections::BTreeMap;
use std::time::Duration;

use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::{Fleet, SendOutcome, ServerKey};

fn registration(instance: &str, domain: &str) -> Registration {
    Registration {
        instance: instance.to_owned(),
        started_at_ms: Some(1),
        service: "app".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: domain.to_owned(),
        slots: 4,
        state: State::Ready,
        models: BTreeMap::new(),
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for (instance, domain) in [("near", "d1"), ("far", "d2"), ("farther", "d3")] {
        fleet.register(registration(instance, domain));
    }
    fleet
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(10_000 + millis)
}

fn choose(fleet: &Fleet, now: Instant) -> (ServerKey, String) {
    let key = fleet.choose(now, "app", "d1", &[]).expect("a server");
    (
        key,
        fleet
            .registration(key)
            .expect("it is known")
            .instance
            .clone(),
    )
}

#[test]
fn the_own_failure_domain_goes_first_until_it_is_full() {
    let mut fleet = fleet();
    let mut taken = Vec::new();
    for _ in 0..8 {
        let (key, name) = choose(&fleet, at(0));
        fleet.record_sent(key);
        taken.push(name);
    }
    insta::assert_debug_snapshot!(taken);
}

#[test]
fn a_slow_server_is_left_for_a_faster_one() {
    let mut fleet = fleet();
    let (near, _) = choose(&fleet, at(0));
    for _ in 0..5 {
        fleet.record_sent(near);
        fleet.record_outcome(
            at(0),
            near,
            SendOutcome::Responded(Duration::from_millis(90)),
        );
    }
    assert_ne!(choose(&fleet, at(0)).1, "near");
}

#[test]
fn a_server_that_fails_rests_longer_each_time() {
    let mut fleet = fleet();
    let (near, _) = choose(&fleet, at(0));
    fleet.record_sent(near);
    fleet.record_outcome(at(0), near, SendOutcome::Failed);
    assert_ne!(choose(&fleet, at(400)).1, "near");
    assert_eq!(choose(&fleet, at(600)).1, "near");
    fleet.record_sent(near);
    fleet.record_outcome(at(600), near, SendOutcome::Failed);
    assert_ne!(choose(&fleet, at(1500)).1, "near");
    assert_eq!(choose(&fleet, at(1700)).1, "near");
}

#[test]
fn when_all_rest_one_is_chosen_all_the_same() {
    let mut fleet = fleet();
    for _ in 0..3 {
        let (key, _) = choose(&fleet, at(0));
        fleet.record_sent(key);
        fleet.record_outcome(at(0), key, SendOutcome::Failed);
    }
    choose(&fleet, at(10));
}

#[test]
fn a_server_that_drains_or_starts_anew_gets_nothing_of_the_old() {
    let mut fleet = fleet();
    let (near, _) = choose(&fleet, at(0));
    let mut leaving = registration("near", "d1");
    leaving.state = State::Draining;
    fleet.register(leaving);
    assert_ne!(choose(&fleet, at(0)).1, "near");
    let mut reborn = registration("near", "d1");
    reborn.started_at_ms = Some(2);
    fleet.register(reborn);
    assert!(fleet.registration(near).is_none());
    assert_eq!(choose(&fleet, at(0)).1, "near");
    assert_eq!(
        fleet
            .remove("near")
            .map(|registration| registration.started_at_ms),
        Some(Some(2))
    );
}

#[test]
fn a_full_server_is_left_alone_for_a_moment() {
    let mut fleet = fleet();
    let (near, _) = choose(&fleet, at(0));
    fleet.record_sent(near);
    fleet.record_outcome(at(0), near, SendOutcome::Refused);
    assert_ne!(choose(&fleet, at(100)).1, "near");
    assert_eq!(choose(&fleet, at(400)).1, "near");
}
