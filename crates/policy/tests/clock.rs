//! Estimates of true time stay right while times of day step.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::clock::{Clock, Estimate};

/// True time when the boot-time clock is zero, in milliseconds.
const BOOT_MS: u64 = 1_764_800_000_000;

/// The largest step, in milliseconds.
const MAX_STEP_MS: i64 = 30_000;

/// The error of an estimate that cannot be wrong by a step, in milliseconds.
const SMALL_ERROR_MS: u64 = 400;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// The time of day of a host whose clock has stepped by `step_ms`.
fn time_of_day(millis: u64, step_ms: i64) -> u64 {
    (BOOT_MS + millis).saturating_add_signed(step_ms)
}

/// Returns a clock that has run undisturbed until `millis`.
fn running(millis: u64) -> Clock {
    let mut clock = Clock::default();
    for second in 0..=millis / 1000 {
        clock.observe(at(second * 1000), time_of_day(second * 1000, 0));
    }
    clock
}

fn estimate(clock: &Clock, millis: u64) -> Estimate {
    clock.estimate(at(millis)).expect("an estimate")
}

/// How far an estimate is from true time, in milliseconds.
fn error(estimate: Estimate, millis: u64) -> u64 {
    estimate.unix_ms.abs_diff(BOOT_MS + millis)
}

#[test]
fn nothing_is_estimated_before_the_first_sample() {
    let mut clock = Clock::default();
    clock.record_peer(at(5), "a", time_of_day(5, 0));
    clock.record_peer(at(5), "b", time_of_day(5, 0));
    assert_eq!(clock.estimate(at(10)), None);
}

/// A step of the time of day, in either direction, would make ages wrong by as much.
#[test]
fn a_step_does_not_move_the_estimate() {
    for step in [-MAX_STEP_MS, -251, 251, MAX_STEP_MS] {
        let mut clock = running(70_000);
        for second in 71..79 {
            clock.observe(at(second * 1000), time_of_day(second * 1000, step));
            let found = estimate(&clock, second * 1000);
            assert_eq!(error(found, second * 1000), 0);
            assert!(found.error_ms <= SMALL_ERROR_MS);
        }
        clock.observe(at(79_000), time_of_day(79_000, 0));
        assert_eq!(error(estimate(&clock, 79_000), 79_000), 0);
    }
}

/// Clocks that the host adjusts slowly are followed, otherwise the error would grow forever.
#[test]
fn a_slow_adjustment_is_followed() {
    let mut clock = running(70_000);
    for second in 71..300 {
        let millis = second * 1000;
        clock.observe(
            at(millis),
            time_of_day(millis, (second - 70).cast_signed() * 5),
        );
        assert_eq!(
            estimate(&clock, millis).unix_ms,
            time_of_day(millis, (second - 70).cast_signed() * 5)
        );
    }
}

/// A process that starts in a step cannot know. Its error must cover the step, so that nothing is
/// removed early.
#[test]
fn a_process_that_starts_in_a_step_states_a_large_error() {
    for step in [-MAX_STEP_MS, MAX_STEP_MS] {
        let mut clock = Clock::default();
        clock.observe(at(1000), time_of_day(1000, step));
        for second in 2..200 {
            let millis = second * 1000;
            clock.observe(
                at(millis),
                time_of_day(millis, if second < 9 { step } else { 0 }),
            );
            let found = estimate(&clock, millis);
            assert!(error(found, millis) <= found.error_ms, "{second} {found:?}");
        }
        let found = estimate(&clock, 200_000);
        assert_eq!(error(found, 200_000), 0);
        assert!(found.error_ms <= SMALL_ERROR_MS);
    }
}

#[test]
fn a_process_that_starts_in_a_step_corrects_itself_from_two_peers() {
    let mut clock = Clock::default();
    clock.observe(at(1000), time_of_day(1000, -MAX_STEP_MS));
    clock.record_peer(at(1500), "a", time_of_day(1500, -3));
    assert!(estimate(&clock, 1500).error_ms > 30_000);
    clock.record_peer(at(2000), "b", time_of_day(2000, -5));
    let found = estimate(&clock, 2000);
    assert!(error(found, 2000) <= 5 && found.error_ms <= SMALL_ERROR_MS);
    // The step goes on, and ends.
    for (second, step) in [(3, -MAX_STEP_MS), (8, -MAX_STEP_MS), (9, 0), (10, 0)] {
        clock.observe(at(second * 1000), time_of_day(second * 1000, step));
        assert!(error(estimate(&clock, second * 1000), second * 1000) <= 5);
    }
}

