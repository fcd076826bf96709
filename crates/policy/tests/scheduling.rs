//! How the scheduler serves trainers with healthy and faulty engines. All times are virtual.

#[path = "common/engines.rs"]
#[allow(dead_code, reason = "each test file uses a part")]
mod engines;

use std::fmt::Write;
use std::time::Duration;

use engines::Simulation;
use proptest::prelude::*;
use tamaracksail_model::backend::State;

const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// Returns groups of four items. One in four groups has an item that is five times as long.
fn groups(step: usize, count: usize) -> Vec<(String, Vec<u64>)> {
    (0..count)
        .map(|group| {
            let long = if group % 4 == 3 { 100 } else { 20 };
            let name = format!("s{step}g{group}");
            (name, vec![18, 20, 22 + (group as u64 % 5), long])
        })
        .collect()
}

/// Returns the groups in the form that [`Simulation::submit`] accepts.
fn as_slices(groups: &[(String, Vec<u64>)]) -> Vec<(&str, &[u64])> {
    groups
        .iter()
        .map(|(name, lengths)| (name.as_str(), lengths.as_slice()))
        .collect()
}

/// Runs steps as a trainer does: waits for nine tenths of the groups of each, ends it, announces
/// the next version, and submits the next step with the groups that were left unfinished. Returns
/// a report for a snapshot.
fn train(simulation: &mut Simulation, steps: usize, count: usize) -> String {
    let mut report = String::new();
    let mut left: Vec<(String, Vec<u64>)> = Vec::new();
    for step in 0..steps {
        let mut submitted = left.clone();
        submitted.extend(groups(step, count - left.len()));
        let target = count * 9 / 10;
        let id = format!("step-{step}");
        let min_version = u64::try_from(step).unwrap_or(0).max(1) - u64::from(step > 1);
        simulation.submit(&id, min_version.max(1), target, &as_slices(&submitted));
        let took = simulation.run_until_complete(&id, target);
        let results = &simulation.results[&id];
        left = submitted
            .into_iter()
            .filter(|(name, lengths)| {
                let of_group = results
                    .iter()
                    .filter(|result| result.item.split('.').next() == Some(name));
                of_group.count() < lengths.len()
            })
            .collect();
        writeln!(
            report,
            "step {step}: {} ms, {} groups left",
            took.as_millis(),
            left.len()
        )
        .expect("text grows");
        simulation.end(&id);
        simulation.run_for(Duration::from_millis(500));
        simulation
            .scheduler
            .version_announced(engines::MODEL, step as u64 + 2);
    }
    writeln!(
        report,
        "loads: {}, at once: {}",
        simulation.load_count, simulation.max_concurrent_loads
    )
    .expect("text grows");
    for (reason, count) in &simulation.stops {
        writeln!(report, "{count} runs stopped: {reason}").expect("text grows");
    }
    report
}

#[test]
fn steps_of_one_trainer_with_healthy_engines() {
    let mut simulation = Simulation::new(12, 12, EVENT_INTERVAL);
    insta::assert_snapshot!(train(&mut simulation, 6, 40));
}

#[test]
fn steps_with_two_slow_engines() {
    let mut simulation = Simulation::new(12, 12, EVENT_INTERVAL);
    for name in ["e03", "e07"] {
        simulation
            .engines
            .get_mut(name)
            .expect("the engine exists")
            .event_interval = EVENT_INTERVAL * 7 / 2;
    }
    insta::assert_snapshot!(train(&mut simulation, 6, 40));
}

#[test]
fn steps_with_a_silent_engine() {
    let mut simulation = Simulation::new(12, 12, EVENT_INTERVAL);
    simulation
        .engines
        .get_mut("e05")
        .expect("the engine exists")
        .is_silent = true;
    insta::assert_snapshot!(train(&mut simulation, 6, 40));
}

#[test]
fn a_draining_engine_gets_no_new_items() {
    let mut simulation = Simulation::new(2, 4, EVENT_INTERVAL);
    simulation.register("e00", 4, State::Draining);
    simulation.submit("s", 1, 2, &[("g0", &[10, 10]), ("g1", &[10, 10])]);
    simulation.tick();
    simulation
        .engines
        .get_mut("e00")
        .expect("the engine exists")
        .is_silent = true;
    let took = simulation.run_until_complete("s", 2);
    assert!(took < Duration::from_secs(2), "{took:?}");
}

