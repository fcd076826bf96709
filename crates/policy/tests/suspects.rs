//! Which contents are suspected of ending servers, and where they may run.

use tamaracksail_model::id::{Fingerprint, Host};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::request::suspects::{SuspectTable, Verdict};

const CONTENT: Fingerprint = Fingerprint(7);

fn at(seconds: u64) -> Instant {
    Instant::from_millis(seconds * 1000)
}

fn crash(server: &str) -> (Host, u64) {
    (Host::from(server), 1)
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
