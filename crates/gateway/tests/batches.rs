//! Batches through real gateways.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Gateway, World, check, read, run, start, until};
use tamaracksail_adapter_standins::Engine;
use tamaracksail_adapter_standins::engine::Fault;
use tamaracksail_adapter_standins::loopback::address;
use tamaracksail_adapter_standins::store::Fault as StoreFault;
use tamaracksail_model::batch::Ending;

const PACE: Duration = Duration::from_millis(5);
const ITEMS: [&str; 6] = ["i0", "i1", "i2", "i3", "i4", "i5"];

#[test]
fn a_batch_is_accepted_once_and_its_results_are_whole() {
    run(async {
        let (world, gateways) = start(2, 5, PACE).await;
        let client = gateways[0].client();
        for gateway in &gateways {
            let answer = gateway.client().submit("b1", &ITEMS, 1).await;
            assert_eq!(answer.expect("an answer").status, 202);
        }
        let results = read(&client, "b1", ITEMS.len()).await;
        check(&world, &results, &ITEMS);
        assert!(results.iter().all(|r| r.versions == [1]));
        // Every gateway tells the same.
        assert_eq!(
            read(&gateways[1].client(), "b1", ITEMS.len()).await,
            results
        );
        for item in ITEMS {
            assert_eq!(world.arrivals(item), 1, "{item}");
        }
        let answer = client.results("unknown", 0).await.expect("an answer");
        assert_eq!(answer.status, 404);
    });
}

#[test]
fn bodies_of_items_are_returned_as_they_came() {
    run(async {
        let (_world, gateways) = start(2, 50, PACE).await;
        let answer = gateways[0].client().submit("b1", &ITEMS, 1).await;
        assert_eq!(answer.expect("an answer").status, 202);
        for gateway in &gateways {
            let answer = gateway.client().item("b1", "i3").await.expect("an answer");
            assert_eq!((answer.status, &answer.body[..]), (200, &b"i3"[..]));
            let answer = gateway.client().item("b1", "none").await;
            assert_eq!(answer.expect("an answer").status, 404);
        }
    });
}

#[test]
fn an_item_goes_on_where_its_engine_broke_off() {
    run(async {
        let (world, gateways) = start(1, 6, PACE).await;
        for engine in &world.engines {
            engine.push_faults(&[
                Fault::BreaksAfter(2),
                Fault::NotRun,
                Fault::Fails,
                Fault::ForeignId,
            ]);
        }
        let client = gateways[0].client();
        client.submit("b1", &ITEMS, 1).await.expect("an answer");
        check(&world, &read(&client, "b1", ITEMS.len()).await, &ITEMS);
        let resumed = world
            .engines
            .iter()
            .flat_map(Engine::arrivals)
            .filter(|arrival| arrival.after.is_some())
            .count();
        assert!(resumed >= 2, "{resumed}");
        // From the item's id the logs lead to its batch, its engines and what went wrong there.
        let sent = gateways[0].logged("item sent").await;
        assert_eq!((&sent["batch"], &sent["run"]), (&"b1".into(), &1.into()));
        let broken = gateways[0].logged("item run failed").await;
        assert!(broken["server"].is_string() && broken["problem"].is_string());
    });
}

#[test]
fn an_item_that_can_never_run_is_given_up_and_one_that_fails_too_often() {
    run(async {
        let (world, gateways) = start(1, 3, PACE).await;
        world.engines[1].register(&world.store, "pool", "draining");
        let client = gateways[0].client();
        gateways[0].ready().await;
        world.engines[0].push_faults(&[Fault::Impossible]);
        client.submit("b1", &["i0"], 1).await.expect("an answer");
        let results = read(&client, "b1", 1).await;
        assert_eq!(results[0].ending, Ending::Aborted);
        world.engines[0].push_faults(&[Fault::Fails, Fault::Fails, Fault::Fails]);
        world.engines[1].push_faults(&[Fault::Fails, Fault::Fails, Fault::Fails]);
        client.submit("b2", &["i1"], 1).await.expect("an answer");
        let results = read(&client, "b2", 1).await;
        assert_eq!(results[0].ending, Ending::Aborted);
        assert_eq!(world.arrivals("i1"), 3);
    });
}

#[test]
fn nothing_of_an_ended_batch_begins() {
    run(async {
        let (world, gateways) = start(2, 400, PACE).await;
        let client = gateways[0].client();
        let items: Vec<String> = (0..40).map(|n| format!("i{n:02}")).collect();
        let items: Vec<&str> = items.iter().map(String::as_str).collect();
        client.submit("b1", &items, 1).await.expect("an answer");
        until("all slots are taken", async || {
            items.iter().filter(|item| world.arrivals(item) > 0).count() == 8
        })
        .await;
        // At the gateway that does not schedule.
        for _ in 0..2 {
            let answer = gateways[1].client().end("b1").await.expect("an answer");
            assert_eq!(answer.status, 200);
        }
        gateways[0].logged("batch ended").await;
        let arrivals = |world: &World| -> usize { items.iter().map(|i| world.arrivals(i)).sum() };
        let before = arrivals(&world);
        // A submission that comes once more does not bring it back.
        let answer = client.submit("b1", &items, 1).await.expect("an answer");
        assert_eq!(answer.status, 202);
        // Work of another batch shows that the scheduler has gone on.
        client.submit("b2", &["other"], 1).await.expect("an answer");
        until("the other batch runs", async || world.arrivals("other") > 0).await;
        assert_eq!(arrivals(&world), before);
    });
}

