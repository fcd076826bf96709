//! Ends of batches that meet loads, reads and the watch at the scheduling gateway, with real processes.

mod common;

use std::time::Duration;

use common::{Gateway, World, read_results, run, start_scheduling, wait_until};
use tamaracksail_adapter_standins::store::Fault;
use tamaracksail_adapter_standins::{Store, settings};

const EVENT_INTERVAL: Duration = Duration::from_millis(5);
const ITEMS: [&str; 4] = ["i0", "i1", "i2", "i3"];

/// How long the scheduling gateway takes to read a batch.
const LOAD_TIME: Duration = Duration::from_millis(800);

/// How long an item may begin after the end of its batch was confirmed.
const CANCEL_BOUND: Duration = Duration::from_secs(3);

/// A gateway that schedules and whose watch of manifests shows nothing, and one that accepts batches.
struct Setup {
    world: World,
    /// The store as the scheduling gateway sees it.
    listener: Store,
    scheduling: Gateway,
    accepting: Gateway,
}

impl Setup {
    async fn start() -> Self {
        let world = World::start(2, 5, EVENT_INTERVAL).await;
        let (scheduling, listener) = start_scheduling(&world).await;
        let accepting = Gateway::start("front-1", &world.store);
        accepting.wait_until_ready().await;
        let (hidden, slow) = ("batches".to_owned(), "batch-".to_owned());
        listener.set_fault(Fault::HidesChangesAndIsSlow(hidden, slow, LOAD_TIME));
        Self {
            world,
            listener,
            scheduling,
            accepting,
        }
    }

    /// Submits a batch, and ends it as soon as the scheduling gateway reads it.
    async fn end_during_load(&self) {
        let client = self.accepting.client();
        let response = client.submit("b1", &ITEMS, 1).await;
        assert_eq!(response.expect("a response").status, 202);
        self.scheduling
            .wait_for_log("announced batch not shown by the watch")
            .await;
        tokio::time::sleep(LOAD_TIME / 4).await;
        assert_eq!(client.end("b1").await.expect("a response").status, 200);
    }

    /// Checks that no item of the batch runs, also after the watch shows the end.
    async fn check_nothing_runs(&self) {
        tokio::time::sleep(CANCEL_BOUND).await;
        self.listener.set_fault(Fault::None);
        tokio::time::sleep(Duration::from_secs(1)).await;
        for item in ITEMS {
            assert_eq!(self.world.arrival_count(item), 0, "{item}");
        }
        let client = self.scheduling.client();
        wait_until("the ended batch is read", async || {
            let response = client.results("b1", 0).await.expect("a response");
            response.status == 200 && response.results().is_empty()
        })
        .await;
    }
}

// Guards against: the read of an ended batch replaces the log of the batch that is being loaded, whose items
// then run to their end.
#[test]
fn a_batch_that_is_read_after_its_end_while_it_is_loaded_does_not_run() {
    run(async {
        let setup = Setup::start().await;
        setup.end_during_load().await;
        drop(setup.scheduling.client().results("b1", 0).await);
        setup.check_nothing_runs().await;
    });
}

// Guards against: a batch is added to the scheduler by a manifest that was read before the end of the batch.
#[test]
fn a_batch_that_ends_while_it_is_loaded_does_not_run_though_the_watch_shows_no_end() {
    run(async {
        let setup = Setup::start().await;
        setup.end_during_load().await;
        setup.check_nothing_runs().await;
    });
}

/// How long a call of the store takes that is slow. A load of the batch takes several.
const CALL_TIME: Duration = Duration::from_millis(300);

/// How long a client waits for results at most: the wait that it asks for, and 1.5 s.
const READ_LIMIT: Duration = Duration::from_millis(2500);

// Guards against: an ended batch cannot be read, since each read waits for a load of the whole batch, and
// takes the load with it when its client gives up.
#[test]
fn an_ended_batch_is_read_while_its_load_takes_longer_than_clients_wait() {
    run(async {
        let world = World::start(2, 5, EVENT_INTERVAL).await;
        let mut routes = settings::routes(2);
        routes["limits"]["max-body-bytes"] = (16 << 20).into();
        world.store.put_routes(routes);
        let mut gateway = Gateway::start("front-0", &world.store);
        gateway.wait_until_ready().await;
        let response = gateway.client().submit_large("b1", &ITEMS, 2 << 20).await;
        assert_eq!(response.expect("a response").status, 202);
        let results = read_results(&gateway.client(), "b1", ITEMS.len()).await;
        let ended = gateway.client().end("b1").await;
        assert_eq!(ended.expect("a response").status, 200);
        gateway.kill();
        gateway.restart();
        gateway.wait_until_ready().await;
        let client = gateway.client();
        client.submit("b2", &["j0"], 1).await.expect("a response");
        read_results(&client, "b2", 1).await;
        let slow = Fault::Slow("batch-b1".to_owned(), CALL_TIME);
        world.store.set_fault(slow);
        for _ in 0..3 {
            let read = tokio::time::timeout(READ_LIMIT, client.results("b1", 0)).await;
            let response = read.expect("a response in time").expect("a response");
            assert_eq!(response.status, 200);
            assert_eq!(response.results(), results);
        }
    });
}
