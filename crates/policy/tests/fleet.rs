//! Which backend server a request is sent to.

use std::collections::BTreeMap;
use std::time::Duration;

use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::{Fleet, Query, SendOutcome, ServerKey};

fn registration(instance: &str, domain: &str) -> Registration {
    Registration {
        instance: instance.to_owned(),
        started_at_ms: Some(1),
        service: "app".to_owned(),
        software: "v1".to_owned(),
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

/// Returns the query for a server of the service for a caller in the domain `d1`.
fn query(except: &[ServerKey]) -> Query<'_> {
    Query {
        service: "app",
        software: None,
        domain: "d1",
        except,
    }
}

fn choose(fleet: &Fleet, now: Instant) -> (ServerKey, String) {
    let key = fleet.choose(now, query(&[])).expect("a server");
    (
        key,
        fleet
            .registration(key)
            .expect("the server is known")
            .instance
            .clone(),
    )
}

#[test]
fn servers_of_the_own_failure_domain_are_preferred_until_full() {
    let mut fleet = fleet();
    let mut chosen = Vec::new();
    for _ in 0..8 {
        let (key, name) = choose(&fleet, at(0));
        fleet.record_sent(key);
        chosen.push(name);
    }
    insta::assert_debug_snapshot!(chosen);
}

#[test]
fn a_faster_server_is_preferred_to_a_slow_one() {
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
fn a_server_backs_off_longer_after_each_failure() {
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
fn a_server_is_chosen_even_if_all_of_them_back_off() {
    let mut fleet = fleet();
    for _ in 0..3 {
        let (key, _) = choose(&fleet, at(0));
        fleet.record_sent(key);
        fleet.record_outcome(at(0), key, SendOutcome::Failed);
    }
    choose(&fleet, at(10));
}

#[test]
fn a_draining_server_gets_no_requests_and_a_restarted_one_gets_a_new_key() {
    let mut fleet = fleet();
    let (near, _) = choose(&fleet, at(0));
    let mut draining = registration("near", "d1");
    draining.state = State::Draining;
    fleet.register(draining);
    assert_ne!(choose(&fleet, at(0)).1, "near");
    let mut restarted = registration("near", "d1");
    restarted.started_at_ms = Some(2);
    fleet.register(restarted);
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
fn a_server_that_refused_is_avoided_until_its_load_report_expires() {
    let mut fleet = fleet();
    let (near, _) = choose(&fleet, at(0));
    fleet.record_sent(near);
    fleet.record_outcome(at(0), near, SendOutcome::Refused);
    assert_ne!(choose(&fleet, at(100)).1, "near");
    assert_eq!(choose(&fleet, at(400)).1, "near");
}

#[test]
fn a_record_with_another_software_version_is_not_taken_for_the_process_before_it() {
    let mut fleet = Fleet::default();
    let mut record = registration("near", "d1");
    record.started_at_ms = None;
    fleet.register(record.clone());
    let (before, _) = choose(&fleet, at(0));
    record.slots = 8;
    fleet.register(record.clone());
    assert_eq!(choose(&fleet, at(0)).0, before);
    record.software = "v2".to_owned();
    fleet.register(record);
    assert_ne!(choose(&fleet, at(0)).0, before);
    assert_eq!(fleet.registration(before), None);
}

/// Guards against a refusal, or a server that backs off, because requests are to stay in the own failure
/// domain or to leave it.
#[test]
fn a_share_that_stays_keeps_no_request_from_a_server() {
    let mut fleet = fleet();
    fleet.enable_locality("d1", "host");
    for _ in 0..20 {
        fleet.review_locality(at(0), "app");
        let (key, name) = choose(&fleet, at(0));
        assert_eq!(name, "near");
        fleet.record_sent(key);
    }
    let (near, _) = choose(&fleet, at(0));
    fleet.record_outcome(at(0), near, SendOutcome::Failed);
    assert_ne!(choose(&fleet, at(100)).1, "near", "it backs off");
    fleet.remove("near");
    let others = (
        choose(&fleet, at(100)).1,
        fleet.review_locality(at(300), "app"),
    );
    assert_ne!(others.0, "near");
    assert!(
        others
            .1
            .is_some_and(|change| (change.to - 1.0).abs() < f64::EPSILON)
    );
    fleet.record_bytes(choose(&fleet, at(300)).0, 1000);
    fleet.record_sent(choose(&fleet, at(300)).0);
    assert_eq!(
        (fleet.left("app").requests, fleet.left("app").bytes),
        (1, 1000)
    );
}
