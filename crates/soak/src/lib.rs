//! A randomized soak of the real programs: gateways as processes of their own, before stand-ins of
//! the platform, with faults from outside: links that are slowed, silenced one way or both and
//! reset by loopback proxies; processes that are killed, stopped, frozen and restarted by signals;
//! a store that is away, loses answers or does writes late. It checks what callers and backend
//! servers see while it runs and at the end.
//!
//! A run is drawn from a seed. Times are real, so the same seed gives the same events and not the
//! same run.

mod clients;
mod inject;
mod ledger;
pub mod plan;
mod process;
mod proxy;
mod world;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use plan::Plan;
use world::World;

/// How long everything may take to work again at the end. A stop in turn ends within twice the
/// platform's grace; the rest is for busy machines.
const RECOVERY: Duration = Duration::from_mins(1);

/// Between two looks.
const LOOK: Duration = Duration::from_millis(100);

/// Clerks, and as many listeners.
const CLERKS: u64 = 6;

/// What a run is to be.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed.
    pub seed: u64,
    /// How long faults are injected.
    pub length: Duration,
    /// Hosts with a gateway.
    pub hosts: usize,
    /// Engines.
    pub engines: usize,
    /// The gateway's program.
    pub program: PathBuf,
    /// Where logs of the processes go.
    pub folder: PathBuf,
}

/// What a run has shown.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Broken promises.
    pub breaches: Vec<String>,
    /// Answers to plain requests and streams by status; 0 stands for none.
    pub answers: BTreeMap<u16, u64>,
    /// Batches that were accepted.
    pub batches: usize,
    /// Results that were read.
    pub results: usize,
}

/// Why a run could not be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The folder for logs cannot be made.
    #[error("folder for logs: {0}")]
    Folder(#[from] std::io::Error),
    /// The world cannot be set up.
    #[error(transparent)]
    World(#[from] world::Error),
}

impl Options {
    /// The plan of the run.
    #[must_use]
    pub fn plan(&self) -> Plan {
        Plan::draw(self.seed, self.length, self.hosts, self.engines + 2)
    }
}

/// Makes a run.
///
/// # Errors
/// See [`Error`].
pub fn run(options: &Options) -> Result<Report, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, soak(options))
}

async fn soak(options: &Options) -> Result<Report, Error> {
    std::fs::create_dir_all(&options.folder)?;
    let world = World::start(
        &options.program,
        &options.folder,
        options.hosts,
        options.engines,
    )
    .await?;
    let world = Rc::new(world);
    if !all_ready(&world).await {
        world.breach("start", "a host is never ready");
        return Ok(report(&world));
    }
    let clients = start_clients(&world, options.seed);
    let watching = spawn_local(watch(Rc::clone(&world)));
    inject_all(&world, options).await;
    inject::heal(&world);
    if !recovered(&world).await {
        world.breach(
            "recovery",
            "not everything works again after the last fault",
        );
    }
    world.is_over.set(true);
    for client in clients {
        if client.await.is_err() {
            world.breach("soak", "a client's task has ended early");
        }
    }
    watching.abort();
    audit(&world).await;
    Ok(report(&world))
}

fn start_clients(world: &Rc<World>, seed: u64) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for number in 0..CLERKS {
        let seed = seed.wrapping_mul(1000) + number;
        let name = |kind: &str| format!("{kind}{number}");
        tasks.push(spawn_local(clients::clerk(
            Rc::clone(world),
            seed,
            name("c"),
        )));
        tasks.push(spawn_local(clients::listener(
            Rc::clone(world),
            seed + 100,
            name("l"),
        )));
    }
    let seed = seed.wrapping_mul(1000);
    tasks.push(spawn_local(clients::trainer(
        Rc::clone(world),
        seed + 200,
        "t".to_owned(),
    )));
    tasks.push(spawn_local(clients::reader(Rc::clone(world), seed + 300)));
    tasks
}

/// Carries out the plan; ends when the last event has.
async fn inject_all(world: &Rc<World>, options: &Options) {
    let start = Instant::now();
    let mut events = Vec::new();
    for step in options.plan().steps {
        sleep(step.at.saturating_sub(start.elapsed())).await;
        events.push(spawn_local(inject::perform(Rc::clone(world), step)));
    }
    sleep(options.length.saturating_sub(start.elapsed())).await;
    for event in events {
        if event.await.is_err() {
            world.breach("soak", "an event's task has ended early");
        }
    }
}

/// Notes processes that end by themselves, and starts them again.
async fn watch(world: Rc<World>) {
    loop {
        sleep(LOOK).await;
        for host in world.hosts.iter().filter(|host| !host.is_stopping.get()) {
            let ended = host.process.borrow_mut().ended();
            let problem = match ended {
                Ok(None) => continue,
                Ok(Some(status)) => format!("{} ended by itself: {status}", host.name),
                Err(error) => error.to_string(),
            };
            world.breach("processes", &problem);
            if let Err(error) = host.process.borrow_mut().restart() {
                world.breach("soak", &error.to_string());
            }
        }
    }
}

async fn all_ready(world: &World) -> bool {
    let end = Instant::now() + RECOVERY;
    while Instant::now() < end {
        let mut ready = 0;
        for host in &world.hosts {
            ready += usize::from(host.process.borrow().runs() && host.is_ready().await);
        }
        if ready == world.hosts.len() {
            return true;
        }
        sleep(LOOK).await;
    }
    false
}

/// Whether every host serves again, and a step that begins now is whole in time.
async fn recovered(world: &Rc<World>) -> bool {
    if !all_ready(world).await {
        return false;
    }
    let end = Instant::now() + RECOVERY;
    for (number, host) in world.hosts.iter().enumerate() {
        while !clients::is_served(host, &format!("after-{number}")).await {
            if Instant::now() >= end {
                return false;
            }
            sleep(LOOK).await;
        }
    }
    let known = world.ledger.borrow().batches.len();
    while Instant::now() < end {
        let is_whole = {
            let ledger = world.ledger.borrow();
            let batches = ledger.batches.values();
            let ended = batches.filter(|batch| batch.ended.is_some());
            ended.count() > known
        };
        if is_whole {
            return true;
        }
        sleep(LOOK).await;
    }
    false
}

/// Reads everything again at every host, and looks at what reached the backend servers.
async fn audit(world: &World) {
    let batches = world.ledger.borrow().batches.clone();
    for (id, batch) in &batches {
        for host in &world.hosts {
            let mut from = 0;
            let end = Instant::now() + RECOVERY;
            while from < batch.positions.len() {
                match clients::results(world, host, id, from).await {
                    Some(answer) if answer.status == 200 && !answer.results().is_empty() => {
                        from += answer.results().len();
                    }
                    _ if Instant::now() >= end => {
                        let what = format!("{id} at {}: nothing at position {from}", host.name);
                        world.breach("results", &what);
                        break;
                    }
                    _ => sleep(LOOK).await,
                }
            }
        }
    }
    let arrivals = world.arrivals();
    let mut ledger = world.ledger.borrow_mut();
    ledger.arrivals(&arrivals);
    for server in &world.servers {
        for life in server.lives.borrow().iter() {
            ledger.orders(&life.instance, &life.command_holders());
        }
    }
}

fn report(world: &World) -> Report {
    let ledger = world.ledger.borrow();
    Report {
        breaches: ledger.breaches.clone(),
        answers: ledger.answers.clone(),
        batches: ledger.batches.len(),
        results: ledger
            .batches
            .values()
            .map(|batch| batch.positions.len())
            .sum(),
    }
}
