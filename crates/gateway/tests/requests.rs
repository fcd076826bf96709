//! Tests of requests and streams through a gateway process.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{Gateway, World, run, start_server, wait_until};
use hyper::Method;
use tamaracksail_adapter_standins::Engine;
use tamaracksail_adapter_standins::engine::Fault;
use tamaracksail_adapter_standins::settings;
use tamaracksail_adapter_standins::store::Fault as StoreFault;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The time between two events of a streamed response.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);

async fn start() -> (World, Gateway) {
    let world = World::start(2, 5, EVENT_INTERVAL).await;
    let gateway = Gateway::start("front-1", &world.store);
    gateway.wait_until_ready().await;
    (world, gateway)
}

/// Waits until routes with the path `/moved/` are in force.
async fn wait_for_moved_routes(gateway: &Gateway) {
    common::wait_until("the new routes are in force", async || {
        let response = gateway.client().request("b", "/moved/x", "").await;
        response.expect("a response").status == 200
    })
    .await;
}

#[test]
fn a_request_reaches_its_server_unchanged() {
    run(async {
        let (world, gateway) = start().await;
        let response = gateway.client().request("a1", "/plain/x?q=1", "text").await;
        let response = response.expect("a response");
        assert_eq!((response.status, &response.body[..]), (200, &b"text"[..]));
        let arrival = world.app.arrivals().remove(0);
        assert_eq!(arrival.call, "POST /plain/x?q=1");
        assert_eq!(
            (arrival.id.as_str(), &arrival.body[..]),
            ("a1", &b"text"[..])
        );
        assert!(arrival.remaining.is_some_and(|left| left <= 5000));
    });
}

#[test]
fn an_unknown_path_is_not_found_and_without_routes_clients_are_told_to_retry() {
    run(async {
        let (world, gateway) = start().await;
        let response = gateway.client().request("a1", "/elsewhere/", "").await;
        assert_eq!(response.expect("a response").status, 404);
        world.store.set_fault(StoreFault::Busy);
        let without_routes = Gateway::start("front-2", &world.store);
        without_routes.wait_for_log("listening").await;
        let response = without_routes.client().request("a2", "/plain/", "").await;
        let response = response.expect("a response");
        assert_eq!(response.status, 503);
        assert!(response.retry_after().is_some());
        assert!(!without_routes.is_ready().await);
    });
}

#[test]
fn a_refused_request_is_sent_to_another_server() {
    run(async {
        let (world, gateway) = start().await;
        let second_server = start_server("app-1", 5, EVENT_INTERVAL).await;
        second_server.register(&world.store, "app", "ready");
        gateway.wait_for_log("routes in force").await;
        for path in ["/plain/x", "/once/x"] {
            world.app.push_faults(&[Fault::NotRun]);
            second_server.push_faults(&[Fault::NotRun]);
            let response = gateway.client().request(path, path, "body").await;
            assert_eq!(response.expect("a response").status, 200);
        }
        let runs = world.app.arrivals().len() + second_server.arrivals().len();
        assert_eq!(runs, 2);
    });
}

#[test]
fn only_a_repeatable_request_is_sent_again_after_it_may_have_run() {
    run(async {
        let (world, gateway) = start().await;
        for fault in [Fault::NoResponse, Fault::ForeignId] {
            world.app.push_faults(&[fault]);
            let response = gateway.client().request("once", "/once/x", "body").await;
            assert_eq!(response.expect("a response").status, 502, "{fault:?}");
            world.app.push_faults(&[fault]);
            let response = gateway.client().request("again", "/plain/x", "body").await;
            assert_eq!(response.expect("a response").status, 200, "{fault:?}");
        }
        let arrivals = world.app.arrivals();
        let once = arrivals.iter().filter(|found| found.id == "once").count();
        assert_eq!((once, arrivals.len()), (2, 6));
    });
}

#[test]
fn a_persistent_failure_is_returned_and_logged() {
    run(async {
        let (world, gateway) = start().await;
        world
            .app
            .push_faults(&[Fault::Fails, Fault::Fails, Fault::Fails]);
        let response = gateway.client().request("f1", "/plain/x", "body").await;
        assert_eq!(response.expect("a response").status, 500);
        let line = gateway.wait_for_log("attempt failed").await;
        assert_eq!(line["request"], "f1");
        assert_eq!(line["server"], "app-0");
        assert_eq!(line["problem"], "500");
        assert_eq!(gateway.wait_for_log("answered").await["status"], 500);
    });
}

