//! Servers whose registrations disappear, with a real gateway process.

mod common;

use std::time::{Duration, Instant};

use common::{Gateway, World, run, start_server};
use tamaracksail_adapter_standins::Engine;
use tamaracksail_adapter_standins::store::Fault;

/// How long after the store has confirmed that a server is gone it may still get requests: the default
/// of the settings.
const DRAIN_WINDOW: Duration = Duration::from_secs(2);

/// The number of clients. They need more than one server.
const CLIENTS: usize = 6;

/// A plain service with two servers, before a gateway.
struct Service {
    world: World,
    second: Engine,
    gateway: Gateway,
}

async fn start() -> Service {
    let world = World::start(1, 5, Duration::from_millis(5)).await;
    let second = start_server("app-1", 5, Duration::from_millis(5)).await;
    second.register(&world.store, "app", "ready");
    for server in [&world.app, &second] {
        server.set_work_time(Duration::from_millis(20));
    }
    let gateway = Gateway::start("front-0", &world.store);
    gateway.wait_until_ready().await;
    let service = Service {
        world,
        second,
        gateway,
    };
    service.send_for(Duration::from_millis(300)).await;
    assert!(!service.second.arrivals().is_empty());
    service
}

impl Service {
    /// Sends requests for `time` from several clients. Returns how many were not served.
    async fn send_for(&self, time: Duration) -> usize {
        let end = Instant::now() + time;
        let clients = (0..CLIENTS).map(|number| async move {
            let client = self.gateway.client();
            let mut failed = 0;
            while Instant::now() < end {
                let response = client.request(&format!("r{number}"), "/plain/x", "x").await;
                failed += usize::from(response.expect("a response").status != 200);
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            failed
        });
        futures_util::future::join_all(clients).await.iter().sum()
    }

    /// Sends requests after the second server's registration was removed at `removed_at`, and checks that
    /// it gets none after the drain window.
    async fn assert_departure(&self, removed_at: Instant) {
        let end = removed_at + DRAIN_WINDOW + Duration::from_millis(1500);
        let left = end.saturating_duration_since(Instant::now());
        assert_eq!(self.send_for(left).await, 0);
        let last = self.second.arrivals().last().map(|arrival| arrival.at);
        let late = last.map(|last| last.saturating_duration_since(removed_at));
        assert!(late <= Some(DRAIN_WINDOW), "{late:?}");
    }
}

// Guards against: a server that has left is used for longer since a watch was cut off before.
#[test]
fn a_server_that_leaves_after_a_watch_was_cut_off_gets_no_requests_after_the_drain_window() {
    run(async {
        let service = start().await;
        service.world.store.cut_watches();
        service.send_for(Duration::from_millis(500)).await;
        // The next watch waits for further changes.
        service
            .world
            .app
            .register(&service.world.store, "app", "draining");
        service
            .world
            .app
            .register(&service.world.store, "app", "ready");
        service.send_for(Duration::from_millis(100)).await;
        service.world.store.remove_server("app-1");
        service.assert_departure(Instant::now()).await;
    });
}

// Guards against: a server is used for longer since its departure was learned from a list, after the store
// had discarded its history.
#[test]
fn a_server_that_leaves_while_the_store_discards_its_history_gets_no_requests_after_the_drain_window()
 {
    run(async {
        let service = start().await;
        let store = &service.world.store;
        store.set_fault(Fault::HidesChanges("servers".to_owned()));
        service.send_for(Duration::from_millis(100)).await;
        store.remove_server("app-1");
        let removed_at = Instant::now();
        service.send_for(Duration::from_secs(1)).await;
        store.set_fault(Fault::None);
        store.discard_history();
        store.cut_watches();
        service.assert_departure(removed_at).await;
    });
}

/// Plays an outage of the store in which all registrations expire. The second server registers again 1.5 s
/// after it, the first never.
async fn play_outage(fault: Fault) {
    let service = start().await;
    let store = &service.world.store;
    store.set_fault(fault);
    assert_eq!(service.send_for(Duration::from_secs(6)).await, 0);
    store.remove_server("app-0");
    store.remove_server("app-1");
    store.set_fault(Fault::None);
    assert_eq!(service.send_for(Duration::from_millis(1500)).await, 0);
    service.second.register(store, "app", "ready");
    assert_eq!(service.send_for(Duration::from_millis(3500)).await, 0);
    // What did not come back is no longer used.
    let before = service.world.app.arrivals().len();
    assert_eq!(service.send_for(Duration::from_millis(500)).await, 0);
    assert_eq!(service.world.app.arrivals().len(), before);
}

// Guards against: all servers are taken for gone as a long outage ends, and requests are refused until they
// register again.
#[test]
fn servers_whose_registrations_expired_in_a_long_outage_are_used_until_they_register_again() {
    run(play_outage(Fault::Busy));
}

// Guards against: the same after an outage in which calls got no answer and no connection broke.
#[test]
fn servers_whose_registrations_expired_in_a_silent_outage_are_used_until_they_register_again() {
    run(play_outage(Fault::Silent));
}
