//! The processes, the stand-ins and the links between them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter_standins::engine::{Address, Arrival, FatalRequest};
use tamaracksail_adapter_standins::loopback::address;
use tamaracksail_adapter_standins::{Client, Engine, Store, settings};

use crate::ledger::Ledger;
use crate::process::{self, Process};
use crate::proxy::Proxy;

/// The number of events in the stream of each item and request.
pub const EVENTS_PER_STREAM: u64 = 40;

/// The software versions of the servers.
pub const SOFTWARE_VERSIONS: [&str; 2] = ["v1", "v2"];

/// The service of plain requests.
pub const APP: &str = "app";

/// The body of the request under which each server for plain requests ends.
pub const FATAL_BODY: &str = "fatal";

/// How long such a server runs the request before it ends. Clients that leave early leave before.
const END_DELAY: Duration = Duration::from_millis(40);

/// How long such a server takes to start again.
const DOWNTIME: Duration = Duration::from_millis(600);

/// The time between two events, in milliseconds.
const EVENT_INTERVAL_MS: u64 = 20;

/// The time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(EVENT_INTERVAL_MS);

/// The least time in which an engine generates the text of an item: an interval before each event.
pub const TEXT_TIME: Duration = Duration::from_millis(EVENT_INTERVAL_MS * EVENTS_PER_STREAM);

/// How long a server works on a plain request.
const WORK_TIME: Duration = Duration::from_millis(60);

/// The minimum time between load commands of two lease holders.
const COMMAND_GAP: Duration = Duration::from_secs(1);

/// How long results are kept. It exceeds the length of a run.
const RETENTION_S: u64 = 600;

/// The port of the store. Every stand-in and proxy has a loopback address of its own.
const STORE_PORT: u16 = 7100;

/// The port of the backend servers.
const SERVER_PORT: u16 = 7200;

/// The port of the proxies.
const PROXY_PORT: u16 = 7300;

/// A host and its gateway.
#[derive(Debug)]
pub struct Host {
    /// The host's name.
    pub name: String,
    /// The gateway process.
    pub process: RefCell<Process>,
    /// The link from the host to the store.
    pub store_link: Proxy,
    /// The link from clients to the host.
    pub client_link: Proxy,
    /// A client that uses `client_link`.
    pub client: Client,
    /// Whether the process is being stopped or killed, so that its exit is expected.
    pub is_stopping: Cell<bool>,
    readiness: Client,
}

impl Host {
    /// Returns whether the gateway reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        self.readiness.is_ready().await.unwrap_or(false)
    }
}

/// A backend server in all its incarnations.
#[derive(Debug)]
pub struct Server {
    /// The first part of its instance ids, which end with the number of the incarnation.
    pub name: String,
    /// The service to which it belongs.
    pub service: &'static str,
    /// The link from all hosts to the server.
    pub link: Rc<Proxy>,
    /// The incarnations in order. Only the last one can be running.
    pub incarnations: RefCell<Vec<Engine>>,
    /// Whether an incarnation is ending and the next one has not started.
    pub is_being_replaced: Cell<bool>,
    address: SocketAddr,
}

impl Server {
    /// Begins to replace the current incarnation. Returns it for the caller to end, or `None` if it
    /// is being replaced already.
    #[must_use]
    pub fn begin_replacement(&self) -> Option<Engine> {
        self.current()
            .filter(|_| !self.is_being_replaced.replace(true))
    }

    /// Returns the incarnation that started last.
    #[must_use]
    pub fn current(&self) -> Option<Engine> {
        self.incarnations.borrow().last().cloned()
    }
}

/// The processes, stand-ins and observations of a run.
#[derive(Debug)]
pub struct World {
    /// The platform's store.
    pub store: Store,
    /// The hosts.
    pub hosts: Vec<Host>,
    /// The backend servers: engines first, then plain servers.
    pub servers: Vec<Server>,
    /// The observations and the violations found in them.
    pub ledger: RefCell<Ledger>,
    /// The version of the weights that was announced last.
    pub announced_version: Cell<u64>,
    /// The version of the routes that was written last.
    pub routes_version: Cell<u64>,
    /// Whether clients must stop.
    pub is_finished: Cell<bool>,
}

