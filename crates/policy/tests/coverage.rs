//! Items that some engine of their service could run get to one.

#[path = "common/fleets.rs"]
#[allow(dead_code, reason = "each test uses a part")]
mod fleets;

use std::time::Duration;

use fleets::{Fleet, Step};

/// The longest time for which an item may be at no engine although one could run it.
const WAIT_LIMIT: Duration = Duration::from_secs(5);

fn step(id: &str, min_version: u64, count: usize, length: u64) -> Step<'_> {
    Step {
        id,
        path: "/roll/",
        model: "m",
        min_version,
        count,
        length,
        optional_groups: 0,
        is_single_version: false,
    }
}

// Guards against: items that wait for their software at an allowed version, which no engine has, since
// some engine has the software and another one the version.
#[test]
fn items_whose_software_is_left_only_at_outdated_engines_run_after_a_release() {
    let mut fleet = Fleet::default();
    fleet.route("/roll/", &["pool"]);
    fleet.add("old-0", "pool", "v1", 12, &[("m", 3)]);
    fleet.add("old-1", "pool", "v1", 12, &[("m", 1)]);
    fleet.announce("m");
    fleet.announce("m");
    // As many engines have the newest version as the steps can use, so no other is commanded to load it.
    fleet.may_command = false;
    fleet.submit(&step("s", 2, 8, 100));
    fleet.run_for(Duration::from_secs(1));
    for number in 0..3 {
        fleet.add(&format!("new-{number}"), "pool", "v2", 12, &[("m", 3)]);
    }
    fleet.end_engine("old-0");
    fleet.may_command = true;
    assert!(fleet.run_step("s"), "{:?}", fleet.longest_wait);
    assert!(
        fleet.longest_wait.0 < WAIT_LIMIT,
        "{:?}",
        fleet.longest_wait
    );
}

// Guards against: items of a single-version route that wait for their version at engines with their
// software, since other engines have the version.
#[test]
fn items_whose_version_is_left_only_at_engines_with_other_software_run_after_a_release() {
    let mut fleet = Fleet::default();
    fleet.route("/roll/", &["pool"]);
    fleet.add("old-0", "pool", "v1", 12, &[("m", 2)]);
    fleet.add("old-1", "pool", "v1", 12, &[("m", 3)]);
    fleet.announce("m");
    let single = Step {
        is_single_version: true,
        ..step("s", 2, 8, 100)
    };
    fleet.end_engine("old-1");
    fleet.submit(&single);
    fleet.run_for(Duration::from_secs(1));
    fleet.add("old-1", "pool", "v1", 12, &[("m", 3)]);
    fleet.add("new", "pool", "v2", 12, &[("m", 2)]);
    fleet.announce("m");
    fleet.end_engine("old-0");
    assert!(fleet.run_step("s"), "{:?}", fleet.longest_wait);
    assert!(
        fleet.longest_wait.0 < WAIT_LIMIT,
        "{:?}",
        fleet.longest_wait
    );
}

/// Runs steps of one trainer as long as all are complete, and names the next version after each. Calls
/// `change` before the third step.
fn train(fleet: &mut Fleet, path: &str, model: &str, change: impl FnOnce(&mut Fleet)) {
    let mut change = Some(change);
    for number in 1..7u64 {
        if number == 3
            && let Some(change) = change.take()
        {
            change(fleet);
        }
        let id = format!("{model}{number}");
        let min_version = number.saturating_sub(1).max(1);
        fleet.submit(&Step {
            path,
            model,
            ..step(&id, min_version, 8, 20)
        });
        assert!(fleet.run_step(&id), "{id}: {:?}", fleet.longest_wait);
        fleet.end(&id);
        fleet.run_for(Duration::from_millis(500));
        fleet.announce(model);
        fleet.run_for(Duration::from_secs(2));
    }
}

/// Returns two services with six engines each that hold the same model.
fn two_services() -> Fleet {
    let mut fleet = Fleet::default();
    for service in ["pool-a", "pool-b"] {
        for number in 0..6 {
            let name = format!("{service}-{number}");
            fleet.add(&name, service, "v1", 12, &[("m", 1)]);
        }
    }
    fleet.route("/roll/", &["pool-a"]);
    fleet
}

// Guards against: items of the second service of a split route wait, since as many engines as the step needs
// hold the newest version in the first.
#[test]
fn items_run_at_each_service_of_a_route_that_is_split() {
    let mut fleet = two_services();
    train(&mut fleet, "/roll/", "m", |fleet| {
        fleet.route("/roll/", &["pool-a", "pool-b"]);
    });
    assert!(
        fleet.longest_wait.0 < WAIT_LIMIT,
        "{:?}",
        fleet.longest_wait
    );
}

// Guards against: the same, for a route that is split from the start.
#[test]
fn items_run_at_each_service_of_a_route_that_was_always_split() {
    let mut fleet = two_services();
    fleet.route("/roll/", &["pool-a", "pool-b"]);
    train(&mut fleet, "/roll/", "m", |_| {});
    assert!(
        fleet.longest_wait.0 < WAIT_LIMIT,
        "{:?}",
        fleet.longest_wait
    );
}

// Guards against: the same, for a route that moves to another service, or is added there, before or during
// a step.
#[test]
fn items_run_at_the_service_to_which_a_route_moves() {
    for delay_ms in [0, 600] {
        let mut fleet = two_services();
        train(&mut fleet, "/roll/", "m", |fleet| {
            fleet.submit(&step("during", 2, 8, 60));
            fleet.run_for(Duration::from_millis(delay_ms));
            fleet.route("/roll/", &["pool-b"]);
            assert!(fleet.run_step("during"), "{:?}", fleet.longest_wait);
        });
        fleet.route("/added/", &["pool-a"]);
        fleet.submit(&Step {
            path: "/added/",
            ..step("added", fleet.newest("m"), 8, 20)
        });
        assert!(fleet.run_step("added"), "{:?}", fleet.longest_wait);
        assert!(
            fleet.longest_wait.0 < WAIT_LIMIT,
            "{:?}",
            fleet.longest_wait
        );
    }
}

