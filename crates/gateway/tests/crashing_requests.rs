//! Tests of requests under which backend servers end, with real gateway processes.

mod common;

use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{Gateway, World, run, start_server};
use hyper::Method;
use tamaracksail_adapter::names;
use tamaracksail_adapter_standins::Engine;
use tamaracksail_adapter_standins::client::Response;

/// The time between two events of a streamed response.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);

/// How long a server takes to start again.
const DOWNTIME: Duration = Duration::from_millis(300);

/// The body of the request under which servers end.
const FATAL: &str = "fatal";

/// The number of servers that may end under a request before it counts as recognisable.
const ENDS_TO_RECOGNISE: u64 = 3;

/// The time after the last of these ends within which all gateways must recognise the request.
const RECOGNITION_TIME: Duration = Duration::from_secs(3);

/// The number of times that the request may reach servers after that.
const MAX_LATER_SENDS: u64 = 3;

/// Gateways before servers that end under [`FATAL`].
struct Crashing {
    _world: World,
    servers: Vec<Engine>,
    gateways: Vec<Gateway>,
    path: &'static str,
    sent: usize,
}

impl Crashing {
    async fn start(service: &str, path: &'static str) -> Self {
        let world = World::start(0, 5, EVENT_INTERVAL).await;
        world.store.remove_server(&world.app.instance);
        let mut servers = Vec::new();
        for number in 0..4 {
            let server = start_server(&format!("server-{number}"), 5, EVENT_INTERVAL).await;
            server.end_under(FATAL, DOWNTIME);
            server.register(&world.store, service, "ready");
            servers.push(server);
        }
        let mut gateways = Vec::new();
        for number in 0..3 {
            gateways.push(Gateway::start(&format!("front-{number}"), &world.store));
        }
        for gateway in &gateways {
            gateway.wait_until_ready().await;
        }
        Self {
            _world: world,
            servers,
            gateways,
            path,
            sent: 0,
        }
    }

    fn ends(&self) -> u64 {
        self.servers.iter().map(Engine::end_count).sum()
    }

    /// Sends a request under a new id to the next gateway. Returns none if its connection broke.
    async fn send(&mut self, body: &str) -> Option<Response> {
        self.sent += 1;
        let gateway = &self.gateways[self.sent % self.gateways.len()];
        let id = format!("r{}", self.sent);
        let headers = [(names::REQUEST_ID, id.as_str()), ("x-item", "1")];
        let headers = if self.path == "/stream/x" {
            &headers[..]
        } else {
            &headers[..1]
        };
        let body = Bytes::from(body.to_owned());
        let client = gateway.client();
        client
            .send(Method::POST, self.path, headers, body)
            .await
            .ok()
    }

    /// Sends the fatal request until it has ended [`ENDS_TO_RECOGNISE`] servers, and waits for
    /// [`RECOGNITION_TIME`]. Requests with another body are sent beside it.
    async fn end_servers(&mut self) {
        let start = Instant::now();
        while self.ends() < ENDS_TO_RECOGNISE {
            assert!(start.elapsed() < Duration::from_secs(30), "too few ends");
            self.send(FATAL).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        tokio::time::sleep(RECOGNITION_TIME).await;
    }

    /// Sends the fatal request again and again, and checks how often it reaches servers. Sound
    /// requests in between are all served.
    async fn check_later_sends(&mut self) {
        let before = self.ends();
        for _ in 0..12 {
            let response = self.send(FATAL).await;
            assert!(response.is_none_or(|response| response.status != 200));
            tokio::time::sleep(DOWNTIME).await;
            let response = self.send("sound").await.expect("a response");
            assert_eq!(response.status, 200);
        }
        let later = self.ends() - before;
        assert!(later <= MAX_LATER_SENDS, "{later} later sends");
    }
}

#[test]
fn a_request_under_which_servers_end_is_not_sent_again_without_limit() {
    run(async {
        let mut crashing = Crashing::start("app", "/plain/x").await;
        crashing.end_servers().await;
        crashing.check_later_sends().await;
    });
}

#[test]
fn a_request_that_runs_once_and_ends_servers_is_not_accepted_again_without_limit() {
    run(async {
        let mut crashing = Crashing::start("app", "/once/x").await;
        crashing.end_servers().await;
        crashing.check_later_sends().await;
    });
}

#[test]
fn a_stream_under_which_servers_end_is_not_sent_again_without_limit() {
    run(async {
        let mut crashing = Crashing::start("pool", "/stream/x").await;
        crashing.end_servers().await;
        crashing.check_later_sends().await;
    });
}

#[test]
fn restarted_gateways_do_not_send_a_request_under_which_servers_ended() {
    run(async {
        let mut crashing = Crashing::start("app", "/plain/x").await;
        crashing.end_servers().await;
        for gateway in &mut crashing.gateways {
            gateway.kill();
            gateway.restart();
        }
        for gateway in &crashing.gateways {
            gateway.wait_until_ready().await;
        }
        crashing.check_later_sends().await;
    });
}

#[test]
fn sound_requests_in_flight_beside_one_that_ends_servers_are_not_refused() {
    run(async {
        let mut crashing = Crashing::start("pool", "/stream/x").await;
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
