//! Which account's items start first when batches of several accounts wait for engines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tamaracksail_model::backend::{Registration, State};
use tamaracksail_model::batch::{Item, SubmissionRoute};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::batch::{Action, Scheduler, Submission};

const NOW: Instant = Instant(1_000_000_000);

fn registration(number: u16, slots: u32) -> Registration {
    Registration {
        instance: format!("e{number}"),
        started_at_ms: Some(1),
        service: "pool".to_owned(),
        software: "v1".to_owned(),
        address: ([127, 0, 0, 1], number).into(),
        domain: "here".to_owned(),
        slots,
        state: State::Ready,
        models: BTreeMap::from([("drafts".to_owned(), 1)]),
    }
}

fn batch(name: &str, account: Option<&str>, count: usize) -> Submission {
    let item = |number: usize| Item {
        id: format!("{name}-{number}"),
        path: "/x".to_owned(),
        headers: Vec::new(),
        body: bytes::Bytes::new(),
        tokens: 10,
        hint: None,
        group: Some(format!("{name}-{number}")),
        reward: None,
    };
    Submission {
        route: SubmissionRoute {
            host: "app".to_owned(),
            path: "/x".to_owned(),
            prefix: None,
        },
        account: account.map(str::to_owned),
        model: Some("drafts".to_owned()),
        min_version: Some(1),
        target_groups: None,
        items: (0..count).map(item).collect(),
        with_result: BTreeSet::new(),
        is_single_version: false,
        max_attempts: 3,
        due: NOW.after(Duration::from_mins(1)),
        expires: NOW.after(Duration::from_mins(1)),
    }
}

fn submit(scheduler: &mut Scheduler, submission: Submission) {
    scheduler.submit(NOW, submission, |_, _| Some("pool".to_owned()));
}

/// Returns the items that start now, by the name of their batch.
fn started(scheduler: &mut Scheduler) -> Vec<(u64, String)> {
    let actions = scheduler.poll(NOW, true);
    let start = |action| match action {
        Action::Start { run, item, .. } => Some((run, item.id.clone())),
        _ => None,
    };
    actions.into_iter().filter_map(start).collect()
}

fn count(started: &[(u64, String)], name: &str) -> usize {
    let of_batch = started.iter().filter(|(_, id)| id.starts_with(name));
    of_batch.count()
}

/// Guards against a large batch of one account that holds back every item of another.
#[test]
fn the_account_with_fewer_running_items_goes_first() {
    let mut scheduler = Scheduler::default();
    scheduler.register_engine(NOW, registration(1, 8));
    submit(&mut scheduler, batch("large", Some("north"), 100));
    let first = started(&mut scheduler);
    assert_eq!(count(&first, "large"), 8);
    submit(&mut scheduler, batch("small", Some("south"), 6));
    assert_eq!(started(&mut scheduler).len(), 0);
    // Slots that become free go to the account with fewer running items, until both have four.
    let ended = first.iter().take(4);
    ended.for_each(|(run, _)| scheduler.run_finished(NOW, *run));
    let second = started(&mut scheduler);
    let running = (count(&second, "large"), count(&second, "small"));
    assert_eq!(running, (0, 4), "{second:?}");
    let ended = first.iter().skip(4).take(2);
    ended.for_each(|(run, _)| scheduler.run_finished(NOW, *run));
    let third = started(&mut scheduler);
    assert_eq!(count(&third, "large"), 2, "{third:?}");
}

#[test]
fn accounts_that_submit_together_start_in_turn() {
    let mut scheduler = Scheduler::default();
    scheduler.register_engine(NOW, registration(1, 9));
    for (name, account) in [("a", "north"), ("b", "north"), ("c", "south")] {
        submit(&mut scheduler, batch(name, Some(account), 20));
    }
    submit(&mut scheduler, batch("d", None, 20));
    let first = started(&mut scheduler);
    let counts = ["a", "b", "c", "d"].map(|name| count(&first, name));
    assert_eq!(counts, [3, 0, 3, 3]);
}

/// Without accounts, or with one, batches start in the order of their submission as before.
#[test]
fn items_of_one_account_start_in_the_order_of_submission() {
    for account in [None, Some("north")] {
        let mut scheduler = Scheduler::default();
        scheduler.register_engine(NOW, registration(1, 8));
        submit(&mut scheduler, batch("a", account, 6));
        submit(&mut scheduler, batch("b", account, 6));
        let first = started(&mut scheduler);
        let ids: Vec<&str> = first.iter().map(|(_, id)| id.as_str()).collect();
        let expected = ["a-0", "a-1", "a-2", "a-3", "a-4", "a-5", "b-0", "b-1"];
        assert_eq!(ids, expected, "{account:?}");
    }
}
