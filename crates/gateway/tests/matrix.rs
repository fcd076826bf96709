//! Faults of the store at each step of a batch, alone and in pairs, through real gateways.
//!
//! The steps are the kinds that a batch writes: its parts and results, its head and end, the lease,
//! and saved text. In each cell one fault strikes as the batch is submitted and another as it runs.

mod common;

use std::fmt::Write;
use std::time::Duration;

use common::{Gateway, World, run, until};
use tamaracksail_adapter_standins::client::Answer;
use tamaracksail_adapter_standins::store::Fault;
use tamaracksail_model::batch::{Ending, ItemResult};

const PACE: Duration = Duration::from_millis(10);
const EVENTS: u64 = 60;

/// How long the first fault lasts, in which the batch is submitted.
const FIRST: Duration = Duration::from_millis(500);

/// How long the second lasts, in which it runs.
const SECOND: Duration = Duration::from_millis(700);

/// How late a late write is done: after the fault is over.
const LATE: Duration = Duration::from_millis(900);

/// What the store does wrong with the writes of a kind.
#[derive(Clone, Copy, Debug)]
enum Wrong {
    Refused,
    AnswerLost,
    DoneLate,
}

const ALL: [Wrong; 3] = [Wrong::Refused, Wrong::AnswerLost, Wrong::DoneLate];

impl Wrong {
    fn with(self, kind: &str) -> Fault {
        match self {
            Self::Refused => Fault::Refuses(kind.to_owned()),
            Self::AnswerLost => Fault::LoseAnswers(kind.to_owned()),
            Self::DoneLate => Fault::AppliesLate(kind.to_owned(), LATE),
        }
    }
}

/// What is wrong with the results of a batch, in a word; none if nothing is.
fn problem(world: &World, results: &[ItemResult], items: &[String]) -> Option<&'static str> {
    let mut found: Vec<&String> = results.iter().map(|result| &result.item).collect();
    found.sort();
    if found != items.iter().collect::<Vec<_>>() {
        return Some("items are missing or stand twice");
    }
    let is_whole = |result: &ItemResult| {
        result.ending == Ending::Completed && result.text == world.engines[0].text(&result.item)
    };
    (!results.iter().all(is_whole)).then_some("a text is not whole")
}

async fn results(gateway: &Gateway, batch: &str) -> Vec<ItemResult> {
    let client = gateway.client();
    let answer = client.results(batch, 0).await;
    answer.map_or_else(|_| Vec::new(), |answer| answer.results())
}

/// Submits a batch until it is accepted, at one gateway and the other by turns. A refusal that
/// comes after all faults is a failure.
async fn submit(gateways: &[Gateway], batch: &str, items: &[String]) {
    let names: Vec<&str> = items.iter().map(String::as_str).collect();
    let mut tries = 0;
    until("the batch is accepted", async || {
        tries += 1;
        let client = gateways[tries % gateways.len()].client();
        let answer = client.submit(batch, &names, 1).await;
        answer.is_ok_and(|answer: Answer| answer.status == 202)
    })
    .await;
}

/// Plays one cell. Returns what it showed.
async fn cell(
    world: &World,
    gateways: &[Gateway],
    kind: &str,
    (first, second): (Wrong, Wrong),
    batch: &str,
) -> &'static str {
    let items: Vec<String> = (0..4).map(|number| format!("{batch}-{number}")).collect();
    world.store.set_fault(first.with(kind));
    let striking = async {
        tokio::time::sleep(FIRST).await;
        world.store.set_fault(second.with(kind));
        tokio::time::sleep(SECOND).await;
        world.store.set_fault(Fault::None);
    };
    tokio::join!(striking, submit(gateways, batch, &items));
    let mut seen: Vec<ItemResult> = Vec::new();
    let mut has_changed = false;
    until("all results are read", async || {
        for gateway in gateways {
            let now = results(gateway, batch).await;
            let both = seen.len().min(now.len());
            has_changed |= now[..both] != seen[..both];
            if now.len() > seen.len() {
                seen = now;
            }
        }
        seen.len() >= items.len()
    })
    .await;
    until("the end is confirmed", async || {
        let answer = gateways[0].client().end(batch).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    for gateway in gateways {
        until("the results come again", async || {
            results(gateway, batch).await.len() >= items.len()
        })
        .await;
        has_changed |= results(gateway, batch).await != seen;
    }
    if has_changed {
        return "a position has changed";
    }
    problem(world, &seen, &items).unwrap_or("held")
}

/// All pairs of faults at one kind.
fn table(kind: &str) -> String {
    let mut table = String::new();
    run(async {
        let world = World::start(2, EVENTS, PACE).await;
        let gateways = [
            Gateway::start("front-0", &world.store),
            Gateway::start("front-1", &world.store),
        ];
        for gateway in &gateways {
            gateway.ready().await;
        }
        for (row, first) in ALL.into_iter().enumerate() {
            for (column, second) in ALL.into_iter().enumerate() {
                let batch = format!("b{row}{column}");
                let shown = cell(&world, &gateways, kind, (first, second), &batch).await;
                writeln!(table, "{first:?}, then {second:?}: {shown}").expect("text grows");
            }
        }
    });
    table
}

#[test]
fn parts_and_results() {
    insta::assert_snapshot!("matrix", table("batch-"));
}

#[test]
fn head_and_end() {
    insta::assert_snapshot!("matrix", table("batches"));
}

#[test]
fn lease() {
    insta::assert_snapshot!("matrix", table("leases"));
}

#[test]
fn saved_text() {
    insta::assert_snapshot!("matrix", table("text"));
}

#[test]
fn all_kinds() {
    insta::assert_snapshot!("matrix", table(""));
}
