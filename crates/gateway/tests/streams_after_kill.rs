//! Tests of streams that clients take up after all gateways were killed at once, with four real gateway
//! processes. All copies of where the streams began are lost then.

mod common;

use std::time::Duration;

use common::{Gateway, World, run, start_server, wait_until};
use tamaracksail_adapter_standins::Engine;
use tokio::time::Instant;

const GATEWAYS: usize = 4;
const ENGINES: usize = 12;
const STREAMS: usize = 48;

/// A stream takes 4 s.
const EVENTS: u64 = 80;
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// How long clients read before the gateways are killed.
const READ_TIME: Duration = Duration::from_millis(600);

/// The longest gap in a stream for which clients wait.
const MAX_GAP: Duration = Duration::from_secs(2);

/// How long clients read a stream that they have taken up.
const SHORT_READ_TIME: Duration = Duration::from_millis(300);

/// The pause before a client that was refused tries again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The newer software version.
const NEWER: &str = "v2";

/// What a client has of a stream.
struct Interrupted {
    id: String,
    last: u64,
    events: Vec<String>,
}

/// Starts engines of one software version, registered.
async fn start_engines(world: &World, name: &str, software: Option<&str>) -> Vec<Engine> {
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let engine = start_server(&format!("{name}-{number}"), EVENTS, EVENT_INTERVAL).await;
        if let Some(software) = software {
            engine.set_software(software);
        }
        engine.register(&world.store, "pool", "ready");
        engines.push(engine);
    }
    engines
}

/// Starts gateways before engines of one software version.
async fn start(is_new_deployment: bool) -> (World, Vec<Gateway>) {
    let mut world = World::start(0, EVENTS, EVENT_INTERVAL).await;
    world.engines = start_engines(&world, "engine", None).await;
    let mut gateways = Vec::new();
    for number in 0..GATEWAYS {
        let host = format!("front-{number}");
        gateways.push(if is_new_deployment {
            Gateway::with_bootstrap(&host, &world.store)
        } else {
            Gateway::start(&host, &world.store)
        });
    }
    for gateway in &gateways {
        gateway.wait_until_ready().await;
    }
    (world, gateways)
}

/// Returns the versions in the record of the engines' service, and whether it is complete.
fn record(world: &World) -> (Vec<String>, bool) {
    let Some(record) = world.store.spec("software", "pool") else {
        return (Vec::new(), false);
    };
    let versions = record["versions"].as_array().expect("a list").iter();
    let versions = versions.map(|version| version.as_str().expect("a string").to_owned());
    (versions.collect(), record["is_complete"] == true)
}

async fn wait_for_record(world: &World) {
    wait_until("the record is complete", async || record(world).1).await;
}

/// Begins all streams, and kills all gateways while clients read. Returns what clients have.
async fn interrupt(gateways: &mut [Gateway]) -> Vec<Interrupted> {
    let mut tasks = Vec::new();
    for number in 0..STREAMS {
        let client = gateways[number % gateways.len()].client();
        tasks.push(tokio::task::spawn_local(async move {
            let id = format!("s{number}");
            let limit = READ_TIME * 4;
            let part = client.stream_part(&id, "/stream/x", None, limit).await;
            let part = part.expect("a response");
            assert!(!part.is_complete);
            let last = part.last.expect("an event");
            let events = part.events;
            Interrupted { id, last, events }
        }));
    }
    tokio::time::sleep(READ_TIME).await;
    for gateway in gateways.iter() {
        gateway.signal("KILL");
    }
    for gateway in gateways {
        gateway.kill();
    }
    let mut streams = Vec::new();
    for task in tasks {
        streams.push(task.await.expect("the client ends"));
    }
    streams
}

fn is_joined(events: &[String]) -> bool {
    let version = |event: &String| event.split_once('@').map(|(_, version)| version.to_owned());
    events
        .windows(2)
        .any(|pair| version(&pair[0]) != version(&pair[1]))
}

