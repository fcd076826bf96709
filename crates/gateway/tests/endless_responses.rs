//! Backend servers that send bytes without end, with a real gateway process.

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
use tokio::time::{Instant, timeout};

const EVENT_INTERVAL: Duration = Duration::from_millis(2);

/// How long clients of the tests wait for a response, as their requests state.
const DEADLINE: Duration = Duration::from_secs(5);

/// How long after a request's deadline its connection to the server may stay open. The rules of the
/// platform allow half a second.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);

/// The memory of a gateway's host, in kilobytes.
const MEMORY_LIMIT_KB: u64 = 110 << 10;

/// Starts a gateway before a sound server and one that sends bytes without end.
async fn start(kind: Kind, service: &str) -> (World, Gateway, Endless) {
    let world = World::start(1, 5, EVENT_INTERVAL).await;
    let endless = Endless::start("endless", SocketAddr::new(address(), 7200), kind).await;
    let endless = endless.expect("the server starts");
    endless.register(&world.store, service);
    let gateway = Gateway::start("front-1", &world.store);
    gateway.wait_until_ready().await;
    (world, gateway, endless)
}

/// Waits until no response of the server is being sent, which must be so by `limit`.
async fn assert_closed(endless: &Endless, limit: Instant) {
    wait_until("the connections are closed", async || {
        let open = endless.open();
        assert!(
            open == 0 || Instant::now() < limit,
            "{open} connections are open"
        );
        open == 0
    })
    .await;
}

/// Sends a request, reads the response until the connection is closed, and returns the number of its
/// bytes.
async fn read_to_end(gateway: SocketAddr, path: &str) -> std::io::Result<usize> {
    let mut stream = TcpStream::connect(gateway).await?;
    let (id, limit) = (names::REQUEST_ID, names::REMAINING_MS);
    let millis = DEADLINE.as_millis();
    let head =
        format!("GET {path} HTTP/1.1\r\nhost: app.example\r\n{id}: r\r\n{limit}: {millis}\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    let mut total = 0;
    let mut buffer = vec![0; 64 << 10];
    loop {
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => total += count,
            _ => return Ok(total),
        }
    }
}

#[test]
fn plain_requests_are_served_beside_a_server_that_sends_bytes_without_end() {
    run(async {
        for kind in [Kind::Head, Kind::Interim, Kind::Refusal, Kind::Failure] {
            let (_world, gateway, endless) = start(kind, "app").await;
            let begin = Instant::now();
            // Requests at the same time are sent to both servers.
            let requests = (0..12).map(|number| {
                let client = gateway.client();
                async move {
                    let id = format!("{kind:?}-{number}");
                    let response = client.request(&id, "/plain/x", "body").await;
                    assert_eq!(response.expect("a response").status, 200, "{id}");
                }
            });
            join_all(requests).await;
            assert!(endless.started() > 0, "{kind:?}");
            assert_closed(&endless, begin + DEADLINE + CLOSE_MARGIN).await;
            assert!(gateway.peak_memory_kb() < MEMORY_LIMIT_KB, "{kind:?}");
        }
    });
}

#[test]
fn a_response_without_end_is_cut_at_the_deadline_and_does_not_look_complete() {
    run(async {
        for (kind, path) in [(Kind::Success, "/plain/x"), (Kind::Success, "/once/x")] {
            let (world, gateway, endless) = start(kind, "app").await;
            world.store.remove_server(&world.app.instance);
            gateway.wait_for_log("server removed").await;
            let begin = Instant::now();
            let response = timeout(DEADLINE * 2, read_to_end(gateway.ingress(), path)).await;
            let bytes = response.expect("the response ends").expect("a response");
            assert!(bytes > 0, "{path}");
            assert_closed(&endless, begin + DEADLINE + CLOSE_MARGIN).await;
            assert!(gateway.peak_memory_kb() < MEMORY_LIMIT_KB, "{path}");
        }
    });
}

#[test]
fn streams_are_resumed_elsewhere_when_a_server_sends_bytes_without_end() {
    run(async {
        for kind in Kind::ALL {
            let (world, gateway, endless) = start(kind, "pool").await;
            let begin = Instant::now();
            for number in 0..6 {
                let id = format!("{kind:?}-{number}");
                let client = gateway.client();
                let response = timeout(DEADLINE, client.stream(&id, "/stream/x")).await;
                let response = response.expect("an end").expect("a complete response");
                assert_eq!(response.status, 200, "{id}");
                let text = String::from_utf8_lossy(&response.body);
                assert_eq!(text.matches("data: ").count(), 5, "{id}");
            }
            assert!(endless.started() > 0, "{kind:?}");
            assert_closed(&endless, begin + DEADLINE + CLOSE_MARGIN).await;
            assert!(gateway.peak_memory_kb() < MEMORY_LIMIT_KB, "{kind:?}");
            drop(world);
        }
    });
}

#[test]
fn items_complete_elsewhere_when_an_engine_sends_bytes_without_end() {
    run(async {
        // A failure of an item counts as one of its attempts, whatever its body.
        let kinds = Kind::ALL.into_iter().filter(|kind| *kind != Kind::Failure);
        for kind in kinds.chain([Kind::Events]) {
            let (world, gateway, endless) = start(kind, "pool").await;
            let items = ["i0", "i1", "i2", "i3"];
            let client = gateway.client();
            client.submit("b1", &items, 1).await.expect("a response");
            let results = read_results(&client, "b1", items.len()).await;
            assert_complete(&world, &results, &items);
            assert!(endless.started() > 0, "{kind:?}");
            assert_closed(&endless, Instant::now() + DEADLINE).await;
            assert!(gateway.peak_memory_kb() < MEMORY_LIMIT_KB, "{kind:?}");
        }
    });
}
