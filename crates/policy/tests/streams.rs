//! Where streams began, and which gateways know of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::streams::{Members, Origin, Origins, Versions};

fn at(seconds: u64) -> Instant {
    Instant::from_millis(1_000_000 + seconds * 1000)
}

fn server(instance: &str, software: &str) -> Registration {
    Registration {
        instance: instance.to_owned(),
        started_at_ms: Some(1),
        service: "pool".to_owned(),
        software: software.to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "here".to_owned(),
        slots: 4,
        state: State::Ready,
        models: BTreeMap::new(),
    }
}

fn members(count: u16) -> Members {
    let mut members = Members::default();
    for number in 0..count {
        members.register(&format!("front-{number}"), address(number), 1);
    }
    members
}

fn address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1000 + number).into()
}

fn origin(software: &str) -> Origin {
    Origin {
        service: "pool".to_owned(),
        software: software.to_owned(),
    }
}

#[test]
fn a_service_settles_on_a_version_after_it_has_had_no_other_for_long() {
    let (old, new) = (server("a", "v1"), server("b", "v2"));
    let mut versions = Versions::default();
    let settled = |versions: &Versions, seconds, servers: &[&Registration]| {
        let servers = servers.iter().copied();
        versions
            .settled(at(seconds), "pool", servers)
            .map(str::to_owned)
    };
    assert!(!versions.record(at(0), &old), "the first version");
    assert_eq!(settled(&versions, 60, &[&old]), None, "not all are listed");
    versions.record_list(at(0));
    assert_eq!(settled(&versions, 19, &[&old]), None);
    assert_eq!(settled(&versions, 20, &[&old]).as_deref(), Some("v1"));
    assert!(versions.record(at(30), &new), "a further version");
    assert_eq!(settled(&versions, 30, &[&old, &new]), None);
    versions.record(at(50), &old);
    assert_eq!(settled(&versions, 69, &[&new]), None, "streams may last");
    assert_eq!(settled(&versions, 70, &[&new]).as_deref(), Some("v2"));
    assert_eq!(settled(&versions, 70, &[]), None, "which one is not known");
}

#[test]
fn a_copy_is_found_although_two_gateways_did_not_respond() {
    let mut members = members(12);
    for number in 0..200 {
        let attempt = format!("s{number}");
        for _ in 0..2 {
            let first = members.keepers(at(0), &attempt)[0];
            assert_eq!(members.record_failure(at(0), first), None);
        }
        let keepers = members.keepers(at(1), &attempt);
        assert_eq!(keepers.len(), 2);
        let possible = members.possible_keepers(&attempt);
        assert!(keepers.iter().all(|keeper| possible.contains(keeper)));
        for number in 0..12 {
            members.record_response(address(number));
        }
    }
}

#[test]
fn gateways_keep_even_shares_of_the_copies() {
    let members = members(10);
    let mut counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for number in 0..5000 {
        for keeper in members.keepers(at(0), &format!("s{number}")) {
            *counts.entry(keeper).or_default() += 1;
        }
    }
    assert_eq!(counts.len(), 10);
    assert!(
        counts.values().all(|count| (850..1150).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn a_gateway_that_has_not_responded_for_long_is_to_be_removed() {
    let mut members = members(2);
    assert_eq!(members.record_failure(at(0), address(1)), None);
    members.record_response(address(1));
    assert_eq!(members.record_failure(at(300), address(1)), None);
    assert_eq!(members.record_failure(at(890), address(1)), None);
    let gone = members.record_failure(at(900), address(1));
    assert_eq!(gone, Some(("front-1".to_owned(), 1)));
}

#[test]
fn origins_are_kept_for_a_minute_and_shared_once() {
    let mut origins = Origins::default();
    origins.begin(at(0), "s1", origin("v1"));
    origins.copy(at(0), "s2", origin("v2"));
    let unshared = vec![("s1".to_owned(), origin("v1"))];
    assert_eq!(origins.take_unshared("other"), Vec::new());
    assert_eq!(origins.take_unshared("pool"), unshared);
    assert_eq!(origins.take_unshared("pool"), Vec::new());
    origins.begin(at(59), "s3", origin("v1"));
    assert_eq!(origins.get("s2"), Some(&origin("v2")));
    origins.begin(at(60), "s4", origin("v1"));
    assert_eq!((origins.get("s1"), origins.get("s2")), (None, None));
    assert_eq!(origins.get("s3"), Some(&origin("v1")));
}
