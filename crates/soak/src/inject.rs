//! Injects the events of a plan.

use std::rc::Rc;
use std::time::Duration;

use rustix::process::Signal;
use tamaracksail_adapter_standins::Engine;
use tamaracksail_adapter_standins::engine::Fault;
use tamaracksail_adapter_standins::settings;
use tamaracksail_adapter_standins::store::{Fault as StandInFault, WATCHED_KINDS};
use tokio::time::sleep;

use crate::plan::{Event, Link, ODD_SPECS, ScheduledEvent, StoreFault};
use crate::process::Error;
use crate::world::{Server, World};

/// The time limit for a process to exit after SIGTERM: the platform's termination grace period.
const TERMINATION_GRACE: Duration = Duration::from_secs(8);

/// How long a server that registered as draining still serves requests.
const DRAIN_DURATION: Duration = Duration::from_secs(3);

/// The time between two requests that a server refuses while its responses are repeated.
const REFUSAL_INTERVAL: Duration = Duration::from_millis(150);

/// The interval between two checks of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The time between the stops of two hosts in a rolling restart.
const RESTART_INTERVAL: Duration = Duration::from_millis(700);

/// Injects an event. Returns when the event has ended.
pub async fn perform(world: Rc<World>, scheduled: ScheduledEvent) {
    let outcome = match scheduled.event {
        Event::Kill(host) => kill(&world, &[host], scheduled.duration).await,
        Event::KillAll => {
            let all: Vec<usize> = (0..world.hosts.len()).collect();
            kill(&world, &all, scheduled.duration / 4).await
        }
        Event::Stop(host) => stop(&world, host).await,
        Event::RollingRestart => rolling_restart(&world).await,
        Event::Freeze(host) => freeze(&world, host, scheduled.duration).await,
        Event::Hangup(host) => world.hosts[host].process.borrow().signal(Signal::HUP),
        event => {
            perform_on_stand_ins(&world, event, scheduled.duration).await;
            Ok(())
        }
    };
    if let Err(error) = outcome {
        world.record_violation("soak", &error.to_string());
    }
}

/// Injects an event that affects stand-ins or links, and sends no signal to a process.
async fn perform_on_stand_ins(world: &World, event: Event, duration: Duration) {
    match event {
        Event::Store(fault) => {
            world.store.set_fault(store_fault(fault, duration));
            sleep(duration).await;
            world.store.set_fault(StandInFault::None);
        }
        Event::HistoryGone => world.store.discard_history(),
        Event::OddEntry(kind, spec) => {
            let (kind, name) = (WATCHED_KINDS[kind], format!("odd {spec}/?&#%"));
            world.store.put_raw(kind, &name, ODD_SPECS[spec]);
            sleep(duration).await;
            world.store.remove(kind, &name);
        }
        Event::SilentConnections => world.store.silence_connections(),
        Event::StoreLink(host, link) => {
            set_link(&world.hosts[host].store_link, link, duration).await;
        }
        Event::ClientLink(host, link) => {
            set_link(&world.hosts[host].client_link, link, duration).await;
        }
        Event::ServerLink(server, link) => {
            let server = &world.servers[server];
            let disturbed = set_link(&server.link, link, duration);
            if link == Link::Repeats {
                tokio::select! {
                    () = disturbed => {}
                    () = refuse_some(server) => {}
                }
            } else {
                disturbed.await;
            }
        }
        Event::StoreReset(host) => world.hosts[host].store_link.reset(),
        Event::ClientReset(host) => world.hosts[host].client_link.reset(),
        Event::ServerReset(server) => world.servers[server].link.reset(),
        Event::Crash(server) => crash(world, server, duration).await,
        Event::Leave(server) => leave(world, server).await,
        Event::Fail(server) => {
            if let Some(engine) = world.servers[server].current() {
                engine.push_faults(&[
                    Fault::NoResponse,
                    Fault::NotRun,
                    Fault::BreaksAfter(7),
                    Fault::ForeignId,
                    Fault::SilentAfter(3),
                ]);
            }
        }
        Event::Routes => {
            let version = world.next_routes_version();
            world.store.put_routes(settings::routes(version));
        }
        Event::Limit(server, tenths) => {
            if let Some(engine) = world.servers[server].current() {
                engine.state_limit(Some(f64::from(tenths) / 10.0));
                sleep(duration).await;
                engine.state_limit(None);
            }
        }
        // The other events send signals to processes.
        _ => {}
    }
}

/// Converts a fault of the plan into a fault of the stand-in store for objects of all kinds.
fn store_fault(fault: StoreFault, duration: Duration) -> StandInFault {
    match fault {
        StoreFault::Busy => StandInFault::Busy,
        StoreFault::Reset => StandInFault::Reset,
        StoreFault::Silent => StandInFault::Silent,
        StoreFault::LosesResponses => StandInFault::LosesResponses(String::new()),
        StoreFault::AppliesLate => StandInFault::AppliesLate(String::new(), duration),
    }
}

