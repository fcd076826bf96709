//! Gateways before servers that end under a request.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use tamaracksail_adapter::names;
use tamaracksail_adapter_standins::Engine;
use tamaracksail_adapter_standins::client::Response;
use tamaracksail_adapter_standins::engine::{Address, FatalRequest};

use super::{Gateway, World, start_server};

/// The time between two events of a streamed response.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(2);

/// How long a server takes to start again.
pub const DOWNTIME: Duration = Duration::from_millis(300);

/// The body of the request under which servers end.
pub const FATAL: &str = "fatal";

/// The number of servers that may end under a request before it counts as recognisable.
const ENDS_TO_RECOGNISE: u64 = 3;

/// The time after the last of these ends within which all gateways must recognise the request.
const RECOGNITION_TIME: Duration = Duration::from_secs(3);

/// The number of times that the request may reach servers after that.
const MAX_LATER_SENDS: usize = 3;

/// How long a client waits for the response to the fatal request.
#[derive(Clone, Copy, Debug)]
pub enum Patience {
    /// For the time that the route allows.
    Long,
    /// For this time, which the request states.
    States(Duration),
    /// For this time, which the request does not state. Then the client closes its connection.
    Closes(Duration),
}

/// The setup of [`Crashing`].
pub struct Setup {
    path: &'static str,
    request: FatalRequest,
    patience: Patience,
}

impl Setup {
    /// Returns a setup in which servers end at once under a fatal request to `path`, refuse
    /// connections while they are down, and clients wait.
    pub fn new(path: &'static str) -> Self {
        Self {
            path,
            request: FatalRequest::new(FATAL, DOWNTIME),
            patience: Patience::Long,
        }
    }

    /// Sets how long a server runs the fatal request before it ends.
    pub fn with_delay(mut self, delay: Duration) -> Self {
        self.request = self.request.with_delay(delay);
        self
    }

    /// Sets how long a server takes to start again.
    pub fn with_downtime(mut self, downtime: Duration) -> Self {
        self.request = self.request.with_downtime(downtime);
        self
    }

    /// Sets what happens at the address of a server while it is down.
    pub fn with_address(mut self, address: Address) -> Self {
        self.request = self.request.with_address(address);
        self
    }

    /// Makes the registration of a server disappear when the fatal request begins to run.
    pub fn unregistering(mut self) -> Self {
        self.request = self.request.unregistering();
        self
    }

    /// Sets how long the client waits.
    pub fn with_patience(mut self, patience: Patience) -> Self {
        self.patience = patience;
        self
    }

    /// Starts the servers and the gateways, ends servers, and checks how often the fatal request
    /// reaches servers after that.
    pub async fn check(self) {
        let mut crashing = self.start().await;
        crashing.end_servers().await;
        crashing.check_later_sends().await;
    }

    /// Starts the servers and the gateways.
    pub async fn start(self) -> Crashing {
        let world = World::start(0, 5, EVENT_INTERVAL).await;
        world.store.remove_server(&world.app.instance);
        let is_stream = self.path.starts_with("/stream/");
        let service = if is_stream { "pool" } else { "app" };
        let mut servers = Vec::new();
        for number in 0..4 {
            let server = start_server(&format!("server-{number}"), 5, EVENT_INTERVAL).await;
            server.end_under(self.request.clone());
            server.register(&world.store, service, "ready");
            servers.push(server);
        }
        let mut gateways = Vec::new();
        for number in 0..3 {
            gateways.push(Gateway::start(&format!("front-{number}"), &world.store));
        }
        for gateway in &gateways {
            gateway.wait_until_ready().await;
        }
        Crashing {
            world,
            servers,
            gateways,
            path: self.path,
            patience: self.patience,
            sent: 0,
        }
    }
}

/// Gateways before servers that end under [`FATAL`].
pub struct Crashing {
    pub world: World,
    pub servers: Vec<Engine>,
    pub gateways: Vec<Gateway>,
    path: &'static str,
    patience: Patience,
    sent: usize,
}

impl Crashing {
    /// Returns how many servers have ended.
    pub fn ends(&self) -> u64 {
        self.servers.iter().map(Engine::end_count).sum()
    }

    /// Returns how often the fatal request has reached servers.
    pub fn arrivals(&self) -> usize {
        let count = |server: &Engine| {
            let arrivals = server.arrivals();
            arrivals.iter().filter(|found| found.body == FATAL).count()
        };
        self.servers.iter().map(count).sum()
    }

    /// Kills all gateways and starts them again.
    pub async fn restart_gateways(&mut self) {
        for gateway in &mut self.gateways {
            gateway.kill();
            gateway.restart();
        }
        for gateway in &self.gateways {
            gateway.wait_until_ready().await;
        }
    }

    /// Sends a request under a new id to the next gateway. Returns none if its connection broke, or
    /// if the client closed it.
    pub async fn send(&mut self, body: &str) -> Option<Response> {
        self.sent += 1;
        let gateway = &self.gateways[self.sent % self.gateways.len()];
        let id = format!("r{}", self.sent);
        let patience = if body == FATAL {
            self.patience
        } else {
            Patience::Long
        };
        let millis = match patience {
            Patience::States(limit) => limit.as_millis().to_string(),
            Patience::Long | Patience::Closes(_) => "5000".to_owned(),
        };
        let mut headers = vec![
            (names::REQUEST_ID, id.as_str()),
            (names::REMAINING_MS, millis.as_str()),
        ];
        if self.path.starts_with("/stream/") {
            headers.push(("x-item", "1"));
        }
        let body = Bytes::from(body.to_owned());
        let client = gateway.client();
        let call = client.send(Method::POST, self.path, &headers, body);
        let limit = match patience {
            Patience::Closes(limit) => limit,
            Patience::Long | Patience::States(_) => Duration::from_secs(10),
        };
        let response = tokio::time::timeout(limit, call).await;
        response.ok().and_then(Result::ok)
    }

    /// Sends the fatal request until it has ended [`ENDS_TO_RECOGNISE`] servers, and waits for
    /// [`RECOGNITION_TIME`].
    pub async fn end_servers(&mut self) {
        let start = Instant::now();
        while self.ends() < ENDS_TO_RECOGNISE {
            assert!(start.elapsed() < Duration::from_secs(30), "too few ends");
            self.send(FATAL).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        tokio::time::sleep(RECOGNITION_TIME).await;
    }

    /// Sends the fatal request again and again, and checks how often it reaches servers. Sound
    /// requests in between are all served.
    pub async fn check_later_sends(&mut self) {
        let before = self.arrivals();
        for _ in 0..12 {
            let response = self.send(FATAL).await;
            assert!(response.is_none_or(|response| response.status != 200));
            tokio::time::sleep(DOWNTIME).await;
            let response = self.send("sound").await.expect("a response");
            assert_eq!(response.status, 200);
        }
        let later = self.arrivals() - before;
        assert!(later <= MAX_LATER_SENDS, "{later} later sends");
    }
}
