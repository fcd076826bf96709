//! Which engines load first when several trainers share them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::batch::{Item, SubmissionRoute};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::batch::{Action, Scheduler, Submission};

const NOW: Instant = Instant(1_000_000_000);

fn registration(number: u16) -> Registration {
    Registration {
        instance: format!("e{number}"),
        started_at_ms: Some(1),
        service: "pool".to_owned(),
        software: "v1".to_owned(),
        address: ([127, 0, 0, 1], number).into(),
        domain: "here".to_owned(),
        slots: 4,
        state: State::Ready,
        models: BTreeMap::from([("a".to_owned(), 8), ("b".to_owned(), 2)]),
    }
}

/// Returns a step of `count` items that form one group.
fn step(model: &str, min_version: u64, count: usize) -> Submission {
    let item = |number: usize| Item {
        id: format!("{model}{min_version}-{number}"),
        path: "/x".to_owned(),
        headers: Vec::new(),
        body: bytes::Bytes::new(),
        tokens: 10,
        hint: None,
        group: Some(format!("{model}{min_version}")),
        reward: None,
    };
    Submission {
        route: SubmissionRoute {
            host: "app".to_owned(),
            path: "/x".to_owned(),
            prefix: None,
        },
        account: None,
        model: Some(model.to_owned()),
        min_version: Some(min_version),
        target_groups: Some(1),
        items: (0..count).map(item).collect(),
        with_result: BTreeSet::new(),
        is_single_version: false,
        max_attempts: 3,
        due: NOW.after(Duration::from_millis(7500)),
        expires: NOW.after(Duration::from_mins(1)),
    }
}

/// Polls the scheduler and returns the models that it commands engines to load.
fn commanded_models(scheduler: &mut Scheduler) -> Vec<String> {
    let actions = scheduler.poll(NOW, true);
    let model = |action| match action {
        Action::LoadWeights { model, .. } => Some(model),
        _ => None,
    };
    actions.into_iter().filter_map(model).collect()
}

fn scheduler_with(count: u16) -> Scheduler {
    let mut scheduler = Scheduler::default();
    for number in 0..count {
        scheduler.register_engine(NOW, registration(number));
    }
    scheduler
}

/// Returns a scheduler with eight engines that hold outdated versions of both models.
fn scheduler_with_outdated_engines() -> Scheduler {
    let mut scheduler = scheduler_with(8);
    scheduler.version_announced("a", 9);
    scheduler.version_announced("b", 3);
    scheduler
}

fn submit(scheduler: &mut Scheduler, submission: Submission) {
    scheduler.submit(NOW, submission, |_, _| Some("pool".to_owned()));
}

#[test]
fn engines_of_the_model_with_waiting_items_load_first() {
    let mut scheduler = scheduler_with_outdated_engines();
    submit(&mut scheduler, step("a", 9, 6));
    // Two engines load at a time. Version numbers of different models are not comparable.
    assert_eq!(commanded_models(&mut scheduler), ["a", "a"]);
}

#[test]
fn models_with_equally_many_waiting_items_share_the_loads() {
    let mut scheduler = scheduler_with_outdated_engines();
    submit(&mut scheduler, step("a", 9, 6));
    submit(&mut scheduler, step("b", 3, 6));
    assert_eq!(commanded_models(&mut scheduler), ["a", "b"]);
}

#[test]
fn engines_that_waiting_items_can_use_do_not_load() {
    let mut scheduler = scheduler_with(2);
    // More items than slots.
    submit(&mut scheduler, step("a", 8, 20));
    scheduler.version_announced("a", 9);
    assert!(commanded_models(&mut scheduler).is_empty());
}

/// The load: a fleet of 1,500 engines, each of which loads two versions. Every gateway, also one that
/// does not schedule, learns of each load.
#[test]
fn a_load_of_weights_at_a_large_fleet_costs_no_pass_over_all_engines() {
    let mut scheduler = scheduler_with(1500);
    drop(scheduler.poll(NOW, true));
    let start = std::time::Instant::now();
    for version in [9, 10] {
        for number in 0..1500 {
            let mut registration = registration(number);
            registration.models.insert("a".to_owned(), version);
            scheduler.register_engine(NOW, registration);
        }
    }
    // A pass over all engines takes about 0.1 ms, so 3,000 of them take 0.3 s or more.
    let took = start.elapsed();
    assert!(took < Duration::from_millis(100), "{took:?}");
}

#[test]
fn engines_that_join_later_are_assigned_to_the_model_with_the_fewest() {
    let mut scheduler = scheduler_with(2);
    drop(scheduler.poll(NOW, true));
    for number in 2..4 {
        scheduler.register_engine(NOW, registration(number));
    }
    scheduler.version_announced("a", 9);
    submit(&mut scheduler, step("a", 9, 12));
    // Two of the four are assigned to this model, and both load at once.
    assert_eq!(commanded_models(&mut scheduler), ["a", "a"]);
    drop(scheduler.poll(NOW, true));
    assert!(commanded_models(&mut scheduler).is_empty());
}

/// The load: a fleet of 6,000 engines, of which a step needs 77 to hold the announced version. Nearly all
/// hold an older one.
#[test]
fn a_poll_at_a_large_fleet_compares_no_engine_with_all_others() {
    let mut scheduler = scheduler_with(6000);
    submit(&mut scheduler, step("a", 8, 200));
    scheduler.version_announced("a", 9);
    drop(scheduler.poll(NOW, true));
    let start = std::time::Instant::now();
    for _ in 0..20 {
        drop(scheduler.poll(NOW, true));
    }
    // Comparing each with all others takes about 30 ms a poll.
    let took = start.elapsed();
    assert!(took < Duration::from_millis(200), "{took:?}");
}

/// The load: the fleet of two years, 600 engines, with two steps of 2,048 items, none of which has an
/// engine of its version yet. A node may spend 3.7% of a core, and a poll comes each 50 ms.
#[test]
fn a_poll_with_a_full_queue_takes_less_than_its_share_of_a_core() {
    let mut scheduler = scheduler_with(600);
    scheduler.version_announced("a", 9);
    scheduler.version_announced("b", 3);
    submit(&mut scheduler, step("a", 9, 2048));
    submit(&mut scheduler, step("b", 3, 2048));
    let poll = || {
        let start = std::time::Instant::now();
        drop(scheduler.poll(NOW, true));
        start.elapsed()
    };
    // The least, since other processes take the processor at times.
    let took = std::iter::repeat_with(poll).take(20).min();
    assert!(took < Some(Duration::from_micros(1850)), "{took:?}");
}