#[test]
fn text_from_a_crashed_engine_is_not_generated_again() {
    let mut simulation = Simulation::new(2, 4, EVENT_INTERVAL);
    simulation.submit("s", 1, 1, &[("g0", &[50])]);
    simulation.run_for(Duration::from_secs(1));
    simulation.crash("e00");
    simulation.crash("e01");
    let took = simulation.run_until_complete("s", 1);
    // Half of the text exists already; all of it takes two seconds.
    assert!(took < Duration::from_millis(1500), "{took:?}");
}

/// Sets the version of an engine's software.
fn set_software(simulation: &mut Simulation, name: &str, software: &'static str) {
    let engine = simulation.engines.get_mut(name);
    engine.expect("the engine exists").software = software;
    simulation.register(name, 4, State::Ready);
}

#[test]
fn text_continues_at_engines_with_the_software_that_began_it_and_starts_over_without_any() {
    let mut simulation = Simulation::new(4, 4, EVENT_INTERVAL);
    for name in ["e01", "e02"] {
        set_software(&mut simulation, name, "v2");
    }
    simulation.submit("s", 1, 2, &[("g0", &[50, 50]), ("g1", &[50, 50])]);
    simulation.run_for(Duration::from_secs(1));
    for name in ["e00", "e02"] {
        simulation.register(name, 4, State::Draining);
        simulation.crash(name);
    }
    // Half of the text exists already; all of it takes two seconds.
    let took = simulation.run_until_complete("s", 2);
    assert!(took < Duration::from_millis(1500), "{took:?}");
    simulation.submit("t", 1, 2, &[("h0", &[50, 50]), ("h1", &[50, 50])]);
    simulation.run_for(Duration::from_secs(1));
    simulation.register("e03", 4, State::Draining);
    simulation.crash("e03");
    let took = simulation.run_until_complete("t", 2);
    assert!(took > Duration::from_millis(1900), "{took:?}");
    assert!(took < Duration::from_millis(2500), "{took:?}");
}

#[test]
fn text_that_a_restarted_engine_began_before_it_was_registered_is_not_continued_elsewhere() {
    let mut simulation = Simulation::new(2, 4, EVENT_INTERVAL);
    simulation.submit("s", 1, 1, &[("g0", &[50, 50])]);
    simulation.run_for(Duration::from_secs(1));
    // The run on it may have begun at the new process.
    set_software(&mut simulation, "e00", "v2");
    let took = simulation.run_until_complete("s", 1);
    assert!(took > Duration::from_millis(1900), "{took:?}");
    assert!(took < Duration::from_millis(2500), "{took:?}");
    assert_eq!(simulation.stops.get("the engine is gone"), Some(&1));
}

#[test]
fn text_that_continued_at_an_engine_that_restarts_is_kept() {
    let mut simulation = Simulation::new(3, 4, EVENT_INTERVAL);
    simulation.register("e01", 4, State::Draining);
    simulation.register("e02", 4, State::Draining);
    simulation.submit("s", 1, 1, &[("g0", &[50])]);
    simulation.run_for(Duration::from_millis(500));
    simulation.register("e01", 4, State::Ready);
    simulation.register("e00", 4, State::Draining);
    simulation.crash("e00");
    simulation.run_for(Duration::from_millis(500));
    simulation.register("e02", 4, State::Ready);
    set_software(&mut simulation, "e01", "v2");
    let took = simulation.run_until_complete("s", 1);
    assert!(took < Duration::from_millis(1400), "{took:?}");
}

#[test]
fn an_item_waits_until_an_engine_has_loaded_its_version() {
    let mut simulation = Simulation::new(3, 4, EVENT_INTERVAL);
    simulation.scheduler.version_announced(engines::MODEL, 2);
    simulation.submit("s", 2, 1, &[("g0", &[5, 5])]);
    simulation.run_until_complete("s", 1);
    assert!(simulation.load_count >= 1);
}

