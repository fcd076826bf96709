//! One holder at a time, whatever a clock, a lost answer or a suspended host does.

use std::net::SocketAddr;
use std::time::Duration;

use tamaracksail_model::time::Instant;
use tamaracksail_policy::lease::{Candidate, Lease, Record, Step};

const SPAN: Duration = Duration::from_secs(4);
const PAUSE: Duration = Duration::from_secs(3);

fn address(last: u8) -> SocketAddr {
    ([127, 0, 0, last], 1).into()
}

fn lease(last: u8) -> Lease {
    let own = Candidate {
        host: format!("h{last}"),
        address: address(last),
        incarnation: u64::from(last),
    };
    Lease::new(SPAN, PAUSE, own)
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

/// The write that a step asks for.
fn wanted(step: Step) -> Record {
    match step {
        Step::Create(record) | Step::Replace(_, record) => record,
        other => panic!("{other:?} writes nothing"),
    }
}

/// A holder since `at(0)` under revision 1.
fn holder() -> (Lease, Record) {
    let mut lease = lease(1);
    assert_eq!(lease.step(at(0), false), Step::Read);
    let record = wanted(lease.step(at(0), true));
    lease.record_write(at(0), at(10), 1, record.clone());
    (lease, record)
}

#[test]
fn the_span_counts_from_before_the_write() {
    let (lease, _) = holder();
    assert_eq!(lease.fence(at(3999)), Some(0));
    assert_eq!(lease.fence(at(4000)), None);
}

#[test]
fn a_holder_renews_in_time_and_each_renewal_shows() {
    let (mut lease, first) = holder();
    assert_eq!(lease.step(at(1000), false), Step::Wait);
    let renewal = wanted(lease.step(at(1400), false));
    assert!(renewal.writes > first.writes && renewal.fence == first.fence);
    lease.record_write(at(1400), at(1410), 2, renewal);
    assert_eq!(lease.fence(at(5399)), Some(0));
}

#[test]
fn another_takes_it_only_when_it_stood_still_longer_than_the_span() {
    let (_, record) = holder();
    let mut other = lease(2);
    other.observe(at(100), 1, record.clone());
    assert_eq!(other.step(at(200), false), Step::QueryHolder(address(1)));
    assert_eq!(other.step(at(4600), true), Step::Wait);
    // A renewal begins the wait anew.
    other.observe(at(4600), 2, record);
    assert_eq!(other.step(at(9200), true), Step::Wait);
    let taken = wanted(other.step(at(9400), true));
    assert_eq!((taken.fence, taken.holder.as_deref()), (1, Some("h2")));
}

#[test]
fn a_holder_that_says_it_has_stopped_is_followed_at_once_but_orders_wait() {
    let (_, record) = holder();
    let mut other = lease(2);
    other.observe(at(100), 1, record);
    other.record_release(0, at(50));
    let taken = wanted(other.step(at(200), true));
    other.record_write(at(200), at(210), 2, taken);
    assert_eq!(other.fence(at(300)), Some(1));
    assert_eq!(other.command_fence(at(3000)), None);
    assert_eq!(other.command_fence(at(3200)), Some(1));
}

#[test]
fn what_an_earlier_holder_says_releases_no_later_one() {
    let (_, record) = holder();
    let mut other = lease(3);
    let later = Record {
        holder: Some("h2".to_owned()),
        fence: 1,
        ..record
    };
    other.observe(at(100), 2, later);
    other.record_release(0, at(100));
    assert_eq!(other.step(at(200), true), Step::Wait);
}

#[test]
fn a_renewal_on_its_way_brings_nothing_back_that_was_given_up() {
    let (mut lease, _) = holder();
    let renewal = wanted(lease.step(at(1400), false));
    assert!(lease.release().is_some());
    lease.record_write(at(1400), at(1500), 2, renewal);
    assert_eq!(lease.fence(at(1600)), None);
}

#[test]
fn a_holder_that_reads_another_record_has_lost_it() {
    let (mut lease, record) = holder();
    let other = Record {
        holder: Some("h2".to_owned()),
        fence: 1,
        ..record
    };
    lease.observe(at(500), 2, other);
    assert_eq!(lease.fence(at(600)), None);
}

#[test]
fn the_same_host_takes_it_back_at_once_and_may_order() {
    let (_, record) = holder();
    let mut again = lease(1);
    let reborn = Record {
        incarnation: 77,
        ..record
    };
    again.observe(at(100), 1, reborn);
    let taken = wanted(again.step(at(100), true));
    assert_eq!(taken.fence, 1);
    again.record_write(at(100), at(110), 2, taken);
    assert_eq!(again.command_fence(at(120)), Some(1));
}

#[test]
fn a_suspended_holder_knows_that_its_span_is_over() {
    let (lease, _) = holder();
    // The clock went on while the host stood still.
    assert_eq!(lease.fence(at(20_000)), None);
    assert_eq!(lease.command_fence(at(20_000)), None);
}

#[test]
fn a_renewal_that_the_holder_told_of_is_not_waited_for_again() {
    let (_, record) = holder();
    let mut other = lease(2);
    other.observe(at(100), 1, record);
    other.record_confirmation(at(3000), 4);
    assert_eq!(other.step(at(7600), true), Step::Wait);
    let Step::Replace(revision, taken) = other.step(at(7800), true) else {
        panic!("the lease has lapsed");
    };
    assert_eq!((revision, taken.fence), (4, 1));
}

#[test]
fn a_lease_that_has_lapsed_is_taken_under_a_new_number() {
    let (lease, _) = holder();
    // The holder was suspended and wakes.
    let taken = wanted(lease.step(at(5000), false));
    assert_eq!(taken.fence, 1);
}

#[test]
fn a_number_that_was_forsworn_is_not_used_again() {
    let (mut lease, _) = holder();
    let renewal = wanted(lease.step(at(3900), false));
    // The span is over, a peer asks and is told so, and the renewal's answer comes after that.
    lease.relinquish(0);
    lease.record_write(at(3900), at(4100), 2, renewal);
    assert_eq!(lease.fence(at(4200)), None);
    assert_eq!(wanted(lease.step(at(4200), true)).fence, 1);
}

#[test]
fn a_holder_whose_span_ended_is_unchallenged_until_another_is_seen() {
    let (mut lease, record) = holder();
    assert!(lease.is_last_known_holder());
    assert_eq!(lease.fence(at(9000)), None);
    assert!(lease.is_last_known_holder());
    // It takes the lease anew, under the next number, and need not pause between its own orders.
    let again = wanted(lease.step(at(9000), false));
    assert_eq!(again.fence, record.fence + 1);
    lease.record_write(at(9000), at(9010), 2, again.clone());
    assert_eq!(lease.command_fence(at(9020)), Some(again.fence));
    // What it has said that it left is left.
    lease.relinquish(again.fence);
    assert!(!lease.is_last_known_holder());
}

#[test]
fn a_holder_that_sees_another_is_challenged() {
    let (mut lease, record) = holder();
    let other = Record {
        holder: Some("h2".to_owned()),
        address: Some(address(2)),
        incarnation: 2,
        fence: record.fence + 1,
        writes: record.writes + 1,
    };
    lease.observe(at(9000), 2, other);
    assert!(!lease.is_last_known_holder());
}

#[test]
fn a_write_without_an_answer_counts_once_it_is_read_back() {
    let (mut lease, _) = holder();
    let renewal = wanted(lease.step(at(2000), false));
    assert!(!lease.confirm_write(at(2000), at(2700), renewal.clone()));
    lease.observe(at(2710), 2, renewal.clone());
    assert!(lease.confirm_write(at(2000), at(2710), renewal));
    // The span counts from before the call.
    assert_eq!(lease.fence(at(5999)), Some(0));
    assert_eq!(lease.fence(at(6000)), None);
}

#[test]
fn others_know_when_the_lease_lapses() {
    let (_, record) = holder();
    let mut other = lease(2);
    assert_eq!(other.expires_in(at(0)), None);
    other.observe(at(0), 1, record);
    assert_eq!(other.expires_in(at(4000)), Some(Duration::from_millis(700)));
    assert_eq!(other.expires_in(at(9000)), Some(Duration::ZERO));
}
