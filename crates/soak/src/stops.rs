//! The check that a planned stop leaves no request without an answer, also if servers work past the exit.

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clients;
use crate::inject;
use crate::plan::{Event, ScheduledEvent};
use crate::world::World;

/// How long servers work on a request: longer than a process that stops lives.
const LONG_WORK_TIME: Duration = Duration::from_secs(20);

/// The number of requests of each stop.
const REQUESTS: u64 = 8;

/// Until when requests come that may not be repeated, in milliseconds after the signal. Later ones are refused.
const LAST_REQUEST_MS: u64 = 3000;

/// Makes the seed of the times of requests differ from that of the plan.
const SEED_MASK: u64 = 0x7374_6f70_7300;

/// Stops the process of the first host while requests that may not be repeated run and arrive, and checks that each
/// gets an answer. No other faults are injected meanwhile.
pub async fn check(world: &Rc<World>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_MASK);
    world.set_work_time(Some(LONG_WORK_TIME));
    let mut tasks = Vec::new();
    for _ in 0..REQUESTS {
        let at_ms = rng.random_range(0..LAST_REQUEST_MS);
        let world = Rc::clone(world);
        tasks.push(spawn_local(async move {
            sleep(Duration::from_millis(at_ms)).await;
            if clients::status(&world.hosts[0], "/once/x").await.is_none() {
                let detail = format!("no answer to a request sent {at_ms} ms after SIGTERM");
                world.record_violation("planned stop", &detail);
            }
        }));
    }
    let stop = ScheduledEvent {
        at: Duration::ZERO,
        duration: Duration::ZERO,
        event: Event::Stop(0),
    };
    inject::perform(Rc::clone(world), stop).await;
    for task in tasks {
        if task.await.is_err() {
            world.record_violation("soak", "the task of a request panicked");
        }
    }
    world.set_work_time(None);
}