/// Sets the state of a link for a duration, and opens the link again.
async fn set_link(proxy: &crate::proxy::Proxy, link: Link, duration: Duration) {
    proxy.set(link);
    sleep(duration).await;
    proxy.set(Link::Open);
}

/// Makes a server refuse a request now and then.
async fn refuse_some(server: &Server) {
    loop {
        if let Some(engine) = server.current() {
            engine.push_faults(&[Fault::NotRun]);
        }
        sleep(REFUSAL_INTERVAL).await;
    }
}

/// Kills processes, apart from those that are being stopped, and restarts them after a duration.
async fn kill(world: &World, hosts: &[usize], duration: Duration) -> Result<(), Error> {
    let hosts = hosts.iter().map(|host| &world.hosts[*host]);
    let killed: Vec<_> = hosts.filter(|host| !host.is_stopping.get()).collect();
    for host in &killed {
        host.is_stopping.set(true);
        host.process.borrow_mut().kill()?;
    }
    sleep(duration).await;
    for host in &killed {
        host.process.borrow_mut().restart()?;
        host.is_stopping.set(false);
    }
    Ok(())
}

/// Stops a process with SIGTERM, and restarts it when it has exited.
async fn stop(world: &World, number: usize) -> Result<(), Error> {
    let host = &world.hosts[number];
    if host.is_stopping.replace(true) {
        return Ok(());
    }
    host.process.borrow().signal(Signal::TERM)?;
    let mut waited = Duration::ZERO;
    while host.process.borrow_mut().take_exit_status()?.is_none() {
        if waited >= TERMINATION_GRACE {
            // Another event may have frozen the process, so this is not a violation.
            host.process.borrow_mut().kill()?;
            break;
        }
        sleep(POLL_INTERVAL).await;
        waited += POLL_INTERVAL;
    }
    host.process.borrow_mut().restart()?;
    host.is_stopping.set(false);
    Ok(())
}

/// Begins to stop the processes of all hosts, one after the other.
async fn rolling_restart(world: &Rc<World>) -> Result<(), Error> {
    for number in 0..world.hosts.len() {
        let shared = Rc::clone(world);
        tokio::task::spawn_local(async move {
            if let Err(error) = stop(&shared, number).await {
                shared.record_violation("soak", &error.to_string());
            }
        });
        sleep(RESTART_INTERVAL).await;
    }
    Ok(())
}

/// Suspends a process for a duration.
async fn freeze(world: &World, host: usize, duration: Duration) -> Result<(), Error> {
    world.hosts[host].process.borrow().signal(Signal::STOP)?;
    sleep(duration).await;
    world.hosts[host].process.borrow().signal(Signal::CONT)
}

/// Ends a server without notice. Its registration is removed after a duration, and the server
/// restarts with another instance id.
async fn crash(world: &World, number: usize, duration: Duration) {
    let server = &world.servers[number];
    let Some(engine) = server.begin_replacement() else {
        return;
    };
    engine.kill();
    server.link.set_listening(false);
    sleep(duration).await;
    world.store.remove_server(&engine.instance);
    start_incarnation(world, number).await;
}

/// Registers a server as draining, ends it, and restarts it with another instance id.
async fn leave(world: &World, number: usize) {
    let server = &world.servers[number];
    let Some(engine) = server.begin_replacement() else {
        return;
    };
    engine.announce_departure();
    engine.register_behind(
        server.link.address,
        &world.store,
        server.service,
        "draining",
    );
    sleep(DRAIN_DURATION).await;
    world.store.remove_server(&engine.instance);
    end(world, number, &engine).await;
}

/// Ends the incarnation of a server that is being replaced, and starts the next.
pub async fn end(world: &World, number: usize, engine: &Engine) {
    engine.kill();
    // The listener is closed only when its aborted task has ended.
    sleep(POLL_INTERVAL).await;
    start_incarnation(world, number).await;
}

/// Starts the next incarnation of a server, which completes its replacement.
async fn start_incarnation(world: &World, number: usize) {
    if let Err(error) = world.start_incarnation(number).await {
        world.record_violation("soak", &error.to_string());
    }
    world.servers[number].is_being_replaced.set(false);
}

/// Removes the faults that events may have left: opens all links and continues all processes.
pub fn clear_faults(world: &World) {
    world.store.set_fault(StandInFault::None);
    for host in &world.hosts {
        host.store_link.set(Link::Open);
        host.client_link.set(Link::Open);
        if let Err(error) = host.process.borrow().signal(Signal::CONT) {
            world.record_violation("soak", &error.to_string());
        }
    }
    for server in &world.servers {
        server.link.set(Link::Open);
    }
}
