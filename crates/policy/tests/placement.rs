//! Which engines items run on where engines state their pace. All times are virtual.

#[path = "common/engines.rs"]
#[allow(dead_code, reason = "each test file uses a part")]
mod engines;
#[path = "common/paces.rs"]
#[allow(dead_code, reason = "each test file uses a part")]
mod paces;

use std::time::Duration;

use engines::Simulation;
use tamaracksail_model::backend::State;
use tamaracksail_model::time::Instant;

const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// Plays steps of groups of four items, one in sixteen items five times as long, and returns the mean
/// duration of a step in milliseconds. Warms up with two steps.
fn train(simulation: &mut Simulation, steps: usize, groups: usize) -> f64 {
    let mut total = Duration::ZERO;
    for step in 0..steps + 2 {
        let lengths = |group: usize| {
            let long = if group % 4 == 3 { 100 } else { 20 };
            [18, 20, 22 + (group as u64 % 5), long]
        };
        let submitted: Vec<(String, [u64; 4])> = (0..groups)
            .map(|group| (format!("s{step}g{group}"), lengths(group)))
            .collect();
        let slices: Vec<(&str, &[u64])> = submitted
            .iter()
            .map(|(name, lengths)| (name.as_str(), &lengths[..]))
            .collect();
        let id = format!("step-{step}");
        simulation.submit(&id, 1, groups, &slices);
        let took = simulation.run_until_complete(&id, groups);
        if step >= 2 {
            total += took;
        }
        simulation.end(&id);
        simulation.run_for(Duration::from_millis(500));
    }
    total.as_secs_f64() * 1000.0 / f64::from(u32::try_from(steps).expect("few steps"))
}

fn play(pace: fn(usize, Instant) -> f64, states_pace: bool, groups: usize) -> (f64, Simulation) {
    let mut simulation = Simulation::new(12, 8, EVENT_INTERVAL);
    simulation.pace = Some(pace);
    simulation.states_pace = states_pace;
    let mean = train(&mut simulation, 8, groups);
    println!(
        "{groups} groups, pace stated: {states_pace}: {mean:.0} ms a step, stops {:?}",
        simulation.stops
    );
    (mean, simulation)
}

fn hosts(engine: usize, _: Instant) -> f64 {
    paces::lasting(engine)
}

fn phases(engine: usize, now: Instant) -> f64 {
    if paces::is_in_phase(engine, now) {
        2.5
    } else {
        1.0
    }
}

/// Guards against long items on slow hosts, which decide when a step is complete.
#[test]
fn steps_are_faster_if_engines_state_their_pace() {
    for groups in [10, 20, 24] {
        let (without, _) = play(paces::mixed, false, groups);
        let (with, _) = play(paces::mixed, true, groups);
        assert!(
            with < without,
            "{groups} groups: {with} ms, without {without} ms"
        );
    }
}

/// Guards against long items on slow hosts where there are enough fast ones: without phases, a step
/// takes as long as its longest item on a fast engine, after one tick per event.
#[test]
fn long_items_run_on_engines_that_are_permanently_fast() {
    let (with, _) = play(hosts, true, 10);
    assert!(with < 100.0 * 45.0, "{with} ms");
}

/// Guards against items that move again and again between engines that seem faster by turns: on a
/// quiet day with 41 engines, 2,666 items were moved 4,169 times.
#[test]
fn an_item_moves_to_a_faster_engine_once() {
    let (_, simulation) = play(paces::mixed, true, 24);
    let items = simulation.event_counts.len();
    let moves = simulation.stops.get("another engine is faster");
    let moves = moves.copied().unwrap_or(0);
    assert!(
        moves > 0 && moves <= items,
        "{moves} moves of {items} items"
    );
}

/// Guards against draining of an engine that is slow only for the moment.
#[test]
fn an_engine_in_a_slow_phase_keeps_its_items() {
    let (_, simulation) = play(phases, true, 20);
    assert_eq!(simulation.stops.get("the engine is slow"), None);
}

/// Guards against items that stay at an engine which has become slow for good.
#[test]
fn an_engine_that_stays_slow_loses_its_items() {
    fn pace(engine: usize, now: Instant) -> f64 {
        let is_late = now > Instant::from_millis(1_010_000);
        if engine == 4 && is_late { 3.5 } else { 1.0 }
    }
    let (_, simulation) = play(pace, true, 20);
    assert!(
        simulation.stops.contains_key("the engine is slow"),
        "{:?}",
        simulation.stops
    );
}

/// Plays steps with half of the engines in another failure domain. Returns the mean duration of a step
/// in milliseconds, and the share of runs that left.
fn play_domains(prefers_domain: bool, groups: usize) -> (f64, f64) {
    let mut simulation = Simulation::new(12, 8, EVENT_INTERVAL);
    for number in 6..12 {
        let name = format!("e{number:02}");
        simulation.away.insert(name.clone());
        simulation.register(&name, 8, State::Ready);
    }
    if prefers_domain {
        simulation.scheduler.prefer_domain("here");
    }
    let mean = train(&mut simulation, 4, groups);
    let count = |is_counted: &dyn Fn(&String) -> bool| {
        let starts = simulation
            .starts
            .iter()
            .filter(|(name, _)| is_counted(name));
        let sum: usize = starts.map(|(_, count)| count).sum();
        f64::from(u32::try_from(sum).expect("few runs"))
    };
    let left = count(&|name| simulation.away.contains(name)) / count(&|_| true);
    println!(
        "{groups} groups, domain preferred: {prefers_domain}: {mean:.0} ms a step, {left:.2} left"
    );
    (mean, left)
}

/// Guards against runs that leave the failure domain while it has free slots, and against items that
/// wait for a slot here while there are some elsewhere.
#[test]
fn runs_leave_the_failure_domain_only_when_it_is_full() {
    let (few, few_left) = play_domains(true, 10);
    let (few_off, few_left_off) = play_domains(false, 10);
    assert!(few_left.abs() < f64::EPSILON && few_left_off > 0.3);
    assert!(few <= few_off * 1.05);
    let (many, many_left) = play_domains(true, 24);
    let (many_off, many_left_off) = play_domains(false, 24);
    assert!(many_left > 0.0 && many_left <= many_left_off + 0.05);
    assert!(many <= many_off * 1.05);
}