/// Returns the lowest version of a model that engines of a service hold.
fn lowest_version(fleet: &Fleet, service: &str, model: &str) -> Option<u64> {
    let engines = fleet.engines.values();
    let of_service = engines.filter(|engine| engine.service == service);
    of_service
        .filter_map(|engine| engine.models.get(model).copied())
        .min()
}

// Guards against: engines are assigned models that they do not hold, and follow no model that they hold.
#[test]
fn all_engines_of_a_service_follow_its_model_beside_other_services() {
    let mut fleet = Fleet::default();
    for service in ["a", "b", "c"] {
        for number in 0..if service == "c" { 1 } else { 6 } {
            fleet.add(
                &format!("{service}{number}"),
                service,
                "v1",
                12,
                &[(service, 1)],
            );
        }
    }
    fleet.route("/roll/", &["b"]);
    for number in 1..4u64 {
        let id = format!("s{number}");
        fleet.submit(&Step {
            model: "b",
            ..step(&id, number.saturating_sub(1).max(1), 36, 20)
        });
        assert!(fleet.run_step(&id), "{:?}", fleet.longest_wait);
        fleet.end(&id);
        // Servers of a further service come and leave again.
        fleet.add("c1", "c", "v1", 12, &[("c", 1)]);
        let version = fleet.announce("b");
        fleet.run_for(Duration::from_secs(4));
        drop(fleet.end_engine("c1"));
        assert_eq!(lowest_version(&fleet, "b", "b"), Some(version));
    }
    assert!(
        fleet.longest_wait.0 < Duration::from_secs(2),
        "{:?}",
        fleet.longest_wait
    );
}

// Guards against: models that two services share are followed only in the service to which no route leads.
#[test]
fn each_service_follows_each_of_the_models_that_it_shares() {
    let mut fleet = Fleet::default();
    for service in ["a", "b"] {
        for number in 0..3 {
            let name = format!("{service}{number}");
            fleet.add(&name, service, "v1", 12, &[("x", 1), ("y", 1)]);
        }
    }
    fleet.route("/x/", &["a"]);
    fleet.route("/y/", &["a"]);
    for (path, model) in [("/x/", "x"), ("/y/", "y")] {
        train(&mut fleet, path, model, |fleet| fleet.route(path, &["b"]));
    }
    assert!(
        fleet.longest_wait.0 < Duration::from_secs(2),
        "{:?}",
        fleet.longest_wait
    );
}

// Guards against: of more models than engines some are followed by none, and their trainers get nothing.
#[test]
fn models_for_which_no_engine_can_be_spared_are_followed_by_all() {
    let mut fleet = Fleet::default();
    for number in 0..2 {
        let models = [("x", 1), ("y", 1), ("z", 1)];
        fleet.add(&format!("e{number}"), "pool", "v1", 12, &models);
    }
    fleet.route("/roll/", &["pool"]);
    for model in ["x", "y", "z"] {
        train(&mut fleet, "/roll/", model, |_| {});
    }
    for model in ["x", "y", "z"] {
        let newest = fleet.newest(model);
        let engines = fleet.engines.values();
        assert!(
            engines.clone().any(|engine| engine.models[model] == newest),
            "{model}"
        );
    }
    assert!(
        fleet.longest_wait.0 < Duration::from_secs(2),
        "{:?}",
        fleet.longest_wait
    );
}

// Guards against: items that wait for a slot of the last engines with their software, which are full, beside
// idle ones with newer software.
#[test]
fn items_start_over_when_the_engines_that_could_continue_them_stay_full() {
    let mut fleet = Fleet::default();
    fleet.route("/roll/", &["pool"]);
    for number in 0..2 {
        fleet.add(&format!("old-{number}"), "pool", "v1", 12, &[("m", 1)]);
    }
    fleet.submit(&step("s", 1, 24, 160));
    fleet.run_for(Duration::from_secs(1));
    for number in 0..4 {
        fleet.add(&format!("new-{number}"), "pool", "v2", 12, &[("m", 1)]);
    }
    fleet.end_engine("old-0");
    fleet.run_for(Duration::from_secs(1));
    assert_eq!(fleet.discard_count, 0, "texts are given up at once");
    fleet.run_step("s");
    assert!(
        fleet.longest_wait.0 < WAIT_LIMIT,
        "{:?}",
        fleet.longest_wait
    );
}

// Guards against: the text of an optional item is discarded since no engine with its software has the newest
// version, which the item only prefers.
#[test]
fn the_text_of_an_optional_item_is_kept_for_an_engine_that_its_batch_accepts() {
    let mut fleet = Fleet::default();
    fleet.route("/roll/", &["pool"]);
    for number in 0..2 {
        fleet.add(&format!("old-{number}"), "pool", "v1", 12, &[("m", 1)]);
    }
    fleet.submit(&Step {
        optional_groups: 4,
        ..step("s", 1, 10, 60)
    });
    fleet.run_for(Duration::from_secs(1));
    fleet.may_command = false;
    fleet.add("new", "pool", "v2", 12, &[("m", 2)]);
    fleet.announce("m");
    fleet.end_engine("old-0");
    assert!(fleet.run_step("s"));
    assert_eq!(fleet.discard_count, 0);
}
