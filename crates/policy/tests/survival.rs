//! The observation of servers after requests without a complete response.

use std::time::Duration;

use tamaracksail_model::time::Instant;
use tamaracksail_policy::request::survival::{Interruption, Listing, Liveness, Observation, Step};

/// Begins an observation, makes checks that show the same each time, and returns when the last check
/// ended and its step.
fn observe(
    interruption: Interruption,
    is_suspect: bool,
    liveness: Liveness,
    listings: &[Listing],
) -> (Duration, Step) {
    let start = Instant::from_millis(1_000);
    let mut observation = Observation::begin(start, interruption, is_suspect);
    let mut now = start.after(observation.first_delay());
    let mut listings = listings.iter().copied();
    let mut listing = listings.next().expect("a listing");
    let mut step = observation.record_check(now, liveness, listing);
    loop {
        listing = listings.next().unwrap_or(listing);
        step = match step {
            Step::Check(delay) => {
                now = now.after(delay);
                observation.record_check(now, liveness, listing)
            }
            Step::Look(delay) => {
                now = now.after(delay);
                observation.record_listing(now, listing)
            }
            Step::Ended | Step::Survived | Step::Unknown => return (now.since(start), step),
        };
    }
}

const BROKEN: Interruption = Interruption::Broken;
const ABANDONED: Interruption = Interruption::Abandoned;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_server_that_refuses_connections_or_was_replaced_has_ended() {
    for liveness in [Liveness::Refusing, Liveness::Replaced] {
        let listings = &[Listing::Listed];
        assert_eq!(
            observe(BROKEN, false, liveness, listings),
            (millis(20), Step::Ended)
        );
        assert_eq!(
            observe(ABANDONED, true, liveness, listings),
            (millis(50), Step::Ended)
        );
        assert_eq!(
            observe(ABANDONED, false, liveness, listings),
            (millis(500), Step::Ended)
        );
    }
}

#[test]
fn a_process_that_is_confirmed_is_asked_once_unless_servers_ended_under_the_content() {
    let listings = &[Listing::Listed];
    let confirmed =
        |interruption, is_suspect| observe(interruption, is_suspect, Liveness::Confirmed, listings);
    assert_eq!(confirmed(BROKEN, true), (millis(20), Step::Survived));
    assert_eq!(confirmed(ABANDONED, false), (millis(500), Step::Survived));
    assert_eq!(confirmed(ABANDONED, true), (millis(1550), Step::Survived));
}

#[test]
fn a_process_that_is_not_confirmed_has_survived_if_no_other_is_registered_soon() {
    let responding = |listings: &[Listing]| observe(BROKEN, false, Liveness::Responding, listings);
    assert_eq!(
        responding(&[Listing::Listed]),
        (millis(3020), Step::Survived)
    );
    assert_eq!(
        responding(&[Listing::Listed, Listing::Listed, Listing::Replaced]),
        (millis(1020), Step::Ended)
    );
    assert_eq!(responding(&[Listing::Replaced]), (millis(20), Step::Ended));
}

#[test]
fn a_server_that_does_not_respond_has_ended_once_its_registration_is_gone() {
    for liveness in [Liveness::Unresponsive, Liveness::Unreachable] {
        let listings = &[Listing::Listed, Listing::Listed, Listing::Gone];
        assert_eq!(
            observe(BROKEN, false, liveness, listings),
            (millis(140), Step::Ended)
        );
        let (elapsed, step) = observe(BROKEN, false, liveness, &[Listing::Listed]);
        assert_eq!(step, Step::Unknown);
        assert!(elapsed >= Duration::from_secs(8));
    }
}

#[test]
fn a_server_that_stops_as_announced_did_not_end_under_an_abandoned_request() {
    let listings = &[Listing::Leaving];
    let (_, step) = observe(ABANDONED, false, Liveness::Refusing, listings);
    assert_eq!(step, Step::Unknown);
    let listings = &[Listing::Leaving, Listing::Gone];
    let (_, step) = observe(ABANDONED, false, Liveness::Unreachable, listings);
    assert_eq!(step, Step::Unknown);
}