#[test]
fn a_batch_that_ends_while_it_is_read_from_the_store_does_not_run() {
    run(async {
        let (world, mut gateways) = start(1, 200, PACE).await;
        gateways[0]
            .client()
            .submit("b1", &ITEMS, 1)
            .await
            .expect("an answer");
        gateways[0].logged("batch added to the scheduler").await;
        gateways[0].kill();
        let before: usize = ITEMS.iter().map(|item| world.arrivals(item)).sum();
        // The next scheduler reads the batch slowly; its client ends it meanwhile.
        let slow = StoreFault::Slow("batch-".to_owned(), Duration::from_millis(700));
        world.store.set_fault(slow);
        let next = Gateway::start("front-9", &world.store);
        next.ready().await;
        let client = next.client();
        let reading = async { client.results("b1", 0).await };
        let ending = async {
            next.logged("scheduling started").await;
            next.client().end("b1").await
        };
        let (_, ended) = futures_util::join!(reading, ending);
        assert_eq!(ended.expect("an answer").status, 200);
        next.logged("batch end stored").await;
        world.store.set_fault(StoreFault::None);
        client.submit("b2", &["other"], 1).await.expect("an answer");
        check(&world, &read(&client, "b2", 1).await, &["other"]);
        let after: usize = ITEMS.iter().map(|item| world.arrivals(item)).sum();
        assert_eq!(after, before);
    });
}

#[test]
fn without_the_store_a_batch_is_refused_and_an_open_one_goes_on() {
    run(async {
        let (world, gateways) = start(1, 40, PACE).await;
        let client = gateways[0].client();
        client.submit("b1", &ITEMS, 1).await.expect("an answer");
        world.store.set_fault(StoreFault::Busy);
        let answer = client.submit("b2", &["j0"], 1).await.expect("an answer");
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after().is_some());
        world.store.set_fault(StoreFault::None);
        check(&world, &read(&client, "b1", ITEMS.len()).await, &ITEMS);
        assert_eq!(world.arrivals("j0"), 0);
        let answer = client.results("b2", 0).await.expect("an answer");
        assert_eq!(answer.status, 404);
    });
}

#[test]
fn a_batch_whose_acceptance_was_not_answered_is_accepted_once() {
    run(async {
        let (world, gateways) = start(1, 5, PACE).await;
        let client = gateways[0].client();
        client.submit("b0", &["warm"], 1).await.expect("an answer");
        read(&client, "b0", 1).await;
        world
            .store
            .set_fault(StoreFault::LoseAnswers("batches".to_owned()));
        let healing = async {
            until("the store has the head", async || {
                world.store.names("batches").contains(&"b1".to_owned())
            })
            .await;
            world.store.set_fault(StoreFault::None);
        };
        let submitting = async { client.submit("b1", &ITEMS, 1).await };
        let (answer, ()) = futures_util::join!(submitting, healing);
        assert_eq!(answer.expect("an answer").status, 202);
        check(&world, &read(&client, "b1", ITEMS.len()).await, &ITEMS);
        for item in ITEMS {
            assert_eq!(world.arrivals(item), 1, "{item}");
        }
    });
}

#[test]
fn results_whose_write_was_not_answered_stand_once() {
    run(async {
        let (world, gateways) = start(1, 5, PACE).await;
        let client = gateways[0].client();
        let losing = StoreFault::LoseAnswers("batch-".to_owned());
        world.store.set_fault(losing);
        let healing = async {
            gateways[0].logged("results not written").await;
            world.store.set_fault(StoreFault::None);
        };
        let submitting = async {
            client.submit("b1", &ITEMS, 1).await.expect("an answer");
            read(&client, "b1", ITEMS.len()).await
        };
        let (results, ()) = futures_util::join!(submitting, healing);
        check(&world, &results, &ITEMS);
    });
}

#[test]
fn engines_follow_the_version_that_a_trainer_names() {
    run(async {
        let (world, gateways) = start(1, 5, PACE).await;
        let client = gateways[0].client();
        client.submit("b1", &ITEMS, 1).await.expect("an answer");
        read(&client, "b1", ITEMS.len()).await;
        client.end("b1").await.expect("an answer");
        world.store.name_version("drafts", 2);
        client
            .submit("b2", &["j0", "j1"], 2)
            .await
            .expect("an answer");
        let results = read(&client, "b2", 2).await;
        check(&world, &results, &["j0", "j1"]);
        assert!(results.iter().all(|r| r.versions == [2]));
        until("all engines hold it", async || {
            world.engines.iter().all(|engine| engine.version() == 2)
        })
        .await;
        for engine in &world.engines {
            assert_eq!(engine.orders().len(), 1);
            assert_eq!(engine.orders()[0]["holder"], gateways[0].host());
        }
    });
}

