//! Batches while scheduling passes from one gateway to another, through real gateways.

mod common;

use std::time::Duration;

use common::{assert_complete, read_results, run, start, wait_until};
use tamaracksail_adapter_standins::Engine;
use tamaracksail_adapter_standins::store::Fault as StoreFault;
use tamaracksail_wire::peer::{Request as PeerRequest, Response as PeerResponse};

const EVENT_INTERVAL: Duration = Duration::from_millis(5);
const ITEMS: [&str; 6] = ["i0", "i1", "i2", "i3", "i4", "i5"];

#[test]
fn another_gateway_takes_over_after_the_scheduling_one_is_killed() {
    run(async {
        let (world, mut gateways) = start(2, 60, EVENT_INTERVAL).await;
        let client = gateways[1].client();
        gateways[0]
            .client()
            .submit("b1", &ITEMS, 1)
            .await
            .expect("a response");
        let first = read_results(&client, "b1", 1).await;
        gateways[0].kill();
        let results = read_results(&client, "b1", ITEMS.len()).await;
        assert_complete(&world, &results, &ITEMS);
        assert_eq!(results[..first.len()], first[..]);
        gateways[0].restart();
        gateways[0].wait_until_ready().await;
        let again = read_results(&gateways[0].client(), "b1", ITEMS.len()).await;
        assert_eq!(again, results);
    });
}

#[test]
fn a_planned_stop_hands_over_partial_texts() {
    run(async {
        let (world, gateways) = start(2, 300, EVENT_INTERVAL).await;
        gateways[0]
            .client()
            .submit("b1", &ITEMS, 1)
            .await
            .expect("a response");
        wait_until("all items run", async || {
            ITEMS.iter().all(|item| world.arrival_count(item) > 0)
        })
        .await;
        let client = gateways[1].client();
        client.results("b1", 0).await.expect("a response");
        gateways[0].signal("TERM");
        assert_complete(
            &world,
            &read_results(&client, "b1", ITEMS.len()).await,
            &ITEMS,
        );
        let loaded = gateways[1].wait_for_log("partial texts loaded").await;
        assert_eq!(loaded["drafts"], ITEMS.len());
    });
}

#[test]
fn long_items_continue_from_checkpoints_after_the_scheduling_gateway_is_killed() {
    run(async {
        let (world, mut gateways) = start(2, 300, Duration::from_millis(20)).await;
        let client = gateways[1].client();
        let response = gateways[0].client().submit("b1", &["i0"], 1).await;
        assert_eq!(response.expect("a response").status, 202);
        wait_until("checkpoints are written", async || {
            world.store.names("text").len() > 1 && world.arrival_count("i0") > 0
        })
        .await;
        gateways[0].kill();
        let results = read_results(&client, "b1", 1).await;
        assert_complete(&world, &results, &["i0"]);
        let arrivals = world.engines.iter().flat_map(Engine::arrivals);
        let last = arrivals.max_by_key(|arrival| arrival.after);
        let after = last.and_then(|arrival| arrival.after);
        assert!(after >= Some(24), "{after:?}");
        let line = gateways[1].wait_for_log("partial texts loaded").await;
        assert_eq!(line["drafts"], 1);
    });
}

#[test]
fn a_planned_stop_during_a_store_outage_cancels_no_run_until_another_gateway_can_take_over() {
    run(async {
        let (world, gateways) = start(2, 300, Duration::from_millis(20)).await;
        let response = gateways[0].client().submit("b1", &["i0"], 1).await;
        assert_eq!(response.expect("a response").status, 202);
        wait_until("the item runs", async || world.arrival_count("i0") > 0).await;
        world.store.set_fault(StoreFault::Busy);
        gateways[0].signal("TERM");
        // This is longer than the duration of the lease.
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(gateways[0].log_lines("scheduling stopped").len(), 0);
        world.store.set_fault(StoreFault::None);
        let results = read_results(&gateways[1].client(), "b1", 1).await;
        assert_complete(&world, &results, &["i0"]);
        assert_eq!(world.arrival_count("i0"), 2);
        let line = gateways[1].wait_for_log("partial texts loaded").await;
        assert_eq!(line["drafts"], 1);
    });
}

