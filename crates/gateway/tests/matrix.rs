//! Faults of the store at each kind of object that a batch writes, in pairs, through real gateways.
//!
//! The kinds are parts and results, manifests and ends, the lease, and checkpoints. In each cell of
//! the matrix, one fault is injected while the batch is submitted and one while it runs.

mod common;

use std::fmt::Write;
use std::time::Duration;

use common::{Gateway, World, run, wait_until};
use tamaracksail_adapter_standins::Engine;
use tamaracksail_adapter_standins::client::Response;
use tamaracksail_adapter_standins::store::Fault;
use tamaracksail_model::batch::{Ending, ItemResult};

const EVENT_INTERVAL: Duration = Duration::from_millis(10);
const EVENTS_PER_ITEM: u64 = 60;

/// The duration of the first fault, during which the batch is submitted.
const FIRST_FAULT_DURATION: Duration = Duration::from_millis(500);

/// The duration of the second fault, during which the batch runs.
const SECOND_FAULT_DURATION: Duration = Duration::from_millis(700);

/// The delay of a write that is applied late. It is longer than either fault lasts.
const APPLY_DELAY: Duration = Duration::from_millis(900);

/// A fault of the store on writes of a kind.
#[derive(Clone, Copy, Debug)]
enum WriteFault {
    /// The write is refused.
    Refused,
    /// The write is done, but its response is lost.
    ResponseLost,
    /// The write is done after [`APPLY_DELAY`], and has no response.
    AppliedLate,
}

const ALL_FAULTS: [WriteFault; 3] = [
    WriteFault::Refused,
    WriteFault::ResponseLost,
    WriteFault::AppliedLate,
];

impl WriteFault {
    fn for_kind(self, kind: &str) -> Fault {
        match self {
            Self::Refused => Fault::Refuses(kind.to_owned()),
            Self::ResponseLost => Fault::LosesResponses(kind.to_owned()),
            Self::AppliedLate => Fault::AppliesLate(kind.to_owned(), APPLY_DELAY),
        }
    }
}

/// Returns what is wrong with the results of a batch, or `None` if they are correct.
fn find_problem(world: &World, results: &[ItemResult], items: &[String]) -> Option<&'static str> {
    let mut found: Vec<&String> = results.iter().map(|result| &result.item).collect();
    found.sort();
    if found != items.iter().collect::<Vec<_>>() {
        return Some("items are missing or duplicated");
    }
    let is_complete = |result: &ItemResult| {
        result.ending == Ending::Completed && result.text == world.engines[0].text(&result.item)
    };
    if !results.iter().all(is_complete) {
        return Some("a text is incomplete");
    }
    let is_scored = |result: &ItemResult| {
        result.score == Some(Engine::stamp(&format!("score-{}", result.item)))
    };
    (!results.iter().all(is_scored)).then_some("a score is missing or of another call")
}

async fn read_results(gateway: &Gateway, batch: &str) -> Vec<ItemResult> {
    let client = gateway.client();
    let response = client.results(batch, 0).await;
    response.map_or_else(|_| Vec::new(), |response| response.results())
}

/// Submits a batch to the gateways in turn until one accepts it. The test fails if none does after
/// the faults have ended.
async fn submit(gateways: &[Gateway], batch: &str, items: &[String]) {
    let names: Vec<&str> = items.iter().map(String::as_str).collect();
    let mut attempts = 0;
    wait_until("the batch is accepted", async || {
        attempts += 1;
        let client = gateways[attempts % gateways.len()].client();
        let response = client.submit_scored(batch, &names, 1).await;
        response.is_ok_and(|response: Response| response.status == 202)
    })
    .await;
}

/// Runs one cell of the matrix. Returns its outcome.
async fn run_cell(
    world: &World,
    gateways: &[Gateway],
    kind: &str,
    (first, second): (WriteFault, WriteFault),
    batch: &str,
) -> &'static str {
    let items: Vec<String> = (0..4).map(|number| format!("{batch}-{number}")).collect();
    world.store.set_fault(first.for_kind(kind));
    let inject_faults = async {
        tokio::time::sleep(FIRST_FAULT_DURATION).await;
        world.store.set_fault(second.for_kind(kind));
        tokio::time::sleep(SECOND_FAULT_DURATION).await;
        world.store.set_fault(Fault::None);
    };
    tokio::join!(inject_faults, submit(gateways, batch, &items));
    let mut longest: Vec<ItemResult> = Vec::new();
    let mut has_changed = false;
    wait_until("all results are read", async || {
        for gateway in gateways {
            let current = read_results(gateway, batch).await;
            let common_len = longest.len().min(current.len());
            has_changed |= current[..common_len] != longest[..common_len];
            if current.len() > longest.len() {
                longest = current;
            }
        }
        longest.len() >= items.len()
    })
    .await;
    wait_until("the end is confirmed", async || {
        let response = gateways[0].client().end(batch).await;
        response.is_ok_and(|response| response.status == 200)
    })
    .await;
    for gateway in gateways {
        wait_until("the results are read again", async || {
            read_results(gateway, batch).await.len() >= items.len()
        })
        .await;
        has_changed |= read_results(gateway, batch).await != longest;
    }
    if has_changed {
        return "a position has changed";
    }
    find_problem(world, &longest, &items).unwrap_or("held")
}

/// Runs all pairs of faults at the kinds that start with `kind`.
fn run_table(kind: &str) -> String {
    let mut table = String::new();
    run(async {
        let world = World::start(2, EVENTS_PER_ITEM, EVENT_INTERVAL).await;
        let gateways = [
            Gateway::start("front-0", &world.store),
            Gateway::start("front-1", &world.store),
        ];
        for gateway in &gateways {
            gateway.wait_until_ready().await;
        }
        for (row, first) in ALL_FAULTS.into_iter().enumerate() {
            for (column, second) in ALL_FAULTS.into_iter().enumerate() {
                let batch = format!("b{row}{column}");
                let outcome = run_cell(&world, &gateways, kind, (first, second), &batch).await;
                writeln!(table, "{first:?}, then {second:?}: {outcome}")
                    .expect("writing to a string succeeds");
            }
        }
    });
    table
}

#[test]
fn parts_and_results() {
    insta::assert_snapshot!("matrix", run_table("batch-"));
}

#[test]
fn manifest_and_end() {
    insta::assert_snapshot!("matrix", run_table("batches"));
}

#[test]
fn lease() {
    insta::assert_snapshot!("matrix", run_table("leases"));
}

#[test]
fn checkpoints() {
    insta::assert_snapshot!("matrix", run_table("text"));
}

#[test]
fn all_kinds() {
    insta::assert_snapshot!("matrix", run_table(""));
}
