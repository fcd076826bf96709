//! Reward calls through real gateways.

mod common;

use std::time::Duration;

use common::{Gateway, World, assert_complete, read_results, run, start, start_server, wait_until};
use serde_json::{Value, json};
use tamaracksail_adapter_standins::engine::{Engine, FatalRequest, Fault};
use tamaracksail_adapter_standins::{Client, settings};
use tamaracksail_model::batch::{Ending, ItemResult};

const EVENT_INTERVAL: Duration = Duration::from_millis(5);
const ITEMS: [&str; 6] = ["i0", "i1", "i2", "i3", "i4", "i5"];

fn call_id(item: &str) -> String {
    format!("score-{item}")
}

/// Returns how often the call of an item arrived at a server.
fn call_count(server: &Engine, item: &str) -> usize {
    let arrivals = server.arrivals();
    arrivals
        .iter()
        .filter(|arrival| arrival.id == call_id(item))
        .count()
}

/// Checks that all items are complete, each with the score of its own call.
fn assert_scored(world: &World, results: &[ItemResult], items: &[&str]) {
    assert_complete(world, results, items);
    for result in results {
        let score = Engine::stamp(&call_id(&result.item));
        assert_eq!(result.score, Some(score), "{}", result.item);
    }
}

#[test]
fn an_item_is_completed_with_the_score_of_its_own_call_made_after_its_text() {
    run(async {
        let (world, gateways) = start(2, 5, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        let response = client.submit_scored("b1", &ITEMS, 1).await;
        assert_eq!(response.expect("a response").status, 202);
        let results = read_results(&client, "b1", ITEMS.len()).await;
        assert_scored(&world, &results, &ITEMS);
        let at_other = read_results(&gateways[1].client(), "b1", ITEMS.len()).await;
        assert_eq!(at_other, results);
        let calls = world.app.arrivals();
        assert_eq!(calls.len(), ITEMS.len());
        for item in ITEMS {
            let call = calls.iter().find(|call| call.id == call_id(item));
            let call = call.expect("it was called");
            assert_eq!(call.call, format!("POST /plain/score?of={item}"));
            assert_eq!(&call.body[..], item.as_bytes());
            assert!(call.remaining.is_some());
            let generation = world.engines.iter().flat_map(Engine::arrivals);
            let begun = generation.filter(|run| run.id == item).map(|run| run.at);
            let text_time = EVENT_INTERVAL * 5;
            assert!(
                call.at >= begun.min().expect("it ran") + text_time,
                "{item}"
            );
        }
    });
}

#[test]
fn a_call_without_a_usable_response_is_repeated_and_never_aborts_its_item() {
    run(async {
        let (world, gateways) = start(1, 5, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        world.app.push_faults(&[
            Fault::NotRun,
            Fault::NoResponse,
            Fault::ForeignId,
            Fault::Unattested,
            Fault::Impossible,
            Fault::NotRun,
            Fault::NotRun,
            Fault::NoResponse,
        ]);
        client
            .submit_scored("b1", &["i0"], 1)
            .await
            .expect("a response");
        let results = read_results(&client, "b1", 1).await;
        assert_scored(&world, &results, &["i0"]);
    });
}

#[test]
fn an_item_is_aborted_after_as_many_failures_as_attempts_and_not_called_again() {
    run(async {
        let (world, gateways) = start(1, 5, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        // Refusals between the failures do not count.
        world.app.push_faults(&[
            Fault::Fails,
            Fault::NotRun,
            Fault::Fails,
            Fault::NoResponse,
            Fault::Fails,
        ]);
        client
            .submit_scored("b1", &["i0"], 1)
            .await
            .expect("a response");
        let results = read_results(&client, "b1", 1).await;
        assert_eq!(
            (results[0].ending, &results[0].score),
            (Ending::Aborted, &None)
        );
        client
            .submit_scored("b2", &["i1"], 1)
            .await
            .expect("a response");
        assert_scored(&world, &read_results(&client, "b2", 1).await, &["i1"]);
        // Three failures, and the attempt without a response.
        assert_eq!(call_count(&world.app, "i0"), 4);
    });
}

#[test]
fn fewer_failures_than_attempts_do_not_abort_an_item() {
    run(async {
        let (world, gateways) = start(1, 5, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        world.app.push_faults(&[Fault::Fails, Fault::Fails]);
        client
            .submit_scored("b1", &["i0"], 1)
            .await
            .expect("a response");
        assert_scored(&world, &read_results(&client, "b1", 1).await, &["i0"]);
    });
}

#[test]
fn the_end_of_a_batch_cancels_its_calls_and_starts_no_other() {
    run(async {
        let (world, gateways) = start(2, 5, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        world.app.set_work_time(Duration::from_secs(30));
        client
            .submit_scored("b1", &ITEMS, 1)
            .await
            .expect("a response");
        wait_until("a call runs", async || !world.app.arrivals().is_empty()).await;
        let response = gateways[1].client().end("b1").await.expect("a response");
        assert_eq!(response.status, 200);
        gateways[0].wait_for_log("reward call cancelled").await;
        let before = world.app.arrivals().len();
        world.app.set_work_time(Duration::ZERO);
        client
            .submit_scored("b2", &["j0"], 1)
            .await
            .expect("a response");
        assert_scored(&world, &read_results(&client, "b2", 1).await, &["j0"]);
        assert_eq!(world.app.arrivals().len(), before + 1);
    });
}

#[test]
fn a_batch_with_a_malformed_or_unroutable_call_is_refused_and_changes_nothing() {
    run(async {
        let (world, gateways) = start(1, 5, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        let call = |host: &str, path: &str, body: Value| json!({"id": "c", "hostname": host, "path": path, "body": body});
        for (number, call) in [
            call("app.example", "/plain/x", 7.into()),
            call("app.example", "no-path", "".into()),
            call("app.example", "/nowhere/x", "".into()),
            call("other.example", "/plain/x", "".into()),
            call("app.example", "/batch/x", "".into()),
            json!("x"),
        ]
        .into_iter()
        .enumerate()
        {
            let batch = format!("bad-{number}");
            let response = client
                .submit_items(&batch, &["i0"], 1, |_| call.clone())
                .await;
            assert_eq!(response.expect("a response").status, 400, "{call}");
        }
        assert!(world.store.names("batches").is_empty());
        client
            .submit_scored("b1", &["i1"], 1)
            .await
            .expect("a response");
        assert_scored(&world, &read_results(&client, "b1", 1).await, &["i1"]);
        assert_eq!(world.arrival_count("i0"), 0);
    });
}

#[test]
fn a_call_at_a_server_that_stops_responding_is_sent_to_another() {
    run(async {
        let (world, gateways) = start(1, 5, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        world.app.set_work_time(Duration::from_mins(10));
        client
            .submit_scored("b1", &["i0"], 1)
            .await
            .expect("a response");
        wait_until("the call runs", async || !world.app.arrivals().is_empty()).await;
        let other = start_server("app-1", 5, EVENT_INTERVAL).await;
        other.register(&world.store, "app", "ready");
        assert_scored(&world, &read_results(&client, "b1", 1).await, &["i0"]);
        assert_eq!(call_count(&other, "i0"), 1);
    });
}

#[test]
fn a_finished_text_that_waits_for_its_score_is_not_generated_again_after_a_kill() {
    run(async {
        let (world, mut gateways) = start(1, 5, EVENT_INTERVAL).await;
        world.app.set_work_time(Duration::from_mins(10));
        let client = gateways[0].client();
        client
            .submit_scored("b1", &ITEMS, 1)
            .await
            .expect("a response");
        wait_until("the texts are saved", async || {
            world.store.names("text").len() == 1
        })
        .await;
        gateways[0].kill();
        world.app.set_work_time(Duration::ZERO);
        let next = Gateway::start("front-9", &world.store);
        next.wait_until_ready().await;
        let client = next.client();
        let results = read_results(&client, "b1", ITEMS.len()).await;
        assert_scored(&world, &results, &ITEMS);
        for item in ITEMS {
            assert_eq!(world.arrival_count(item), 1, "{item}");
        }
    });
}

#[test]
fn a_finished_text_that_waits_for_its_score_is_handed_over_by_a_planned_stop() {
    run(async {
        let (world, gateways) = start(2, 5, EVENT_INTERVAL).await;
        world.app.set_work_time(Duration::from_mins(10));
        let client = gateways[0].client();
        client
            .submit_scored("b1", &ITEMS, 1)
            .await
            .expect("a response");
        wait_until("calls run", async || !world.app.arrivals().is_empty()).await;
        wait_until("all texts are complete", async || {
            gateways[0].log_lines("item finished").len() == ITEMS.len()
        })
        .await;
        world.app.set_work_time(Duration::ZERO);
        gateways[0].signal("TERM");
        let client = gateways[1].client();
        let results = read_results(&client, "b1", ITEMS.len()).await;
        assert_scored(&world, &results, &ITEMS);
        for item in ITEMS {
            assert_eq!(world.arrival_count(item), 1, "{item}");
        }
    });
}

#[test]
fn a_call_under_which_servers_end_is_not_sent_again_and_again() {
    run(async {
        let (world, gateways) = start(1, 5, EVENT_INTERVAL).await;
        let other = start_server("app-1", 5, EVENT_INTERVAL).await;
        other.register(&world.store, "app", "ready");
        let servers = [&world.app, &other];
        for server in servers {
            server.end_under(FatalRequest::new("i3", Duration::from_millis(50)));
        }
        let client = gateways[0].client();
        client
            .submit_scored("b1", &ITEMS, 1)
            .await
            .expect("a response");
        let results = read_results(&client, "b1", ITEMS.len() - 1).await;
        let sound = ["i0", "i1", "i2", "i4", "i5"];
        assert_scored(&world, &results, &sound);
        gateways[0]
            .wait_for_log("content suspected of ending servers")
            .await;
        // Servers come back half a second later, and a content is refused after the third end.
        tokio::time::sleep(Duration::from_secs(6)).await;
        let ends: u64 = servers.iter().map(|server| server.end_count()).sum();
        assert!((1..=4).contains(&ends), "{ends}");
    });
}

/// Submits an item with a call with this id.
async fn submit_with_call(client: &Client, batch: &str, item: &str, call: &str) {
    let response = client
        .submit_items(
            batch,
            &[item],
            1,
            |_| json!({"id": call, "hostname": "app.example", "path": "/plain/x", "body": ""}),
        )
        .await;
    assert_eq!(response.expect("a response").status, 202);
}

#[test]
fn an_item_that_comes_again_while_it_runs_is_scored_by_the_call_of_the_later_batch() {
    run(async {
        let (world, gateways) = start(1, 100, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        world.store.announce_version("drafts", 1);
        submit_with_call(&client, "b1", "i0", "call-1").await;
        gateways[0].wait_for_log("version announced").await;
        wait_until("the item runs", async || world.arrival_count("i0") > 0).await;
        client.end("b1").await.expect("a response");
        submit_with_call(&client, "b2", "i0", "call-2").await;
        let results = read_results(&client, "b2", 1).await;
        assert_eq!(results[0].score, Some(Engine::stamp("call-2")));
        assert_eq!(world.arrival_count("i0"), 1);
    });
}

#[test]
fn a_finished_text_that_comes_again_is_scored_by_the_call_of_the_later_batch() {
    run(async {
        let (world, gateways) = start(1, 5, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        world.app.set_work_time(Duration::from_mins(10));
        submit_with_call(&client, "b1", "i0", "call-1").await;
        wait_until("the call runs", async || !world.app.arrivals().is_empty()).await;
        client.end("b1").await.expect("a response");
        world.app.set_work_time(Duration::ZERO);
        submit_with_call(&client, "b2", "i0", "call-2").await;
        let results = read_results(&client, "b2", 1).await;
        assert_eq!(results[0].score, Some(Engine::stamp("call-2")));
        assert_eq!(world.arrival_count("i0"), 1);
    });
}

// Guards against: calls that find no route since routes for batches have longer prefixes of their paths, and
// batches that are refused for it when they are submitted again.
#[test]
fn calls_are_sent_though_a_route_for_batches_begins_their_paths() {
    run(async {
        let (world, gateways) = start(1, 60, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        let submit = async || {
            let response = client.submit_scored("b1", &ITEMS, 1).await;
            response.expect("a response").status
        };
        assert_eq!(submit().await, 202);
        let routes = settings::with_batch_route(settings::routes(2), "/plain/score/");
        let routes = settings::with_batch_route(routes, "/plain/");
        world
            .store
            .put_routes(settings::with_prefix(routes, 0, "/"));
        wait_until("the routes are in force", async || {
            gateways[0].metric("routes_version").await == 2
        })
        .await;
        assert_eq!(submit().await, 202);
        let results = read_results(&client, "b1", ITEMS.len()).await;
        assert_scored(&world, &results, &ITEMS);
    });
}

// Guards against: an accepted batch that is refused when it is submitted again, since the route of its calls
// has ended.
#[test]
fn a_batch_is_accepted_again_after_the_route_of_its_calls_has_ended() {
    run(async {
        let (world, gateways) = start(2, 5, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        let response = client.submit_scored("b1", &ITEMS, 1).await;
        assert_eq!(response.expect("a response").status, 202);
        let mut routes = settings::routes(2);
        routes["routes"].as_array_mut().expect("a list").remove(0);
        world.put_routes(&gateways, routes).await;
        for gateway in &gateways {
            let client = gateway.client();
            let again = client.submit_scored("b1", &ITEMS, 1).await;
            assert_eq!(again.expect("a response").status, 202);
            let other = client.submit_scored("b2", &ITEMS, 1).await;
            assert_eq!(other.expect("a response").status, 400);
        }
    });
}
