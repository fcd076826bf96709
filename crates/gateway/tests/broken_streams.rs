//! Streams and items that break off and whose next server responds with an error, with a real gateway.

mod common;

use std::time::Duration;

use common::{World, assert_complete, read_results, run, start};
use tamaracksail_adapter_standins::engine::Fault;
use tamaracksail_adapter_standins::settings;

const EVENTS: u64 = 8;
const EVENT_INTERVAL: Duration = Duration::from_millis(5);

/// How the next server responds to a request that goes on after an event.
const ERRORS: [Fault; 10] = [
    Fault::NotRun,
    Fault::NoResponse,
    Fault::Fails,
    Fault::Impossible,
    Fault::Unattested,
    Fault::ForeignId,
    Fault::ErrorPage,
    Fault::NoContent,
    Fault::ErrorInStream,
    Fault::ErrorBeforeStream,
];

/// Makes each engine break off after two events and then respond with an error to `count` requests.
fn break_engines(world: &World, error: Fault, count: usize) {
    for engine in &world.engines {
        engine.push_faults(&[Fault::BreaksAfter(2)]);
        engine.push_faults(&vec![error; count]);
    }
}

// Guards against: the text or the head of an error in the middle of a stream, or a stream that ends as if it
// were complete before its last event.
#[test]
fn an_error_of_the_next_server_never_appears_in_a_stream_nor_ends_it_as_complete() {
    run(async {
        let (world, gateways) = start(1, EVENTS, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        let mut routes = settings::routes(2);
        routes["routes"][3]["max-attempts"] = 6.into();
        world.put_routes(&gateways, routes).await;
        for error in ERRORS {
            // With three errors at each of two engines, no attempt is left.
            for count in [1, 3] {
                break_engines(&world, error, count);
                let id = format!("{error:?}-{count}");
                let limit = Duration::from_secs(8);
                let part = client.stream_part(&id, "/stream/x", None, limit).await;
                let part = part.expect("a response");
                let event = |number| format!("id: {number}\ndata: {id}-{number}\n\n");
                let whole: String = (1..=EVENTS).map(event).collect();
                if part.is_complete {
                    assert_eq!(part.text, whole, "{error:?} {count}");
                } else {
                    assert!(whole.starts_with(&part.text), "{error:?} {count}: {part:?}");
                }
                assert_eq!(part.is_complete, count == 1, "{error:?} {count}: {part:?}");
                world.clear_faults();
            }
        }
    });
}

// Guards against: an item that is listed as complete though its text ends early or has the text of an error.
#[test]
fn an_error_of_the_next_engine_never_completes_an_item_nor_appears_in_its_text() {
    run(async {
        let (world, gateways) = start(1, EVENTS, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        // After a 422 or repeated 500 an item is aborted, which is no success.
        let repeatable = |error: &&Fault| !matches!(error, Fault::Impossible | Fault::Fails);
        for (number, error) in ERRORS.iter().filter(repeatable).enumerate() {
            break_engines(&world, *error, 1);
            let batch = format!("b{number}");
            let item = format!("{batch}-item");
            client
                .submit(&batch, &[&item], 1)
                .await
                .expect("a response");
            let results = read_results(&client, &batch, 1).await;
            assert_complete(&world, &results, &[&item]);
            world.clear_faults();
        }
    });
}

// Guards against: a stream is abandoned since each server that it may use pauses once.
#[test]
fn a_stream_is_not_abandoned_while_the_last_server_that_it_may_use_pauses() {
    run(async {
        let (world, gateways) = start(1, EVENTS, EVENT_INTERVAL).await;
        let client = gateways[0].client();
        for engine in &world.engines {
            engine.push_faults(&[Fault::PausesAfter(2); 3]);
        }
        // The route allows three servers.
        let part = client.stream_part("s1", "/stream/x", None, Duration::from_secs(8));
        let part = part.await.expect("a response");
        assert!(part.is_complete, "{part:?}");
        assert_eq!(part.events.len() as u64, EVENTS);
    });
}
