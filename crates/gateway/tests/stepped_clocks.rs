//! Tests of gateways whose time of day steps, with real gateway processes.

mod common;

use std::time::Duration;

use common::{Gateway, World, assert_complete, read_results, run, wait_until};
use tamaracksail_adapter_standins::settings;
use tamaracksail_model::batch::Ending;

/// An item takes 2 s.
const EVENTS: u64 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// A step of the time of day, in milliseconds.
const STEP_MS: i64 = 30_000;

/// The seconds that the items of a batch may take.
const PATIENCE_S: f64 = 8.0;

/// The observed fault: a batch is accepted at a gateway whose time of day is 30 s behind, and the one
/// that takes over lists its items as aborted.
#[test]
fn a_batch_accepted_while_the_clock_is_behind_is_completed_after_a_takeover() {
    for starts_behind in [false, true] {
        run(async {
            let world = World::start(2, EVENTS, EVENT_INTERVAL).await;
            let routes = settings::with_patience(settings::routes(2), PATIENCE_S);
            world.store.put_routes(routes);
            let before = if starts_behind { -STEP_MS } else { 0 };
            let mut first = Gateway::with_time_offset("front-0", &world.store, before);
            first.wait_until_ready().await;
            let second = Gateway::with_time_offset("front-1", &world.store, 0);
            second.wait_until_ready().await;
            first.step_time(-STEP_MS);
            let response = first.client().submit("b1", &["i0", "i1"], 1).await;
            assert_eq!(response.expect("a response").status, 202);
            wait_until("the items run", async || world.arrival_count("i1") > 0).await;
            first.kill();
            let results = read_results(&second.client(), "b1", 2).await;
            assert_complete(&world, &results, &["i0", "i1"]);
            assert!(
                results
                    .iter()
                    .all(|found| found.ending == Ending::Completed)
            );
        });
    }
}

/// A clock that steps ahead would remove an ended batch as soon as the next pass.
#[test]
fn results_stay_for_their_retention_while_the_clock_is_ahead() {
    run(async {
        let world = World::start(2, 5, Duration::from_millis(10)).await;
        let gateway = Gateway::with_time_offset_and_retention("front-0", &world.store, 0, 8);
        gateway.wait_until_ready().await;
        let client = gateway.client();
        client.submit("b1", &["i0"], 1).await.expect("a response");
        read_results(&client, "b1", 1).await;
        client.end("b1").await.expect("a response");
        let ended = tokio::time::Instant::now();
        gateway.step_time(STEP_MS);
        wait_until("the batch is removed", async || {
            world.store.names("batches").is_empty()
        })
        .await;
        let kept = ended.elapsed();
        assert!(kept >= Duration::from_secs(7), "{kept:?}");
    });
}

/// Limits that were published while a clock was behind would be ignored as older than five minutes,
/// and servers would get more requests than they allow.
#[test]
fn published_limits_are_used_while_clocks_step() {
    run(async {
        let world = World::start(1, 5, Duration::from_millis(10)).await;
        let first = Gateway::with_time_offset("front-0", &world.store, 0);
        first.wait_until_ready().await;
        let second = Gateway::with_time_offset("front-1", &world.store, 0);
        second.wait_until_ready().await;
        world.app.state_limit(Some(50.0));
        first.step_time(-STEP_MS * 20);
        let response = first.client().request("r1", "/plain/x", "body").await;
        assert_eq!(response.expect("a response").status, 200);
        first.wait_for_log("request limits published").await;
        second.wait_for_log("request limit read").await;
    });
}
