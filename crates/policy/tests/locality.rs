//! Which share of requests leaves a failure domain, under load in virtual time.

#[path = "common/lookups.rs"]
#[allow(dead_code, reason = "each test file uses a part")]
mod lookups;
#[path = "common/paces.rs"]
#[allow(dead_code, reason = "each test file uses a part")]
mod paces;

use std::time::Duration;

use lookups::{Figures, Report, Scene, Setup, Shape};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::locality::{Facts, Place, Share};

/// The number of seconds that a simulation takes. Its scene lasts from 20 to 40.
const SECONDS: u64 = 60;

fn play(load: f64, scene: Scene, has_locality: bool) -> Report {
    let report = lookups::run(Setup {
        gateways: 20,
        servers: 8,
        load,
        figures: Figures::None,
        scene,
        has_locality,
        shape: Shape::Even,
        duration: Duration::from_secs(SECONDS),
        seed: 11,
    });
    let left = |from: usize, to: usize| -> usize { report.left.iter().take(to).skip(from).sum() };
    println!(
        "{scene:?} at {load:.1}, locality {has_locality}: 50th {:.0} ms, 95th {:.0} ms, 99th {:.0} ms, \
         {} lookups, {} lost, {} MB left, left before, during, soon after and later: {} {} {} {}, changes {}, \
         reversals at most {}",
        report.percentile(50),
        report.percentile(95),
        report.percentile(99),
        report.count(),
        report.lost,
        report.bytes_left / 1_000_000,
        left(0, 20),
        left(20, 40),
        left(40, 50),
        left(50, 60),
        report.changes.iter().map(Vec::len).sum::<usize>(),
        reversals(&report),
    );
    report
}

/// Returns the number of requests that left.
fn leavers(report: &Report) -> usize {
    report.left.iter().sum()
}

/// Returns the highest number of changes of direction of a gateway's share.
fn reversals(report: &Report) -> usize {
    let of_gateway = |changes: &Vec<(u64, f64)>| {
        let values: Vec<f64> = std::iter::once(0.0)
            .chain(changes.iter().map(|(_, value)| *value))
            .collect();
        let rises: Vec<bool> = values.windows(2).map(|pair| pair[1] > pair[0]).collect();
        rises.windows(2).filter(|pair| pair[0] != pair[1]).count()
    };
    report.changes.iter().map(of_gateway).max().unwrap_or(0)
}

/// Guards against requests that leave without need.
#[test]
fn nothing_leaves_where_servers_are_close_and_not_full() {
    let with = play(0.3, Scene::Calm, true);
    let without = play(0.3, Scene::Calm, false);
    assert!(with.changes.iter().all(Vec::is_empty));
    assert_eq!(with.lost, 0);
    assert!(with.percentile(95) <= without.percentile(95) * 1.05);
}

/// Guards against a domain that is left alone with a burst, and against a share that stays away or
/// oscillates.
#[test]
fn a_share_leaves_in_a_burst_and_returns() {
    let with = play(0.5, Scene::Burst, true);
    let without = play(0.5, Scene::Burst, false);
    assert!(with.percentile(95) <= without.percentile(95) * 1.05);
    assert!(with.left[22..40].iter().sum::<usize>() > 0);
    assert!(leavers(&with) < leavers(&without) / 2);
    assert!(with.bytes_left >= 8192 * (leavers(&with) as u64 * 9 / 10));
    assert!(with.left[50..].iter().sum::<usize>() < with.left[30..40].iter().sum::<usize>() / 10);
    assert!(reversals(&with) <= 4, "{} reversals", reversals(&with));
}

/// Guards against requests without a server while others have some, and against a share that stays
/// away after the servers are back.
#[test]
fn all_requests_leave_a_domain_without_servers_and_return() {
    let with = play(0.5, Scene::Lost, true);
    let without = play(0.5, Scene::Lost, false);
    assert!(with.lost <= without.lost);
    assert!(with.percentile(95) <= without.percentile(95) * 1.1);
    let away = with.left[50..].iter().sum::<usize>();
    assert!(
        away < with.left[30..40].iter().sum::<usize>() / 10,
        "{away}"
    );
    assert!(reversals(&with) <= 4, "{} reversals", reversals(&with));
}

/// Guards against requests that stay at what is left of a domain's servers, and against a share that
/// stays away after the server is back.
#[test]
fn a_share_leaves_while_one_of_two_servers_is_gone_and_returns() {
    let with = play(0.7, Scene::OneLost, true);
    let without = play(0.7, Scene::OneLost, false);
    assert!(with.lost <= without.lost);
    assert!(with.percentile(95) <= without.percentile(95) * 1.1);
    assert!(leavers(&with) > 0 && leavers(&with) < leavers(&without) / 2);
    let away = with.left[50..].iter().sum::<usize>();
    assert!(
        away <= with.left[30..40].iter().sum::<usize>() / 10,
        "{away}"
    );
    assert!(reversals(&with) <= 4, "{} reversals", reversals(&with));
}

fn place(domain: &str, millis: u64, free: u32) -> Place {
    Place {
        domain: domain.to_owned(),
        service_time: Duration::from_millis(millis),
        free,
        ..Place::default()
    }
}

fn facts(here: Option<u64>, others: &[(&str, u64, u32)], bytes: f64) -> Facts {
    Facts {
        here: here.map(|millis| place("d0", millis, 0)),
        others: others
            .iter()
            .map(|(name, millis, free)| place(name, *millis, *free))
            .collect(),
        bytes,
    }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

/// Guards against a share that jumps, and against one target for all.
#[test]
fn a_share_rises_in_steps_and_is_divided_by_free_capacity() {
    let mut share = Share::default();
    let others = [("d1", 40, 9), ("d2", 40, 3)];
    let mut values = Vec::new();
    for round in 0..8 {
        share.review(at(round * 200), facts(Some(80), &others, 0.0));
        values.push((share.value() * 10.0).round() / 10.0);
    }
    insta::assert_debug_snapshot!(values);
    let to_first = (0..1000u32)
        .filter(|draw| share.target(f64::from(*draw) / 1000.0) == Some("d1"))
        .count();
    let leaving = (0..1000u32)
        .filter(|draw| share.target(f64::from(*draw) / 1000.0).is_some())
        .count();
    assert!(
        (leaving * 3 / 4).abs_diff(to_first) <= 2,
        "{to_first} of {leaving}"
    );
}

/// Guards against changes back and forth while the costs hardly differ.
#[test]
fn a_share_keeps_its_value_between_the_two_thresholds() {
    let mut share = Share::default();
    for round in 0..50 {
        let here = if round % 2 == 0 { 44 } else { 41 };
        share.review(at(round * 200), facts(Some(here), &[("d1", 40, 6)], 0.0));
    }
    assert!(share.value().abs() < f64::EPSILON);
}

/// Guards against large bodies that leave for little.
#[test]
fn bytes_have_a_price() {
    let mut shares = [Share::default(), Share::default()];
    for round in 0..10 {
        for (share, bytes) in shares.iter_mut().zip([8.0e3, 8.0e6]) {
            share.review(at(round * 200), facts(Some(80), &[("d1", 40, 6)], bytes));
        }
    }
    assert!(shares[0].value() > 0.0 && shares[1].value().abs() < f64::EPSILON);
}

/// Guards against waiting for steps where the domain has no server at all.
#[test]
fn without_servers_everything_leaves_at_once() {
    let mut share = Share::default();
    share.review(at(0), facts(None, &[("d1", 40, 6)], 0.0));
    assert!((share.value() - 1.0).abs() < f64::EPSILON);
}
