//! The order in which items of several open steps start. All times are virtual.

#[path = "common/engines.rs"]
#[allow(dead_code, reason = "each test file uses a part")]
mod engines;

use std::time::Duration;

use engines::Simulation;

const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// The time within which a step is due after its submission.
const DUE: Duration = Duration::from_millis(7500);

/// Guards against a long item of a step that waits behind all short items of an earlier step: with
/// its 6 s it was complete after its step was due.
#[test]
fn a_long_item_does_not_wait_for_the_short_items_of_an_earlier_step() {
    let mut simulation = Simulation::new(1, 8, EVENT_INTERVAL);
    let short = vec![25; 48];
    simulation.submit("early", 1, 1, &[("g0", &short)]);
    simulation.run_for(Duration::from_millis(1300));
    simulation.submit("late", 1, 1, &[("h0", &[140])]);
    let took = simulation.run_until_complete("late", 1);
    assert!(took <= DUE, "{took:?}");
    let left = simulation.run_until_complete("early", 1);
    assert!(took + left <= DUE, "{took:?} {left:?}");
}

/// Guards against a takeover that starts the items of the newest step first, because the steps are
/// read from the store in another order than they were submitted.
#[test]
fn after_a_takeover_the_items_of_the_step_that_is_due_first_start_first() {
    let mut simulation = Simulation::new(1, 4, EVENT_INTERVAL);
    let lengths = vec![25; 12];
    simulation.submit("first-read", 1, 1, &[("g0", &lengths)]);
    simulation.submit("older", 1, 1, &[("h0", &[30])]);
    let due = simulation.now.after(DUE);
    simulation.set_due("older", due);
    simulation.set_due("first-read", due.after(Duration::from_secs(4)));
    simulation.take_over(1);
    let took = simulation.run_until_complete("older", 1);
    // The item itself takes 1.2 s, and the result is written within 0.5 s.
    assert!(took <= Duration::from_millis(1700), "{took:?}");
}
