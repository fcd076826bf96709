//! The pace of servers: how it is estimated, and what it does to the choice of a server under load.

#[path = "common/lookups.rs"]
#[allow(dead_code, reason = "each test file uses a part")]
mod lookups;
#[path = "common/paces.rs"]
#[allow(dead_code, reason = "each test file uses a part")]
mod paces;

use std::collections::BTreeMap;
use std::time::Duration;

use lookups::{Figures, Report, Scene, Setup, Shape};
use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::pace::Reading;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::fleet::{Fleet, Query, SendOutcome, ServerKey};
use tamaracksail_policy::pace::{Latency, Pace};

fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

fn reading(percent: f64) -> Reading {
    Reading::from_percent(percent).expect("a usable figure")
}

fn fleet(count: usize) -> (Fleet, Vec<ServerKey>) {
    let mut fleet = Fleet::default();
    let mut keys = Vec::new();
    for number in 0..count {
        fleet.register(Registration {
            instance: format!("s{number}"),
            started_at_ms: Some(1),
            service: "app".to_owned(),
            software: "v1".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            domain: "d0".to_owned(),
            slots: 6,
            state: State::Ready,
            models: BTreeMap::new(),
        });
        keys.extend(fleet.key_of(&format!("s{number}"), Some(1)));
    }
    (fleet, keys)
}

fn query() -> Query<'static> {
    Query {
        service: "app",
        software: None,
        domain: "d0",
        except: &[],
    }
}

fn setup(load: f64, figures: Figures) -> Setup {
    Setup {
        gateways: 22,
        servers: 12,
        load,
        figures,
        shape: Shape::Mixed,
        scene: Scene::Calm,
        has_locality: false,
        duration: Duration::from_mins(1),
        seed: 7,
    }
}

fn print(name: &str, setup: Setup, report: &Report) {
    println!(
        "{name}: {} servers, load {:.1}, {:?}, {:?}: 50th {:.0} ms, 95th {:.0} ms, 99th {:.0} ms, \
         {} lookups, {} sends, {} lost",
        setup.servers,
        setup.load,
        setup.figures,
        setup.shape,
        report.percentile(50),
        report.percentile(95),
        report.percentile(99),
        report.count(),
        report.sends,
        report.lost
    );
}

fn play(name: &str, setup: Setup) -> Report {
    let report = lookups::run(setup);
    print(name, setup, &report);
    report
}

/// Guards against a reading that outlives the phase that it describes.
#[test]
fn the_last_reading_decays_to_the_lasting_pace() {
    let mut pace = Pace::default();
    for tick in 0..400 {
        pace.record(at(tick * 100), reading(100.0));
    }
    pace.record(at(40_000), reading(250.0));
    let rounded = |millis: u64| (pace.momentary(at(40_000 + millis)) * 100.0).round() / 100.0;
    insta::assert_debug_snapshot!([0, 150, 300, 450, 600, 5000].map(rounded));
}

/// Guards against slow phases that count as a slow host: both servers have the same phases.
#[test]
fn the_lasting_pace_tells_a_slow_host_from_slow_phases() {
    let mut paces = [Pace::default(), Pace::default()];
    for tick in 0..1200 {
        let now = at(tick * 50);
        for (pace, host) in paces.iter_mut().zip([100.0, 130.0]) {
            let phase = if paces::is_in_phase(1, now) { 2.5 } else { 1.0 };
            pace.record(now, reading(host * phase));
        }
    }
    let ratio = paces[1].lasting() / paces[0].lasting();
    assert!((1.25..1.35).contains(&ratio), "{ratio}");
    assert!(paces[0].lasting() < 1.4, "{}", paces[0].lasting());
}

/// Guards against a long item that avoids an engine which is slow for only 600 ms.
#[test]
fn the_longer_the_work_the_less_the_moment_counts() {
    let mut pace = Pace::default();
    for tick in 0..400 {
        pace.record(at(tick * 100), reading(100.0));
    }
    pace.record(at(40_000), reading(250.0));
    let short = pace.over(at(40_000), Duration::from_millis(30));
    let long = pace.over(at(40_000), Duration::from_secs(5));
    assert!(short > 2.4, "{short}");
    assert!(long < 1.2, "{long}");
}

/// Guards against estimates that change where no server states the figure: they are those of the
/// moving average that was used before.
#[test]
fn without_figures_the_expected_latency_is_the_average_of_durations() {
    let mut latency = Latency::default();
    let mut expected = 0.025;
    for number in 0..500u64 {
        let duration = Duration::from_millis(10 + number * 37 % 90);
        latency.record(at(number * 20), duration, 1.0);
        expected += (duration.as_secs_f64() - expected) * 0.2;
        assert_eq!(
            latency.expected_seconds(at(number * 20)).to_bits(),
            f64::to_bits(expected)
        );
    }
}

