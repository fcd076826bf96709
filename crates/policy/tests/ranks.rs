//! The order in which items of several open steps start. All times are virtual.

#[path = "common/engines.rs"]
#[allow(dead_code, reason = "each test file uses a part")]
mod engines;

use std::time::Duration;

use engines::Simulation;

const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// The time within which a step is due after its submission.
const DUE: Duration = Duration::from_millis(7500);

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
