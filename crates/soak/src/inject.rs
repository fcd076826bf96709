//! Carries out the events of a plan.

use std::rc::Rc;
use std::time::Duration;

use rustix::process::Signal;
use tamaracksail_adapter_standins::engine::Fault;
use tamaracksail_adapter_standins::settings;
use tamaracksail_adapter_standins::store::Fault as StoreFault;
use tokio::time::sleep;

use crate::plan::{Event, Link, Step, Store};
use crate::process::Error;
use crate::world::World;

/// How long a process may take to end after SIGTERM: the platform's grace.
const GRACE: Duration = Duration::from_secs(8);

/// How long a server that announced its leave goes on.
const LEAVE: Duration = Duration::from_secs(3);

/// Between two looks at a process.
const LOOK: Duration = Duration::from_millis(100);

/// Between the stops of two hosts in turn.
const TURN: Duration = Duration::from_millis(700);

/// Carries out a step to its end.
pub async fn perform(world: Rc<World>, step: Step) {
    let outcome = match step.event {
        Event::Kill(host) => kill(&world, &[host], step.span).await,
        Event::KillAll => {
            let all: Vec<usize> = (0..world.hosts.len()).collect();
            kill(&world, &all, step.span / 4).await
        }
        Event::Stop(host) => stop(&world, host).await,
        Event::StopInTurn => stop_in_turn(&world).await,
        Event::Freeze(host) => freeze(&world, host, step.span).await,
        Event::Hangup(host) => world.hosts[host].process.borrow().signal(Signal::HUP),
        event => {
            quiet(&world, event, step.span).await;
            Ok(())
        }
    };
    if let Err(error) = outcome {
        world.breach("soak", &error.to_string());
    }
}

/// Events that touch no process.
async fn quiet(world: &World, event: Event, span: Duration) {
    match event {
        Event::Store(fault) => {
            world.store.set_fault(store_fault(fault, span));
            sleep(span).await;
            world.store.set_fault(StoreFault::None);
        }
        Event::HistoryGone => world.store.discard_history(),
        Event::StoreLink(host, link) => {
            hold(&world.hosts[host].store_link, link, span).await;
        }
        Event::ClientLink(host, link) => {
            hold(&world.hosts[host].client_link, link, span).await;
        }
        Event::ServerLink(server, link) => hold(&world.servers[server].link, link, span).await,
        Event::StoreReset(host) => world.hosts[host].store_link.reset(),
        Event::ClientReset(host) => world.hosts[host].client_link.reset(),
        Event::ServerReset(server) => world.servers[server].link.reset(),
        Event::Crash(server) => crash(world, server, span).await,
        Event::Leave(server) => leave(world, server).await,
        Event::Fail(server) => {
            if let Some(engine) = world.servers[server].engine() {
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
            let version = world.routes.get() + 3;
            world.routes.set(version);
            world.store.put_routes(settings::routes(version));
        }
        // The others touch processes.
        _ => {}
    }
}

fn store_fault(fault: Store, span: Duration) -> StoreFault {
    match fault {
        Store::Busy => StoreFault::Busy,
        Store::Reset => StoreFault::Reset,
        Store::Silent => StoreFault::Silent,
        Store::LosesResponses => StoreFault::LosesResponses(String::new()),
        Store::AppliesLate => StoreFault::AppliesLate(String::new(), span),
    }
}

async fn hold(proxy: &crate::proxy::Proxy, link: Link, span: Duration) {
    proxy.set(link);
    sleep(span).await;
    proxy.set(Link::Open);
}

/// Kills processes and starts them again after a while.
async fn kill(world: &World, hosts: &[usize], span: Duration) -> Result<(), Error> {
    let hosts = hosts.iter().map(|host| &world.hosts[*host]);
    let struck: Vec<_> = hosts.filter(|host| !host.is_stopping.get()).collect();
    for host in &struck {
        host.is_stopping.set(true);
        host.process.borrow_mut().kill()?;
    }
    sleep(span).await;
    for host in &struck {
        host.process.borrow_mut().restart()?;
        host.is_stopping.set(false);
    }
    Ok(())
}

/// Stops a process as planned, and starts it again when it has ended.
async fn stop(world: &World, number: usize) -> Result<(), Error> {
    let host = &world.hosts[number];
    if host.is_stopping.replace(true) {
        return Ok(());
    }
    host.process.borrow().signal(Signal::TERM)?;
    let mut waited = Duration::ZERO;
    while host.process.borrow_mut().ended()?.is_none() {
        if waited >= GRACE {
            // Events may have frozen it meanwhile, so this is no breach.
            host.process.borrow_mut().kill()?;
            break;
        }
        sleep(LOOK).await;
        waited += LOOK;
    }
    host.process.borrow_mut().restart()?;
    host.is_stopping.set(false);
    Ok(())
}

async fn stop_in_turn(world: &Rc<World>) -> Result<(), Error> {
    for number in 0..world.hosts.len() {
        let shared = Rc::clone(world);
        tokio::task::spawn_local(async move {
            if let Err(error) = stop(&shared, number).await {
                shared.breach("soak", &error.to_string());
            }
        });
        sleep(TURN).await;
    }
    Ok(())
}

async fn freeze(world: &World, host: usize, span: Duration) -> Result<(), Error> {
    world.hosts[host].process.borrow().signal(Signal::STOP)?;
    sleep(span).await;
    world.hosts[host].process.borrow().signal(Signal::CONT)
}

/// Ends a server without a word. Its entry lapses, and it comes back under another id.
async fn crash(world: &World, number: usize, span: Duration) {
    let server = &world.servers[number];
    let Some(engine) = server.replace() else {
        return;
    };
    engine.kill();
    server.link.reset();
    sleep(span).await;
    world.store.remove_server(&engine.instance);
    begin_life(world, number).await;
}

async fn leave(world: &World, number: usize) {
    let server = &world.servers[number];
    let Some(engine) = server.replace() else {
        return;
    };
    engine.register_behind(
        server.link.address,
        &world.store,
        server.service,
        "draining",
    );
    sleep(LEAVE).await;
    world.store.remove_server(&engine.instance);
    engine.kill();
    // Its listener is gone only after its task has ended.
    sleep(LOOK).await;
    begin_life(world, number).await;
}

async fn begin_life(world: &World, number: usize) {
    if let Err(error) = world.begin_life(number).await {
        world.breach("soak", &error.to_string());
    }
    world.servers[number].is_replaced.set(false);
}

/// Undoes what events may have left behind.
pub fn heal(world: &World) {
    world.store.set_fault(StoreFault::None);
    for host in &world.hosts {
        host.store_link.set(Link::Open);
        host.client_link.set(Link::Open);
        if let Err(error) = host.process.borrow().signal(Signal::CONT) {
            world.breach("soak", &error.to_string());
        }
    }
    for server in &world.servers {
        server.link.set(Link::Open);
    }
}