#[test]
fn a_request_to_empty_a_host_is_completed() {
    run(async {
        let (world, _gateways) = start(2, 5, PACE).await;
        world.store.ask_to_empty("store-1");
        until("the request is completed", async || {
            world.store.is_emptied("store-1")
        })
        .await;
    });
}

#[test]
fn a_malformed_batch_is_refused_and_changes_nothing() {
    run(async {
        let (world, gateways) = start(1, 5, PACE).await;
        let client = gateways[0].client();
        let answer = client.request("b1", "/batch/new", "{\"items\": 3}").await;
        assert_eq!(answer.expect("an answer").status, 400);
        assert!(world.store.names("batches").is_empty());
        client.submit("b2", &ITEMS, 1).await.expect("an answer");
        check(&world, &read(&client, "b2", ITEMS.len()).await, &ITEMS);
    });
}

#[test]
fn a_gateway_that_the_store_turns_away_serves_batches_through_a_peer() {
    run(async {
        let (world, gateways) = start(1, 100, PACE).await;
        let door = SocketAddr::new(address(), 7100);
        let door = world.store.door(door).await.expect("a second address");
        let away = Gateway::start("front-away", &door);
        away.ready().await;
        // It schedules, until the store turns it away.
        let client = away.client();
        client.submit("b1", &ITEMS, 1).await.expect("an answer");
        until("all items run", async || {
            ITEMS.iter().all(|item| world.arrivals(item) > 0)
        })
        .await;
        gateways[0]
            .client()
            .results("b1", 0)
            .await
            .expect("an answer");
        door.set_fault(StoreFault::Busy);
        away.logged("lease released to a peer").await;
        gateways[0].logged("scheduling started").await;
        let answer = client.submit("b2", &["j0", "j1"], 1).await;
        assert_eq!(answer.expect("an answer").status, 202);
        check(&world, &read(&client, "b2", 2).await, &["j0", "j1"]);
        check(&world, &read(&client, "b1", ITEMS.len()).await, &ITEMS);
        let answer = client.end("b2").await.expect("an answer");
        assert_eq!(answer.status, 200);
        gateways[0].logged("batch ended").await;
    });
}

#[test]
fn old_batches_are_removed_and_open_ones_stay() {
    run(async {
        let world = World::start(2, 5, PACE).await;
        let gateway = Gateway::keeping("front-0", &world.store, 2);
        gateway.ready().await;
        let client = gateway.client();
        client.submit("b1", &ITEMS, 1).await.expect("an answer");
        client.submit("b2", &["j0"], 1).await.expect("an answer");
        read(&client, "b1", ITEMS.len()).await;
        // A gateway that knows no peer yet remembers the batch's size from the store.
        let other = Gateway::start("front-1", &world.store);
        other.ready().await;
        let answer = other.client().results("b1", 0).await.expect("an answer");
        assert_eq!(answer.results().len(), ITEMS.len());
        client.end("b1").await.expect("an answer");
        until("the ended batch is gone", async || {
            world.store.names("batches") == ["b2"]
        })
        .await;
        gateway.logged("batch removed").await;
        assert!(world.store.names("batch-b1").is_empty());
        for gateway in [&gateway, &other] {
            let answer = gateway.client().results("b1", 0).await;
            assert_eq!(answer.expect("an answer").status, 404);
        }
        check(&world, &read(&client, "b2", 1).await, &["j0"]);
    });
}

#[test]
fn what_needs_a_store_that_is_known_to_be_silent_is_refused_at_once() {
    run(async {
        let (world, gateways) = start(1, 5, PACE).await;
        let client = gateways[0].client();
        world.store.set_fault(StoreFault::Silent);
        gateways[0].logged("store unavailable").await;
        let answer = client.submit("b1", &["i0"], 1).await.expect("an answer");
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after().is_some());
        let answer = client.results("b0", 0).await.expect("an answer");
        assert_eq!(answer.status, 503);
        let answer = client.end("b0").await.expect("an answer");
        assert_eq!(answer.status, 503);
        // No call was made for it.
        let line = gateways[0].logged("batch not stored").await;
        let error = line["error"].as_str().expect("a text");
        assert!(error.contains("does not answer probes"), "{error}");
        world.store.set_fault(StoreFault::None);
        gateways[0]
            .logged("store available again, watches restarted")
            .await;
        let answer = client.submit("b1", &["i0"], 1).await.expect("an answer");
        assert_eq!(answer.status, 202);
    });
}
