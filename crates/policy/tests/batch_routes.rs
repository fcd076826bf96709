//! The route of a batch, and the service at which its items run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::batch::{Item, SubmissionRoute};
use tamaracksail_model::route::{Kind, Limits, Route, Target};
use tamaracksail_model::table::Table;
use tamaracksail_model::time::Instant;
use tamaracksail_policy::batch::{Action, Scheduler, Submission};

const NOW: Instant = Instant(1_000_000_000);

fn route(name: &str, prefix: &str, kind: Kind, service: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: Duration::from_secs(5),
        objective: Duration::from_secs(1),
        priority: 1,
        targets: vec![Target {
            service: service.to_owned(),
            weight: 1,
        }],
        max_attempts: 3,
        batching: None,
        is_resumable: false,
        is_open: false,
    }
}

fn table(routes: Vec<Route>) -> Table {
    let limits = Limits {
        body_bytes: 1,
        header_bytes: 1,
        header_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    Table::new(1, limits, BTreeMap::new(), routes)
}

fn submission_route(path: &str, prefix: Option<&str>) -> SubmissionRoute {
    SubmissionRoute {
        host: "h".to_owned(),
        path: path.to_owned(),
        prefix: prefix.map(str::to_owned),
    }
}

// Guards against: a batch that goes to another route since its name, its service or other routes change.
#[test]
fn the_route_of_a_batch_is_the_one_that_accepted_it() {
    let routes = [
        ("renamed", "/b/", Kind::Batch, "other"),
        ("r-2", "/b/x/", Kind::Batch, "wrong"),
        ("r-3", "/b/x/y/", Kind::Idempotent, "wrong"),
    ];
    let routes = routes.map(|(name, prefix, kind, service)| route(name, prefix, kind, service));
    let found = |routes: &[Route], prefix| {
        let table = table(routes.to_vec());
        let found = table.find_submission(&submission_route("/b/x/y/z", prefix));
        found.map(|route| route.prefix.clone())
    };
    assert_eq!(found(&routes, Some("/b/")).as_deref(), Some("/b/"));
    // A process of an earlier version has not stated the prefix.
    assert_eq!(found(&routes, None).as_deref(), Some("/b/x/"));
    // The route has ended, or accepts no batches any more.
    assert_eq!(found(&routes[1..], Some("/b/")).as_deref(), Some("/b/x/"));
    assert_eq!(found(&routes[2..], Some("/b/")), None);
    let plain = [route("r-1", "/b/", Kind::Once, "other")];
    assert_eq!(found(&plain, Some("/b/")), None);
}

fn engine(service: &str) -> Registration {
    Registration {
        instance: format!("engine-of-{service}"),
        started_at_ms: Some(1),
        service: service.to_owned(),
        software: "v1".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "here".to_owned(),
        slots: 4,
        state: State::Ready,
        models: BTreeMap::from([("drafts".to_owned(), 1)]),
    }
}

fn batch(path: &str) -> Submission {
    let item = Item {
        id: "i0".to_owned(),
        path: "/elsewhere/x".to_owned(),
        headers: Vec::new(),
        body: bytes::Bytes::new(),
        tokens: 10,
        hint: None,
        group: Some("g0".to_owned()),
        reward: None,
    };
    Submission {
        route: submission_route(path, None),
        account: None,
        model: Some("drafts".to_owned()),
        min_version: Some(1),
        target_groups: None,
        items: vec![item],
        with_result: BTreeSet::new(),
        is_single_version: false,
        max_attempts: 3,
        due: NOW.after(Duration::from_mins(1)),
        expires: NOW.after(Duration::from_mins(1)),
    }
}

/// Returns the engines at which runs start now, and the number of runs that are stopped.
fn poll(scheduler: &mut Scheduler) -> (Vec<String>, usize) {
    let actions = scheduler.poll(NOW, true);
    let mut started = Vec::new();
    let mut stopped = 0;
    for action in actions {
        match action {
            Action::Start { engine, .. } => {
                let registration = scheduler.registration(engine).expect("an engine");
                started.push(registration.instance.clone());
            }
            Action::Stop { .. } => stopped += 1,
            _ => {}
        }
    }
    (started, stopped)
}

// Guards against: a run that a later batch adopts although its route leads to another service.
#[test]
fn a_run_continues_in_a_later_batch_only_at_a_service_of_its_route() {
    // Each route leads to the service with the name of its path.
    let service = |route: &SubmissionRoute, _: Option<&str>| Some(route.path.clone());
    for (next, is_adopted) in [("one", true), ("two", false)] {
        let mut scheduler = Scheduler::default();
        scheduler.version_announced("drafts", 1);
        scheduler.register_engine(NOW, engine("one"));
        scheduler.register_engine(NOW, engine("two"));
        let first = scheduler.submit(NOW, batch("one"), service);
        let (started, _) = poll(&mut scheduler);
        assert_eq!(started, ["engine-of-one"]);
        assert!(scheduler.response_started(NOW, 1, Some(1)));
        assert!(scheduler.record_event(NOW, 1, 1, "a", Some(1)));
        scheduler.end_batch(NOW, first);
        scheduler.submit(NOW, batch(next), service);
        let (started, stopped) = poll(&mut scheduler);
        if is_adopted {
            assert_eq!((started.len(), stopped), (0, 0));
        } else {
            assert_eq!((started, stopped), (vec!["engine-of-two".to_owned()], 1));
        }
    }
}
