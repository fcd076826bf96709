//! What becomes of batches when scheduling passes from one gateway to another.

mod common;

use std::time::Duration;

use common::{check, read, run, start, until};
use tamaracksail_adapter_standins::Engine;
use tamaracksail_adapter_standins::store::Fault as StoreFault;

const PACE: Duration = Duration::from_millis(5);
const ITEMS: [&str; 6] = ["i0", "i1", "i2", "i3", "i4", "i5"];

#[test]
fn another_gateway_goes_on_after_the_scheduling_one_was_killed() {
    run(async {
        let (world, mut gateways) = start(2, 60, PACE).await;
        let client = gateways[1].client();
        gateways[0]
            .client()
            .submit("b1", &ITEMS, 1)
            .await
            .expect("an answer");
        let first = read(&client, "b1", 1).await;
        gateways[0].kill();
        let results = read(&client, "b1", ITEMS.len()).await;
        check(&world, &results, &ITEMS);
        assert_eq!(results[..first.len()], first[..]);
        gateways[0].restart();
        gateways[0].ready().await;
        let again = read(&gateways[0].client(), "b1", ITEMS.len()).await;
        assert_eq!(again, results);
    });
}

#[test]
fn a_planned_stop_hands_unfinished_text_over() {
    run(async {
        let (world, gateways) = start(2, 300, PACE).await;
        gateways[0]
            .client()
            .submit("b1", &ITEMS, 1)
            .await
            .expect("an answer");
        until("all items run", async || {
            ITEMS.iter().all(|item| world.arrivals(item) > 0)
        })
        .await;
        let client = gateways[1].client();
        client.results("b1", 0).await.expect("an answer");
        gateways[0].signal("TERM");
        check(&world, &read(&client, "b1", ITEMS.len()).await, &ITEMS);
        let taken = gateways[1].logged("partial texts loaded").await;
        assert_eq!(taken["drafts"], ITEMS.len());
    });
}

#[test]
fn long_items_go_on_at_another_gateway_after_the_scheduling_one_was_killed() {
    run(async {
        let (world, mut gateways) = start(2, 300, Duration::from_millis(20)).await;
        let client = gateways[1].client();
        let answer = gateways[0].client().submit("b1", &["i0"], 1).await;
        assert_eq!(answer.expect("an answer").status, 202);
        until("text was saved", async || {
            world.store.names("text").len() > 1 && world.arrivals("i0") > 0
        })
        .await;
        gateways[0].kill();
        let results = read(&client, "b1", 1).await;
        check(&world, &results, &["i0"]);
        let arrivals = world.engines.iter().flat_map(Engine::arrivals);
        let last = arrivals.max_by_key(|arrival| arrival.after);
        let after = last.and_then(|arrival| arrival.after);
        assert!(after >= Some(24), "{after:?}");
        let line = gateways[1].logged("partial texts loaded").await;
        assert_eq!(line["drafts"], 1);
    });
}

#[test]
fn a_planned_stop_while_the_store_is_away_stops_no_work_until_another_can_go_on() {
    run(async {
        let (world, gateways) = start(2, 300, Duration::from_millis(20)).await;
        let answer = gateways[0].client().submit("b1", &["i0"], 1).await;
        assert_eq!(answer.expect("an answer").status, 202);
        until("the item runs", async || world.arrivals("i0") > 0).await;
        world.store.set_fault(StoreFault::Busy);
        gateways[0].signal("TERM");
        // Longer than the lease lasts.
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(gateways[0].lines("scheduling stopped").len(), 0);
        world.store.set_fault(StoreFault::None);
        let results = read(&gateways[1].client(), "b1", 1).await;
        check(&world, &results, &["i0"]);
        assert_eq!(world.arrivals("i0"), 2);
        let line = gateways[1].logged("partial texts loaded").await;
        assert_eq!(line["drafts"], 1);
    });
}

#[test]
fn a_takeover_holds_the_place_of_results_that_are_still_on_their_way() {
    run(async {
        let (world, mut gateways) = start(2, 150, Duration::from_millis(20)).await;
        let client = gateways[1].client();
        let answer = gateways[0].client().submit("b1", &["i0"], 1).await;
        assert_eq!(answer.expect("an answer").status, 202);
        gateways[0].logged("batch added to the scheduler").await;
        // The store does the write long after this test, and answers nothing.
        let late = StoreFault::AppliesLate("batch-".to_owned(), Duration::from_mins(10));
        world.store.set_fault(late);
        gateways[0].logged("results not written").await;
        gateways[0].kill();
        world.store.set_fault(StoreFault::None);
        check(&world, &read(&client, "b1", 1).await, &["i0"]);
        let first = world.store.spec("batch-b1", "results.00000");
        let first = first.expect("the place is held");
        assert_eq!(first["results"], serde_json::json!([]), "{first}");
    });
}

#[test]
fn what_was_read_under_a_lost_lease_is_not_taken_in_under_the_next() {
    run(async {
        let (world, mut gateways) = start(2, 100, Duration::from_millis(20)).await;
        let clients = [gateways[0].client(), gateways[1].client()];
        clients[0]
            .submit("b0", &["j0"], 1)
            .await
            .expect("an answer");
        read(&clients[0], "b0", 1).await;
        gateways[0].signal("STOP");
        clients[1].submit("b1", &ITEMS, 1).await.expect("an answer");
        until("another gateway schedules", async || {
            drop(clients[1].results("b1", 0).await);
            world.arrivals("i0") > 0
        })
        .await;
        // It hears that it lost the lease while it reads the batch, of which no result stands yet.
        let slow = StoreFault::Slow("batch-b1".to_owned(), Duration::from_millis(700));
        world.store.set_fault(slow);
        gateways[0].signal("CONT");
        gateways[0].logged("scheduling stopped").await;
        until("it has read the batch", async || {
            let lines = gateways[0].lines("batch read");
            lines.iter().any(|line| line["batch"] == "b1")
        })
        .await;
        world.store.set_fault(StoreFault::None);
        let results = read(&clients[1], "b1", ITEMS.len()).await;
        check(&world, &results, &ITEMS);
        gateways[1].kill();
        assert_eq!(read(&clients[0], "b1", ITEMS.len()).await, results);
        let mut taken = None;
        until("the batch is taken in under the second lease", async || {
            let begins = gateways[0].lines("scheduling started");
            let second = begins.get(1).and_then(|line| line["t"].as_u64());
            let lines = gateways[0].lines("batch added to the scheduler");
            taken = lines.into_iter().find(|line| {
                line["batch"] == "b1" && second.is_some() && line["t"].as_u64() >= second
            });
            taken.is_some()
        })
        .await;
        assert_eq!(taken.expect("it was found")["listed"], 6);
    });
}