#[derive(Clone, Debug)]
enum Event {
    Slow(usize),
    Silent(usize),
    Responsive(usize),
    Crash(usize),
    Leave(usize),
    Return(usize),
    AnnounceVersion,
    RunFor(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..6usize).prop_map(Event::Slow),
        (0..6usize).prop_map(Event::Silent),
        (0..6usize).prop_map(Event::Responsive),
        (0..6usize).prop_map(Event::Crash),
        (0..6usize).prop_map(Event::Leave),
        (0..6usize).prop_map(Event::Return),
        Just(Event::AnnounceVersion),
        (10..900u64).prop_map(Event::RunFor),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(48) })]

    /// Whatever engines do, each item gets one complete result with allowed versions, and runs on
    /// one engine at a time. The simulation checks this at every result and start.
    #[test]
    fn every_item_has_one_complete_result(events in prop::collection::vec(event(), 1..25)) {
        let mut simulation = Simulation::new(6, 4, EVENT_INTERVAL);
        let mut version = 1;
        let submitted = groups(0, 10);
        simulation.submit("s", 1, 10, &as_slices(&submitted));
        for event in events {
            let name = |number: usize| format!("e{number:02}");
            match event {
                Event::Slow(n) => simulation.engines.get_mut(&name(n)).unwrap().event_interval =
                    EVENT_INTERVAL * 4,
                Event::Silent(n) => simulation.engines.get_mut(&name(n)).unwrap().is_silent = true,
                Event::Responsive(n) => simulation.engines.get_mut(&name(n)).unwrap().is_silent =
                    false,
                Event::Crash(n) => simulation.crash(&name(n)),
                Event::Leave(n) => simulation.scheduler.remove_engine(simulation.now, &name(n)),
                Event::Return(n) => simulation.register(&name(n), 4, State::Ready),
                Event::AnnounceVersion => {
                    version += 1;
                    simulation.scheduler.version_announced(engines::MODEL, version);
                }
                Event::RunFor(millis) => simulation.run_for(Duration::from_millis(millis)),
            }
            simulation.tick();
        }
        for number in 0..6 {
            let name = format!("e{number:02}");
            simulation.engines.get_mut(&name).unwrap().is_silent = false;
            simulation.register(&name, 4, State::Ready);
        }
        simulation.run_until_complete("s", 10);
    }
}

#[test]
fn text_whose_result_is_not_durable_is_handed_over() {
    let mut simulation = Simulation::new(2, 4, EVENT_INTERVAL);
    simulation.submit("s", 1, 3, &[("g0", &[5]), ("g1", &[5]), ("g2", &[50])]);
    // Two items have finished, and the write of their results is in progress.
    while simulation
        .scheduler
        .partial_texts(simulation.now)
        .is_empty()
        && !simulation.is_writing()
    {
        simulation.tick();
    }
    simulation.scheduler.close(simulation.now);
    let mut partial_texts = simulation.scheduler.partial_texts(simulation.now);
    partial_texts.sort_by(|left, right| left.0.cmp(&right.0));
    let found: Vec<(&str, bool)> = partial_texts
        .iter()
        .map(|(item, text)| (item.name.as_str(), text.is_whole))
        .collect();
    assert_eq!(found, [("g0.0", true), ("g1.0", true), ("g2.0", false)]);
}

#[test]
fn only_engines_that_a_step_can_use_load_weights() {
    let mut simulation = Simulation::new(60, 4, EVENT_INTERVAL);
    let groups: Vec<(String, Vec<u64>)> = (0..4).map(|g| (format!("g{g}"), vec![5, 5])).collect();
    simulation.submit("s", 1, 4, &as_slices(&groups));
    simulation.run_until_complete("s", 4);
    simulation.end("s");
    simulation.scheduler.version_announced(engines::MODEL, 2);
    simulation.submit("t", 2, 1, &[("h0", &[5, 5])]);
    simulation.run_until_complete("t", 1);
    simulation.run_for(Duration::from_secs(20));
    // Slots for one and a half times eight items, on engines of four slots each, and two spare
    // engines.
    assert_eq!(simulation.load_count, 5);
}

#[test]
fn a_carried_over_group_is_finished_after_the_target_is_met() {
    let mut simulation = Simulation::new(2, 4, EVENT_INTERVAL);
    simulation.submit("s", 1, 1, &[("g0", &[100]), ("g1", &[5])]);
    simulation.run_until_complete("s", 1);
    simulation.end("s");
    // The trainer submits the unfinished group again and waits for it no matter which others are
    // complete.
    simulation.submit("t", 1, 1, &[("g0", &[100]), ("h0", &[5])]);
    simulation.run_until_complete("t", 1);
    for name in ["e00", "e01"] {
        simulation.crash(name);
    }
    let took = simulation.run_until_complete("t", 2);
    // The rest of its events takes 40 ms each.
    assert!(took < Duration::from_secs(4), "{took:?}");
}

