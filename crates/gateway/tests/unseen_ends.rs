//! Tests of ends of servers that gateways could miss or forget, with real gateway processes.

mod common;

use std::time::Duration;

use common::crashing::{DOWNTIME, FATAL, Patience, Setup};
use common::{Gateway, run};
use tamaracksail_adapter_standins::engine::{Address, Fault};
use tamaracksail_adapter_standins::{Client, Store};
use tamaracksail_model::id::fingerprint_of_parts;

/// How long a server runs the fatal request in tests of clients that leave before it ends.
const DELAY: Duration = Duration::from_millis(60);

/// How long these clients wait.
const PATIENCE: Duration = Duration::from_millis(30);

#[test]
fn a_request_whose_time_is_up_before_its_servers_end_is_not_sent_again_without_limit() {
    run(async {
        let setup = Setup::new("/plain/x").with_delay(DELAY);
        setup
            .with_patience(Patience::States(PATIENCE))
            .check()
            .await;
    });
}

#[test]
fn a_request_whose_client_closes_before_its_servers_end_is_not_sent_again_without_limit() {
    run(async {
        let setup = Setup::new("/once/x").with_delay(DELAY);
        setup
            .with_patience(Patience::Closes(PATIENCE))
            .check()
            .await;
    });
}

#[test]
fn a_stream_whose_client_closes_before_its_servers_end_is_not_sent_again_without_limit() {
    run(async {
        let setup = Setup::new("/stream/x").with_delay(DELAY);
        setup
            .with_patience(Patience::Closes(PATIENCE))
            .check()
            .await;
    });
}

#[test]
fn a_request_that_ends_servers_whose_address_accepts_connections_is_not_sent_again_without_limit() {
    run(async {
        let setup = Setup::new("/plain/x").with_address(Address::Closes);
        setup.check().await;
    });
}

#[test]
fn a_request_that_ends_servers_at_silent_addresses_is_not_sent_again_without_limit() {
    run(async {
        let setup = Setup::new("/plain/x").with_address(Address::Silent);
        setup
            .with_patience(Patience::States(Duration::from_millis(200)))
            .check()
            .await;
    });
}

#[test]
fn a_request_that_ends_servers_which_are_removed_meanwhile_is_not_sent_again_without_limit() {
    run(async {
        let setup = Setup::new("/once/x").with_delay(Duration::from_millis(400));
        setup.unregistering().check().await;
    });
}

/// Sends the fatal request, with a response of a kind before each end, and checks that it ends few
/// servers.
async fn check_not_cleared_by(fault: Fault) {
    let mut crashing = Setup::new("/once/x").start().await;
    for _ in 0..10 {
        for server in &crashing.servers {
            server.push_faults(&[fault]);
        }
        crashing.send(FATAL).await;
        for server in &crashing.servers {
            server.clear_faults();
        }
        tokio::time::sleep(DOWNTIME * 2).await;
        crashing.send(FATAL).await;
        tokio::time::sleep(DOWNTIME * 2).await;
    }
    let ends = crashing.ends();
    assert!(ends <= 6, "{ends} ends");
}

#[test]
fn failures_in_between_do_not_clear_a_request_that_ends_servers() {
    run(check_not_cleared_by(Fault::Fails));
}

#[test]
fn responses_of_a_proxy_do_not_clear_a_request_that_ends_servers() {
    run(check_not_cleared_by(Fault::Unattested));
}

#[test]
fn a_hedged_request_whose_time_is_up_before_its_servers_end_is_not_sent_again_without_limit() {
    run(async {
        let setup = Setup::new("/plain/x").with_delay(Duration::from_millis(900));
        let mut crashing = setup
            .with_patience(Patience::States(Duration::from_millis(700)))
            .start()
            .await;
        crashing.end_servers().await;
        crashing.check_later_sends().await;
        let hedged = "request hedged to a second server";
        let has_hedged = |gateway: &Gateway| !gateway.log_lines(hedged).is_empty();
        assert!(crashing.gateways.iter().any(has_hedged));
    });
}

/// Ends servers, changes what gateways have published, kills all gateways a second later, and checks
/// that restarted ones still know the fatal request.
async fn check_published_again(change: impl Fn(&Store, &str)) {
    let mut crashing = Setup::new("/plain/x").start().await;
    crashing.end_servers().await;
    for gateway in &crashing.gateways {
        change(&crashing.world.store, gateway.host());
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    crashing.restart_gateways().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = crashing.arrivals();
    crashing.check_later_sends().await;
    assert_eq!(crashing.arrivals(), before);
}

#[test]
fn suspects_that_another_removed_from_the_store_are_published_again() {
    run(check_published_again(|store, host| {
        store.remove("suspects", host);
    }));
}

#[test]
fn suspects_that_a_late_write_replaced_in_the_store_are_published_again() {
    run(check_published_again(|store, host| {
        let spec = serde_json::json!({"written_at_ms": 1_000, "contents": []});
        store.put("suspects", host, spec);
    }));
}

/// Returns what a gateway publishes about a content under which servers ended.
fn publication(body: &str, is_alone: bool) -> serde_json::Value {
    let parts: &[&[u8]] = &[b"POST", b"app.example", b"/plain/x", b"", body.as_bytes()];
    serde_json::json!({
        "written_at_ms": 1_000,
        "contents": [{
            "fingerprint": fingerprint_of_parts(parts).0.to_string(), "is_alone": is_alone,
            "valid_ms": 600_000, "servers": [["a", 1], ["b", 1]],
        }],
    })
}

#[test]
fn a_sound_content_is_not_refused_since_the_server_for_its_trial_was_down_before() {
    run(async {
        let setup = Setup::new("/plain/x").with_address(Address::Closes);
        let setup = setup.with_downtime(Duration::from_millis(1_500));
        let mut crashing = setup.start().await;
        let store = &crashing.world.store;
        store.put("suspects", "elsewhere", publication("sound", false));
        tokio::time::sleep(Duration::from_millis(500)).await;
        for server in &crashing.servers {
            let client = Client::new(server.address);
            drop(client.request("direct", "/x", FATAL).await);
        }
        for _ in 0..4 {
            crashing.send("sound").await;
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        for _ in 0..3 {
            let response = crashing.send("sound").await.expect("a response");
            assert_eq!(response.status, 200);
        }
    });
}

#[test]
fn suspects_of_a_host_whose_clock_differs_are_used_and_kept() {
    run(async {
        let mut crashing = Setup::new("/plain/x").start().await;
        let store = &crashing.world.store;
        store.put("suspects", "elsewhere", publication(FATAL, true));
        tokio::time::sleep(Duration::from_secs(1)).await;
        crashing.restart_gateways().await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        crashing.check_later_sends().await;
        assert_eq!(crashing.arrivals(), 0);
    });
}

#[test]
fn gateways_that_reload_their_settings_do_not_forget_a_request_that_ends_servers() {
    run(async {
        let mut crashing = Setup::new("/plain/x").start().await;
        crashing.end_servers().await;
        for gateway in &crashing.gateways {
            gateway.signal("HUP");
        }
        for gateway in &crashing.gateways {
            gateway.wait_for_log("settings reloaded").await;
        }
        crashing.check_later_sends().await;
    });
}
