//! The processes, the stand-ins and the links between them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use tamaracksail_adapter_standins::engine::Arrival;
use tamaracksail_adapter_standins::loopback::address;
use tamaracksail_adapter_standins::{Client, Engine, Store, settings};

use crate::ledger::Ledger;
use crate::process::{self, Process};
use crate::proxy::Proxy;

/// Events of each item and stream.
pub const EVENTS: u64 = 40;

/// The time between two events.
const PACE: Duration = Duration::from_millis(20);

/// How far orders of two holders must lie apart.
const LEASE: Duration = Duration::from_secs(1);

/// How long results are kept: longer than a run.
const RETENTION_S: u64 = 600;

/// The ports of the stand-ins and of the proxies, each on an address of its own.
const STORE_PORT: u16 = 7100;
const SERVER_PORT: u16 = 7200;
const PROXY_PORT: u16 = 7300;

/// A host with its gateway.
#[derive(Debug)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Its process.
    pub process: RefCell<Process>,
    /// From the host to the store.
    pub store_link: Proxy,
    /// From clients to the host.
    pub client_link: Proxy,
    /// A client through that link.
    pub client: Client,
    /// Whether an end of the process is expected.
    pub is_stopping: Cell<bool>,
    readiness: Client,
}

impl Host {
    /// Whether the process says that it is ready.
    pub async fn is_ready(&self) -> bool {
        self.readiness.is_ready().await.unwrap_or(false)
    }
}

/// A backend server, through all its lives.
#[derive(Debug)]
pub struct Server {
    /// Its name, before the number of its life.
    pub name: String,
    /// The service that it serves.
    pub service: &'static str,
    /// From the hosts to it.
    pub link: Proxy,
    /// Its lives; the last may run.
    pub lives: RefCell<Vec<Engine>>,
    /// Whether a life is ending, and the next has not begun.
    pub is_replaced: Cell<bool>,
    address: SocketAddr,
}

impl Server {
    /// The life that is to end so that another begins. None while one is already being replaced.
    #[must_use]
    pub fn replace(&self) -> Option<Engine> {
        self.engine().filter(|_| !self.is_replaced.replace(true))
    }

    /// The life that began last.
    #[must_use]
    pub fn engine(&self) -> Option<Engine> {
        self.lives.borrow().last().cloned()
    }
}

/// Everything of a run.
#[derive(Debug)]
pub struct World {
    /// The platform's store.
    pub store: Store,
    /// The hosts.
    pub hosts: Vec<Host>,
    /// Engines first, then plain servers.
    pub servers: Vec<Server>,
    /// What was observed.
    pub ledger: RefCell<Ledger>,
    /// The version of the weights that was named last.
    pub named: Cell<u64>,
    /// The version of the routes that was written last.
    pub routes: Cell<u64>,
    /// Whether clients are to stop.
    pub is_over: Cell<bool>,
}

/// Why a world could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address could not be bound.
    #[error("stand-in or proxy: {0}")]
    Bind(#[from] std::io::Error),
    /// A process could not be started.
    #[error(transparent)]
    Process(#[from] process::Error),
}

impl World {
    /// Starts everything. `engines` engines serve items and streams, two servers plain requests.
    ///
    /// # Errors
    /// See [`Error`].
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
                (format!("app-{number}"), "app")
            };
            let address = SocketAddr::new(address(), SERVER_PORT);
            servers.push(Server {
                link: proxy(address).await?,
                lives: RefCell::default(),
                is_replaced: Cell::new(false),
                name,
                service,
                address,
            });
        }
        let mut started = Vec::new();
        for number in 0..hosts {
            started.push(host(program, folder, number, &store).await?);
        }
        let world = Self {
            store,
            hosts: started,
            servers,
            ledger: RefCell::default(),
            named: Cell::new(1),
            routes: Cell::new(1),
            is_over: Cell::new(false),
        };
        for number in 0..world.servers.len() {
            world.begin_life(number).await?;
        }
        Ok(world)
    }

    /// Starts the next life of a server and enters it in the store.
    ///
    /// # Errors
    /// If its address cannot be bound.
    pub async fn begin_life(&self, number: usize) -> Result<(), Error> {
        let server = &self.servers[number];
        let life = server.lives.borrow().len();
        let instance = format!("{}.{life}", server.name);
        let engine = Engine::start(&instance, server.address, EVENTS, PACE).await?;
        engine.set_version(self.named.get());
        engine.register_behind(server.link.address, &self.store, server.service, "ready");
        server.lives.borrow_mut().push(engine);
        Ok(())
    }

    /// What reached all backend servers in all their lives.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for server in &self.servers {
            for life in server.lives.borrow().iter() {
                arrivals.extend(life.arrivals());
            }
        }
        arrivals
    }

    /// Notes that a promise was broken.
    pub fn breach(&self, promise: &str, what: &str) {
        self.ledger.borrow_mut().breach(promise, what);
    }
}

async fn proxy(server: SocketAddr) -> std::io::Result<Proxy> {
    Proxy::start(SocketAddr::new(address(), PROXY_PORT), server).await
}

async fn host(program: &Path, folder: &Path, number: usize, store: &Store) -> Result<Host, Error> {
    let name = format!("front-{number}");
    let ip = address();
    let store_link = proxy(store.address).await?;
    let client_link = proxy(SocketAddr::new(ip, settings::INGRESS_PORT)).await?;
    let text = settings::file(&name, ip, store_link.address, RETENTION_S);
    let lease_ms = u64::try_from(LEASE.as_millis()).unwrap_or(u64::MAX);
    let text = settings::with_command_gap(&text, lease_ms);
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