// Guards against: an item that its trainer waits for is not started again, since the scheduler does not know that
// an earlier batch left its group unfinished.
#[test]
fn an_item_runs_again_after_the_target_is_met_if_its_trainer_does_not_end_the_batch() {
    for is_forgotten in [false, true] {
        let mut simulation = Simulation::new(2, 4, EVENT_INTERVAL);
        simulation.submit("s", 1, 1, &[("g0", &[100]), ("g1", &[5])]);
        simulation.run_until_complete("s", 1);
        simulation.end("s");
        if is_forgotten {
            // Longer than groups are retained.
            simulation.run_for(Duration::from_secs(40));
        } else {
            // No checkpoint has been written, so the next scheduler knows no groups.
            simulation.take_over(1);
        }
        // The item is longer than its client has estimated, so that it is not expected to end last.
        simulation.submit("t", 1, 2, &[("g0", &[10]), ("h0", &[5]), ("h1", &[60])]);
        simulation.event_counts.insert("g0.0".to_owned(), 200);
        simulation.run_until_complete("t", 2);
        for name in ["e00", "e01"] {
            simulation.crash(name);
        }
        let took = simulation.run_until_complete("t", 3);
        // Its events take eight seconds, and the platform allows an item five at no server.
        assert!(took < Duration::from_secs(13), "{is_forgotten}: {took:?}");
    }
}

#[test]
fn engines_stay_in_use_while_commands_may_not_be_sent() {
    let mut simulation = Simulation::new(4, 4, EVENT_INTERVAL);
    simulation.may_command = false;
    simulation.scheduler.version_announced(engines::MODEL, 2);
    simulation.submit("s", 1, 2, &[("g0", &[60, 60]), ("g1", &[60, 60])]);
    simulation.run_for(Duration::from_secs(1));
    // No item is moved for loads that cannot start.
    assert_eq!((simulation.load_count, simulation.stops.len()), (0, 0));
    simulation.may_command = true;
    simulation.run_until_complete("s", 2);
    simulation.run_for(Duration::from_secs(5));
    assert!(simulation.load_count > 0);
}

#[test]
fn items_leave_a_slow_engine_while_other_items_wait_for_a_version() {
    let mut simulation = Simulation::new(3, 4, EVENT_INTERVAL);
    simulation.may_command = false;
    simulation
        .engines
        .get_mut("e00")
        .expect("the engine exists")
        .event_interval = EVENT_INTERVAL * 4;
    simulation.scheduler.version_announced(engines::MODEL, 2);
    simulation.submit("s", 1, 1, &[("g0", &[100, 100, 100, 100, 100, 100])]);
    simulation.submit("t", 2, 1, &[("h0", &[5])]);
    let took = simulation.run_until_complete("s", 1);
    // The items take four seconds on a healthy engine, and sixteen on the slow one.
    assert!(took < Duration::from_secs(6), "{took:?}");
}

#[test]
fn text_of_batches_that_ended_long_ago_is_not_handed_over() {
    let mut simulation = Simulation::new(2, 4, EVENT_INTERVAL);
    simulation.submit("s", 1, 1, &[("g0", &[200]), ("g1", &[5])]);
    simulation.run_until_complete("s", 1);
    simulation.end("s");
    simulation.submit("t", 1, 1, &[("h0", &[300])]);
    simulation.run_for(Duration::from_secs(5));
    assert_eq!(simulation.scheduler.partial_texts(simulation.now).len(), 1);
    simulation.run_for(Duration::from_secs(5));
    simulation.scheduler.close(simulation.now);
    let partial_texts = simulation.scheduler.partial_texts(simulation.now);
    let items: Vec<&str> = partial_texts
        .iter()
        .map(|(item, _)| item.name.as_str())
        .collect();
    assert_eq!(items, ["h0.0"]);
}

#[test]
fn an_item_whose_engines_crashed_is_placed_again_when_no_engine_has_its_version() {
    let mut simulation = Simulation::new(2, 4, EVENT_INTERVAL);
    simulation.submit_single_version("step-0", 1, &[("g0", &[20])]);
    simulation.run_for(EVENT_INTERVAL * 5);
    for name in ["e00", "e01"] {
        simulation.crash(name);
        simulation.scheduler.remove_engine(simulation.now, name);
        simulation
            .engines
            .get_mut(name)
            .expect("the engine is known")
            .version = 2;
        simulation.register(name, 4, State::Ready);
    }
    simulation.run_until_complete("step-0", 1);
    assert_eq!(simulation.results["step-0"][0].versions, [2]);
}