/// Takes up streams, each at another gateway than it began at, until [`MAX_GAP`] after `killed`. Returns
/// the numbers of those that went on and of those that were joined from two versions.
async fn take_up(
    gateways: &[Gateway],
    streams: Vec<Interrupted>,
    killed: Instant,
) -> (usize, usize) {
    let mut tasks = Vec::new();
    for (number, stream) in streams.into_iter().enumerate() {
        let client = gateways[(number + 1) % gateways.len()].client();
        tasks.push(tokio::task::spawn_local(async move {
            let Interrupted {
                id,
                last,
                mut events,
            } = stream;
            loop {
                let left = MAX_GAP.saturating_sub(killed.elapsed());
                if left.is_zero() {
                    return (false, false);
                }
                let next_id = format!("{id}-again");
                let resumes = Some((id.as_str(), last));
                let next = client.stream_part(&next_id, "/stream/x", resumes, SHORT_READ_TIME);
                let next = tokio::time::timeout(left, next).await;
                if let Ok(Ok(next)) = next
                    && next.status == 200
                    && !next.events.is_empty()
                    && killed.elapsed() <= MAX_GAP
                {
                    events.extend(next.events);
                    return (true, is_joined(&events));
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }));
    }
    let (mut continued, mut joined) = (0, 0);
    for task in tasks {
        let (is_continued, is_joined) = task.await.expect("the client ends");
        continued += usize::from(is_continued);
        joined += usize::from(is_joined);
    }
    (continued, joined)
}

fn restart(gateways: &mut [Gateway]) {
    for gateway in gateways {
        gateway.restart();
    }
}

/// Without a record that outlives the gateways none of the streams continue: a version counted only
/// after 20 s of a gateway's own observation.
#[test]
fn streams_of_a_service_with_one_version_continue_after_all_gateways_were_killed() {
    run(async {
        let (world, mut gateways) = start(true).await;
        wait_for_record(&world).await;
        let killed = Instant::now() + READ_TIME;
        let streams = interrupt(&mut gateways).await;
        restart(&mut gateways);
        let (continued, joined) = take_up(&gateways, streams, killed).await;
        println!("{continued} of {STREAMS} streams continue, {joined} are joined");
        assert_eq!(joined, 0);
        assert!(continued >= 24, "{continued} of {STREAMS} continue");
    });
}

/// The record of a deployment that existed before counts once a gateway has observed the service for
/// long enough.
#[test]
fn streams_continue_once_the_record_of_an_older_deployment_is_complete() {
    run(async {
        let (world, mut gateways) = start(false).await;
        wait_until("the record exists", async || !record(&world).0.is_empty()).await;
        assert!(!record(&world).1);
        wait_for_record(&world).await;
        let killed = Instant::now() + READ_TIME;
        let streams = interrupt(&mut gateways).await;
        restart(&mut gateways);
        let (continued, joined) = take_up(&gateways, streams, killed).await;
        println!("{continued} of {STREAMS} streams continue, {joined} are joined");
        assert_eq!(joined, 0);
        assert!(continued >= 24, "{continued} of {STREAMS} continue");
    });
}

/// After the kill, only servers of another version than the one that began the streams are left. A
/// gateway that trusted what is registered would join the two.
#[test]
fn no_stream_is_joined_when_the_old_version_left_while_all_gateways_were_down() {
    run(async {
        let (world, mut gateways) = start(true).await;
        wait_for_record(&world).await;
        let killed = Instant::now() + READ_TIME;
        let streams = interrupt(&mut gateways).await;
        for engine in &world.engines {
            engine.kill();
            world.store.remove_server(&engine.instance);
        }
        let _newer = start_engines(&world, "newer", Some(NEWER)).await;
        restart(&mut gateways);
        let (continued, joined) = take_up(&gateways, streams, killed).await;
        assert_eq!((continued, joined), (0, 0));
        // New streams are served by the newer version, once it is recorded.
        for gateway in &gateways {
            gateway.wait_until_ready().await;
        }
        let limit = EVENT_INTERVAL * 200;
        let client = gateways[0].client();
        let part = client.stream_part("t1", "/stream/x", None, limit).await;
        let part = part.expect("a response");
        assert_eq!((part.status, part.is_complete), (200, true));
        assert_eq!(record(&world).0.len(), 2);
    });
}

/// A version that is registered late must be in the record before a stream begins at it, or a stream of
/// it would be continued at the only version in the record.
#[test]
fn no_stream_is_joined_when_a_second_version_arrived_just_before_the_kill() {
    run(async {
        let (world, mut gateways) = start(true).await;
        wait_for_record(&world).await;
        let _newer = start_engines(&world, "newer", Some(NEWER)).await;
        let killed = Instant::now() + READ_TIME;
        let streams = interrupt(&mut gateways).await;
        restart(&mut gateways);
        let (_, joined) = take_up(&gateways, streams, killed).await;
        assert_eq!(joined, 0);
    });
}
