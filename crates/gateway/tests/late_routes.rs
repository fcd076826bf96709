//! Batches on routes that the scheduling gateway does not know yet, through real gateways.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Gateway, World, assert_complete, read_results, run, wait_until};
use serde_json::Value;
use tamaracksail_adapter_standins::loopback::address;
use tamaracksail_adapter_standins::store::Fault as StoreFault;
use tamaracksail_adapter_standins::{Store, settings};

const EVENT_INTERVAL: Duration = Duration::from_millis(5);
const ITEMS: [&str; 4] = ["i0", "i1", "i2", "i3"];

/// A platform with two gateways, of which the first schedules and reaches the store through a
/// listener of its own.
struct Lag {
    world: World,
    scheduling: Gateway,
    accepting: Gateway,
    /// The listener of the scheduling gateway.
    listener: Store,
    /// The listener of the accepting gateway.
    other_listener: Store,
}

/// Starts the platform, and adds a route for batches which the scheduling gateway does not learn of
/// while the store has `fault` for it.
async fn start(events: u64, fault: StoreFault) -> Lag {
    let world = World::start(2, events, EVENT_INTERVAL).await;
    let listen = async || {
        let listener = world.store.add_listener(SocketAddr::new(address(), 7100));
        listener.await.expect("a listener")
    };
    let (listener, other_listener) = (listen().await, listen().await);
    let scheduling = Gateway::start("front-0", &listener);
    scheduling.wait_until_ready().await;
    let client = scheduling.client();
    client.submit("b0", &["j0"], 1).await.expect("a response");
    read_results(&client, "b0", 1).await;
    let accepting = Gateway::start("front-1", &other_listener);
    accepting.wait_until_ready().await;
    listener.set_fault(fault);
    let routes = settings::with_batch_route(settings::routes(2), "/late/");
    world.store.put_routes(routes);
    wait_until("the accepting gateway has the new route", async || {
        accepting.metric("routes_version").await == 2
    })
    .await;
    assert_eq!(scheduling.metric("routes_version").await, 1);
    Lag {
        world,
        scheduling,
        accepting,
        listener,
        other_listener,
    }
}

impl Lag {
    /// Submits a batch on the new route at the accepting gateway. Returns the status.
    async fn submit(&self) -> u16 {
        let client = self.accepting.client();
        let response = client.submit_under("/late/", "b1", &ITEMS, 1, |_| Value::Null);
        response.await.expect("a response").status
    }

    /// Checks that all items run to their end.
    async fn assert_complete(&self) {
        let results = read_results(&self.accepting.client(), "b1", ITEMS.len()).await;
        assert_complete(&self.world, &results, &ITEMS);
    }
}

// Guards against: items listed as aborted since the scheduling gateway has not seen their route yet.
#[test]
fn items_of_a_route_that_the_scheduling_gateway_has_not_seen_are_not_aborted() {
    run(async {
        let lag = start(5, StoreFault::HidesChanges("config".to_owned())).await;
        assert_eq!(lag.submit().await, 202);
        lag.assert_complete().await;
        // The batch told it that newer routes exist.
        assert_eq!(lag.scheduling.metric("routes_version").await, 2);
    });
}

// Guards against: items aborted or lost while the store refuses to tell the scheduling gateway the routes.
#[test]
fn a_batch_waits_while_the_scheduling_gateway_cannot_read_its_route() {
    run(async {
        let lag = start(5, StoreFault::RefusesAll("config".to_owned())).await;
        assert_eq!(lag.submit().await, 202);
        let line = lag
            .scheduling
            .wait_for_log("batch waits for newer routes")
            .await;
        assert_eq!(
            (&line["accepted_under"], &line["in_force"]),
            (&2.into(), &1.into())
        );
        let page = lag.accepting.client().results("b1", 0).await;
        let page = page.expect("a response");
        assert_eq!((page.status, page.results().len()), (200, 0));
        lag.listener.set_fault(StoreFault::None);
        lag.assert_complete().await;
    });
}

// Guards against: items aborted by a gateway that takes over with older routes than those of the batch.
#[test]
fn a_takeover_with_older_routes_aborts_no_items() {
    run(async {
        let mut lag = start(200, StoreFault::HidesChanges("config".to_owned())).await;
        lag.listener.set_fault(StoreFault::None);
        lag.other_listener
            .set_fault(StoreFault::HidesChanges("config".to_owned()));
        let routes = settings::with_batch_route(settings::routes(3), "/later/");
        lag.world.store.put_routes(routes);
        wait_until("the scheduling gateway has the new route", async || {
            lag.scheduling.metric("routes_version").await == 3
        })
        .await;
        let client = lag.scheduling.client();
        let response = client.submit_under("/later/", "b1", &ITEMS, 1, |_| Value::Null);
        assert_eq!(response.await.expect("a response").status, 202);
        wait_until("items run", async || lag.world.arrival_count("i0") > 0).await;
        lag.scheduling.kill();
        lag.assert_complete().await;
    });
}

// Guards against: a batch that a gateway with older routes stores for another one is aborted or refused.
#[test]
fn a_batch_that_a_gateway_with_older_routes_stores_for_a_peer_is_not_aborted() {
    run(async {
        let lag = start(5, StoreFault::HidesChanges("config".to_owned())).await;
        lag.other_listener
            .set_fault(StoreFault::Refuses("batch".to_owned()));
        // It may not know yet which gateway schedules.
        wait_until("the batch is accepted", async || lag.submit().await == 202).await;
        lag.accepting.wait_for_log("batch stored by a peer").await;
        lag.assert_complete().await;
    });
}

// Guards against: reads of the routes beside the watch of a process that waits for its first routes.
#[test]
fn a_gateway_without_routes_reads_them_by_its_watch_alone() {
    run(async {
        let world = World::start(1, 5, EVENT_INTERVAL).await;
        let refused = StoreFault::RefusesAll("config".to_owned());
        world.store.set_fault(refused);
        let gateway = Gateway::start("front-0", &world.store);
        gateway.wait_for_log("store call failed").await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(gateway.log_lines("awaited routes not read").is_empty());
        assert!(
            gateway
                .log_lines("awaited routes not in force yet")
                .is_empty()
        );
        world.store.set_fault(StoreFault::None);
        gateway.wait_until_ready().await;
    });
}
