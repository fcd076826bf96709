//! Ages of batches while the time of day of a host is stepped: nothing is given up or removed early.

use std::time::Duration;

use proptest::prelude::*;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::batch::{Retention, Stored, item_expiry};
use tamaracksail_policy::clock::{Clock, Estimate};

/// True time when the boot-time clock is zero, in milliseconds.
const BOOT_MS: u64 = 1_764_800_000_000;

/// The largest step back, in milliseconds.
const BACK: i64 = -30_000;

const PATIENCE: Duration = Duration::from_secs(40);
const RETENTION: Duration = Duration::from_secs(20);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Samples a time of day that has stepped by `step_ms`, and returns the estimate.
fn sample(clock: &mut Clock, millis: u64, step_ms: i64) -> Option<Estimate> {
    let time_of_day = (BOOT_MS + millis).saturating_add_signed(step_ms);
    clock.observe(at(millis), time_of_day);
    clock.estimate(at(millis))
}

/// Returns a clock that has run undisturbed for `seconds`.
fn running(seconds: u64) -> Clock {
    let mut clock = Clock::default();
    for second in 0..=seconds {
        sample(&mut clock, second * 1000, 0);
    }
    clock
}

/// The observed fault: the clocks of half of the hosts step back 30 s for 8 s, a batch is accepted
/// meanwhile, and another gateway that takes over lists items as aborted 10 s after acceptance.
#[test]
fn items_of_a_batch_that_was_accepted_in_a_step_keep_their_time() {
    let (mut acceptor, mut successor) = (running(100), running(100));
    let submitted = sample(&mut acceptor, 104_000, BACK).expect("an estimate");
    let time = sample(&mut successor, 114_000, 0);
    let left = item_expiry(at(114_000), time, submitted, PATIENCE).since(at(114_000));
    assert!(left >= Duration::from_secs(30), "{left:?}");
    assert!(left <= Duration::from_secs(31), "{left:?}");
}

/// The acceptor started within the step, so its estimate is wrong by 30 s and says so.
#[test]
fn items_of_a_batch_accepted_by_a_process_that_started_in_a_step_keep_their_time() {
    let (mut acceptor, mut successor) = (Clock::default(), running(100));
    let submitted = sample(&mut acceptor, 104_000, BACK).expect("an estimate");
    let time = sample(&mut successor, 114_000, 0);
    let left = item_expiry(at(114_000), time, submitted, PATIENCE).since(at(114_000));
    assert!(left >= Duration::from_secs(30), "{left:?}");
}

#[test]
fn items_keep_their_time_while_the_time_is_not_known() {
    let submitted = Estimate::of_time_of_day(BOOT_MS);
    let expiry = item_expiry(at(5), None, submitted, PATIENCE);
    assert_eq!(expiry, at(5).after(PATIENCE));
}

fn ended(submitted: Estimate) -> Vec<Stored> {
    vec![Stored {
        id: "b1".to_owned(),
        submitted,
        is_ended: true,
    }]
}

/// A pass while the clock is 30 s ahead would remove results that a client is still entitled to.
#[test]
fn no_batch_is_removed_early_while_a_clock_is_ahead() {
    let mut clock = running(100);
    let submitted = clock.estimate(at(100_000)).expect("an estimate");
    let mut retention = Retention::default();
    for second in 101..=118 {
        let time = sample(&mut clock, second * 1000, -BACK);
        let expired = retention.expired(at(second * 1000), time, ended(submitted), RETENTION);
        assert!(expired.is_empty(), "{second}");
    }
    let time = sample(&mut clock, 122_000, 0);
    let expired = retention.expired(at(122_000), time, ended(submitted), RETENTION);
    assert_eq!(expired, ["b1"]);
}

/// A process that cannot be sure of the time would otherwise keep batches for a minute longer.
#[test]
fn a_batch_is_removed_once_the_process_has_known_it_for_its_retention() {
    let submitted = Estimate::of_time_of_day(BOOT_MS);
    let mut retention = Retention::default();
    for second in [0, 10, 20] {
        let expired = retention.expired(at(second * 1000), None, ended(submitted), RETENTION);
        assert!(expired.is_empty(), "{second}");
    }
    let expired = retention.expired(at(20_001), None, ended(submitted), RETENTION);
    assert_eq!(expired, ["b1"]);
}

proptest! {
    /// With any steps at the host that accepts a batch and at the one that judges its age, running or
    /// just started, no item is given up and no batch is removed before its time.
    #[test]
    fn nothing_is_given_up_or_removed_early(
        accepting_step in BACK..=-BACK,
        judging_step in BACK..=-BACK,
        acceptor_runs in any::<bool>(),
        successor_runs in any::<bool>(),
        age_s in 0_u64..60,
    ) {
        let clock = |runs| if runs { running(100) } else { Clock::default() };
        let (mut acceptor, mut successor) = (clock(acceptor_runs), clock(successor_runs));
        let submitted = sample(&mut acceptor, 104_000, accepting_step).expect("an estimate");
        let judged = 104_000 + age_s * 1000;
        let time = sample(&mut successor, judged, judging_step);
        let left = item_expiry(at(judged), time, submitted, PATIENCE).since(at(judged));
        let true_age = Duration::from_secs(age_s);
        prop_assert!(left >= PATIENCE.saturating_sub(true_age));
        let expired = Retention::default().expired(at(judged), time, ended(submitted), RETENTION);
        prop_assert!(expired.is_empty() || true_age > RETENTION);
    }
}