#[test]
fn a_takeover_seals_the_place_of_results_that_are_still_in_flight() {
    run(async {
        let (world, mut gateways) = start(2, 150, Duration::from_millis(20)).await;
        let client = gateways[1].client();
        let response = gateways[0].client().submit("b1", &["i0"], 1).await;
        assert_eq!(response.expect("a response").status, 202);
        gateways[0]
            .wait_for_log("batch added to the scheduler")
            .await;
        // The store applies the write long after this test, and does not respond to it.
        let late = StoreFault::AppliesLate("batch-".to_owned(), Duration::from_mins(10));
        world.store.set_fault(late);
        gateways[0].wait_for_log("results not written").await;
        gateways[0].kill();
        world.store.set_fault(StoreFault::None);
        assert_complete(&world, &read_results(&client, "b1", 1).await, &["i0"]);
        let first = world.store.spec("batch-b1", "results.00000");
        let first = first.expect("the seal is written");
        assert_eq!(first["results"], serde_json::json!([]), "{first}");
    });
}

#[test]
fn a_batch_read_under_a_lost_lease_is_not_scheduled_under_the_next() {
    run(async {
        let (world, mut gateways) = start(2, 100, Duration::from_millis(20)).await;
        let clients = [gateways[0].client(), gateways[1].client()];
        clients[0]
            .submit("b0", &["j0"], 1)
            .await
            .expect("a response");
        read_results(&clients[0], "b0", 1).await;
        gateways[0].signal("STOP");
        clients[1]
            .submit("b1", &ITEMS, 1)
            .await
            .expect("a response");
        wait_until("another gateway schedules", async || {
            drop(clients[1].results("b1", 0).await);
            world.arrival_count("i0") > 0
        })
        .await;
        // The gateway detects that it lost the lease while it reads the batch, which has no result in
        // the store yet.
        let slow = StoreFault::Slow("batch-b1".to_owned(), Duration::from_millis(700));
        world.store.set_fault(slow);
        gateways[0].signal("CONT");
        gateways[0].wait_for_log("scheduling stopped").await;
        wait_until("the batch is read", async || {
            let lines = gateways[0].log_lines("batch read");
            lines.iter().any(|line| line["batch"] == "b1")
        })
        .await;
        world.store.set_fault(StoreFault::None);
        let results = read_results(&clients[1], "b1", ITEMS.len()).await;
        assert_complete(&world, &results, &ITEMS);
        gateways[1].kill();
        assert_eq!(read_results(&clients[0], "b1", ITEMS.len()).await, results);
        let mut loaded = None;
        wait_until(
            "the batch is added to the scheduler under the second lease",
            async || {
                let begins = gateways[0].log_lines("scheduling started");
                let second = begins.get(1).and_then(|line| line["t"].as_u64());
                let lines = gateways[0].log_lines("batch added to the scheduler");
                loaded = lines.into_iter().find(|line| {
                    line["batch"] == "b1" && second.is_some() && line["t"].as_u64() >= second
                });
                loaded.is_some()
            },
        )
        .await;
        assert_eq!(loaded.expect("a log line was found")["listed"], 6);
    });
}

/// Guards against runs that are given away after an outage of the store for all gateways, because a
/// gateway that wants the lease notices the end of the outage before its holder.
#[test]
fn a_holder_does_not_release_the_lease_when_the_store_responds_to_it_again() {
    run(async {
        let (world, gateways) = start(1, 250, Duration::from_millis(20)).await;
        let response = gateways[0].client().submit("b0", &["i0"], 1).await;
        assert_eq!(response.expect("a response").status, 202);
        wait_until("the item runs", async || world.arrival_count("i0") > 0).await;
        let line = gateways[0].wait_for_log("lease acquired").await;
        let request = PeerRequest::Yield {
            fence: line["fence"].as_u64().expect("a number"),
            successor: ([127, 0, 0, 1], 9).into(),
        };
        world.store.set_fault(StoreFault::Busy);
        // This is longer than the duration of the lease.
        tokio::time::sleep(Duration::from_millis(3100)).await;
        world.store.set_fault(StoreFault::None);
        let response = gateways[0].call_as_peer(&request).await;
        let is_kept = matches!(
            response,
            PeerResponse::Holding {
                is_store_unreachable: false,
                ..
            }
        );
        assert!(is_kept, "{response:?}");
        let results = read_results(&gateways[0].client(), "b0", 1).await;
        assert_complete(&world, &results, &["i0"]);
        let stops = gateways[0].log_lines("scheduling stopped").len();
        assert_eq!((world.arrival_count("i0"), stops), (1, 0));
    });
}
