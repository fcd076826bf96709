//! What trainers get from the scheduler, by load. All times are virtual.

#[path = "common/engines.rs"]
#[allow(dead_code, reason = "each test file uses a part")]
mod engines;

use std::fmt::Write;
use std::time::Duration;

use engines::World;
use proptest::prelude::*;
use tamaracksail_model::backend::State;

const PACE: Duration = Duration::from_millis(40);

/// Groups of four items; one in four groups has an item that is five times as long.
fn groups(step: usize, count: usize) -> Vec<(String, Vec<u64>)> {
    (0..count)
        .map(|group| {
            let long = if group % 4 == 3 { 100 } else { 20 };
            let name = format!("s{step}g{group}");
            (name, vec![18, 20, 22 + (group as u64 % 5), long])
        })
        .collect()
}

fn borrow(groups: &[(String, Vec<u64>)]) -> Vec<(&str, &[u64])> {
    groups
        .iter()
        .map(|(name, lengths)| (name.as_str(), lengths.as_slice()))
        .collect()
}

/// Runs steps as a trainer does: each waits for nine tenths of its groups, then names the next
/// version and asks for the next step, with the groups that were left.
fn train(world: &mut World, steps: usize, count: usize) -> String {
    let mut report = String::new();
    let mut left: Vec<(String, Vec<u64>)> = Vec::new();
    for step in 0..steps {
        let mut asked = left.clone();
        asked.extend(groups(step, count - left.len()));
        let target = count * 9 / 10;
        let id = format!("step-{step}");
        let min_version = u64::try_from(step).unwrap_or(0).max(1) - u64::from(step > 1);
        world.submit(&id, min_version.max(1), target, &borrow(&asked));
        let took = world.until_whole(&id, target);
        let listed = &world.listed[&id];
        left = asked
            .into_iter()
            .filter(|(name, lengths)| {
                let of_group = listed
                    .iter()
                    .filter(|l| l.item.split('.').next() == Some(name));
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
        world.end(&id);
        world.pass(Duration::from_millis(500));
        world
            .scheduler
            .version_announced(engines::MODEL, step as u64 + 2);
    }
    writeln!(
        report,
        "loads: {}, at once: {}",
        world.loads, world.most_loading
    )
    .expect("text grows");
    for (reason, count) in &world.stops {
        writeln!(report, "{count} runs stopped: {reason}").expect("text grows");
    }
    report
}

#[test]
fn steps_of_one_trainer_on_calm_engines() {
    let mut world = World::new(12, 12, PACE);
    insta::assert_snapshot!(train(&mut world, 6, 40));
}

#[test]
fn steps_with_two_slow_engines() {
    let mut world = World::new(12, 12, PACE);
    for name in ["e03", "e07"] {
        world.engines.get_mut(name).expect("it is there").pace = PACE * 7 / 2;
    }
    insta::assert_snapshot!(train(&mut world, 6, 40));
}

#[test]
fn steps_with_a_silent_engine() {
    let mut world = World::new(12, 12, PACE);
    world.engines.get_mut("e05").expect("it is there").is_silent = true;
    insta::assert_snapshot!(train(&mut world, 6, 40));
}

#[test]
fn an_engine_that_leaves_gets_nothing_new() {
    let mut world = World::new(2, 4, PACE);
    world.enter("e00", 4, State::Draining);
    world.submit("s", 1, 2, &[("g0", &[10, 10]), ("g1", &[10, 10])]);
    world.turn();
    world.engines.get_mut("e00").expect("it is there").is_silent = true;
    let took = world.until_whole("s", 2);
    assert!(took < Duration::from_secs(2), "{took:?}");
}

#[test]
fn text_of_a_crashed_engine_is_not_made_again() {
    let mut world = World::new(2, 4, PACE);
    world.submit("s", 1, 1, &[("g0", &[50])]);
    world.pass(Duration::from_secs(1));
    world.crash("e00");
    world.crash("e01");
    let took = world.until_whole("s", 1);
    // Half was there; all of it would take two seconds.
    assert!(took < Duration::from_millis(1500), "{took:?}");
}

#[test]
fn an_item_that_no_engine_may_run_waits_for_its_version() {
    let mut world = World::new(3, 4, PACE);
    world.scheduler.version_announced(engines::MODEL, 2);
    world.submit("s", 2, 1, &[("g0", &[5, 5])]);
    world.until_whole("s", 1);
    assert!(world.loads >= 1);
}

#[derive(Clone, Debug)]
enum Trouble {
    Slow(usize),
    Silent(usize),
    Heard(usize),
    Crash(usize),
    Leave(usize),
    Return(usize),
    Name,
    Pass(u64),
}

fn trouble() -> impl Strategy<Value = Trouble> {
    prop_oneof![
        (0..6usize).prop_map(Trouble::Slow),
        (0..6usize).prop_map(Trouble::Silent),
        (0..6usize).prop_map(Trouble::Heard),
        (0..6usize).prop_map(Trouble::Crash),
        (0..6usize).prop_map(Trouble::Leave),
        (0..6usize).prop_map(Trouble::Return),
        Just(Trouble::Name),
        (10..900u64).prop_map(Trouble::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(48) })]

    /// Whatever engines do, each item is listed once and whole, with allowed versions, and runs
    /// at one engine at a time. The world checks it at every listing and start.
    #[test]
    fn every_item_is_listed_once_and_whole(troubles in prop::collection::vec(trouble(), 1..25)) {
        let mut world = World::new(6, 4, PACE);
        let mut version = 1;
        let asked = groups(0, 10);
        world.submit("s", 1, 10, &borrow(&asked));
        for trouble in troubles {
            let name = |number: usize| format!("e{number:02}");
            match trouble {
                Trouble::Slow(n) => world.engines.get_mut(&name(n)).unwrap().pace = PACE * 4,
                Trouble::Silent(n) => world.engines.get_mut(&name(n)).unwrap().is_silent = true,
                Trouble::Heard(n) => world.engines.get_mut(&name(n)).unwrap().is_silent = false,
                Trouble::Crash(n) => world.crash(&name(n)),
                Trouble::Leave(n) => world.scheduler.remove_engine(world.now, &name(n)),
                Trouble::Return(n) => world.enter(&name(n), 4, State::Ready),
                Trouble::Name => {
                    version += 1;
                    world.scheduler.version_announced(engines::MODEL, version);
                }
                Trouble::Pass(millis) => world.pass(Duration::from_millis(millis)),
            }
            world.turn();
        }
        for number in 0..6 {
            let name = format!("e{number:02}");
            world.engines.get_mut(&name).unwrap().is_silent = false;
            world.enter(&name, 4, State::Ready);
        }
        world.until_whole("s", 10);
    }
}

#[test]
fn text_whose_result_is_not_durable_is_handed_over() {
    let mut world = World::new(2, 4, PACE);
    world.submit("s", 1, 3, &[("g0", &[5]), ("g1", &[5]), ("g2", &[50])]);
    // Two items are finished; their results are on their way to the store.
    while world.scheduler.partial_texts(world.now).is_empty() && !world.is_writing() {
        world.turn();
    }
    world.scheduler.close(world.now);
    let mut partial_texts = world.scheduler.partial_texts(world.now);
    partial_texts.sort_by(|left, right| left.0.cmp(&right.0));
    let found: Vec<(&str, bool)> = partial_texts
        .iter()
        .map(|(item, text)| (item.as_str(), text.is_whole))
        .collect();
    assert_eq!(found, [("g0.0", true), ("g1.0", true), ("g2.0", false)]);
}

#[test]
fn only_engines_that_a_step_can_use_load_weights() {
    let mut world = World::new(60, 4, PACE);
    let groups: Vec<(String, Vec<u64>)> = (0..4).map(|g| (format!("g{g}"), vec![5, 5])).collect();
    world.submit("s", 1, 4, &borrow(&groups));
    world.until_whole("s", 4);
    world.end("s");
    world.scheduler.version_announced(engines::MODEL, 2);
    world.submit("t", 2, 1, &[("h0", &[5, 5])]);
    world.until_whole("t", 1);
    world.pass(Duration::from_secs(20));
    // Eight items, one and a half times, on engines of four slots, and two to spare.
    assert_eq!(world.loads, 5);
}

#[test]
fn a_carried_group_is_served_after_enough_others_are_whole() {
    let mut world = World::new(2, 4, PACE);
    world.submit("s", 1, 1, &[("g0", &[100]), ("g1", &[5])]);
    world.until_whole("s", 1);
    world.end("s");
    // The group that was left out comes again, and the trainer waits for it whatever else is whole.
    world.submit("t", 1, 1, &[("g0", &[100]), ("h0", &[5])]);
    world.until_whole("t", 1);
    for name in ["e00", "e01"] {
        world.crash(name);
    }
    let took = world.until_whole("t", 2);
    // The rest of its events at 40 ms each.
    assert!(took < Duration::from_secs(4), "{took:?}");
}

#[test]
fn engines_stay_in_use_while_orders_may_not_be_given() {
    let mut world = World::new(4, 4, PACE);
    world.may_command = false;
    world.scheduler.version_announced(engines::MODEL, 2);
    world.submit("s", 1, 2, &[("g0", &[60, 60]), ("g1", &[60, 60])]);
    world.pass(Duration::from_secs(1));
    // Nothing is moved for loads that cannot begin.
    assert_eq!((world.loads, world.stops.len()), (0, 0));
    world.may_command = true;
    world.until_whole("s", 2);
    world.pass(Duration::from_secs(5));
    assert!(world.loads > 0);
}

#[test]
fn items_leave_a_slow_engine_while_others_wait_for_a_version() {
    let mut world = World::new(3, 4, PACE);
    world.may_command = false;
    world.engines.get_mut("e00").expect("it is there").pace = PACE * 4;
    world.scheduler.version_announced(engines::MODEL, 2);
    world.submit("s", 1, 1, &[("g0", &[100, 100, 100, 100, 100, 100])]);
    world.submit("t", 2, 1, &[("h0", &[5])]);
    let took = world.until_whole("s", 1);
    // Four seconds at a good engine, sixteen at the slow one.
    assert!(took < Duration::from_secs(6), "{took:?}");
}

#[test]
fn text_of_batches_that_ended_long_ago_is_not_handed_over() {
    let mut world = World::new(2, 4, PACE);
    world.submit("s", 1, 1, &[("g0", &[200]), ("g1", &[5])]);
    world.until_whole("s", 1);
    world.end("s");
    world.submit("t", 1, 1, &[("h0", &[300])]);
    world.pass(Duration::from_secs(5));
    assert_eq!(world.scheduler.partial_texts(world.now).len(), 1);
    world.pass(Duration::from_secs(5));
    world.scheduler.close(world.now);
    let partial_texts = world.scheduler.partial_texts(world.now);
    let items: Vec<&str> = partial_texts
        .iter()
        .map(|(item, _)| item.as_str())
        .collect();
    assert_eq!(items, ["h0.0"]);
}
