//! The check that gateways keep to the request limits that servers state.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tamaracksail_adapter_standins::limit;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clients;
use crate::inject;
use crate::plan::{Event, ScheduledEvent};
use crate::world::World;

/// The limit that each server states, in requests per second.
const PER_SECOND: f64 = 2.0;

/// The time between two requests to the same host: many times what the servers accept.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// How long clients press after the rule on limits applies.
const PRESSURE_TIME: Duration = Duration::from_secs(8);

/// When the process of one host is stopped, from the time when the rule applies.
const STOP_AFTER: Duration = Duration::from_secs(2);

/// Makes all servers state a limit and clients press on all hosts, and checks that no server gets
/// more than the platform's rule allows. The process of one host is stopped and restarted meanwhile.
pub async fn check(world: &Rc<World>) {
    for server in &world.servers {
        if let Some(engine) = server.current() {
            engine.state_limit(Some(PER_SECOND));
        }
    }
    let from = Instant::now() + limit::SETTLE_TIME;
    let end = from + PRESSURE_TIME;
    let mut tasks = Vec::new();
    let mut number = 0;
    let mut is_stopped = false;
    while Instant::now() < end {
        for host in 0..world.hosts.len() {
            number += 1;
            let (world, id) = (Rc::clone(world), format!("limit-{number}"));
            tasks.push(spawn_local(async move {
                clients::press(&world, &world.hosts[host], &id).await;
            }));
        }
        if !is_stopped && Instant::now() >= from + STOP_AFTER {
            is_stopped = true;
            let stop = ScheduledEvent {
                at: Duration::ZERO,
                duration: Duration::ZERO,
                event: Event::Stop(0),
            };
            tasks.push(spawn_local(inject::perform(Rc::clone(world), stop)));
        }
        sleep(REQUEST_INTERVAL).await;
    }
    for task in tasks {
        if task.await.is_err() {
            world.record_violation("soak", "the task of a request panicked");
        }
    }
    for server in &world.servers {
        let Some(engine) = server.current() else {
            continue;
        };
        let peak = limit::peak(&engine.arrivals(), from);
        let allowed = limit::allowed(PER_SECOND);
        if peak > allowed {
            let detail = format!(
                "{} got {peak} requests in four seconds, {allowed} are allowed",
                engine.instance
            );
            world.record_violation("request limit", &detail);
        }
        if peak == 0 {
            let detail = format!("{} got no request", engine.instance);
            world.record_violation("request limit", &detail);
        }
        engine.state_limit(None);
    }
}
