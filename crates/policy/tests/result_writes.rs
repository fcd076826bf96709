//! The writes of results to the store.

#[path = "common/engines.rs"]
#[allow(dead_code, reason = "each test file uses a part")]
mod engines;

use std::time::Duration;

use engines::Simulation;

const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// The limit on the text of the results in one write, in bytes.
const MAX_BYTES: usize = 2000;

/// Guards against a write that the store refuses as too long, again and again: the results of items
/// that ended in an outage of the store were written together.
#[test]
fn results_that_wait_for_the_store_are_written_in_parts_that_it_accepts() {
    let mut simulation = Simulation::new(4, 8, EVENT_INTERVAL);
    simulation.scheduler.limit_writes(MAX_BYTES, usize::MAX);
    simulation.write_time = Duration::from_secs(4);
    simulation.submit("s", 1, 2, &[("g0", &[1]), ("g1", &vec![40; 30])]);
    let took = simulation.run_until_complete("s", 2);
    assert!(
        simulation.longest_write <= MAX_BYTES,
        "{}",
        simulation.longest_write
    );
    assert_eq!(simulation.results["s"].len(), 31);
    assert!(took < Duration::from_mins(1), "{took:?}");
}

// Guards against: the text of an engine that sends events without end uses up the memory of the scheduler.
#[test]
fn a_text_that_is_too_long_to_be_stored_is_discarded_and_the_item_runs_again() {
    let mut simulation = Simulation::new(1, 1, EVENT_INTERVAL);
    simulation.scheduler.limit_writes(MAX_BYTES, MAX_BYTES / 4);
    simulation.submit("s", 1, 1, &[("g0", &[1])]);
    simulation.run_for(Duration::from_secs(1));
    simulation.submit("t", 1, 1, &[("h0", &[400])]);
    simulation.run_for(Duration::from_secs(20));
    assert_eq!(simulation.results["s"].len(), 1);
    assert!(simulation.results["t"].is_empty(), "the text was listed");
}
