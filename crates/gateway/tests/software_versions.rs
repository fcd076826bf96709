//! Tests of servers of two software versions in one service, with real gateway processes. What the two
//! generate does not fit together.

mod common;

use std::time::Duration;

use common::{Gateway, World, read_results, run, start_server, wait_until};
use tamaracksail_adapter_standins::Engine;
use tamaracksail_adapter_standins::client::{Client, StreamPart};
use tamaracksail_adapter_standins::engine::Fault;
use tamaracksail_model::batch::ItemResult;

/// The number of events of a stream.
const EVENTS: u64 = 30;

/// The time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// The number of streams in a test.
const STREAMS: usize = 16;

/// How long a client reads a stream.
const READ_TIME: Duration = Duration::from_secs(5);

/// The newer software version.
const NEWER: &str = "v2";

/// How long after the start of a test streams begin: longer than gateways take to find each other.
const START_DELAY: Duration = Duration::from_secs(1);

/// Starts gateways before three engines of each of two software versions, which send streams of
/// `events` events.
async fn start(gateways: usize, events: u64) -> (World, Vec<Gateway>) {
    let mut world = World::start(0, events, EVENT_INTERVAL).await;
    for number in 0..6 {
        let engine = start_server(&format!("engine-{number}"), events, EVENT_INTERVAL).await;
        if number % 2 == 1 {
            engine.set_software(NEWER);
        }
        engine.register(&world.store, "pool", "ready");
        world.engines.push(engine);
    }
    let mut started = Vec::new();
    for number in 0..gateways {
        started.push(Gateway::start(&format!("front-{number}"), &world.store));
    }
    for gateway in &started {
        gateway.wait_until_ready().await;
    }
    tokio::time::sleep(START_DELAY).await;
    (world, started)
}

/// Returns the number of software versions that generated a text of these lines.
fn version_count<'a>(lines: impl Iterator<Item = &'a str>) -> usize {
    let mut versions: Vec<&str> = lines
        .map(|line| line.split_once('@').map_or("", |(_, version)| version))
        .collect();
    versions.sort_unstable();
    versions.dedup();
    versions.len()
}

fn is_mixed(events: &[String]) -> bool {
    version_count(events.iter().map(String::as_str)) > 1
}

fn mixed_results(results: &[ItemResult]) -> Vec<&str> {
    let is_mixed = |result: &&ItemResult| version_count(result.text.lines()) > 1;
    let mixed = results.iter().filter(is_mixed);
    mixed.map(|result| result.item.as_str()).collect()
}

/// Requests [`STREAMS`] streams at the same time at the gateways in turn.
async fn begin_streams(gateways: &[&Gateway], limit: Duration) -> Vec<(String, StreamPart)> {
    let mut tasks = Vec::new();
    for number in 0..STREAMS {
        let client = gateways[number % gateways.len()].client();
        tasks.push(tokio::task::spawn_local(async move {
            let id = format!("s{number}");
            let part = client.stream_part(&id, "/stream/x", None, limit).await;
            (id, part.expect("a response"))
        }));
    }
    let mut parts = Vec::new();
    for task in tasks {
        parts.push(task.await.expect("the client ends"));
    }
    parts
}