#[test]
fn a_draining_server_gets_no_more_requests() {
    run(async {
        let (world, gateway) = start().await;
        let second_server = start_server("app-1", 5, EVENT_INTERVAL).await;
        second_server.register(&world.store, "app", "ready");
        world.app.register(&world.store, "app", "draining");
        common::wait_until("the second server is used", async || {
            let response = gateway.client().request("w", "/plain/x", "").await;
            response.expect("a response");
            !second_server.arrivals().is_empty()
        })
        .await;
        let before = world.app.arrivals().len();
        for _ in 0..5 {
            let response = gateway.client().request("n", "/plain/x", "").await;
            assert_eq!(response.expect("a response").status, 200);
        }
        assert_eq!(world.app.arrivals().len(), before);
    });
}

#[test]
fn a_server_that_announces_its_departure_gets_no_more_requests_while_it_is_registered_as_ready() {
    run(async {
        let (world, gateway) = start().await;
        let second_server = start_server("app-1", 5, EVENT_INTERVAL).await;
        second_server.register(&world.store, "app", "ready");
        world.app.announce_departure();
        gateway.wait_for_log("routes in force").await;
        common::wait_until("a response states the departure", async || {
            let response = gateway.client().request("w", "/plain/x", "").await;
            assert_eq!(response.expect("a response").status, 200);
            !gateway.log_lines("server is leaving").is_empty()
        })
        .await;
        let before = world.app.arrivals().len();
        // A registration that is renewed, or back after it lapsed, changes nothing.
        world.app.register(&world.store, "app", "ready");
        world.store.remove_server(&world.app.instance);
        gateway.wait_for_log("server removed").await;
        world.app.register(&world.store, "app", "ready");
        let third_server = start_server("app-2", 5, EVENT_INTERVAL).await;
        third_server.register(&world.store, "app", "ready");
        second_server.register(&world.store, "app", "draining");
        common::wait_until("the third server is used", async || {
            let response = gateway.client().request("n", "/plain/x", "").await;
            assert_eq!(response.expect("a response").status, 200);
            !third_server.arrivals().is_empty()
        })
        .await;
        assert_eq!(world.app.arrivals().len(), before);
    });
}

#[test]
fn new_routes_come_into_force_and_malformed_ones_do_not() {
    run(async {
        let (world, gateway) = start().await;
        world.store.put_routes(serde_json::json!({"version": 9}));
        gateway.wait_for_log("routes rejected").await;
        let response = gateway.client().request("a", "/plain/x", "").await;
        assert_eq!(response.expect("a response").status, 200);
        let routes = settings::moved_routes(10, "/moved/");
        world.store.put_routes(routes);
        wait_for_moved_routes(&gateway).await;
        let response = gateway.client().request("c", "/plain/x", "").await;
        assert_eq!(response.expect("a response").status, 404);
    });
}

#[test]
fn an_interrupted_stream_is_resumed_at_another_engine() {
    run(async {
        let (world, gateway) = start().await;
        for engine in &world.engines {
            engine.push_faults(&[Fault::BreaksAfter(2)]);
        }
        let response = gateway.client().stream("s1", "/stream/x").await;
        let response = response.expect("a complete response");
        let text = String::from_utf8_lossy(&response.body);
        let data: Vec<&str> = text
            .lines()
            .filter_map(|l| l.strip_prefix("data: "))
            .collect();
        assert_eq!(data.join("\n"), world.engines[0].text("s1"));
        let afters: Vec<Option<u64>> = world
            .engines
            .iter()
            .flat_map(Engine::arrivals)
            .map(|arrival| arrival.after)
            .collect();
        assert!(
            afters.contains(&Some(2)) && afters.contains(&None),
            "{afters:?}"
        );
    });
}

#[test]
fn a_stream_that_cannot_be_resumed_breaks_the_connection() {
    run(async {
        let (world, gateway) = start().await;
        for engine in &world.engines {
            engine.push_faults(&[Fault::BreaksAfter(1), Fault::BreaksAfter(1)]);
        }
        let answer = gateway.client().stream("s1", "/stream/x").await;
        assert!(answer.is_err(), "{answer:?}");
    });
}

