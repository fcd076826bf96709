//! Backend servers that send second copies of their responses, with a real gateway process.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use common::{Gateway, World, assert_complete, read_results, run};
use tamaracksail_adapter_standins::Engine;
use tamaracksail_adapter_standins::loopback::address;
use tamaracksail_adapter_standins::repeating::{Copy, Refusals, Repeating};

const EVENT_INTERVAL: Duration = Duration::from_millis(5);

const COPIES: [Copy; 4] = [
    Copy::AtOnce,
    Copy::After(Duration::from_millis(1)),
    Copy::After(Duration::from_millis(30)),
    Copy::BeforeNext,
];

/// Starts a gateway before a server that sends second copies, the only one of its service.
async fn start(copy: Copy) -> (World, Gateway, Repeating) {
    let world = World::start(2, 5, EVENT_INTERVAL).await;
    let repeating = Repeating::start("app-9", SocketAddr::new(address(), 7200), copy).await;
    let repeating = repeating.expect("the server starts");
    world.app.register(&world.store, "app", "draining");
    repeating.register(&world.store, "app");
    let gateway = Gateway::start("front-0", &world.store);
    gateway.wait_until_ready().await;
    (world, gateway, repeating)
}

#[test]
fn a_second_copy_of_a_response_never_reaches_the_next_caller() {
    run(async {
        for copy in COPIES {
            let (_world, gateway, repeating) = start(copy).await;
            let client = gateway.client();
            for number in 0..40 {
                let id = format!("request-{number}");
                let response = client.request(&id, "/plain/x", &id).await;
                let response = response.expect("a response");
                assert_eq!(
                    (response.status, &response.body[..]),
                    (200, id.as_bytes()),
                    "{copy:?}"
                );
            }
            assert!(repeating.copies() > 0, "{copy:?}");
        }
    });
}

#[test]
fn a_second_copy_of_a_response_never_becomes_the_score_of_another_item() {
    run(async {
        for copy in COPIES {
            let (world, gateway, repeating) = start(copy).await;
            let client = gateway.client();
            let items: Vec<String> = (0..24).map(|number| format!("i{number:02}")).collect();
            let items: Vec<&str> = items.iter().map(String::as_str).collect();
            let response = client.submit_scored("b1", &items, 1).await;
            assert_eq!(response.expect("a response").status, 202);
            let results = read_results(&client, "b1", items.len()).await;
            assert_complete(&world, &results, &items);
            for result in results {
                let score = Engine::stamp(&format!("score-{}", result.item));
                assert_eq!(result.score, Some(score), "{copy:?}");
            }
            assert!(repeating.copies() > 0, "{copy:?}");
        }
    });
}

/// Sends requests that may run at most once to two servers that refuse every second one and send their
/// refusals twice. Checks that none ran twice, and that none ran that was answered as not run.
async fn send_once_requests(copy: Copy, refusals: Refusals) -> usize {
    let world = World::start(2, 5, EVENT_INTERVAL).await;
    world.app.register(&world.store, "app", "draining");
    let mut servers = Vec::new();
    for name in ["app-8", "app-9"] {
        let address = SocketAddr::new(address(), 7200);
        let server = Repeating::start_refusing(name, address, copy, refusals).await;
        let server = server.expect("the server starts");
        server.register(&world.store, "app");
        servers.push(server);
    }
    let gateway = Gateway::start("front-0", &world.store);
    gateway.wait_until_ready().await;
    let client = gateway.client();
    let mut refused = BTreeSet::new();
    for number in 0..60 {
        let id = format!("request-{number}");
        let response = client.request(&id, "/once/x", &id).await;
        let response = response.expect("a response");
        match response.status {
            200 => assert_eq!(response.body, id),
            429 | 503 => drop(refused.insert(id)),
            502 => {}
            status => panic!("{copy:?} {refusals:?}: status {status}"),
        }
    }
    let mut ran = BTreeSet::new();
    for id in servers.iter().flat_map(Repeating::runs) {
        assert!(
            !refused.contains(&id),
            "{copy:?} {refusals:?}: {id} ran and was refused"
        );
        assert!(
            ran.insert(id.clone()),
            "{copy:?} {refusals:?}: {id} ran twice"
        );
    }
    assert!(ran.len() > 30, "{copy:?} {refusals:?}: {} ran", ran.len());
    servers.iter().map(Repeating::copies).sum()
}

// Guards against: a late copy of a refusal is taken for the response to the next request on the connection,
// which then runs at two servers, or is answered as not run though it ran.
#[test]
fn a_second_copy_of_a_refusal_never_makes_a_request_run_twice() {
    run(async {
        for copy in COPIES {
            let copies = send_once_requests(copy, Refusals::EverySecond).await;
            assert!(copies > 0, "{copy:?}");
        }
    });
}

// Guards against: the same with refusals that do not say which request they answer.
#[test]
fn a_connection_carries_no_further_request_after_a_refusal_without_an_id() {
    run(async {
        for copy in COPIES {
            send_once_requests(copy, Refusals::WithoutId).await;
        }
    });
}
