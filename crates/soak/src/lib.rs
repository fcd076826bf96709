//! A randomized soak test of the real gateway programs.
//!
//! Each gateway is a process of its own that uses stand-ins of the platform. Faults come from
//! outside: loopback proxies slow down links, silence them in one or both directions, and reset
//! connections; signals kill, stop, freeze and restart processes; the store is unavailable, loses
//! responses or applies writes late. During the run and at its end, the soak checks what callers
//! and backend servers observe.
//!
//! The plan of a run is drawn from a seed. Times are real, so two runs with the same seed have the
//! same events but may differ in their course.

mod clients;
mod departures;
mod inject;
mod ledger;
mod limits;
pub mod plan;
mod process;
mod proxy;
mod routes;
mod stops;
mod streams;
mod world;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use clients::Patience;
use plan::Plan;
use rand::SeedableRng;
use rand::rngs::StdRng;
use world::World;

/// The time limit for full recovery after the last fault. A rolling restart ends within twice the
/// termination grace period; the rest is a margin for busy machines.
const RECOVERY_TIMEOUT: Duration = Duration::from_mins(1);

/// The interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The number of servers that end under a request before it must be recognised.
const ENDS_TO_RECOGNISE: usize = 3;

/// The time after the last of these ends within which all hosts must recognise it.
const RECOGNITION_TIME: Duration = Duration::from_secs(3);

/// The number of servers that may end under it after that.
const MAX_LATER_ENDS: usize = 3;

/// The number of clients that send plain requests, and of clients that request streams.
const CLIENTS_PER_KIND: u64 = 6;

/// The options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of the plan.
    pub seed: u64,
    /// The time during which faults are injected.
    pub length: Duration,
    /// The number of hosts; each has one gateway.
    pub hosts: usize,
    /// The number of engines.
    pub engines: usize,
    /// The path of the gateway's executable.
    pub program: PathBuf,
    /// The folder for the log files of the processes.
    pub log_folder: PathBuf,
}

/// The outcome of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Violations of guarantees, in the order in which they were observed.
    pub violations: Vec<String>,
    /// The number of responses to plain requests and streams by status; 0 counts missing responses.
    pub responses: BTreeMap<u16, u64>,
    /// The number of accepted batches.
    pub batches: usize,
    /// The number of results that were read.
    pub results: usize,
}

/// An error because of which a run could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log folder or the runtime could not be created.
    #[error("cannot create the log folder or the runtime: {0}")]
    Folder(#[from] std::io::Error),
    /// The processes and stand-ins could not be set up.
    #[error(transparent)]
    World(#[from] world::Error),
}

impl Options {
    /// Returns the plan of the run.
    #[must_use]
    pub fn plan(&self) -> Plan {
        Plan::draw(self.seed, self.length, self.hosts, self.engines + 2)
    }
}

/// Runs the soak.
///
/// # Errors
/// Returns an error if the processes and stand-ins cannot be set up.
pub fn run(options: &Options) -> Result<Report, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, soak(options))
}

async fn soak(options: &Options) -> Result<Report, Error> {
    std::fs::create_dir_all(&options.log_folder)?;
    let world = World::start(
        &options.program,
        &options.log_folder,
        options.hosts,
        options.engines,
    )
    .await?;
    let world = Rc::new(world);
    if !all_ready(&world).await {
        world.record_violation("start", "not all hosts became ready in time");
        return Ok(report(&world));
    }
    let clients = start_clients(&world, options.seed);
    let watcher = spawn_local(watch_processes(Rc::clone(&world)));
    inject_all(&world, options).await;
    inject::clear_faults(&world);
    if !has_recovered(&world).await {
        world.record_violation(
            "recovery",
            "the hosts did not serve all traffic again in time after the last fault",
        );
    }
    world.is_finished.set(true);
    for client in clients {
        if client.await.is_err() {
            world.record_violation("soak", "the task of a client panicked");
        }
    }
    for path in clients::FATAL_PATHS {
        check_fatal_request(&world, path).await;
    }
    limits::check(&world).await;
    routes::check(&world, options.seed).await;
    departures::check(&world, options.seed).await;
    stops::check(&world, options.seed).await;
    if !all_ready(&world).await {
        world.record_violation(
            "planned stop",
            "the host did not become ready again in time",
        );
    }
    streams::check(&world).await;
    watcher.abort();
    check_final_state(&world).await;
    Ok(report(&world))
}

