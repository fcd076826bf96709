//! Streams whose servers pause, with a real gateway.

mod common;

use std::time::Duration;

use common::{World, run, start, wait_until};
use futures_util::future::join_all;
use tamaracksail_adapter_standins::Client;
use tamaracksail_adapter_standins::client::StreamPart;
use tamaracksail_adapter_standins::engine::Fault;

const EVENTS: u64 = 8;
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// More refusals than a stream can meet until its deadline.
const MANY: usize = 100;

/// Makes each engine have `first` in its first `count` requests and refuse all after them, as one does
/// that is full.
fn pause_and_refuse(world: &World, first: Fault, count: usize) {
    for engine in &world.engines {
        engine.push_faults(&vec![first; count]);
        engine.push_faults(&[Fault::NotRun; MANY]);
    }
}

async fn read(client: Client, id: String) -> StreamPart {
    let part = client.stream_part(&id, "/stream/x", None, READ_TIMEOUT);
    part.await.expect("a response")
}

/// Checks that a stream is whole, with each event once and in order.
fn assert_whole(world: &World, id: &str, part: &StreamPart) {
    assert!(part.is_complete, "{id}: {part:?}");
    assert_eq!(part.events.join("\n"), world.engines[0].text(id), "{id}");
}

// Guards against: a stream is cut since its server pauses while the others are full.
#[test]
fn a_stream_is_not_cut_while_its_server_pauses_and_the_others_are_full() {
    run(async {
        let (world, gateways) = start(1, EVENTS, EVENT_INTERVAL).await;
        for pause_after in [0, 1, EVENTS - 1] {
            pause_and_refuse(&world, Fault::PausesAfter(pause_after), 1);
            let id = format!("s-{pause_after}");
            let part = read(gateways[0].client(), id.clone()).await;
            assert_whole(&world, &id, &part);
            world.clear_faults();
        }
    });
}

// Guards against: streams are cut during a planned stop since their servers pause at the same time.
#[test]
fn streams_are_not_cut_while_all_their_servers_pause_during_a_planned_stop() {
    run(async {
        let (world, gateways) = start(1, EVENTS, EVENT_INTERVAL).await;
        pause_and_refuse(&world, Fault::PausesAfter(2), 3);
        let ids: Vec<String> = (0..6).map(|number| format!("s-{number}")).collect();
        let reads = ids.iter().map(|id| read(gateways[0].client(), id.clone()));
        let stop = async {
            wait_until("all streams run", async || {
                ids.iter().all(|id| world.arrival_count(id) > 0)
            })
            .await;
            gateways[0].signal("TERM");
        };
        let (parts, ()) = futures_util::join!(join_all(reads), stop);
        for (id, part) in ids.iter().zip(&parts) {
            assert_whole(&world, id, part);
        }
    });
}

/// Reads a stream whose first server has the fault `first`, and the other one `second`.
async fn read_with_faults(
    world: &World,
    client: Client,
    id: &str,
    first: Fault,
    second: &[Fault],
) -> StreamPart {
    for engine in &world.engines {
        engine.clear_faults();
        engine.push_faults(&[first]);
    }
    let watch = async {
        wait_until("the stream runs", async || world.arrival_count(id) > 0).await;
        for engine in &world.engines {
            let is_first = engine.arrivals().iter().any(|arrival| arrival.id == id);
            engine.clear_faults();
            engine.push_faults(if is_first { &[] } else { second });
        }
    };
    let (part, ()) = futures_util::join!(read(client, id.to_owned()), watch);
    part
}

// Guards against: a stream stays at a server that is silent for good, or goes on before another has sent the
// next event.
#[test]
fn a_stream_goes_on_elsewhere_when_its_server_is_silent_for_good() {
    run(async {
        let (world, gateways) = start(1, EVENTS, EVENT_INTERVAL).await;
        for silent_after in [0, 3] {
            // The second server refuses it at first.
            let id = format!("s-{silent_after}");
            let first = Fault::SilentAfter(silent_after);
            let client = gateways[0].client();
            let part = read_with_faults(&world, client, &id, first, &[Fault::NotRun]).await;
            assert_whole(&world, &id, &part);
        }
    });
}

// Guards against: an event that comes twice or is missing since two servers have a stream for a while, and a
// server that is given up for one that sends nothing.
#[test]
fn each_event_comes_once_and_in_order_when_the_second_server_has_a_fault_too() {
    run(async {
        let (world, gateways) = start(1, EVENTS, EVENT_INTERVAL).await;
        let second = [
            Fault::PausesAfter(0),
            Fault::PausesAfter(2),
            Fault::SilentAfter(0),
            Fault::SilentAfter(1),
            Fault::BreaksAfter(0),
            Fault::BreaksAfter(1),
            Fault::ErrorPage,
            Fault::ErrorBeforeStream,
            Fault::Fails,
            Fault::NoResponse,
            Fault::ForeignId,
        ];
        for second in second {
            for first in [Fault::PausesAfter(0), Fault::PausesAfter(3)] {
                let id = format!("s-{first:?}-{second:?}");
                let client = gateways[0].client();
                let part = read_with_faults(&world, client, &id, first, &[second]).await;
                assert_whole(&world, &id, &part);
            }
        }
    });
}
