//! Tests of the revocation of keys while the store does not serve a gateway, with real gateway
//! processes.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Gateway, World, run, wait_until};
use serde_json::Value;
use tamaracksail_adapter_standins::loopback::address;
use tamaracksail_adapter_standins::store::Fault;
use tamaracksail_adapter_standins::{Store, settings};
use tokio::time::Instant;

/// The bound from the store's acknowledgement of a configuration.
const BOUND: Duration = Duration::from_secs(3);

/// The longest time for which the store does not serve a gateway.
const OUTAGE: Duration = Duration::from_secs(9);

const KEPT: &str = "key-that-stays";
const REVOKED: &str = "key-that-is-revoked";

/// The kind of the objects by which gateways find each other.
const GATEWAYS: &str = "gateways";

/// Returns routes without resumable streams.
fn routes(version: u64) -> Value {
    let mut routes = settings::routes(version);
    for route in routes["routes"].as_array_mut().expect("a list") {
        route["can-resume"] = false.into();
    }
    routes
}

/// Returns routes with one account that has `keys`.
fn with_keys(version: u64, keys: &[&str]) -> Value {
    settings::with_accounts(routes(version), &[("north", keys)])
}

/// Gateways, each with an own address of the store.
struct Site {
    world: World,
    stores: Vec<Store>,
    gateways: Vec<Gateway>,
}

impl Site {
    /// Starts gateways with the configuration `routes`, and waits until they are ready.
    async fn start(count: usize, routes: Value) -> Self {
        let world = World::start(1, 5, Duration::from_millis(5)).await;
        world.store.put_routes(routes);
        let mut site = Self {
            world,
            stores: Vec::new(),
            gateways: Vec::new(),
        };
        for number in 0..count {
            let listener = SocketAddr::new(address(), 7100);
            let store = site.world.store.add_listener(listener).await;
            let store = store.expect("the address can be bound");
            let gateway = Gateway::start(&format!("front-{number}"), &store);
            site.stores.push(store);
            site.gateways.push(gateway);
        }
        for gateway in &site.gateways {
            gateway.wait_until_ready().await;
        }
        site
    }

    /// Starts gateways that accept both keys and know each other.
    async fn with_accounts(count: usize) -> Self {
        let site = Self::start(count, with_keys(2, &[KEPT, REVOKED])).await;
        wait_until("the gateways are registered", async || {
            site.world.store.names(GATEWAYS).len() == count
        })
        .await;
        // The list of the others follows within the pause between two watches.
        tokio::time::sleep(Duration::from_millis(1500)).await;
        for gateway in &site.gateways {
            assert_eq!(status(gateway, REVOKED).await, 200);
        }
        site
    }

    fn revoke(&self, version: u64) -> Instant {
        self.world.store.put_routes(with_keys(version, &[KEPT]));
        Instant::now()
    }
}

/// Sends a request with a key. Returns the status of the response; 0 if there is none.
async fn status(gateway: &Gateway, key: &str) -> u16 {
    let client = gateway.client().with_key(key);
    let response = client.request("r", "/plain/a", "").await;
    response.map_or(0, |response| response.status)
}