fn start_clients(world: &Rc<World>, seed: u64) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for number in 0..CLIENTS_PER_KIND {
        let seed = seed.wrapping_mul(1000) + number;
        let name = |kind: &str| format!("{kind}{number}");
        tasks.push(spawn_local(clients::request_client(
            Rc::clone(world),
            seed,
            name("c"),
        )));
        tasks.push(spawn_local(clients::stream_client(
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
    tasks.push(spawn_local(clients::result_reader(
        Rc::clone(world),
        seed + 300,
    )));
    let world = Rc::clone(world);
    tasks.push(spawn_local(clients::fatal_client(world, seed + 400)));
    tasks
}

/// Injects the events of the plan. Returns when the last event has ended.
async fn inject_all(world: &Rc<World>, options: &Options) {
    let start = Instant::now();
    let mut tasks = Vec::new();
    for event in options.plan().events {
        sleep(event.at.saturating_sub(start.elapsed())).await;
        tasks.push(spawn_local(inject::perform(Rc::clone(world), event)));
    }
    sleep(options.length.saturating_sub(start.elapsed())).await;
    for task in tasks {
        if task.await.is_err() {
            world.record_violation("soak", "the task of an event panicked");
        }
    }
}

/// Records and restarts processes that exit without having been stopped.
async fn watch_processes(world: Rc<World>) {
    loop {
        sleep(POLL_INTERVAL).await;
        for host in world.hosts.iter().filter(|host| !host.is_stopping.get()) {
            let exit = host.process.borrow_mut().take_exit_status();
            let problem = match exit {
                Ok(None) => continue,
                Ok(Some(status)) => format!("{} exited unexpectedly: {status}", host.name),
                Err(error) => error.to_string(),
            };
            world.record_violation("processes", &problem);
            if let Err(error) = host.process.borrow_mut().restart() {
                world.record_violation("soak", &error.to_string());
            }
        }
    }
}

/// Waits until all hosts are ready. Returns whether they became ready in time.
async fn all_ready(world: &World) -> bool {
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    while Instant::now() < deadline {
        let mut ready = 0;
        for host in &world.hosts {
            ready += usize::from(host.process.borrow().is_running() && host.is_ready().await);
        }
        if ready == world.hosts.len() {
            return true;
        }
        sleep(POLL_INTERVAL).await;
    }
    false
}

/// Waits until every host serves requests and a batch submitted after that has ended. Returns
/// whether both happened in time.
async fn has_recovered(world: &Rc<World>) -> bool {
    if !all_ready(world).await {
        return false;
    }
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    for (number, host) in world.hosts.iter().enumerate() {
        while !clients::is_served(host, &format!("after-{number}")).await {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    let known = world.ledger.borrow().batches.len();
    while Instant::now() < deadline {
        let has_batch_ended = {
            let ledger = world.ledger.borrow();
            let batches = ledger.batches.values();
            let ended = batches.filter(|batch| batch.ended_at.is_some());
            ended.count() > known
        };
        if has_batch_ended {
            return true;
        }
        sleep(POLL_INTERVAL).await;
    }
    false
}

/// Sends a request under which servers end until it has ended [`ENDS_TO_RECOGNISE`] servers, and
/// checks that it hardly reaches servers after [`RECOGNITION_TIME`]. No faults are injected meanwhile.
async fn check_fatal_request(world: &World, path: &str) {
    let mut hosts = world.hosts.iter().cycle().enumerate();
    let mut rng = StdRng::seed_from_u64(path.len() as u64);
    let mut send = async || {
        if let Some((number, host)) = hosts.next() {
            let patience = Patience::draw(&mut rng);
            let id = format!("{path}-{number}");
            let is_refused = clients::send_fatal(world, host, &id, path, patience).await;
            sleep(POLL_INTERVAL).await;
            return is_refused;
        }
        false
    };
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    while world.fatal_count(path) < ENDS_TO_RECOGNISE {
        if Instant::now() >= deadline {
            return world.record_violation("soak", &format!("{path} ended too few servers"));
        }
        // Servers that ended under it during the faults count too, also if it had not reached them.
        if send().await {
            break;
        }
    }
    sleep(RECOGNITION_TIME).await;
    let before = world.fatal_count(path);
    for _ in 0..world.hosts.len() * 3 {
        send().await;
    }
    let later = world.fatal_count(path) - before;
    if later > MAX_LATER_ENDS {
        let detail = format!("{path} ended {later} servers after it had ended {before}");
        world.record_violation("crashing request", &detail);
    }
}

/// Reads all results again at every host, and checks the requests and load commands that reached
/// the backend servers.
async fn check_final_state(world: &World) {
    let batches = world.ledger.borrow().batches.clone();
    for (id, batch) in &batches {
        for host in &world.hosts {
            let mut from = 0;
            let deadline = Instant::now() + RECOVERY_TIMEOUT;
            while from < batch.results.len() {
                match clients::read_results(world, host, id, from).await {
                    Some(response) if response.status == 200 && !response.results().is_empty() => {
                        from += response.results().len();
                    }
                    _ if Instant::now() >= deadline => {
                        let detail = format!("{id} at {}: no result at position {from}", host.name);
                        world.record_violation("results", &detail);
                        break;
                    }
                    _ => sleep(POLL_INTERVAL).await,
                }
            }
        }
    }
    let arrivals = world.arrivals();
    let mut ledger = world.ledger.borrow_mut();
    ledger.check_arrivals(&arrivals);
    ledger.check_calls(&arrivals, world::TEXT_TIME);
    for server in &world.servers {
        for incarnation in server.incarnations.borrow().iter() {
            ledger.check_commands(&incarnation.instance, &incarnation.command_holders());
        }
    }
}

fn report(world: &World) -> Report {
    let ledger = world.ledger.borrow();
    Report {
        violations: ledger.violations.clone(),
        responses: ledger.responses.clone(),
        batches: ledger.batches.len(),
        results: ledger
            .batches
            .values()
            .map(|batch| batch.results.len())
            .sum(),
    }
}