/// Takes up streams at a gateway. Returns the numbers of those that go on and of those that are
/// mixed.
async fn take_up(client: &Client, parts: Vec<(String, StreamPart)>) -> (usize, usize) {
    let mut tasks = Vec::new();
    for (id, part) in parts.into_iter().rev() {
        let client = client.clone();
        tasks.push(tokio::task::spawn_local(async move {
            let last = part.last.expect("an event");
            let mut events = part.events;
            let next_id = format!("{id}-again");
            for _ in 0..3 {
                let resumes = Some((id.as_str(), last));
                let next = client.stream_part(&next_id, "/stream/x", resumes, READ_TIME);
                let next = next.await.expect("a response");
                if next.status == 200 {
                    events.extend(next.events);
                    return (next.is_complete, is_mixed(&events));
                }
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
            (false, false)
        }));
    }
    let (mut complete, mut mixed) = (0, 0);
    for task in tasks {
        let (is_complete, is_mixed) = task.await.expect("the client ends");
        complete += usize::from(is_complete);
        mixed += usize::from(is_mixed);
    }
    (complete, mixed)
}

fn break_engines(engines: &[Engine], events: u64, count: usize) {
    for engine in engines {
        engine.push_faults(&vec![Fault::BreaksAfter(events); count]);
    }
}

#[test]
fn a_response_continues_only_at_the_software_version_that_began_it() {
    run(async {
        let (world, gateways) = start(1, EVENTS).await;
        break_engines(&world.engines, 5, 2);
        let parts = begin_streams(&[&gateways[0]], READ_TIME).await;
        let mixed = parts.iter().filter(|(_, part)| is_mixed(&part.events));
        assert_eq!(mixed.count(), 0);
        let complete = parts.iter().filter(|(_, part)| part.is_complete).count();
        assert!(complete * 2 >= STREAMS, "{complete} of {STREAMS} go on");
    });
}

#[test]
fn a_stream_that_a_client_takes_up_elsewhere_continues_at_the_software_version_that_began_it() {
    run(async {
        let (_world, mut gateways) = start(4, EVENTS).await;
        let parts = begin_streams(&[&gateways[0], &gateways[1]], Duration::from_millis(200)).await;
        for gateway in &mut gateways[..2] {
            gateway.kill();
        }
        let (complete, mixed) = take_up(&gateways[2].client(), parts).await;
        assert_eq!(mixed, 0);
        assert!(complete * 2 >= STREAMS, "{complete} of {STREAMS} go on");
    });
}

#[test]
fn a_restarted_gateway_continues_streams_only_at_the_software_version_that_began_them() {
    run(async {
        let (_world, mut gateways) = start(3, EVENTS).await;
        let parts = begin_streams(&[&gateways[0]], Duration::from_millis(200)).await;
        gateways[0].kill();
        gateways[0].restart();
        gateways[0].wait_until_ready().await;
        let (complete, mixed) = take_up(&gateways[0].client(), parts).await;
        assert_eq!(mixed, 0);
        assert!(complete * 2 >= STREAMS, "{complete} of {STREAMS} go on");
    });
}

#[test]
fn a_text_continues_only_at_the_software_version_that_began_it() {
    run(async {
        let (world, gateways) = start(2, EVENTS).await;
        for number in [0, 2] {
            break_engines(&world.engines[number..=number], 8, 2);
        }
        let items: Vec<String> = (0..12).map(|number| format!("i{number}")).collect();
        let ids: Vec<&str> = items.iter().map(String::as_str).collect();
        let client = gateways[0].client();
        let response = client.submit("b1", &ids, 1).await.expect("a response");
        assert_eq!(response.status, 202);
        let results = read_results(&client, "b1", ids.len()).await;
        assert_eq!(mixed_results(&results), Vec::<&str>::new());
    });
}

#[test]
fn saved_text_continues_only_at_the_software_version_that_began_it() {
    run(async {
        let (world, mut gateways) = start(2, 90).await;
        let items: Vec<String> = (0..12).map(|number| format!("i{number}")).collect();
        let ids: Vec<&str> = items.iter().map(String::as_str).collect();
        let client = gateways[0].client();
        let response = client.submit("b1", &ids, 1).await.expect("a response");
        assert_eq!(response.status, 202);
        wait_until("texts are saved", async || {
            !world.store.names("text").is_empty()
        })
        .await;
        world.engines[0].kill();
        world.store.remove_server(&world.engines[0].instance);
        gateways[0].kill();
        let results = read_results(&gateways[1].client(), "b1", ids.len()).await;
        assert_eq!(mixed_results(&results), Vec::<&str>::new());
    });
}

#[test]
fn a_server_that_is_back_under_its_id_with_new_software_does_not_continue_texts() {
    run(async {
        let (world, gateways) = start(1, EVENTS).await;
        let items: Vec<String> = (0..24).map(|number| format!("i{number}")).collect();
        let ids: Vec<&str> = items.iter().map(String::as_str).collect();
        let client = gateways[0].client();
        let response = client.submit("b1", &ids, 1).await.expect("a response");
        assert_eq!(response.status, 202);
        tokio::time::sleep(EVENT_INTERVAL * 8).await;
        for engine in &world.engines {
            engine.restart_with("v3", Duration::from_millis(30));
        }
        let results = read_results(&client, "b1", ids.len()).await;
        assert_eq!(mixed_results(&results), Vec::<&str>::new());
    });
}

/// Restarts an engine with new software, under its id, while gateways do not read its new record.
async fn restart_unnoticed(world: &World, number: usize) {
    // After a change of any record, gateways wait before they watch again.
    world.app.register(&world.store, "app", "draining");
    tokio::time::sleep(EVENT_INTERVAL).await;
    world.engines[number].restart_with("v3", Duration::from_millis(10));
    tokio::time::sleep(EVENT_INTERVAL).await;
}

#[test]
fn texts_do_not_continue_at_a_server_whose_new_software_is_not_registered_yet() {
    run(async {
        let (world, gateways) = start(1, EVENTS).await;
        // Of each software version, one engine is left.
        for number in [0, 1, 2, 3] {
            world.store.remove_server(&world.engines[number].instance);
        }
        tokio::time::sleep(START_DELAY * 2).await;
        let client = gateways[0].client();
        let ids = ["i0", "i1", "i2", "i3"];
        let response = client.submit("b1", &ids, 1).await.expect("a response");
        assert_eq!(response.status, 202);
        tokio::time::sleep(EVENT_INTERVAL * 8).await;
        restart_unnoticed(&world, 4).await;
        let results = read_results(&client, "b1", ids.len()).await;
        assert_eq!(mixed_results(&results), Vec::<&str>::new());
    });
}

#[test]
fn streams_do_not_continue_at_a_server_whose_new_software_is_not_registered_yet() {
    run(async {
        let (world, gateways) = start(2, EVENTS).await;
        for number in [0, 1, 2, 3] {
            world.store.remove_server(&world.engines[number].instance);
        }
        tokio::time::sleep(START_DELAY * 2).await;
        let parts = begin_streams(&[&gateways[0]], EVENT_INTERVAL * 8).await;
        restart_unnoticed(&world, 4).await;
        let (_, mixed) = take_up(&gateways[1].client(), parts).await;
        assert_eq!(mixed, 0);
    });
}
