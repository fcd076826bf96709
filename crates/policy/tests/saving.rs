//! What is left of unfinished items when the scheduling process is lost. All times are virtual.

#[path = "common/engines.rs"]
#[allow(dead_code, reason = "each test file uses a part")]
mod engines;

use std::time::Duration;

use engines::World;
use proptest::prelude::*;
use tamaracksail_model::checkpoint::{Checkpoint, Segment};
use tamaracksail_policy::batch::join_segments;

const PACE: Duration = Duration::from_millis(40);

/// A world whose text is saved each second while `seconds` pass.
fn pass_saving(world: &mut World, seconds: u64) {
    for _ in 0..seconds {
        world.pass(Duration::from_secs(1));
        world.save();
    }
}

#[test]
fn a_long_item_goes_on_after_the_scheduler_was_lost() {
    let mut world = World::new(2, 4, PACE);
    world.submit("s", 1, 1, &[("g0", &[150])]);
    pass_saving(&mut world, 5);
    world.take_over(1);
    let took = world.until_whole("s", 1);
    // One second of six is left, where all of it would take six.
    assert!(took < Duration::from_millis(1500), "{took:?}");
}

#[test]
fn text_that_is_older_than_the_ring_is_saved_whole_again() {
    let mut world = World::new(2, 4, PACE);
    world.submit("s", 1, 1, &[("g0", &[1000])]);
    pass_saving(&mut world, 35);
    world.take_over(1);
    let took = world.until_whole("s", 1);
    assert!(took < Duration::from_secs(6), "{took:?}");
}

#[test]
fn a_holder_that_takes_the_lease_anew_saves_its_texts_whole() {
    let mut world = World::new(2, 4, PACE);
    world.submit("s", 1, 1, &[("g0", &[150])]);
    pass_saving(&mut world, 2);
    world.fence += 1;
    pass_saving(&mut world, 3);
    world.take_over(1);
    let took = world.until_whole("s", 1);
    assert!(took < Duration::from_millis(1500), "{took:?}");
}

#[test]
fn carried_groups_are_known_after_the_scheduler_was_lost() {
    let mut world = World::new(2, 4, PACE);
    world.submit("s", 1, 1, &[("g0", &[200]), ("g1", &[5])]);
    world.until_whole("s", 1);
    world.end("s");
    world.submit("t", 1, 1, &[("g0", &[200]), ("h0", &[40])]);
    pass_saving(&mut world, 1);
    world.take_over(1);
    world.until_whole("t", 1);
    // Enough groups are whole, and the carried one still goes on elsewhere.
    for name in ["e00", "e01"] {
        world.crash(name);
    }
    let took = world.until_whole("t", 2);
    assert!(took < Duration::from_secs(9), "{took:?}");
}

fn segment(series: u64, after: Option<u64>, last: u64, data: &str) -> Segment {
    Segment {
        item: "i".to_owned(),
        series,
        after,
        last,
        data: data.to_owned(),
        versions: [1].into(),
    }
}

#[test]
fn segments_of_two_series_are_never_joined() {
    let checkpoint = |fence, segments| Checkpoint {
        fence,
        segments,
        groups: Vec::new(),
    };
    let found = join_segments(vec![
        checkpoint(
            1,
            vec![segment(1, Some(2), 4, "c\nd"), segment(2, None, 1, "x")],
        ),
        checkpoint(2, vec![segment(1, Some(1), 3, "y\nz")]),
        checkpoint(
            1,
            vec![segment(1, None, 2, "a\nb"), segment(1, Some(5), 6, "f")],
        ),
    ]);
    let found: Vec<(&str, &str, Option<u64>)> = found
        .iter()
        .map(|(item, text)| (item.as_str(), text.data.as_str(), text.last))
        .collect();
    assert_eq!(found, [("i", "a\nb\nc\nd", Some(4))]);
}

#[derive(Clone, Debug)]
enum Happening {
    Pass(u64),
    Save,
    SaveLost,
    Name,
    Crash(usize),
    TakeOver,
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        3 => (50..1500u64).prop_map(Happening::Pass),
        3 => Just(Happening::Save),
        1 => Just(Happening::SaveLost),
        1 => Just(Happening::Name),
        1 => (0..3usize).prop_map(Happening::Crash),
        1 => Just(Happening::TakeOver),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(64) })]

    /// Whenever the scheduler is lost, and whichever saves are: each item is listed once, whole,
    /// and names the versions that made it. The world checks it at every listing.
    #[test]
    fn every_item_is_whole_and_names_its_versions(
        happenings in prop::collection::vec(happening(), 1..30),
    ) {
        let mut world = World::new(3, 4, PACE);
        let mut version = 1;
        world.submit("s", 1, 4, &[
            ("g0", &[30, 90]), ("g1", &[60, 25]), ("g2", &[150, 10]), ("g3", &[40, 300]),
        ]);
        for happening in happenings {
            match happening {
                Happening::Pass(millis) => world.pass(Duration::from_millis(millis)),
                Happening::Save => world.save(),
                Happening::SaveLost => {
                    drop(world.scheduler.checkpoint(1, usize::MAX));
                    world.scheduler.checkpoint_lost();
                }
                Happening::Name => {
                    version += 1;
                    world.scheduler.version_announced(engines::MODEL, version);
                }
                Happening::Crash(number) => world.crash(&format!("e{number:02}")),
                Happening::TakeOver => world.take_over(version),
            }
        }
        world.until_whole("s", 4);
    }
}
