//! Batches through real gateways.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Gateway, World, assert_complete, read_results, run, start, wait_until};
use tamaracksail_adapter_standins::Engine;
use tamaracksail_adapter_standins::engine::{FatalRequest, Fault};
use tamaracksail_adapter_standins::loopback::address;
use tamaracksail_adapter_standins::store::Fault as StoreFault;
use tamaracksail_model::batch::Ending;

const EVENT_INTERVAL: Duration = Duration::from_millis(5);
const ITEMS: [&str; 6] = ["i0", "i1", "i2", "i3", "i4", "i5"];

#[test]
fn a_batch_submitted_twice_runs_once_and_its_results_are_complete() {
    run(async {
        let (world, gateways) = start(2, 5, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        for gateway in &gateways {
            let response = gateway.client().submit("b1", &ITEMS, 1).await;
            assert_eq!(response.expect("a response").status, 202);
        }
        let results = read_results(&client, "b1", ITEMS.len()).await;
        assert_complete(&world, &results, &ITEMS);
        assert!(results.iter().all(|r| r.versions == [1]));
        // Every gateway returns the same results.
        assert_eq!(
            read_results(&gateways[1].client(), "b1", ITEMS.len()).await,
            results
        );
        for item in ITEMS {
            assert_eq!(world.arrival_count(item), 1, "{item}");
        }
        let response = client.results("unknown", 0).await.expect("a response");
        assert_eq!(response.status, 404);
    });
}

#[test]
fn item_bodies_are_returned_as_submitted() {
    run(async {
        let (_world, gateways) = start(2, 50, EVENT_INTERVAL).await;
        let response = gateways[0].client().submit("b1", &ITEMS, 1).await;
        assert_eq!(response.expect("a response").status, 202);
        for gateway in &gateways {
            let response = gateway.client().item("b1", "i3").await.expect("a response");
            assert_eq!((response.status, &response.body[..]), (200, &b"i3"[..]));
            let response = gateway.client().item("b1", "none").await;
            assert_eq!(response.expect("a response").status, 404);
        }
    });
}

#[test]
fn an_item_continues_on_another_engine_after_the_last_event_it_received() {
    run(async {
        let (world, gateways) = start(1, 6, EVENT_INTERVAL).await;
        for engine in &world.engines {
            engine.push_faults(&[
                Fault::BreaksAfter(2),
                Fault::NotRun,
                Fault::Fails,
                Fault::ForeignId,
            ]);
        }
        let client = gateways[0].client();
        client.submit("b1", &ITEMS, 1).await.expect("a response");
        assert_complete(
            &world,
            &read_results(&client, "b1", ITEMS.len()).await,
            &ITEMS,
        );
        let resumed = world
            .engines
            .iter()
            .flat_map(Engine::arrivals)
            .filter(|arrival| arrival.after.is_some())
            .count();
        assert!(resumed >= 2, "{resumed}");
        // The logs link an item's id to its batch, its engines and the errors there.
        let sent = gateways[0].wait_for_log("item sent").await;
        assert_eq!((&sent["batch"], &sent["run"]), (&"b1".into(), &1.into()));
        let failed = gateways[0].wait_for_log("item run failed").await;
        assert!(failed["server"].is_string() && failed["problem"].is_string());
    });
}

#[test]
fn no_item_starts_on_an_engine_that_announced_its_departure() {
    run(async {
        let (world, gateways) = start(1, 5, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        client.submit("b1", &ITEMS, 1).await.expect("a response");
        read_results(&client, "b1", ITEMS.len()).await;
        world.engines[0].announce_departure();
        client
            .submit("b2", &["j0", "j1"], 1)
            .await
            .expect("a response");
        read_results(&client, "b2", 2).await;
        gateways[0].wait_for_log("server is leaving").await;
        let before = world.engines[0].arrivals().len();
        world.engines[0].register(&world.store, "pool", "ready");
        for batch in ["b3", "b4"] {
            let items: Vec<String> = (0..6).map(|item| format!("{batch}-{item}")).collect();
            let items: Vec<&str> = items.iter().map(String::as_str).collect();
            client.submit(batch, &items, 1).await.expect("a response");
            assert_complete(&world, &read_results(&client, batch, 6).await, &items);
        }
        assert_eq!(world.engines[0].arrivals().len(), before);
    });
}

#[test]
fn an_item_under_which_engines_ended_is_placed_again() {
    run(async {
        let (world, gateways) = start(2, 5, EVENT_INTERVAL).await;
        for engine in &world.engines {
            engine.end_under(FatalRequest::new("i3", Duration::from_millis(100)));
        }
        let client = gateways[0].client();
        client.submit("b1", &ITEMS, 1).await.expect("a response");
        wait_until("engines have ended six times", async || {
            world.engines.iter().map(Engine::end_count).sum::<u64>() >= 6
        })
        .await;
        for engine in &world.engines {
            engine.stay_up();
        }
        let results = read_results(&client, "b1", ITEMS.len()).await;
        assert_complete(&world, &results, &ITEMS);
    });
}

#[test]
fn an_impossible_item_and_one_that_fails_too_often_are_aborted() {
    run(async {
        let (world, gateways) = start(1, 3, EVENT_INTERVAL).await;
        world.engines[1].register(&world.store, "pool", "draining");
        let client = gateways[0].client();
        gateways[0].wait_until_ready().await;
        world.engines[0].push_faults(&[Fault::Impossible]);
        client.submit("b1", &["i0"], 1).await.expect("a response");
        let results = read_results(&client, "b1", 1).await;
        assert_eq!(results[0].ending, Ending::Aborted);
        world.engines[0].push_faults(&[Fault::Fails, Fault::Fails, Fault::Fails]);
        world.engines[1].push_faults(&[Fault::Fails, Fault::Fails, Fault::Fails]);
        client.submit("b2", &["i1"], 1).await.expect("a response");
        let results = read_results(&client, "b2", 1).await;
        assert_eq!(results[0].ending, Ending::Aborted);
        assert_eq!(world.arrival_count("i1"), 3);
    });
}

#[test]
fn no_item_of_an_ended_batch_starts() {
    run(async {
        let (world, gateways) = start(2, 400, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        let items: Vec<String> = (0..40).map(|n| format!("i{n:02}")).collect();
        let items: Vec<&str> = items.iter().map(String::as_str).collect();
        client.submit("b1", &items, 1).await.expect("a response");
        wait_until("all slots are taken", async || {
            items
                .iter()
                .filter(|item| world.arrival_count(item) > 0)
                .count()
                == 8
        })
        .await;
        // Both calls go to the gateway that does not schedule.
        for _ in 0..2 {
            let response = gateways[1].client().end("b1").await.expect("a response");
            assert_eq!(response.status, 200);
        }
        gateways[0].wait_for_log("batch ended").await;
        let arrivals =
            |world: &World| -> usize { items.iter().map(|i| world.arrival_count(i)).sum() };
        let before = arrivals(&world);
        // Submitting the batch again does not reopen it.
        let response = client.submit("b1", &items, 1).await.expect("a response");
        assert_eq!(response.status, 202);
        // Once an item of another batch has started, the scheduler has run since.
        client
            .submit("b2", &["other"], 1)
            .await
            .expect("a response");
        wait_until("the other batch runs", async || {
            world.arrival_count("other") > 0
        })
        .await;
        assert_eq!(arrivals(&world), before);
    });
}

#[test]
fn a_batch_that_ends_while_it_is_read_from_the_store_does_not_run() {
    run(async {
        let (world, mut gateways) = start(1, 200, EVENT_INTERVAL).await;
        gateways[0]
            .client()
            .submit("b1", &ITEMS, 1)
            .await
            .expect("a response");
        gateways[0]
            .wait_for_log("batch added to the scheduler")
            .await;
        gateways[0].kill();
        // Requests that the killed gateway had sent are still on their way.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let before: usize = ITEMS.iter().map(|item| world.arrival_count(item)).sum();
        // The next scheduling gateway reads the batch slowly, and its client ends it meanwhile.
        let slow = StoreFault::Slow("batch-".to_owned(), Duration::from_millis(700));
        world.store.set_fault(slow);
        let next = Gateway::start("front-9", &world.store);
        next.wait_until_ready().await;
        let client = next.client();
        let reading = async { client.results("b1", 0).await };
        let ending = async {
            next.wait_for_log("scheduling started").await;
            next.client().end("b1").await
        };
        let (_, ended) = futures_util::join!(reading, ending);
        assert_eq!(ended.expect("a response").status, 200);
        next.wait_for_log("batch end stored").await;
        world.store.set_fault(StoreFault::None);
        client
            .submit("b2", &["other"], 1)
            .await
            .expect("a response");
        assert_complete(&world, &read_results(&client, "b2", 1).await, &["other"]);
        let after: usize = ITEMS.iter().map(|item| world.arrival_count(item)).sum();
        assert_eq!(after, before);
    });
}

#[test]
fn while_the_store_refuses_calls_a_new_batch_is_refused_and_an_open_one_completes() {
    run(async {
        let (world, gateways) = start(1, 40, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        client.submit("b1", &ITEMS, 1).await.expect("a response");
        world.store.set_fault(StoreFault::Busy);
        let response = client.submit("b2", &["j0"], 1).await.expect("a response");
        assert_eq!(response.status, 503);
        assert!(response.retry_after().is_some());
        world.store.set_fault(StoreFault::None);
        assert_complete(
            &world,
            &read_results(&client, "b1", ITEMS.len()).await,
            &ITEMS,
        );
        assert_eq!(world.arrival_count("j0"), 0);
        let response = client.results("b2", 0).await.expect("a response");
        assert_eq!(response.status, 404);
    });
}

#[test]
fn a_batch_is_accepted_once_although_responses_of_the_store_are_lost() {
    run(async {
        let (world, gateways) = start(1, 5, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        client.submit("b0", &["warm"], 1).await.expect("a response");
        read_results(&client, "b0", 1).await;
        world
            .store
            .set_fault(StoreFault::LosesResponses("batches".to_owned()));
        let clear_fault = async {
            wait_until("the store has the manifest", async || {
                world.store.names("batches").contains(&"b1".to_owned())
            })
            .await;
            world.store.set_fault(StoreFault::None);
        };
        let submission = async { client.submit("b1", &ITEMS, 1).await };
        let (response, ()) = futures_util::join!(submission, clear_fault);
        assert_eq!(response.expect("a response").status, 202);
        assert_complete(
            &world,
            &read_results(&client, "b1", ITEMS.len()).await,
            &ITEMS,
        );
        for item in ITEMS {
            assert_eq!(world.arrival_count(item), 1, "{item}");
        }
    });
}

#[test]
fn results_are_written_once_although_responses_of_the_store_are_lost() {
    run(async {
        let (world, gateways) = start(1, 5, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        let fault = StoreFault::LosesResponses("batch-".to_owned());
        world.store.set_fault(fault);
        let clear_fault = async {
            gateways[0].wait_for_log("results not written").await;
            world.store.set_fault(StoreFault::None);
        };
        let submission = async {
            client.submit("b1", &ITEMS, 1).await.expect("a response");
            read_results(&client, "b1", ITEMS.len()).await
        };
        let (results, ()) = futures_util::join!(submission, clear_fault);
        assert_complete(&world, &results, &ITEMS);
    });
}

#[test]
fn results_that_are_in_the_store_are_not_missing_where_their_write_has_no_response_yet() {
    run(async {
        let (world, gateways) = start(1, 5, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        client.submit("b0", &["warm"], 1).await.expect("a response");
        read_results(&client, "b0", 1).await;
        client.submit("b1", &ITEMS, 1).await.expect("a response");
        let fault = StoreFault::WithholdsResponses("batch-b1".to_owned());
        world.store.set_fault(fault);
        wait_until("the store has results", async || {
            let names = world.store.names("batch-b1");
            names.iter().any(|name| name.starts_with("results"))
        })
        .await;
        // This gateway knows of no scheduling gateway yet, and reads from the store.
        let other = Gateway::start("front-9", &world.store);
        other.wait_until_ready().await;
        let read = other.client().results("b1", 0).await.expect("a response");
        assert!(!read.results().is_empty());
        let response = client.results("b1", 0).await.expect("a response");
        let is_known = response.status == 503 || response.results() == read.results();
        assert!(is_known, "{response:?}");
        world.store.set_fault(StoreFault::None);
        let results = read_results(&client, "b1", ITEMS.len()).await;
        assert_complete(&world, &results, &ITEMS);
    });
}

#[test]
fn engines_load_the_version_that_a_trainer_announces() {
    run(async {
        let (world, gateways) = start(1, 5, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        client.submit("b1", &ITEMS, 1).await.expect("a response");
        read_results(&client, "b1", ITEMS.len()).await;
        client.end("b1").await.expect("a response");
        world.store.announce_version("drafts", 2);
        client
            .submit("b2", &["j0", "j1"], 2)
            .await
            .expect("a response");
        let results = read_results(&client, "b2", 2).await;
        assert_complete(&world, &results, &["j0", "j1"]);
        assert!(results.iter().all(|r| r.versions == [2]));
        wait_until("all engines have loaded it", async || {
            world.engines.iter().all(|engine| engine.version() == 2)
        })
        .await;
        for engine in &world.engines {
            assert_eq!(engine.commands().len(), 1);
            assert_eq!(engine.commands()[0]["holder"], gateways[0].host());
        }
    });
}

#[test]
fn a_request_to_retire_a_host_is_completed() {
    run(async {
        let (world, _gateways) = start(2, 5, EVENT_INTERVAL).await;
        world.store.request_retirement("store-1");
        wait_until("the request is completed", async || {
            world.store.is_retired("store-1")
        })
        .await;
    });
}

#[test]
fn a_malformed_batch_is_refused_and_changes_nothing() {
    run(async {
        let (world, gateways) = start(1, 5, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        let response = client.request("b1", "/batch/new", "{\"items\": 3}").await;
        assert_eq!(response.expect("a response").status, 400);
        assert!(world.store.names("batches").is_empty());
        client.submit("b2", &ITEMS, 1).await.expect("a response");
        assert_complete(
            &world,
            &read_results(&client, "b2", ITEMS.len()).await,
            &ITEMS,
        );
    });
}

#[test]
fn a_gateway_that_the_store_refuses_serves_batches_through_a_peer() {
    run(async {
        let (world, gateways) = start(1, 100, EVENT_INTERVAL).await;
        let second_address = SocketAddr::new(address(), 7100);
        let second_address = world
            .store
            .add_listener(second_address)
            .await
            .expect("a second address");
        let isolated = Gateway::start("front-away", &second_address);
        isolated.wait_until_ready().await;
        // This gateway schedules until the store refuses its calls.
        let client = isolated.client();
        client.submit("b1", &ITEMS, 1).await.expect("a response");
        wait_until("all items run", async || {
            ITEMS.iter().all(|item| world.arrival_count(item) > 0)
        })
        .await;
        gateways[0]
            .client()
            .results("b1", 0)
            .await
            .expect("a response");
        second_address.set_fault(StoreFault::Busy);
        isolated.wait_for_log("lease released to a peer").await;
        gateways[0].wait_for_log("scheduling started").await;
        let response = client.submit("b2", &["j0", "j1"], 1).await;
        assert_eq!(response.expect("a response").status, 202);
        assert_complete(&world, &read_results(&client, "b2", 2).await, &["j0", "j1"]);
        assert_complete(
            &world,
            &read_results(&client, "b1", ITEMS.len()).await,
            &ITEMS,
        );
        let response = client.end("b2").await.expect("a response");
        assert_eq!(response.status, 200);
        gateways[0].wait_for_log("batch ended").await;
    });
}

#[test]
fn ended_batches_are_removed_after_their_retention_and_open_ones_stay() {
    run(async {
        let world = World::start(2, 5, EVENT_INTERVAL).await;
        let gateway = Gateway::with_retention("front-0", &world.store, 2);
        gateway.wait_until_ready().await;
        let client = gateway.client();
        client.submit("b1", &ITEMS, 1).await.expect("a response");
        client.submit("b2", &["j0"], 1).await.expect("a response");
        read_results(&client, "b1", ITEMS.len()).await;
        // This gateway knows no peer yet, so it reads the batch from the store. It must not serve any
        // of it after the removal.
        let other = Gateway::start("front-1", &world.store);
        other.wait_until_ready().await;
        let response = other.client().results("b1", 0).await.expect("a response");
        assert_eq!(response.results().len(), ITEMS.len());
        client.end("b1").await.expect("a response");
        wait_until("the ended batch is removed", async || {
            world.store.names("batches") == ["b2"]
        })
        .await;
        gateway.wait_for_log("batch removed").await;
        assert!(world.store.names("batch-b1").is_empty());
        for gateway in [&gateway, &other] {
            let response = gateway.client().results("b1", 0).await;
            assert_eq!(response.expect("a response").status, 404);
        }
        assert_complete(&world, &read_results(&client, "b2", 1).await, &["j0"]);
    });
}

#[test]
fn calls_that_need_the_store_are_refused_at_once_while_it_does_not_respond() {
    run(async {
        let (world, gateways) = start(1, 5, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        world.store.set_fault(StoreFault::Silent);
        gateways[0].wait_for_log("store unavailable").await;
        let response = client.submit("b1", &["i0"], 1).await.expect("a response");
        assert_eq!(response.status, 503);
        assert!(response.retry_after().is_some());
        let response = client.results("b0", 0).await.expect("a response");
        assert_eq!(response.status, 503);
        let response = client.end("b0").await.expect("a response");
        assert_eq!(response.status, 503);
        // No call to the store was made for it.
        let line = gateways[0].wait_for_log("batch not stored").await;
        let error = line["error"].as_str().expect("a string");
        assert!(error.contains("does not answer probes"), "{error}");
        world.store.set_fault(StoreFault::None);
        gateways[0]
            .wait_for_log("store available again, watches restarted")
            .await;
        let response = client.submit("b1", &["i0"], 1).await.expect("a response");
        assert_eq!(response.status, 202);
    });
}
