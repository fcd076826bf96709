//! Tests of client accounts, with real gateway processes.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{Gateway, World, read_results, run, wait_until};
use hyper::Method;
use tamaracksail_adapter_standins::settings::{self, with_accounts};

/// The time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);

/// The accounts of a test: each has a name and its keys.
const ACCOUNTS: [(&str, &[&str]); 2] = [
    ("north", &["key-of-north", "second-key-of-north"]),
    ("south", &["key-of-south"]),
];

/// Starts gateways with [`ACCOUNTS`], a plain service and two engines.
async fn start(gateways: usize) -> (World, Vec<Gateway>) {
    let world = World::start(2, 5, EVENT_INTERVAL).await;
    let routes = with_accounts(settings::routes(2), &ACCOUNTS);
    world.store.put_routes(routes);
    let mut started = Vec::new();
    for number in 0..gateways {
        started.push(Gateway::start(&format!("front-{number}"), &world.store));
    }
    for gateway in &started {
        gateway.wait_until_ready().await;
    }
    (world, started)
}

#[test]
fn a_server_gets_the_name_of_the_account_and_never_its_key() {
    run(async {
        let (world, gateways) = start(1).await;
        let client = gateways[0].client().with_key("second-key-of-north");
        let spoofed = [
            ("x-tamaracksail-tenant", "south"),
            ("X-Tamaracksail-Tenant", "south"),
            ("connection", "x-tamaracksail-tenant, authorization"),
        ];
        let sent = client.send(Method::POST, "/plain/a", &spoofed, Bytes::new());
        assert_eq!(sent.await.expect("a response").status, 200);
        let stream = client.stream("s", "/stream/x").await;
        assert_eq!(stream.expect("a response").status, 200);
        let accepted = client.submit("batch", &["i1", "i2"], 1).await;
        assert_eq!(accepted.expect("a response").status, 202);
        read_results(&client, "batch", 2).await;
        let servers = world.engines.iter().chain([&world.app]);
        let arrivals: Vec<_> = servers.flat_map(|server| server.arrivals()).collect();
        assert_eq!(arrivals.len(), 4);
        for arrival in arrivals {
            assert_eq!(arrival.accounts, ["north"], "{}", arrival.call);
            assert!(!arrival.has_credentials, "{}", arrival.call);
        }
        let lines = gateways[0].log_lines("answered");
        assert!(!lines.is_empty());
        assert!(!format!("{lines:?}").contains("key-of-north"));
    });
}

#[test]
fn a_request_without_a_valid_key_does_not_run() {
    run(async {
        let (world, gateways) = start(1).await;
        let client = gateways[0].client();
        let credentials: [&[(&str, &str)]; 7] = [
            &[],
            &[("authorization", "")],
            &[("authorization", "Bearer")],
            &[("authorization", "Bearer key-of-nobody")],
            &[("authorization", "Basic a2V5LW9mLW5vcnRo")],
            &[("authorization", "Bearerkey-of-north")],
            &[
                ("authorization", "Bearer key-of-north"),
                ("authorization", "Bearer key-of-south"),
            ],
        ];
        let mut codes = Vec::new();
        for headers in credentials {
            let sent = client.send(Method::POST, "/plain/a", headers, Bytes::new());
            codes.push(sent.await.expect("a response").status);
        }
        assert_eq!(codes, [401, 400, 401, 401, 400, 400, 400]);
        let long = format!("Bearer {}", "k".repeat(4000));
        let headers = [("authorization", &*long)];
        let sent = client.send(Method::POST, "/plain/a", &headers, Bytes::new());
        assert_eq!(sent.await.expect("a response").status, 401);
        assert_eq!(world.app.arrivals(), []);
        let open = client.request("o", "/open/a", "").await;
        assert_eq!(open.expect("a response").status, 200);
        assert_eq!(world.app.arrivals().remove(0).accounts.len(), 0);
        let unknown = client.request("u", "/elsewhere/", "").await;
        assert_eq!(unknown.expect("a response").status, 404);
    });
}

#[test]
fn a_key_that_a_configuration_takes_away_is_refused() {
    run(async {
        let (world, gateways) = start(1).await;
        let client = gateways[0].client().with_key("second-key-of-north");
        let accounts: [(&str, &[&str]); 1] = [("north", &["key-of-north"])];
        let routes = with_accounts(settings::routes(3), &accounts);
        world.store.put_routes(routes);
        wait_until("the key is refused", async || {
            let response = client.request("a", "/plain/a", "").await;
            response.expect("a response").status == 401
        })
        .await;
        let other = gateways[0].client().with_key("key-of-north");
        let response = other.request("b", "/plain/a", "").await;
        assert_eq!(response.expect("a response").status, 200);
    });
}

#[test]
fn a_batch_does_not_exist_for_another_account() {
    run(async {
        let (_world, gateways) = start(2).await;
        let (north, south) = ("key-of-north", "key-of-south");
        let owner = gateways[0].client().with_key(north);
        let accepted = owner.submit("batch", &["i1", "i2"], 1).await;
        assert_eq!(accepted.expect("a response").status, 202);
        read_results(&owner, "batch", 2).await;
        for gateway in &gateways {
            let other = gateway.client().with_key(south);
            let codes = [
                other.results("batch", 0).await.expect("a response").status,
                other.item("batch", "i1").await.expect("a response").status,
                other.end("batch").await.expect("a response").status,
                other
                    .results("nothing", 0)
                    .await
                    .expect("a response")
                    .status,
            ];
            assert_eq!(codes, [404; 4], "{}", gateway.host());
            let anonymous = gateway.client().results("batch", 0).await;
            assert_eq!(anonymous.expect("a response").status, 401);
            let again = other.submit("batch", &["i1", "i2"], 1).await;
            assert_eq!(again.expect("a response").status, 503);
            let colleague = gateway.client().with_key("second-key-of-north");
            let results = colleague.results("batch", 0).await.expect("a response");
            assert_eq!(results.results().len(), 2);
            let body = colleague.item("batch", "i1").await.expect("a response");
            assert_eq!(body.status, 200);
        }
        let ended = gateways[1].client().with_key("second-key-of-north");
        assert_eq!(ended.end("batch").await.expect("a response").status, 200);
    });
}
