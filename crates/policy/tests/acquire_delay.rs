//! How long a process waits before it takes a free lease.

use std::time::Duration;

use tamaracksail_model::time::Instant;
use tamaracksail_policy::acquire_delay::AcquireDelay;

/// Returns the delay of a process that just found the lease free.
fn initial_delay(has_spare_cpu: bool, uptime_s: u64) -> Duration {
    let uptime = Duration::from_secs(uptime_s);
    AcquireDelay::default().remaining(Instant::from_millis(1000), has_spare_cpu, uptime)
}

#[test]
fn the_delay_restarts_after_the_lease_was_held() {
    let at = Instant::from_millis;
    let mut acquire_delay = AcquireDelay::default();
    let mut remaining = |millis| acquire_delay.remaining(at(millis), false, Duration::ZERO);
    assert_eq!(remaining(1000), Duration::from_millis(500));
    assert_eq!(remaining(1300), Duration::from_millis(200));
    acquire_delay.reset();
    let mut remaining = |millis| acquire_delay.remaining(at(millis), false, Duration::ZERO);
    assert_eq!(remaining(9000), Duration::from_millis(500));
    assert_eq!(remaining(9600), Duration::ZERO);
}

#[test]
fn a_process_that_was_just_restarted_waits_less_than_one_that_still_has_to_be() {
    assert_eq!(initial_delay(true, 0), Duration::ZERO);
    assert!(initial_delay(true, 4) < initial_delay(true, 30));
    assert_eq!(initial_delay(true, 60), initial_delay(true, 6000));
    assert!(initial_delay(true, 6000) < initial_delay(false, 0));
}