/// With half of the hosts stepped, the median may be wrong; the error must say so.
#[test]
fn the_error_covers_peers_that_disagree_evenly() {
    let mut clock = Clock::default();
    clock.observe(at(1000), time_of_day(1000, -MAX_STEP_MS));
    for (host, step) in [("a", 0), ("b", 0), ("c", -MAX_STEP_MS)] {
        clock.record_peer(at(1000), host, time_of_day(1000, step));
    }
    let found = estimate(&clock, 1000);
    assert!(error(found, 1000) <= found.error_ms);
}

/// Readings that are older than a step lasts must not count as peers' present ones.
#[test]
fn old_readings_of_peers_are_not_used() {
    let mut clock = Clock::default();
    clock.record_peer(at(0), "a", time_of_day(0, -MAX_STEP_MS));
    clock.record_peer(at(0), "b", time_of_day(0, -MAX_STEP_MS));
    clock.observe(at(60_000), time_of_day(60_000, 0));
    assert_eq!(error(estimate(&clock, 60_000), 60_000), 0);
}

#[test]
fn ages_are_bounded_on_both_sides() {
    let now = Estimate {
        unix_ms: 100_000,
        error_ms: 300,
    };
    let event = Estimate {
        unix_ms: 90_000,
        error_ms: 200,
    };
    assert_eq!(now.min_age(event), Duration::from_millis(9_500));
    assert_eq!(now.max_age(event), Duration::from_millis(10_500));
    let uncertain = Estimate {
        unix_ms: 90_000,
        error_ms: 30_000,
    };
    assert_eq!(now.min_age(uncertain), Duration::ZERO);
}

proptest! {
    /// Whatever the steps of the host and of a minority of its peers: true time is within the error,
    /// estimates don't go back by more than the clocks' inaccuracy once they are sure, and a minimum
    /// age never exceeds the true one.
    #[test]
    fn true_time_is_within_the_error(
        steps in vec((1_u64..12, 0_u64..20, -MAX_STEP_MS..=MAX_STEP_MS), 1..12),
        jitter in vec(-60_i64..60, 200),
        peers in vec((0_u64..200, 0_usize..5, 0_i64..20), 0..60),
        wrong_peer in -MAX_STEP_MS..=MAX_STEP_MS,
    ) {
        // Steps last less than 12 s, and the clock is right for at least 90 s after the first, which
        // may begin before the process does.
        let mut timeline = vec![0_i64; 200];
        let mut from = 0_usize;
        for (index, (length, gap, step)) in steps.iter().enumerate() {
            let to = (from + usize::try_from(*length).unwrap()).min(200);
            timeline[from.min(200)..to].fill(*step);
            from = to + usize::try_from(*gap).unwrap() + if index == 0 { 90 } else { 0 };
        }
        let mut clock = Clock::default();
        let mut event: Option<(u64, Estimate)> = None;
        for second in 0..200_u64 {
            let millis = second * 1000;
            let index = usize::try_from(second).unwrap();
            clock.observe(at(millis), time_of_day(millis, timeline[index] + jitter[index]));
            for (_, peer, delay) in peers.iter().filter(|(when, ..)| *when == second) {
                // One of five peers is wrong; of the peers known, most are right.
                let step = if *peer == 4 { wrong_peer } else { 0 };
                if *peer != 4 || second > 120 {
                    clock.record_peer(at(millis), &peer.to_string(), time_of_day(millis, step - delay));
                }
            }
            let found = clock.estimate(at(millis + 500)).expect("an estimate");
            prop_assert!(error(found, millis + 500) <= found.error_ms, "{second} {found:?}");
            let (event_at, event) = *event.get_or_insert((millis + 500, found));
            let true_age = Duration::from_millis(millis + 500 - event_at);
            prop_assert!(found.min_age(event) <= true_age);
            prop_assert!(found.max_age(event) >= true_age);
        }
    }
}
