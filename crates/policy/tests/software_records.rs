//! The durable record of software versions: what it says, and when it changes.

use std::collections::BTreeSet;

use tamaracksail_policy::streams::{Observed, SoftwareRecord};

fn set(versions: &[&str]) -> BTreeSet<String> {
    versions.iter().map(|&version| version.to_owned()).collect()
}

fn observed(registered: &[&str], recent: &[&str], is_settled: bool) -> Observed {
    Observed {
        registered: set(registered),
        recent: set(recent),
        is_settled,
        has_known_record: is_settled,
    }
}

fn record(versions: &[&str], is_complete: bool) -> SoftwareRecord {
    SoftwareRecord {
        versions: set(versions),
        is_complete,
    }
}

/// A stream may have begun before the first record, unless the deployment is new.
#[test]
fn only_a_complete_record_of_one_version_tells_where_a_stream_began() {
    assert_eq!(record(&["v1"], true).only(), Some("v1"));
    assert_eq!(record(&["v1"], false).only(), None);
    assert_eq!(record(&["v1", "v2"], true).only(), None);
    assert_eq!(record(&[], true).only(), None);
}

#[test]
fn the_first_record_has_versions_that_have_just_left() {
    let observed = observed(&["v2"], &["v1"], false);
    assert_eq!(
        SoftwareRecord::first(&observed, false),
        record(&["v1", "v2"], false)
    );
    assert!(SoftwareRecord::first(&observed, true).is_complete);
}

#[test]
fn a_record_gets_complete_after_long_observation() {
    let young = observed(&["v1"], &[], false);
    let old = observed(&["v1"], &[], true);
    let first = record(&["v1"], false);
    assert!(first.is_changing(&young));
    assert_eq!(first.updated(&young, &BTreeSet::new()), first);
    let complete = first.updated(&old, &BTreeSet::new());
    assert!(complete.is_complete && !complete.is_changing(&old));
}

/// All servers may be missing while the store or the network fails, and streams of the version may
/// still be taken up when they are back.
#[test]
fn a_version_is_removed_only_when_it_left_long_ago_and_another_is_registered() {
    let both = record(&["v1", "v2"], true);
    assert_eq!(both.removable(&observed(&["v2"], &["v1"], true)), set(&[]));
    assert_eq!(both.removable(&observed(&["v2"], &[], false)), set(&[]));
    assert_eq!(both.removable(&observed(&[], &[], true)), set(&[]));
    let late = observed(&["v2"], &[], true);
    let removed = both.removable(&late);
    assert_eq!(removed, set(&["v1"]));
    assert_eq!(both.updated(&late, &removed), record(&["v2"], true));
}

#[test]
fn a_registered_version_is_added() {
    let first = record(&["v1"], true);
    let next = first.updated(&observed(&["v2"], &[], false), &BTreeSet::new());
    assert_eq!(next, record(&["v1", "v2"], true));
}

// Guards against: a gateway whose view is late takes the version that it knows for that of every stream.
#[test]
fn what_a_gateway_has_observed_counts_only_if_the_record_has_no_other_version() {
    let record = |versions: &[&str], is_complete| SoftwareRecord {
        versions: versions
            .iter()
            .map(|version| (*version).to_owned())
            .collect(),
        is_complete,
    };
    let cases = [
        (record(&["v1"], true), None, Some("v1")),
        (record(&["v2"], true), Some("v1"), Some("v2")),
        (record(&["v1"], false), None, None),
        (record(&["v1"], false), Some("v1"), Some("v1")),
        (record(&["v2"], false), Some("v1"), None),
        (record(&["v1", "v2"], false), Some("v1"), None),
        (record(&["v1", "v2"], true), Some("v1"), None),
        (record(&["v1", "v2"], true), Some("v2"), None),
    ];
    for (record, settled, expected) in cases {
        assert_eq!(record.began_at(settled), expected, "{record:?} {settled:?}");
    }
}
