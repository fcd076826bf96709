//! Which contents are suspected of ending servers, and where they may run.

use std::collections::BTreeMap;
use std::time::Duration;

use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::id::{Fingerprint, Host};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::{Fleet, Query, SendOutcome, ServerKey};
use tamaracksail_policy::request::suspects::{SuspectTable, Verdict};

const CONTENT: Fingerprint = Fingerprint(7);

fn at(seconds: u64) -> Instant {
    Instant::from_millis(seconds * 1000)
}

fn crash(server: &str) -> (Host, u64) {
    (Host::from(server), 1)
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

#[test]
fn content_runs_alone_after_two_crashes_and_is_refused_after_a_crash_alone() {
    let mut table = SuspectTable::default();
    let mut verdicts = Vec::new();
    for (server, is_alone) in [("a", false), ("a", false), ("b", false), ("c", true)] {
        table.record(at(0), CONTENT, crash(server), is_alone);
        verdicts.push(table.verdict(at(1), CONTENT));
    }
    let expected = [
        Verdict::Unrestricted,
        Verdict::Unrestricted,
        Verdict::Alone,
        Verdict::Refused,
    ];
    assert_eq!(verdicts, expected);
    assert_eq!(table.verdict(at(1), Fingerprint(8)), Verdict::Unrestricted);
    assert_eq!(table.verdict(at(700), CONTENT), Verdict::Unrestricted);
}

#[test]
fn content_that_was_in_flight_at_many_crashes_is_not_refused_unless_it_ran_alone() {
    let mut table = SuspectTable::default();
    for server in ["a", "b", "c", "d", "e"] {
        table.record(at(0), CONTENT, crash(server), false);
    }
    assert_eq!(table.verdict(at(1), CONTENT), Verdict::Alone);
}

#[test]
fn late_reports_do_not_make_content_suspect_again_that_ran_to_its_end() {
    let mut table = SuspectTable::default();
    table.record(at(0), CONTENT, crash("a"), false);
    table.record(at(0), CONTENT, crash("b"), true);
    let reports = table.unexpired(at(0));
    table.clear(CONTENT);
    assert_eq!(table.unexpired(at(0)), []);
    for report in &reports {
        table.merge(at(1), report);
    }
    assert_eq!(table.verdict(at(1), CONTENT), Verdict::Unrestricted);
    table.record(at(2), CONTENT, crash("c"), false);
    assert_eq!(table.crash_count(at(2), CONTENT), 1);
}

#[test]
fn many_contents_with_one_crash_do_not_displace_one_that_is_refused() {
    let mut table = SuspectTable::default();
    table.record(at(0), CONTENT, crash("a"), true);
    for number in 0..3_000 {
        table.record(at(1), Fingerprint(100 + number), crash("b"), false);
    }
    assert_eq!(table.verdict(at(2), CONTENT), Verdict::Refused);
    let most_severe = table.most_severe(at(2), 2);
    assert_eq!(most_severe.len(), 2);
    assert_eq!(most_severe[0].fingerprint, CONTENT);
}

/// Returns a fleet of this many servers, and their keys.
fn fleet(servers: usize) -> (Fleet, Vec<ServerKey>) {
    let mut fleet = Fleet::default();
    let mut keys = Vec::new();
    for number in 0..servers {
        fleet.register(Registration {
            instance: format!("app-{number}"),
            started_at_ms: Some(1),
            service: "app".to_owned(),
            software: "v1".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            domain: "d1".to_owned(),
            slots: 4,
            state: State::Ready,
            models: BTreeMap::new(),
        });
        let key = fleet.choose(at(0), query(&keys));
        keys.push(key.expect("a server"));
    }
    (fleet, keys)
}

/// Returns how many servers remain in use after as many trials as are allowed, each of which ends its
/// server.
fn servers_left(count: usize) -> usize {
    let (mut fleet, _) = fleet(count);
    let mut ended = Vec::new();
    while let Some(key) = fleet.choose_alone(at(1), query(&ended), CONTENT) {
        fleet.record_outcome(at(1), key, SendOutcome::Failed);
        ended.push(key);
    }
    count - ended.len()
}

#[test]
fn trials_leave_half_of_the_servers_in_use() {
    let left: Vec<usize> = (1..=8).map(servers_left).collect();
    assert_eq!(left, [0, 1, 1, 2, 2, 3, 3, 4]);
}

#[test]
fn other_requests_avoid_a_server_on_which_a_request_runs_alone() {
    let (mut fleet, keys) = fleet(3);
    let alone = fleet.choose_alone(at(0), query(&[]), CONTENT);
    let alone = alone.expect("a server");
    fleet.plan_trial(alone);
    assert!(fleet.start_trial(alone));
    fleet.record_sent(alone);
    for _ in 0..20 {
        let key = fleet.choose(at(0), query(&[])).expect("a server");
        assert_ne!(key, alone);
        fleet.record_sent(key);
    }
    let others: Vec<ServerKey> = keys.into_iter().filter(|key| *key != alone).collect();
    assert_eq!(fleet.choose(at(0), query(&others)), Some(alone));
    fleet.end_trial(alone, true);
    fleet.record_outcome(
        at(0),
        alone,
        SendOutcome::Responded(Duration::from_millis(20)),
    );
    assert_eq!(fleet.choose(at(0), query(&[])), Some(alone));
}

#[test]
fn a_trial_waits_for_other_requests_and_for_the_check_that_follows_another_trial() {
    let (mut fleet, keys) = fleet(1);
    fleet.record_sent(keys[0]);
    fleet.plan_trial(keys[0]);
    assert!(!fleet.start_trial(keys[0]));
    fleet.record_outcome(at(0), keys[0], SendOutcome::Failed);
    assert!(fleet.start_trial(keys[0]));
    fleet.record_sent(keys[0]);
    fleet.plan_trial(keys[0]);
    fleet.record_outcome(at(0), keys[0], SendOutcome::Failed);
    assert!(!fleet.start_trial(keys[0]));
    fleet.end_trial(keys[0], true);
    assert!(fleet.start_trial(keys[0]));
}
