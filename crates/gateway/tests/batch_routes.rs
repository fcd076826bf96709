//! Items of batches whose paths belong to other routes, and routes that change while batches are open.

mod common;

use std::time::Duration;

use common::{World, assert_complete, read_results, run, start, start_server, wait_until};
use serde_json::{Value, json};
use tamaracksail_adapter_standins::{Client, Engine, settings};
use tamaracksail_model::batch::Ending;

const EVENTS: u64 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// More items than the two engines have slots, so that some wait while routes change.
const ITEMS: [&str; 20] = [
    "i00", "i01", "i02", "i03", "i04", "i05", "i06", "i07", "i08", "i09", "i10", "i11", "i12",
    "i13", "i14", "i15", "i16", "i17", "i18", "i19",
];

/// Submits a batch to the route `/batch/` whose items have paths below `path`.
async fn submit(client: &Client, batch: &str, path: &str) -> u16 {
    let change = |id: &str, item: &mut Value| item["path"] = format!("{path}{id}").into();
    let response = client.submit_changed("/batch/", batch, &ITEMS, 1, change);
    response.await.expect("a response").status
}

fn items_at(server: &Engine) -> usize {
    let arrivals = server.arrivals();
    arrivals
        .iter()
        .filter(|arrival| ITEMS.contains(&&*arrival.id))
        .count()
}

async fn assert_complete_at_pool(world: &World, client: &Client, batch: &str) {
    let mut results = read_results(client, batch, ITEMS.len()).await;
    results.sort_by(|one, other| one.item.cmp(&other.item));
    assert_complete(world, &results, &ITEMS);
    assert_eq!(
        items_at(&world.app),
        0,
        "items ran at the service of another route"
    );
}

// Guards against: items that run at the service of the route of their own path, or are aborted since that path
// has no route.
#[test]
fn items_run_at_the_service_of_their_batch_whatever_routes_their_paths_have() {
    run(async {
        let (world, gateways) = start(2, 5, EVENT_INTERVAL).await;
        for (number, path) in ["/plain/", "/once/", "/none/", "/stream/"]
            .iter()
            .enumerate()
        {
            let client = gateways[number % 2].client();
            let batch = format!("b{number}");
            assert_eq!(submit(&client, &batch, path).await, 202);
            assert_complete_at_pool(&world, &client, &batch).await;
            assert_eq!(client.end(&batch).await.expect("a response").status, 200);
        }
    });
}

// Guards against: waiting items that a new route with a longer prefix takes to its service.
#[test]
fn a_new_route_below_that_of_a_batch_does_not_take_its_items() {
    run(async {
        for kind in ["idempotent", "stream", "rollout"] {
            let (world, gateways) = start(2, EVENTS, EVENT_INTERVAL).await;
            let client = gateways[0].client();
            assert_eq!(submit(&client, "b1", "/batch/3/").await, 202);
            wait_until("items run", async || world.arrival_count("i00") > 0).await;
            let routes = settings::with_route(settings::routes(2), "/batch/3/", kind, "app");
            world.put_routes(&gateways, routes).await;
            assert_complete_at_pool(&world, &client, "b1").await;
        }
    });
}

// Guards against: a successor that finds the services of items by their own paths, or that of the batch by a
// path that another route has by now.
#[test]
fn a_successor_and_a_restarted_process_find_the_route_that_accepted_the_batch() {
    run(async {
        for is_restarted in [false, true] {
            let (world, mut gateways) = start(2, EVENTS, EVENT_INTERVAL).await;
            let client = gateways[0].client();
            assert_eq!(submit(&client, "b1", "/batch/3/").await, 202);
            wait_until("items run", async || world.arrival_count("i00") > 0).await;
            // The first begins the paths of the items, the second that of the submission.
            let routes =
                settings::with_route(settings::routes(2), "/batch/3/", "idempotent", "app");
            let mut routes = settings::with_route(routes, "/batch/new/", "idempotent", "app");
            let route = &mut routes["routes"][2];
            route["name"] = "r-renamed".into();
            world.put_routes(&gateways, routes).await;
            if is_restarted {
                for gateway in &mut gateways {
                    gateway.kill();
                    gateway.restart();
                }
                gateways[1].wait_until_ready().await;
            } else {
                gateways[0].kill();
            }
            assert_complete_at_pool(&world, &gateways[1].client(), "b1").await;
        }
    });
}