/// Returns when a gateway refuses the revoked key for the first time, and checks that it keeps refusing
/// it until `until`.
async fn refused_since(gateway: &Gateway, until: Instant) -> Option<Instant> {
    let mut since = None;
    while Instant::now() < until {
        let code = status(gateway, REVOKED).await;
        match code {
            401 => since = since.or_else(|| Some(Instant::now())),
            _ => assert!(since.is_none(), "status {code} after the key was refused"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    since
}

/// Revokes a key while the store does not serve one gateway because of `fault`, and checks when that
/// gateway refuses it.
async fn revoke_beside(fault: Fault, silence_before: Duration) {
    let site = Site::with_accounts(4).await;
    site.stores[0].set_fault(fault);
    tokio::time::sleep(silence_before).await;
    let revoked_at = site.revoke(3);
    let cut = &site.gateways[0];
    let since = refused_since(cut, revoked_at + OUTAGE - silence_before).await;
    let took = since.expect("the key is refused") - revoked_at;
    assert!(took <= BOUND, "refused after {took:?}");
    assert_eq!(status(cut, KEPT).await, 200);
    let received = cut.log_lines("newer routes received from another gateway");
    assert_eq!(received.len(), 1);
    site.stores[0].set_fault(Fault::None);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(status(cut, REVOKED).await, 401);
    for gateway in &site.gateways {
        assert_eq!(status(gateway, REVOKED).await, 401);
        let lines = gateway.all_log_lines();
        for key in [KEPT, REVOKED] {
            assert!(lines.iter().all(|line| !line.to_string().contains(key)));
        }
    }
}

#[test]
fn a_gateway_that_the_store_rejects_refuses_a_revoked_key_in_time() {
    run(revoke_beside(Fault::Busy, Duration::from_millis(300)));
}

#[test]
fn a_gateway_whose_connections_the_store_closes_refuses_a_revoked_key_in_time() {
    run(revoke_beside(Fault::Reset, Duration::ZERO));
}

#[test]
fn a_gateway_that_the_store_does_not_answer_refuses_a_revoked_key_in_time() {
    run(revoke_beside(Fault::Silent, Duration::ZERO));
}

#[test]
fn a_gateway_that_the_store_has_long_not_answered_refuses_a_revoked_key_in_time() {
    run(revoke_beside(Fault::Silent, Duration::from_secs(4)));
}

#[test]
fn a_report_that_is_lost_in_a_short_silence_is_caught_up() {
    run(async {
        // The silence ends between two probes, so that none of them fails.
        let site = Site::with_accounts(1).await;
        let client = &site.gateways[0];
        site.stores[0].set_fault(Fault::Silent);
        site.revoke(3);
        tokio::time::sleep(Duration::from_millis(30)).await;
        site.stores[0].set_fault(Fault::None);
        let in_touch_at = Instant::now() + Duration::from_secs(4);
        let since = refused_since(client, in_touch_at + Duration::from_secs(1)).await;
        assert!(since.is_some_and(|since| since <= in_touch_at));
    });
}

#[test]
fn an_old_configuration_does_not_come_back() {
    run(async {
        let mut site = Site::with_accounts(3).await;
        // The store rejects the gateways 1 and 2, and 2 is frozen while the key is revoked.
        site.stores[1].set_fault(Fault::Busy);
        site.stores[2].set_fault(Fault::Silent);
        site.gateways[2].signal("STOP");
        // Watches that end with the fault are answered before the key is revoked.
        tokio::time::sleep(Duration::from_millis(100)).await;
        let mut revoked_at = Instant::now();
        for version in 3..9 {
            revoked_at = site.revoke(version);
            tokio::time::sleep(Duration::from_millis(330)).await;
        }
        wait_until("the key is refused", async || {
            status(&site.gateways[1], REVOKED).await == 401
        })
        .await;
        assert!(revoked_at.elapsed() <= BOUND);
        // From now on the gateway 1 reaches only 2, which still has the old configuration.
        site.stores[0].set_fault(Fault::Silent);
        site.gateways[0].signal("STOP");
        site.gateways[2].signal("CONT");
        let until = Instant::now() + Duration::from_secs(3);
        let since = refused_since(&site.gateways[1], until).await;
        assert!(since.is_some());
        // A process that starts anew has no configuration until the store or another gateway that
        // is certain brings one.
        site.gateways[1].kill();
        site.gateways[1].restart();
        let until = Instant::now() + Duration::from_secs(3);
        while Instant::now() < until {
            let code = status(&site.gateways[1], REVOKED).await;
            assert!(matches!(code, 0 | 401 | 503), "status {code}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        site.gateways[0].signal("CONT");
        for store in &site.stores {
            store.set_fault(Fault::None);
        }
        for gateway in &site.gateways {
            wait_until("the key is refused", async || {
                status(gateway, REVOKED).await == 401
            })
            .await;
        }
    });
}

#[test]
fn a_gateway_asks_no_other_while_the_store_serves_it() {
    run(async {
        let site = Site::with_accounts(3).await;
        site.stores[1].set_fault(Fault::Slow(String::new(), Duration::from_millis(200)));
        for version in 3..9 {
            site.revoke(version);
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        for gateway in &site.gateways {
            assert_eq!(status(gateway, REVOKED).await, 401);
            assert_eq!(gateway.metric("routes_questions").await, 0);
        }
    });
}

#[test]
fn a_gateway_without_store_and_peers_serves_on_and_says_so() {
    run(async {
        let site = Site::with_accounts(2).await;
        site.world.store.set_fault(Fault::Silent);
        for store in &site.stores {
            store.set_fault(Fault::Silent);
        }
        for gateway in &site.gateways {
            let line = gateway.wait_for_log(
                "routes not confirmed within their bound, revoked keys may be accepted",
            );
            assert!(line.await["age_ms"].as_u64() > Some(3000));
            assert_eq!(status(gateway, KEPT).await, 200);
            assert_eq!(gateway.metric("routes_overdue").await, 1);
        }
        for store in &site.stores {
            store.set_fault(Fault::None);
        }
        for gateway in &site.gateways {
            gateway.wait_for_log("routes confirmed again").await;
        }
        // At most three gateways each 500 ms, here one, for at most 12 s.
        let questions = site.gateways[0].metric("routes_questions").await;
        assert!((1..=24).contains(&questions), "{questions}");
    });
}

#[test]
fn without_accounts_gateways_neither_register_nor_ask() {
    run(async {
        let site = Site::start(2, routes(2)).await;
        for store in &site.stores {
            store.set_fault(Fault::Busy);
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        for store in &site.stores {
            store.set_fault(Fault::None);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(site.world.store.names(GATEWAYS).is_empty());
        for gateway in &site.gateways {
            assert_eq!(gateway.metric("routes_questions").await, 0);
            let code = gateway.client().request("r", "/plain/a", "").await;
            assert_eq!(code.expect("a response").status, 200);
        }
    });
}