/// Guards against a wrong constant that makes a server look faster or slower than it is.
#[test]
fn a_stuck_figure_cancels_out() {
    let mut latency = Latency::default();
    for number in 0..200 {
        latency.record_reading(at(number * 50), reading(250.0));
        latency.record(at(number * 50), Duration::from_millis(40), 1.0);
    }
    let expected = latency.expected_seconds(at(10_000));
    assert!((0.035..0.045).contains(&expected), "{expected}");
}

/// Guards against trust in a server that states 100 while its work takes longer than its peers'.
#[test]
fn a_server_whose_figures_disagree_with_its_peers_is_detected_and_trusted_again() {
    let (mut fleet, keys) = fleet(4);
    let mut changes = Vec::new();
    for round in 0..800u64 {
        for (number, key) in keys.iter().enumerate() {
            let millis = if number == 2 && round < 400 { 75 } else { 30 };
            let now = at(round * 50);
            fleet.record_sent(*key);
            let change = fleet.record_pace(now, *key, reading(100.0));
            let outcome = SendOutcome::Responded(Duration::from_millis(millis));
            fleet.record_outcome(now, *key, outcome);
            changes.extend(change.map(|trust| (number, trust.is_trusted)));
        }
    }
    assert_eq!(changes, [(2, false), (2, true)]);
}

/// Guards against second attempts that add load while all servers are slow or full, and against a
/// change where no server states its pace.
#[test]
fn a_second_attempt_is_made_only_at_a_faster_server_with_free_slots() {
    let (mut fleet, keys) = fleet(3);
    let now = at(0);
    let pays = |fleet: &Fleet| fleet.hedge_pays(now, keys[0], query(), false);
    assert!(pays(&fleet), "no figures");
    for key in &keys {
        fleet.record_pace(now, *key, reading(250.0));
    }
    assert!(!pays(&fleet), "all are slow");
    assert!(
        fleet.hedge_pays(now, keys[0], query(), true),
        "the response is overdue"
    );
    fleet.record_pace(now, keys[1], reading(100.0));
    assert!(pays(&fleet), "another is faster");
    for key in &keys {
        fleet.record_load(now, *key, 6);
    }
    assert!(
        !fleet.hedge_pays(now, keys[0], query(), true),
        "all are full"
    );
}

/// Checks that lookups of the mixed fleet stay below their objective of 150 ms at 0.7 of capacity, and
/// that they are faster than without the figure.
fn check_objective(servers: usize) {
    let with = Setup {
        servers,
        ..setup(0.7, Figures::True)
    };
    let without = Setup {
        servers,
        ..setup(0.7, Figures::None)
    };
    let with = play("mixed", with).percentile(95);
    let without = play("mixed", without).percentile(95);
    assert!(
        with < without,
        "{servers} servers: {with} ms, without {without} ms"
    );
    assert!(with < 150.0, "{servers} servers: {with} ms");
}

/// Guards against a longer wait because the figure is used.
#[test]
fn lookups_of_a_mixed_fleet_meet_their_objective_and_are_faster_with_the_figure() {
    check_objective(12);
}

/// The same with four servers, of which two are in a slow phase a tenth of the time.
#[test]
fn lookups_of_four_mixed_servers_meet_their_objective_and_are_faster_with_the_figure() {
    check_objective(4);
}

/// Guards against a gain at one load that another pays for.
#[test]
fn the_figure_does_no_harm_at_any_load() {
    for load in [0.5, 0.6, 0.8, 0.9, 1.0, 1.1] {
        let with = play("loads", setup(load, Figures::True));
        let without = play("loads", setup(load, Figures::None));
        let (with_95, without_95) = (with.percentile(95), without.percentile(95));
        assert!(
            with_95 <= without_95 * 1.05,
            "{load}: {with_95} ms, without {without_95} ms"
        );
        assert!(with.lost <= without.lost + without.lost / 20, "{load}");
    }
}

/// Guards against figures that make it worse: whatever servers state, lookups take at most a tenth
/// longer than if they stated nothing.
#[test]
fn late_missing_wrong_and_stuck_figures_do_little_harm() {
    let without = play("readings", setup(0.7, Figures::None)).percentile(95);
    for figures in [
        Figures::Late,
        Figures::Missing,
        Figures::Wrong,
        Figures::Stuck,
        Figures::Normal,
    ] {
        let with = play("readings", setup(0.7, figures)).percentile(95);
        assert!(
            with <= without * 1.1,
            "{figures:?}: {with} ms, without {without} ms"
        );
    }
}

/// Guards against requests that stay at servers which became slow, and against a herd to one server
/// while all are slow.
#[test]
fn steps_and_a_time_in_which_all_are_slow_are_not_worse_than_without_the_figure() {
    for shape in [Shape::Step, Shape::AllSlow] {
        let with = play(
            "steps",
            Setup {
                shape,
                ..setup(0.6, Figures::True)
            },
        );
        let without = play(
            "steps",
            Setup {
                shape,
                ..setup(0.6, Figures::None)
            },
        );
        let (with, without) = (with.percentile(95), without.percentile(95));
        assert!(
            with <= without * 1.05,
            "{shape:?}: {with} ms, without {without} ms"
        );
    }
}
