//! Tests of client accounts, with real gateway processes.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{Gateway, World, read_results, run, wait_until};
use hyper::Method;
use serde_json::json;
use tamaracksail_adapter::names;
use tamaracksail_adapter_standins::Engine;
use tamaracksail_adapter_standins::settings::{self, with_accounts};
use tamaracksail_adapter_standins::store::Fault;
use tamaracksail_model::batch::Ending;

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
        let upper = names::ACCOUNT.to_uppercase();
        let listed = format!("{}, authorization", names::ACCOUNT);
        let spoofed = [
            (names::ACCOUNT, "south"),
            (&upper, "south"),
            ("connection", &listed),
        ];
        let sent = client.send(Method::POST, "/plain/a", &spoofed, Bytes::new());
        assert_eq!(sent.await.expect("a response").status, 200);
        let stream = client.stream("s", "/stream/x").await;
        assert_eq!(stream.expect("a response").status, 200);
        let accepted = client.submit("batch", &["i1", "i2"], 1).await;
        assert_eq!(accepted.expect("a response").status, 202);
        read_results(&client, "batch", 2).await;
        let servers = world.engines.iter().chain([&world.app]);
        let arrivals: Vec<_> = servers.flat_map(Engine::arrivals).collect();
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

/// Guards against a body that is accepted under one account and runs under another: parts are stored
/// before the manifest that names the account.
#[test]
fn a_batch_that_is_half_stored_is_not_mixed_with_one_of_another_account() {
    run(async {
        let (world, gateways) = start(1).await;
        let north = gateways[0].client().with_key("key-of-north");
        let south = gateways[0].client().with_key("key-of-south");
        world.store.set_fault(Fault::Refuses("batches".to_owned()));
        let refused = north.submit("batch", &["n1", "n2"], 1).await;
        assert_eq!(refused.expect("a response").status, 503);
        assert!(!world.store.names("batch-batch").is_empty());
        world.store.set_fault(Fault::None);
        let accepted = south.submit("batch", &["s1"], 1).await;
        assert_eq!(accepted.expect("a response").status, 202);
        let results = read_results(&south, "batch", 1).await;
        assert_eq!(results[0].item, "s1");
        let body = south.item("batch", "n1").await.expect("a response");
        assert_eq!(body.status, 404);
        // The other account's submission is complete in the store now, but the id is in use.
        let again = north.submit("batch", &["n1", "n2"], 1).await;
        assert_eq!(again.expect("a response").status, 503);
        assert_eq!(world.arrival_count("n1") + world.arrival_count("n2"), 0);
        let status = north.results("batch", 0).await.expect("a response").status;
        assert_eq!(status, 404);
    });
}

/// Guards against a batch that is read back after a takeover with parts of another account.
#[test]
fn a_batch_that_is_taken_over_has_the_parts_of_its_own_account() {
    run(async {
        let (world, mut gateways) = start(2).await;
        let north = gateways[0].client().with_key("key-of-north");
        world.store.set_fault(Fault::Refuses("batches".to_owned()));
        let refused = north.submit("batch", &["n1", "n2"], 1).await;
        assert_eq!(refused.expect("a response").status, 503);
        world.store.set_fault(Fault::None);
        let south = gateways[0].client().with_key("key-of-south");
        let accepted = south.submit("batch", &["s1"], 1).await;
        assert_eq!(accepted.expect("a response").status, 202);
        gateways[0].kill();
        let south = gateways[1].client().with_key("key-of-south");
        let results = read_results(&south, "batch", 1).await;
        assert_eq!(results[0].item, "s1");
        for server in &world.engines {
            for arrival in server.arrivals() {
                assert_eq!(arrival.accounts, ["south"], "{}", arrival.call);
            }
        }
    });
}

