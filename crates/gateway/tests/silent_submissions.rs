//! Batches that are submitted while connections of gateways have gone silent, with real processes.

mod common;

use std::time::{Duration, Instant};

use common::{
    Gateway, World, assert_complete, read_results, run, start, start_scheduling, wait_until,
};
use tamaracksail_adapter_standins::store::Fault;

const EVENT_INTERVAL: Duration = Duration::from_millis(5);
const ITEMS: [&str; 4] = ["i0", "i1", "i2", "i3"];

/// The time within which a batch should be accepted: the objective of its route.
const OBJECTIVE: Duration = Duration::from_secs(1);

// Guards against: a submission that waits for answers on silent connections, one after the other.
#[test]
fn a_batch_is_accepted_in_time_after_the_connections_to_the_store_have_gone_silent() {
    run(async {
        let (world, gateways) = start(2, 5, EVENT_INTERVAL).await;
        for (number, gateway) in gateways.iter().enumerate() {
            let client = gateway.client();
            let warm = format!("warm-{number}");
            client.submit(&warm, &[&warm], 1).await.expect("a response");
            read_results(&client, &warm, 1).await;
            world.store.silence_connections();
            let begin = Instant::now();
            let batch = format!("b{number}");
            let response = client.submit(&batch, &ITEMS, 1).await;
            assert_eq!(response.expect("a response").status, 202);
            assert!(begin.elapsed() < OBJECTIVE, "{:?}", begin.elapsed());
            let results = read_results(&client, &batch, ITEMS.len()).await;
            assert_complete(&world, &results, &ITEMS);
            assert_eq!(client.end(&batch).await.expect("a response").status, 200);
        }
    });
}

// Guards against: a batch waits since the scheduling gateway has not seen it, whose connections are silent.
#[test]
fn items_start_in_time_when_the_watch_of_the_scheduling_gateway_does_not_show_their_batch() {
    run(async {
        let world = World::start(2, 5, EVENT_INTERVAL).await;
        let (_scheduling, listener) = start_scheduling(&world).await;
        let accepting = Gateway::start("front-1", &world.store);
        accepting.wait_until_ready().await;
        listener.set_fault(Fault::HidesChanges("batches".to_owned()));
        let client = accepting.client();
        let response = client.submit("b1", &ITEMS, 1).await;
        assert_eq!(response.expect("a response").status, 202);
        let begin = Instant::now();
        wait_until("items start", async || world.arrival_count("i0") > 0).await;
        assert!(begin.elapsed() < OBJECTIVE, "{:?}", begin.elapsed());
        listener.set_fault(Fault::None);
        let results = read_results(&client, "b1", ITEMS.len()).await;
        assert_complete(&world, &results, &ITEMS);
    });
}
