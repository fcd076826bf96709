//! Streams whose next engine responds with an error.

mod common;

use std::collections::BTreeMap;

use common::observer::{TOKENS, token};
use common::world::{DEADLINE, World};
use tamaracksail_model::id::Fingerprint;
use tamaracksail_model::outcome::Outcome;

// Guards against: the text of an error in the middle of a stream, or a stream that ends as if it were complete
// before its last token.
#[test]
fn an_error_of_the_next_engine_never_appears_in_a_stream_nor_ends_it_as_complete() {
    for status in [400, 404, 422, 429, 500, 503] {
        for steps in 0..TOKENS + 3 {
            let mut world = World::new("engines", BTreeMap::new());
            world.continuation_error = Some(status);
            let arrival = world.new_arrival(7, false, true);
            world.send_request(0, arrival);
            for _ in 0..steps {
                while let Some(delivery) = world.queue.pop_front() {
                    world.deliver(delivery);
                }
                world.run_engines();
            }
            let engines = 0..world.engines.len();
            let busy: Vec<usize> = engines.filter(|index| world.is_running(*index)).collect();
            for engine in busy {
                world.crash_engine(engine);
            }
            world.run_for(DEADLINE);
            let tokens = (0..TOKENS).map(|position| token(Fingerprint(7), position, 1));
            let whole: String = tokens.collect();
            for call in world.observer.calls.values() {
                let text = String::from_utf8_lossy(&call.relayed);
                assert!(whole.starts_with(&*text), "{status} after {steps}: {text}");
                let is_done = call
                    .responses
                    .iter()
                    .any(|found| found.outcome == Outcome::Done);
                assert!(!is_done || *text == whole, "{status} after {steps}: {text}");
            }
        }
    }
}
