//! Who waits before it takes the lease.

use std::time::Duration;

use tamaracksail_model::time::Instant;
use tamaracksail_policy::acquire_delay::AcquireDelay;

fn wait(has_spare_cpu: bool, uptime_s: u64) -> Duration {
    let uptime = Duration::from_secs(uptime_s);
    AcquireDelay::default().remaining(Instant::from_millis(1000), has_spare_cpu, uptime)
}

#[test]
fn the_wait_begins_anew_after_another_has_held() {
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
fn a_process_that_was_just_restarted_goes_before_one_that_is_still_to_be() {
    assert_eq!(wait(true, 0), Duration::ZERO);
    assert!(wait(true, 4) < wait(true, 30));
    assert_eq!(wait(true, 60), wait(true, 6000));
    assert!(wait(true, 6000) < wait(false, 0));
}
