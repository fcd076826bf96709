//! What remains of unfinished items when the scheduling process is lost. All times are virtual.

#[path = "common/engines.rs"]
#[allow(dead_code, reason = "each test file uses a part")]
mod engines;

use std::time::Duration;

use engines::Simulation;
use proptest::prelude::*;
use tamaracksail_model::carried::Carried;
use tamaracksail_model::checkpoint::{Checkpoint, Segment};
use tamaracksail_policy::batch::join_segments;

const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// Runs for some seconds and stores a checkpoint after each.
fn run_with_checkpoints(simulation: &mut Simulation, seconds: u64) {
    for _ in 0..seconds {
        simulation.run_for(Duration::from_secs(1));
        simulation.save_checkpoint();
    }
}

#[test]
fn a_long_item_continues_after_the_scheduler_is_lost() {
    let mut simulation = Simulation::new(2, 4, EVENT_INTERVAL);
    simulation.submit("s", 1, 1, &[("g0", &[150])]);
    run_with_checkpoints(&mut simulation, 5);
    simulation.take_over(1);
    let took = simulation.run_until_complete("s", 1);
    // One of six seconds is left; the whole text takes six.
    assert!(took < Duration::from_millis(1500), "{took:?}");
}

#[test]
fn text_older_than_the_ring_of_checkpoints_is_saved_again_in_full() {
    let mut simulation = Simulation::new(2, 4, EVENT_INTERVAL);
    simulation.submit("s", 1, 1, &[("g0", &[1000])]);
    run_with_checkpoints(&mut simulation, 35);
    simulation.take_over(1);
    let took = simulation.run_until_complete("s", 1);
    assert!(took < Duration::from_secs(6), "{took:?}");
}

#[test]
fn a_scheduler_with_a_new_fencing_token_saves_its_texts_in_full() {
    let mut simulation = Simulation::new(2, 4, EVENT_INTERVAL);
    simulation.submit("s", 1, 1, &[("g0", &[150])]);
    run_with_checkpoints(&mut simulation, 2);
    simulation.fence += 1;
    run_with_checkpoints(&mut simulation, 3);
    simulation.take_over(1);
    let took = simulation.run_until_complete("s", 1);
    assert!(took < Duration::from_millis(1500), "{took:?}");
}

#[test]
fn carried_over_groups_are_known_after_the_scheduler_is_lost() {
    let mut simulation = Simulation::new(2, 4, EVENT_INTERVAL);
    simulation.submit("s", 1, 1, &[("g0", &[200]), ("g1", &[5])]);
    simulation.run_until_complete("s", 1);
    simulation.end("s");
    simulation.submit("t", 1, 1, &[("g0", &[200]), ("h0", &[40])]);
    run_with_checkpoints(&mut simulation, 1);
    simulation.take_over(1);
    simulation.run_until_complete("t", 1);
    // The target is met, and the carried-over group still continues on another engine.
    for name in ["e00", "e01"] {
        simulation.crash(name);
    }
    let took = simulation.run_until_complete("t", 2);
    assert!(took < Duration::from_secs(9), "{took:?}");
}

/// Guards against text and groups of one account that a batch of another carries over because their
/// names are the same.
#[test]
fn text_and_groups_of_an_account_are_not_carried_over_to_another() {
    let whole_text = EVENT_INTERVAL * 100;
    for is_lost in [false, true] {
        let mut simulation = Simulation::new(2, 4, EVENT_INTERVAL);
        simulation.account = Some("north");
        simulation.submit("s", 1, 1, &[("g0", &[100]), ("g1", &[5])]);
        run_with_checkpoints(&mut simulation, 3);
        if is_lost {
            simulation.take_over(1);
        }
        simulation.end("s");
        simulation.account = Some("south");
        simulation.submit("t", 1, 1, &[("g0", &[100])]);
        simulation.run_for(EVENT_INTERVAL);
        let group = Carried::new(Some("south"), "g0");
        assert!(!simulation.scheduler.past_groups().contains(&group));
        let took = simulation.run_until_complete("t", 1);
        assert!(took > whole_text * 9 / 10, "{took:?}, lost: {is_lost}");
        simulation.account = Some("north");
        simulation.submit("u", 1, 1, &[("g0", &[100])]);
        let took = simulation.run_until_complete("u", 1);
        assert!(took < whole_text / 2, "{took:?}, lost: {is_lost}");
    }
}

#[test]
fn names_without_an_account_are_stored_as_before() {
    let stored = |carried: &Carried| serde_json::to_string(carried).expect("text");
    let (plain, owned) = (Carried::new(None, "g"), Carried::new(Some("north"), "g"));
    assert_eq!(stored(&plain), r#""g""#);
    for carried in [plain, owned] {
        let read: Carried = serde_json::from_str(&stored(&carried)).expect("a name");
        assert_eq!(read, carried);
    }
}

/// Returns a segment of the item `i`.
fn segment(series: u64, after: Option<u64>, last: u64, data: &str) -> Segment {
    Segment {
        item: Carried::new(None, "i"),
        series,
        after,
        last,
        data: data.to_owned(),
        versions: [1].into(),
        software: Some("v1".to_owned()),
        is_whole: false,
        reward: None,
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
        .map(|(item, text)| (item.name.as_str(), text.data.as_str(), text.last))
        .collect();
    assert_eq!(found, [("i", "a\nb\nc\nd", Some(4))]);
}

#[derive(Clone, Debug)]
enum Event {
    RunFor(u64),
    SaveCheckpoint,
    LoseCheckpoint,
    AnnounceVersion,
    Crash(usize),
    TakeOver,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (50..1500u64).prop_map(Event::RunFor),
        3 => Just(Event::SaveCheckpoint),
        1 => Just(Event::LoseCheckpoint),
        1 => Just(Event::AnnounceVersion),
        1 => (0..3usize).prop_map(Event::Crash),
        1 => Just(Event::TakeOver),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(64) })]

    /// Whenever the scheduler is lost, and whichever checkpoints are: each item gets one complete
    /// result with the versions that generated it. The simulation checks this at every result.
    #[test]
    fn every_item_is_complete_and_has_its_versions(
        events in prop::collection::vec(event(), 1..30),
    ) {
        let mut simulation = Simulation::new(3, 4, EVENT_INTERVAL);
        let mut version = 1;
        simulation.submit("s", 1, 4, &[
            ("g0", &[30, 90]), ("g1", &[60, 25]), ("g2", &[150, 10]), ("g3", &[40, 300]),
        ]);
        for event in events {
            match event {
                Event::RunFor(millis) => simulation.run_for(Duration::from_millis(millis)),
                Event::SaveCheckpoint => simulation.save_checkpoint(),
                Event::LoseCheckpoint => {
                    drop(simulation.scheduler.checkpoint(1, usize::MAX));
                    simulation.scheduler.checkpoint_lost();
                }
                Event::AnnounceVersion => {
                    version += 1;
                    simulation.scheduler.version_announced(engines::MODEL, version);
                }
                Event::Crash(number) => simulation.crash(&format!("e{number:02}")),
                Event::TakeOver => simulation.take_over(version),
            }
        }
        simulation.run_until_complete("s", 4);
    }
}
