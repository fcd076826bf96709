//! Tests of requests under which backend servers end, with real gateway processes.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::crashing::{EVENT_INTERVAL, FATAL, Setup};
use common::{Gateway, World, run};
use hyper::Method;
use tamaracksail_adapter::names;

#[test]
fn a_request_under_which_servers_end_is_not_sent_again_without_limit() {
    run(Setup::new("/plain/x").check());
}

#[test]
fn a_request_that_runs_once_and_ends_servers_is_not_accepted_again_without_limit() {
    run(Setup::new("/once/x").check());
}

#[test]
fn a_stream_under_which_servers_end_is_not_sent_again_without_limit() {
    run(Setup::new("/stream/x").check());
}

#[test]
fn restarted_gateways_do_not_send_a_request_under_which_servers_ended() {
    run(async {
        let mut crashing = Setup::new("/plain/x").start().await;
        crashing.end_servers().await;
        crashing.restart_gateways().await;
        crashing.check_later_sends().await;
    });
}

#[test]
fn sound_requests_in_flight_beside_one_that_ends_servers_are_not_refused() {
    run(async {
        let mut crashing = Setup::new("/stream/x").start().await;
        let mut sound = Vec::new();
        for number in 0..6 {
            let client = crashing.gateways[number % crashing.gateways.len()].client();
            sound.push(tokio::task::spawn_local(async move {
                let mut served: u32 = 0;
                for round in 0..60 {
                    let id = format!("sound-{number}-{round}");
                    let headers = [(names::REQUEST_ID, id.as_str()), ("x-item", "1")];
                    let body = Bytes::from(format!("sound {number}"));
                    let response = client.send(Method::POST, "/stream/x", &headers, body).await;
                    // A stream that breaks off three times has used up its attempts.
                    if let Ok(response) = response {
                        assert_eq!(response.status, 200, "{id}");
                        served += 1;
                    }
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                served
            }));
        }
        for _ in 0..20 {
            crashing.send(FATAL).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        for client in sound {
            let served = client.await.expect("the client ends");
            assert!(served > 0);
        }
        for gateway in &crashing.gateways {
            let refused = gateway.log_lines("refused, servers ended under this content");
            let is_sound = |line: &serde_json::Value| {
                line["request"]
                    .as_str()
                    .is_none_or(|id| id.starts_with("sound"))
            };
            assert!(!refused.iter().any(is_sound), "{refused:?}");
        }
    });
}

#[test]
fn expired_and_malformed_suspects_are_not_used_and_expired_ones_are_removed() {
    run(async {
        let world = World::start(0, 5, EVENT_INTERVAL).await;
        let expired = serde_json::json!({
            "written_at_ms": 1_000,
            "contents": [{
                "fingerprint": "7", "servers": [["a", 1], ["b", 1]], "is_alone": true, "valid_ms": 1_000,
            }],
        });
        world.store.put("suspects", "gone", expired);
        world
            .store
            .put("suspects", "other", serde_json::json!({"contents": 3}));
        let gateway = Gateway::start("front-0", &world.store);
        gateway.wait_until_ready().await;
        let removed = gateway.wait_for_log("expired suspects removed").await;
        assert_eq!(removed["host"], "gone");
        let malformed = gateway
            .wait_for_log("published suspects are malformed")
            .await;
        assert_eq!(malformed["host"], "other");
        let response = gateway.client().request("r", "/plain/x", "").await;
        assert_eq!(response.expect("a response").status, 200);
    });
}