#[test]
fn an_item_names_no_account_but_that_of_its_batch() {
    run(async {
        let (world, gateways) = start(1).await;
        let routes = with_accounts(settings::routes(3), &ACCOUNTS);
        world.store.put_routes(settings::with_open_batches(routes));
        let client = gateways[0].client();
        wait_until("the routes are in force", async || {
            gateways[0].log_lines("routes in force").len() == 2
        })
        .await;
        for (batch, key) in [("b1", Some("key-of-north")), ("b2", None)] {
            let path = if key.is_some() {
                "/batch/x"
            } else {
                "/open-batch/x"
            };
            let client = key.map_or_else(|| client.clone(), |key| client.clone().with_key(key));
            let item = format!("{batch}-i");
            let sent = client.submit_spoofed(batch, path, &item, "south").await;
            let status = sent.expect("a response").status;
            assert_eq!(status, 202, "{batch}");
            let results = read_results(&client, batch, 1).await;
            assert_eq!(results[0].ending, Ending::Completed, "{batch}");
        }
        let arrivals = world.engines.iter().flat_map(Engine::arrivals);
        for arrival in arrivals {
            let expected: &[&str] = if arrival.id == "b1-i" {
                &["north"]
            } else {
                &[]
            };
            assert_eq!(arrival.accounts, expected, "{}", arrival.id);
            assert!(!arrival.has_credentials, "{}", arrival.id);
        }
    });
}

#[test]
fn reward_calls_carry_neither_key_nor_account() {
    run(async {
        let (world, gateways) = start(1).await;
        let client = gateways[0].client().with_key("key-of-north");
        let accepted = client.submit_scored("batch", &["i1", "i2"], 1).await;
        assert_eq!(accepted.expect("a response").status, 202);
        read_results(&client, "batch", 2).await;
        let calls = world.app.arrivals();
        assert_eq!(calls.len(), 2);
        for call in calls {
            assert!(
                call.accounts.is_empty() && !call.has_credentials,
                "{}",
                call.call
            );
        }
    });
}

/// Guards against errors of a parser that quote what they refuse.
#[test]
fn a_malformed_configuration_stays_out_of_force_and_out_of_the_log() {
    run(async {
        let (world, gateways) = start(1).await;
        let key = "key-of-nobody-to-be-logged";
        let malformed = [
            json!(key),
            json!([key]),
            json!([{"name": "north", "api-keys": key}]),
            json!([{"name": "north", "api-keys": [[key]]}]),
            json!([{"name": "north", "api-keys": {"a": key}}]),
            json!([{"name": "north", "api-keys": [key, 7]}]),
            json!([{"name": "north", "api-keys": [key], "priority": key}]),
            json!([{"name": format!("{key}\n"), "api-keys": [key]}]),
            json!([{"api-keys": [key]}]),
            json!([{"name": "a", "api-keys": [key]}, {"name": "b", "api-keys": [key]}]),
        ];
        let count = malformed.len();
        for (accounts, version) in malformed.into_iter().zip(3..) {
            let mut routes = settings::routes(version);
            routes["tenants"] = accounts;
            world.store.put_routes(routes);
        }
        wait_until("all are rejected", async || {
            gateways[0].log_lines("routes rejected").len() == count
        })
        .await;
        let lines = gateways[0].all_log_lines();
        for line in lines {
            assert!(!line.to_string().contains(key), "{line}");
        }
        let client = gateways[0].client().with_key("key-of-north");
        let response = client.request("a", "/plain/a", "").await;
        assert_eq!(response.expect("a response").status, 200);
    });
}

// Guards against: a batch that exists, and runs, is answered as not run since the read of its account failed.
#[test]
fn a_repeated_submission_is_accepted_while_the_account_of_the_batch_cannot_be_read() {
    run(async {
        let (world, gateways) = start(2).await;
        let client = gateways[0].client().with_key("key-of-north");
        let accepted = client.submit("b1", &["i1", "i2"], 1).await;
        assert_eq!(accepted.expect("a response").status, 202);
        let slow = Fault::Slow("batches/".to_owned(), Duration::from_secs(30));
        world.store.set_fault(slow);
        let repeated = gateways[1].client().with_key("key-of-north");
        let repeated = repeated.submit("b1", &["i1", "i2"], 1).await;
        assert_eq!(repeated.expect("a response").status, 202);
        let foreign = gateways[1].client().with_key("key-of-south");
        let foreign = foreign.submit("b1", &["i1", "i2"], 1).await;
        assert_eq!(foreign.expect("a response").status, 503);
    });
}
