//! Plain requests and streams through a real gateway.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{Gateway, World, run, server};
use hyper::Method;
use tamaracksail_adapter_standins::Engine;
use tamaracksail_adapter_standins::engine::Fault;
use tamaracksail_adapter_standins::settings;
use tamaracksail_adapter_standins::store::Fault as StoreFault;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const PACE: Duration = Duration::from_millis(2);

async fn start() -> (World, Gateway) {
    let world = World::start(2, 5, PACE).await;
    let gateway = Gateway::start("front-1", &world.store);
    gateway.ready().await;
    (world, gateway)
}

/// Waits until routes that lead `/moved/` are in force.
async fn moved(gateway: &Gateway) {
    common::until("the new routes are in force", async || {
        let answer = gateway.client().request("b", "/moved/x", "").await;
        answer.expect("an answer").status == 200
    })
    .await;
}

#[test]
fn a_request_reaches_its_server_unchanged() {
    run(async {
        let (world, gateway) = start().await;
        let answer = gateway.client().request("a1", "/plain/x?q=1", "text").await;
        let answer = answer.expect("an answer");
        assert_eq!((answer.status, &answer.body[..]), (200, &b"text"[..]));
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
fn a_path_without_a_route_is_not_found_and_one_without_routes_is_not_run() {
    run(async {
        let (world, gateway) = start().await;
        let answer = gateway.client().request("a1", "/elsewhere/", "").await;
        assert_eq!(answer.expect("an answer").status, 404);
        world.store.set_fault(StoreFault::Busy);
        let blind = Gateway::start("front-2", &world.store);
        blind.logged("listening").await;
        let answer = blind.client().request("a2", "/plain/", "").await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after().is_some());
        assert!(!blind.is_ready().await);
    });
}

#[test]
fn a_refused_request_is_sent_to_another_server() {
    run(async {
        let (world, gateway) = start().await;
        let other = server("app-1", 5, PACE).await;
        other.register(&world.store, "app", "ready");
        gateway.logged("routes in force").await;
        for path in ["/plain/x", "/once/x"] {
            world.app.push_faults(&[Fault::NotRun]);
            other.push_faults(&[Fault::NotRun]);
            let answer = gateway.client().request(path, path, "body").await;
            assert_eq!(answer.expect("an answer").status, 200);
        }
        let runs = world.app.arrivals().len() + other.arrivals().len();
        assert_eq!(runs, 2);
    });
}

#[test]
fn only_a_repeatable_request_is_sent_again_after_it_may_have_run() {
    run(async {
        let (world, gateway) = start().await;
        for fault in [Fault::NoAnswer, Fault::ForeignId] {
            world.app.push_faults(&[fault]);
            let answer = gateway.client().request("once", "/once/x", "body").await;
            assert_eq!(answer.expect("an answer").status, 502, "{fault:?}");
            world.app.push_faults(&[fault]);
            let answer = gateway.client().request("again", "/plain/x", "body").await;
            assert_eq!(answer.expect("an answer").status, 200, "{fault:?}");
        }
        let arrivals = world.app.arrivals();
        let once = arrivals.iter().filter(|found| found.id == "once").count();
        assert_eq!((once, arrivals.len()), (2, 6));
    });
}

#[test]
fn a_failure_that_lasts_is_passed_on_and_logged() {
    run(async {
        let (world, gateway) = start().await;
        world
            .app
            .push_faults(&[Fault::Fails, Fault::Fails, Fault::Fails]);
        let answer = gateway.client().request("f1", "/plain/x", "body").await;
        assert_eq!(answer.expect("an answer").status, 500);
        let line = gateway.logged("attempt failed").await;
        assert_eq!(line["request"], "f1");
        assert_eq!(line["server"], "app-0");
        assert_eq!(line["problem"], "500");
        assert_eq!(gateway.logged("answered").await["status"], 500);
    });
}

#[test]
fn a_server_that_leaves_gets_no_more_requests() {
    run(async {
        let (world, gateway) = start().await;
        let other = server("app-1", 5, PACE).await;
        other.register(&world.store, "app", "ready");
        world.app.register(&world.store, "app", "draining");
        common::until("the other server is used", async || {
            let answer = gateway.client().request("w", "/plain/x", "").await;
            answer.expect("an answer");
            !other.arrivals().is_empty()
        })
        .await;
        let before = world.app.arrivals().len();
        for _ in 0..5 {
            let answer = gateway.client().request("n", "/plain/x", "").await;
            assert_eq!(answer.expect("an answer").status, 200);
        }
        assert_eq!(world.app.arrivals().len(), before);
    });
}

#[test]
fn new_routes_come_into_force_and_malformed_ones_do_not() {
    run(async {
        let (world, gateway) = start().await;
        world.store.put_routes(serde_json::json!({"version": 9}));
        gateway.logged("routes rejected").await;
        let answer = gateway.client().request("a", "/plain/x", "").await;
        assert_eq!(answer.expect("an answer").status, 200);
        let routes = settings::moved_routes(10, "/moved/");
        world.store.put_routes(routes);
        moved(&gateway).await;
        let answer = gateway.client().request("c", "/plain/x", "").await;
        assert_eq!(answer.expect("an answer").status, 404);
    });
}

#[test]
fn a_stream_goes_on_at_another_engine() {
    run(async {
        let (world, gateway) = start().await;
        for engine in &world.engines {
            engine.push_faults(&[Fault::BreaksAfter(2)]);
        }
        let answer = gateway.client().stream("s1", "/stream/x").await;
        let answer = answer.expect("a whole answer");
        let text = String::from_utf8_lossy(&answer.body);
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
fn a_stream_that_cannot_go_on_is_broken_off() {
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
fn a_planned_stop_answers_what_is_open_and_closes_connections() {
    run(async {
        let (_world, mut gateway) = start().await;
        let client = gateway.client();
        let mut kept = client.open().await.expect("a connection");
        gateway.signal("TERM");
        gateway.logged("stopping").await;
        assert!(!gateway.is_ready().await);
        let headers = [];
        let body = bytes::Bytes::new();
        let answer = client
            .send_on(&mut kept, hyper::Method::POST, "/plain/x", &headers, body)
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.headers["connection"], "close");
        assert!(gateway.ended().await);
    });
}

#[test]
fn changed_settings_are_read_and_wrong_ones_refused() {
    run(async {
        let (_world, gateway) = start().await;
        gateway.signal("HUP");
        gateway.logged("settings reloaded").await;
        let answer = gateway.client().request("a", "/plain/x", "").await;
        assert_eq!(answer.expect("an answer").status, 200);
    });
}

#[test]
fn routes_that_change_after_a_silence_of_the_store_come_into_force() {
    run(async {
        let (world, gateway) = start().await;
        world.store.set_fault(StoreFault::Silent);
        gateway.logged("store unavailable").await;
        world.store.set_fault(StoreFault::None);
        gateway
            .logged("store available again, watches restarted")
            .await;
        world
            .store
            .put_routes(settings::moved_routes(10, "/moved/"));
        moved(&gateway).await;
        // The watch that the silence swallowed did not have to give up first.
        let lost = gateway.lines("store call failed");
        assert!(lost.iter().all(|line| line["kind"] != "config"), "{lost:?}");
    });
}

#[test]
fn routes_come_into_force_though_the_store_forgot_its_history() {
    run(async {
        let (world, gateway) = start().await;
        world.store.put_routes(settings::moved_routes(5, "/other/"));
        world.store.forget_history();
        gateway
            .logged("store history gone, listing all objects")
            .await;
        world
            .store
            .put_routes(settings::moved_routes(10, "/moved/"));
        moved(&gateway).await;
    });
}

#[test]
fn a_head_that_is_too_long_or_too_slow_ends_its_connection_and_an_idle_one_stays() {
    run(async {
        let (_world, gateway) = start().await;
        let client = gateway.client();
        let long = "x".repeat(20_000);
        let headers = [("x-long", long.as_str())];
        let answer = client.send(Method::POST, "/plain/x", &headers, Bytes::new());
        assert_eq!(answer.await.expect("an answer").status, 431);
        let mut idle = client.open().await.expect("a connection");
        let mut slow = tokio::net::TcpStream::connect(gateway.ingress())
            .await
            .expect("a connection");
        slow.write_all(b"POST /plain/x HTTP/1.1\r\nhost:")
            .await
            .expect("the gateway reads");
        let mut rest = Vec::new();
        slow.read_to_end(&mut rest)
            .await
            .expect("the gateway ends it");
        assert_eq!(rest, b"");
        gateway
            .logged("request head too slow, connection closed")
            .await;
        let answer = client.send_on(&mut idle, Method::POST, "/plain/x", &[], Bytes::new());
        assert_eq!(answer.await.expect("an answer").status, 200);
    });
}
