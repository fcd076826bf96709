//! The check that a server whose registration is removed gets no requests, also if it never stated that it leaves.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use crate::clients;
use crate::inject;
use crate::world::{APP, World};

/// How long after the removal of a registration requests may reach the server: the default of the settings.
const DRAIN_WINDOW: Duration = Duration::from_secs(2);

/// When the registration is removed, in milliseconds after the watches were cut off: the store counts as stable
/// after 3 s.
const REMOVAL_MS: std::ops::Range<u64> = 3050..5500;

/// The number of requests to each host after the window.
const REQUESTS: u64 = 5;

/// The time between two of them.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// The path of these requests.
const PATH: &str = "/plain/departed";

/// Makes the seed of the times differ from that of the plan.
const SEED_MASK: u64 = 0x6465_7061_7274;

/// Cuts off the watches of the store, or lets its connections go silent, then removes the registration of a server
/// that goes on serving, and checks that no request reaches it later. No other faults are injected meanwhile.
pub async fn check(world: &World, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_MASK);
    let number = world
        .servers
        .iter()
        .position(|server| server.service == APP);
    let Some(number) = number else {
        return;
    };
    let Some(engine) = world.servers[number].begin_replacement() else {
        return world.record_violation("soak", "a server is still being replaced");
    };
    if rng.random() {
        world.store.cut_watches();
    } else {
        world.store.silence_connections();
    }
    sleep(Duration::from_millis(rng.random_range(REMOVAL_MS))).await;
    world.store.remove_server(&engine.instance);
    sleep(DRAIN_WINDOW).await;
    let from = Instant::now();
    for _ in 0..REQUESTS {
        for host in &world.hosts {
            let status = clients::status(host, PATH).await;
            if status != Some(200) {
                let detail = format!("{}: {status:?} after a server left", host.name);
                world.record_violation("drain", &detail);
            }
        }
        sleep(REQUEST_INTERVAL).await;
    }
    let arrivals = engine.arrivals();
    let late = arrivals
        .iter()
        .filter(|arrival| arrival.at >= from && arrival.call.ends_with(PATH));
    let late = late.count();
    if late > 0 {
        let detail = format!("{} got {late} requests after its removal", engine.instance);
        world.record_violation("drain", &detail);
    }
    inject::end(world, number, &engine).await;
}
