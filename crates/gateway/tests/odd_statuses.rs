//! Backend servers whose responses have no final status, with a real gateway process.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Gateway, World, assert_complete, read_results, run, wait_until};
use futures_util::future::join_all;
use tamaracksail_adapter::names;
use tamaracksail_adapter_standins::Endless;
use tamaracksail_adapter_standins::endless::Kind;
use tamaracksail_adapter_standins::loopback::address;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const EVENT_INTERVAL: Duration = Duration::from_millis(2);

/// Status codes that no final response has.
const STATUSES: [&str; 7] = [
    "000 A", "099 A", "101 A", "199 A", "600 A", "799 A", "999 A",
];

/// Starts a gateway before a sound server and one whose responses have `status`.
async fn start(status: &'static str, service: &str) -> (World, Gateway, Endless) {
    let world = World::start(1, 5, EVENT_INTERVAL).await;
    let odd = Endless::start(
        "odd",
        SocketAddr::new(address(), 7200),
        Kind::Status(status),
    )
    .await;
    let odd = odd.expect("the server starts");
    odd.register(&world.store, service);
    let gateway = Gateway::start("front-1", &world.store);
    gateway.wait_until_ready().await;
    (world, gateway, odd)
}

/// Sends a request, and returns the status of the response as it was received.
async fn status(gateway: SocketAddr, id: &str, path: &str) -> u16 {
    let mut stream = TcpStream::connect(gateway).await.expect("a connection");
    let header = names::REQUEST_ID;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: app.example\r\n{header}: {id}\r\n\
         content-length: 0\r\nx-item: 1\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("a request");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("a response");
    let text = String::from_utf8_lossy(&bytes);
    assert!(!text.contains("body"), "{text}");
    let code = text.split(' ').nth(1).and_then(|code| code.parse().ok());
    code.unwrap_or_else(|| panic!("no status: {text}"))
}

// Guards against: a status that is none, or an interim one, that a client gets as its response.
#[test]
fn a_status_that_is_not_final_never_reaches_a_client() {
    run(async {
        for odd_status in STATUSES {
            for (service, path) in [
                ("app", "/plain/x"),
                ("app", "/once/x"),
                ("pool", "/stream/x"),
            ] {
                let (_world, gateway, odd) = start(odd_status, service).await;
                let requests = (0..8).map(|number| {
                    let id = format!("r-{number}");
                    let ingress = gateway.ingress();
                    async move { status(ingress, &id, path).await }
                });
                let codes = join_all(requests).await;
                // The server may have run a request that must not run again.
                let is_sound = |code: &u16| *code == 200 || (path == "/once/x" && *code == 502);
                assert!(codes.iter().all(is_sound), "{odd_status} {path}: {codes:?}");
                assert!(odd.started() > 0, "{odd_status} {path}");
            }
        }
    });
}

// Guards against: items, reward calls or load commands whose server answers with such a status, and that end or
// wait for good.
#[test]
fn items_complete_with_scores_beside_servers_without_final_statuses() {
    run(async {
        for odd_status in STATUSES {
            let (world, gateway, engine) = start(odd_status, "pool").await;
            let address = SocketAddr::new(address(), 7200);
            let scorer = Endless::start("odd-app", address, Kind::Status(odd_status)).await;
            let scorer = scorer.expect("the server starts");
            scorer.register(&world.store, "app");
            world.store.announce_version("drafts", 2);
            let items = ["i0", "i1", "i2", "i3", "i4", "i5"];
            let client = gateway.client();
            let response = client.submit_scored("b1", &items, 1).await;
            assert_eq!(response.expect("a response").status, 202);
            let results = read_results(&client, "b1", items.len()).await;
            assert_complete(&world, &results, &items);
            assert!(results.iter().all(|result| result.score.is_some()));
            wait_until("the sound engine has the new version", async || {
                world.engines[0].version() == 2
            })
            .await;
            assert!(engine.started() > 0, "{odd_status}");
        }
    });
}