/// An error in the setup of the processes and stand-ins.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address could not be bound.
    #[error("cannot bind the address of a stand-in or proxy: {0}")]
    Bind(#[from] std::io::Error),
    /// A process could not be started.
    #[error(transparent)]
    Process(#[from] process::Error),
}

impl World {
    /// Starts gateways on `hosts` hosts, `engines` engines for items and streams, and two servers
    /// for plain requests.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound or a process cannot be started.
    pub async fn start(
        program: &Path,
        folder: &Path,
        hosts: usize,
        engines: usize,
    ) -> Result<Self, Error> {
        let store = Store::start(SocketAddr::new(address(), STORE_PORT)).await?;
        store.put_routes(settings::routes(1));
        let mut servers = Vec::new();
        for number in 0..engines + 2 {
            let (name, service) = if number < engines {
                (format!("engine-{number}"), "pool")
            } else {
                (format!("app-{number}"), APP)
            };
            let address = SocketAddr::new(address(), SERVER_PORT);
            servers.push(Server {
                link: Rc::new(start_proxy(address).await?),
                incarnations: RefCell::default(),
                is_being_replaced: Cell::new(false),
                name,
                service,
                address,
            });
        }
        let mut started = Vec::new();
        for number in 0..hosts {
            started.push(start_host(program, folder, number, &store).await?);
        }
        let world = Self {
            store,
            hosts: started,
            servers,
            ledger: RefCell::default(),
            announced_version: Cell::new(1),
            routes_version: Cell::new(1),
            is_finished: Cell::new(false),
        };
        for number in 0..world.servers.len() {
            world.start_incarnation(number).await?;
        }
        Ok(world)
    }

    /// Starts the next incarnation of a server and registers it in the store.
    ///
    /// # Errors
    /// Returns an error if the server's address cannot be bound.
    pub async fn start_incarnation(&self, number: usize) -> Result<(), Error> {
        let server = &self.servers[number];
        let life = server.incarnations.borrow().len();
        let instance = format!("{}.{life}", server.name);
        let engine =
            Engine::start(&instance, server.address, EVENTS_PER_STREAM, EVENT_INTERVAL).await?;
        // Each incarnation of a server has another software version than the one before.
        engine.set_software(SOFTWARE_VERSIONS[(number + life) % SOFTWARE_VERSIONS.len()]);
        engine.set_version(self.announced_version.get());
        engine.register_behind(server.link.address, &self.store, server.service, "ready");
        let is_refusing = (number + life).is_multiple_of(2);
        if server.service == APP {
            engine.set_work_time(WORK_TIME);
            let address = if is_refusing {
                Address::Refuses
            } else {
                Address::Closes
            };
            let request = FatalRequest::new(FATAL_BODY, DOWNTIME);
            engine.end_under(request.with_delay(END_DELAY).with_address(address));
        }
        server.link.set_listening(true);
        let (mut is_up, link) = (engine.is_up(), Rc::clone(&server.link));
        tokio::task::spawn_local(async move {
            while is_up.changed().await.is_ok() {
                let is_up = *is_up.borrow_and_update();
                link.set_listening(is_up || !is_refusing);
            }
        });
        server.incarnations.borrow_mut().push(engine);
        Ok(())
    }

    /// Returns the requests that reached the backend servers in all their incarnations.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for server in &self.servers {
            for incarnation in server.incarnations.borrow().iter() {
                arrivals.extend(incarnation.arrivals());
            }
        }
        arrivals
    }

    /// Returns how often the request under which servers end has reached servers at a path.
    #[must_use]
    pub fn fatal_count(&self, path: &str) -> usize {
        let arrivals = self.arrivals();
        let fatal = arrivals
            .iter()
            .filter(|arrival| arrival.body == FATAL_BODY && arrival.call.ends_with(path));
        fatal.count()
    }

    /// Sets how long the servers for plain requests work on each; none for the time of the run.
    pub fn set_work_time(&self, work_time: Option<Duration>) {
        for server in self.servers.iter().filter(|server| server.service == APP) {
            if let Some(engine) = server.current() {
                engine.set_work_time(work_time.unwrap_or(WORK_TIME));
            }
        }
    }

    /// Returns the version of the next routes to write, and counts it as written.
    #[must_use]
    pub fn next_routes_version(&self) -> u64 {
        let version = self.routes_version.get() + 3;
        self.routes_version.set(version);
        version
    }

    /// Records the violation of a guarantee.
    pub fn record_violation(&self, guarantee: &str, detail: &str) {
        self.ledger.borrow_mut().record_violation(guarantee, detail);
    }
}

async fn start_proxy(server: SocketAddr) -> std::io::Result<Proxy> {
    Proxy::start(SocketAddr::new(address(), PROXY_PORT), server).await
}

async fn start_host(
    program: &Path,
    folder: &Path,
    number: usize,
    store: &Store,
) -> Result<Host, Error> {
    let name = format!("front-{number}");
    let ip = address();
    let store_link = start_proxy(store.address).await?;
    let client_link = start_proxy(SocketAddr::new(ip, settings::INGRESS_PORT)).await?;
    let text = settings::file(&name, ip, store_link.address, RETENTION_S);
    let gap_ms = u64::try_from(COMMAND_GAP.as_millis()).unwrap_or(u64::MAX);
    let text = settings::with_command_gap(&text, gap_ms);
    let process = Process::start(program, folder, &name, &text)?;
    Ok(Host {
        name,
        process: RefCell::new(process),
        client: Client::new(client_link.address),
        store_link,
        client_link,
        is_stopping: Cell::new(false),
        readiness: Client::new(SocketAddr::new(ip, settings::READINESS_PORT)),
    })
}