#[test]
fn a_graceful_shutdown_serves_open_connections_and_closes_them() {
    run(async {
        let (_world, mut gateway) = start().await;
        let client = gateway.client();
        let mut connection = client.open().await.expect("a connection");
        gateway.signal("TERM");
        gateway.wait_for_log("stopping").await;
        assert!(!gateway.is_ready().await);
        let headers = [];
        let body = bytes::Bytes::new();
        let response = client
            .send_on(
                &mut connection,
                hyper::Method::POST,
                "/plain/x",
                &headers,
                body,
            )
            .await
            .expect("a response");
        assert_eq!(response.status, 200);
        assert_eq!(response.headers["connection"], "close");
        assert!(gateway.wait_for_exit().await);
    });
}

#[test]
fn settings_are_reloaded_on_sighup() {
    run(async {
        let (_world, gateway) = start().await;
        gateway.signal("HUP");
        gateway.wait_for_log("settings reloaded").await;
        let response = gateway.client().request("a", "/plain/x", "").await;
        assert_eq!(response.expect("a response").status, 200);
    });
}

#[test]
fn routes_changed_after_an_outage_of_the_store_come_into_force() {
    run(async {
        let (world, gateway) = start().await;
        world.store.set_fault(StoreFault::Silent);
        gateway.wait_for_log("store unavailable").await;
        world.store.set_fault(StoreFault::None);
        gateway
            .wait_for_log("store available again, watches restarted")
            .await;
        world
            .store
            .put_routes(settings::moved_routes(10, "/moved/"));
        wait_for_moved_routes(&gateway).await;
        // The watch that was pending in the outage was restarted, and did not have to time out.
        let lost = gateway.log_lines("store call failed");
        assert!(lost.iter().all(|line| line["kind"] != "config"), "{lost:?}");
    });
}

#[test]
fn routes_come_into_force_after_the_store_drops_its_history() {
    run(async {
        let (world, gateway) = start().await;
        world.store.put_routes(settings::moved_routes(5, "/other/"));
        world.store.discard_history();
        gateway
            .wait_for_log("store history gone, listing all objects")
            .await;
        world
            .store
            .put_routes(settings::moved_routes(10, "/moved/"));
        wait_for_moved_routes(&gateway).await;
    });
}

#[test]
fn a_request_head_too_long_or_too_slow_is_refused_and_an_idle_connection_stays_open() {
    run(async {
        let (_world, gateway) = start().await;
        let client = gateway.client();
        let long = "x".repeat(20_000);
        let headers = [("x-long", long.as_str())];
        let response = client.send(Method::POST, "/plain/x", &headers, Bytes::new());
        assert_eq!(response.await.expect("a response").status, 431);
        let mut idle = client.open().await.expect("a connection");
        let mut slow = tokio::net::TcpStream::connect(gateway.ingress())
            .await
            .expect("a connection");
        slow.write_all(b"POST /plain/x HTTP/1.1\r\nhost:")
            .await
            .expect("the gateway reads the bytes");
        let mut received = Vec::new();
        slow.read_to_end(&mut received)
            .await
            .expect("the gateway closes the connection");
        assert_eq!(received, b"");
        gateway
            .wait_for_log("request head too slow, connection closed")
            .await;
        let response = client.send_on(&mut idle, Method::POST, "/plain/x", &[], Bytes::new());
        assert_eq!(response.await.expect("a response").status, 200);
    });
}

// Guards against: a path of a route is answered with the metrics of the process.
#[test]
fn metrics_are_served_on_their_own_port_only() {
    run(async {
        let (world, gateways) = common::start(1, 1, EVENT_INTERVAL).await;
        world.store.put_routes(settings::moved_routes(2, "/"));
        wait_until("the new routes are in force", async || {
            gateways[0].metric("routes_version").await == 2
        })
        .await;
        let response = gateways[0].client().request("r1", "/metrics", "body").await;
        let response = response.expect("a response");
        assert_eq!((response.status, &response.body[..]), (200, &b"body"[..]));
    });
}
