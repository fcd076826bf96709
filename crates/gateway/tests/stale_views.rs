//! Streams that clients take up at a gateway whose view of the servers is out of date, with real gateways.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Gateway, World, run, start_server, wait_until};
use tamaracksail_adapter_standins::Store;
use tamaracksail_adapter_standins::loopback::address;
use tamaracksail_adapter_standins::store::Fault;

/// A stream takes 4 s.
const EVENTS: u64 = 80;
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// How long clients read.
const READ_TIME: Duration = Duration::from_millis(600);

/// How long a gateway must have seen one software version only until it takes every stream to have begun
/// there.
const SETTLE_TIME: Duration = Duration::from_secs(20);

/// The newer software version.
const NEWER: &str = "v2";

/// What disturbs the gateway at which the client takes its stream up.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    /// Its watches report nothing, and its calls are answered.
    Deaf,
    /// As before, and then the store does not answer it at all.
    CutOff,
    /// It stands still from before the newer servers join until the client comes.
    Frozen,
}

/// Servers of a newer version join while one gateway is out of step. A stream begins there through the
/// other gateway, which is killed, and the client takes it up at the first. Checks that it goes on at no
/// server of another version.
async fn take_up(disturbance: Disturbance) {
    let world = World::start(2, EVENTS, EVENT_INTERVAL).await;
    let listen = async || -> Store {
        let listener = world.store.add_listener(SocketAddr::new(address(), 7100));
        listener.await.expect("a listener")
    };
    let (stale, fresh) = (listen().await, listen().await);
    // Without knowledge of the others, a gateway sends them no copies of where streams began.
    fresh.set_fault(Fault::RefusesAll("gateways".to_owned()));
    let late = Gateway::with_bootstrap("front-0", &stale);
    let mut other = Gateway::with_bootstrap("front-1", &fresh);
    late.wait_until_ready().await;
    other.wait_until_ready().await;
    tokio::time::sleep(SETTLE_TIME + Duration::from_secs(2)).await;
    match disturbance {
        Disturbance::Frozen => late.signal("STOP"),
        Disturbance::Deaf | Disturbance::CutOff => {
            stale.set_fault(Fault::HidesChanges("s".to_owned()));
        }
    }
    let newer = start_server("newer", EVENTS, EVENT_INTERVAL).await;
    newer.set_software(NEWER);
    newer.register(&world.store, "pool", "ready");
    for engine in &world.engines {
        engine.register(&world.store, "pool", "draining");
    }
    wait_until("the newer version is recorded", async || {
        let record = world.store.spec("software", "pool");
        record.is_some_and(|record| record["versions"].to_string().contains(NEWER))
    })
    .await;
    let client = other.client();
    let begun = client
        .stream_part("s1", "/stream/x", None, READ_TIME)
        .await
        .expect("a response");
    assert!(
        begun.events.iter().all(|event| event.ends_with("@v2")),
        "{begun:?}"
    );
    let last = begun.last.expect("an event");
    other.kill();
    match disturbance {
        Disturbance::Deaf => {}
        Disturbance::CutOff => stale.set_fault(Fault::Silent),
        Disturbance::Frozen => late.signal("CONT"),
    }
    let resumes = Some(("s1", last));
    let client = late.client();
    let response = client
        .stream_part("s2", "/stream/x", resumes, READ_TIME)
        .await
        .expect("a response");
    let is_other = |event: &String| !event.ends_with("@v2");
    assert!(
        !response.events.iter().any(is_other),
        "{disturbance:?}: {response:?}"
    );
    assert!(
        [200, 503].contains(&response.status),
        "{disturbance:?}: {}",
        response.status
    );
}

// Guards against: a gateway that has not heard of a newer software version lets a stream that began there go on
// at a server of the older one.
#[test]
fn a_deaf_gateway_continues_no_stream_at_another_version() {
    run(take_up(Disturbance::Deaf));
}

// Guards against: the same while the store does not answer the gateway and it has not noticed yet.
#[test]
fn a_gateway_that_was_just_cut_off_continues_no_stream_at_another_version() {
    run(take_up(Disturbance::CutOff));
}

// Guards against: the same just after the gateway stood still.
#[test]
fn a_gateway_that_stood_still_continues_no_stream_at_another_version() {
    run(take_up(Disturbance::Frozen));
}

// A gateway in step still continues streams of which no gateway has a copy.
#[test]
fn a_gateway_in_step_continues_a_stream_without_a_copy() {
    run(async {
        let world = World::start(2, EVENTS, EVENT_INTERVAL).await;
        let mut gateways = Vec::new();
        for host in ["front-0", "front-1"] {
            let gateway = Gateway::with_bootstrap(host, &world.store);
            gateway.wait_until_ready().await;
            gateways.push(gateway);
        }
        let client = gateways[0].client();
        let begun = client
            .stream_part("s1", "/stream/x", None, READ_TIME)
            .await
            .expect("a response");
        gateways[0].kill();
        let resumes = begun.last.map(|last| ("s1", last));
        let client = gateways[1].client();
        let part = client
            .stream_part("s2", "/stream/x", resumes, READ_TIME)
            .await
            .expect("a response");
        assert_eq!(part.status, 200);
        assert!(!part.events.is_empty());
    });
}