// Guards against: items that stay at the old service of their route, or are aborted since its name changes.
#[test]
fn waiting_items_follow_their_route_to_another_service() {
    run(async {
        let (world, gateways) = start(2, EVENTS, EVENT_INTERVAL).await;
        let other = start_server("engine-other", EVENTS, EVENT_INTERVAL).await;
        other.register(&world.store, "other", "ready");
        let client = gateways[0].client();
        assert_eq!(submit(&client, "b1", "/plain/").await, 202);
        wait_until("items run", async || world.arrival_count("i00") > 0).await;
        let mut routes = settings::routes(2);
        routes["routes"][2]["service"] = "other".into();
        routes["routes"][2]["name"] = "r-renamed".into();
        let service = json!({"name": "other", "health-path": "/health", "max-conns": 100});
        let services = routes["services"]
            .as_array_mut()
            .expect("a list of services");
        services.push(service);
        world.put_routes(&gateways, routes).await;
        assert_complete_at_pool(&world, &client, "b1").await;
        assert!(items_at(&other) > 0, "no item ran at the new service");
    });
}

// Guards against: items that run on after their batch's route has ended, since their own paths have one.
#[test]
fn items_are_aborted_when_the_route_of_their_batch_ends() {
    run(async {
        let (world, gateways) = start(2, EVENTS, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        assert_eq!(submit(&client, "b1", "/stream/").await, 202);
        wait_until("items run", async || world.arrival_count("i00") > 0).await;
        let mut routes = settings::routes(2);
        let list = routes["routes"].as_array_mut().expect("a list of routes");
        list.remove(2);
        world.put_routes(&gateways, routes).await;
        let results = read_results(&client, "b1", ITEMS.len()).await;
        let aborted = results
            .iter()
            .filter(|result| result.ending == Ending::Aborted);
        assert!(aborted.count() > 0, "{results:?}");
    });
}

// Guards against: a submission that is repeated and goes to the server of a route that was added meanwhile, or
// a batch whose bodies and end depend on the route of its path.
#[test]
fn a_repeated_submission_is_accepted_though_its_path_has_another_route_by_now() {
    run(async {
        let (world, gateways) = start(2, EVENTS, EVENT_INTERVAL).await;
        let submit = async |client: &Client| {
            let response = client.submit_changed("/batch/3/", "b1", &ITEMS, 1, |_, _| {});
            response.await.expect("a response").status
        };
        assert_eq!(submit(&gateways[0].client()).await, 202);
        for kind in ["idempotent", "rollout"] {
            let version = if kind == "rollout" { 3 } else { 2 };
            let routes = settings::with_route(settings::routes(version), "/batch/3/", kind, "app");
            world.put_routes(&gateways, routes).await;
            for gateway in &gateways {
                let client = gateway.client();
                assert_eq!(submit(&client).await, 202, "{kind}");
                let body = client.item("b1", ITEMS[19]).await.expect("a response");
                assert_eq!((body.status, &*body.body), (200, ITEMS[19].as_bytes()));
            }
        }
        assert!(
            world.app.arrivals().is_empty(),
            "the submission was forwarded"
        );
        assert_complete_at_pool(&world, &gateways[1].client(), "b1").await;
        let end = gateways[1].client().end("b1").await;
        assert_eq!(end.expect("a response").status, 200);
    });
}

// Guards against: a request that only looks like a batch is answered as one, or is not forwarded.
#[test]
fn a_request_below_a_route_of_batches_is_forwarded_unless_it_repeats_a_submission() {
    run(async {
        let (world, gateways) = start(1, 5, EVENT_INTERVAL).await;
        let routes = settings::with_route(settings::routes(2), "/batch/3/", "idempotent", "app");
        world.put_routes(&gateways, routes).await;
        let client = gateways[0].client();
        let response = client.request("r1", "/batch/3/x", "text").await;
        assert_eq!(response.expect("a response").status, 200);
        let response = client.submit_changed("/batch/3/", "b9", &["i00"], 1, |_, _| {});
        assert_eq!(response.await.expect("a response").status, 200);
        assert_eq!(world.app.arrivals().len(), 2);
    });
}
