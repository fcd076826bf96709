//! Real gateway processes, run against stand-ins of the platform.

#![allow(dead_code, reason = "each test file uses some of it")]

use std::io::{BufRead, BufReader};
use std::net::{IpAddr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use serde_json::{Value, json};
use tamaracksail_adapter_standins::loopback::address;
use tamaracksail_adapter_standins::{Client, Engine, Store, settings};
use tamaracksail_model::batch::{Ending, ItemResult};
use tamaracksail_wire::peer::{Request as PeerRequest, Response as PeerResponse};

pub mod crashing;
pub mod reporting;

/// How long after a disturbance of the store all bounds of the platform hold again.
pub const STABLE_TIME: Duration = Duration::from_secs(3);

/// How long after its confirmation a change of routes must be in force: the default of the settings.
pub const CONFIGURATION_BOUND: Duration = Duration::from_secs(3);

/// How long to wait for a condition before the test fails. Far longer than any should take.
const CONDITION_TIMEOUT: Duration = Duration::from_mins(1);

/// The name of the file with the offset of a gateway's time of day.
const TIME_OFFSET: &str = "time-offset";
/// The port on which gateways serve metrics.
const METRICS_PORT: u16 = 7010;

/// A gateway process, which is killed when dropped.
pub struct Gateway {
    child: Child,
    host: String,
    ip: IpAddr,
    folder: std::path::PathBuf,
    /// The endpoint to which it sends spans.
    spans: Option<String>,
    lines: Arc<Mutex<Vec<Value>>>,
}

impl Gateway {
    /// Starts a gateway on `host` that uses `store`.
    pub fn start(host: &str, store: &Store) -> Self {
        Self::with_retention(host, store, 120)
    }

    /// Starts a gateway that keeps results for `retention_s` seconds.
    pub fn with_retention(host: &str, store: &Store, retention_s: u64) -> Self {
        Self::start_with(host, store, retention_s, None)
    }

    /// Starts a gateway that sends spans to `collector`.
    pub fn with_collector(host: &str, store: &Store, collector: SocketAddr) -> Self {
        let endpoint = format!("http://{collector}/v1/traces");
        Self::start_with(host, store, 120, Some(endpoint))
    }

    /// Starts a gateway with a settings file that `change` returns.
    pub fn with_settings(host: &str, store: &Store, change: impl FnOnce(String) -> String) -> Self {
        Self::start_changed(host, store, 120, None, change)
    }

    /// Starts a gateway of a new deployment.
    pub fn with_bootstrap(host: &str, store: &Store) -> Self {
        let mut gateway = Self::start(host, store);
        gateway.kill();
        let path = gateway.folder.join("settings");
        let text = std::fs::read_to_string(&path).expect("a settings file");
        std::fs::write(path, settings::with_bootstrap(&text)).expect("a settings file");
        gateway.restart();
        gateway
    }

    /// Starts a gateway whose time of day is `offset_ms` milliseconds ahead.
    pub fn with_time_offset(host: &str, store: &Store, offset_ms: i64) -> Self {
        Self::with_time_offset_and_retention(host, store, offset_ms, 120)
    }

    /// Starts a gateway whose time of day is `offset_ms` milliseconds ahead and that keeps results
    /// for `retention_s` seconds.
    pub fn with_time_offset_and_retention(
        host: &str,
        store: &Store,
        offset_ms: i64,
        retention_s: u64,
    ) -> Self {
        let mut gateway = Self::start_with(host, store, retention_s, None);
        gateway.kill();
        gateway.step_time(offset_ms);
        gateway.restart();
        gateway
    }

    /// Sets how far the time of day of the gateway is ahead, in milliseconds. Only for gateways that
    /// were started with an offset.
    pub fn step_time(&self, offset_ms: i64) {
        let path = self.folder.join(TIME_OFFSET);
        let next = path.with_extension("next");
        std::fs::write(&next, offset_ms.to_string()).expect("an offset is written");
        std::fs::rename(next, path).expect("an offset is replaced");
    }

    /// Starts a gateway with a memory limit of `memory_mb` megabytes.
    pub fn with_memory(host: &str, store: &Store, memory_mb: u64) -> Self {
        Self::with_settings(host, store, |text| settings::with_memory(&text, memory_mb))
    }

    fn start_with(host: &str, store: &Store, retention_s: u64, spans: Option<String>) -> Self {
        Self::start_changed(host, store, retention_s, spans, |text| text)
    }

    fn start_changed(
        host: &str,
        store: &Store,
        retention_s: u64,
        spans: Option<String>,
        change: impl FnOnce(String) -> String,
    ) -> Self {
        let ip = address();
        let folder = std::env::temp_dir().join(format!("tamaracksail-{ip}"));
        std::fs::create_dir_all(&folder).expect("a folder for settings");
        let text = change(settings::file(host, ip, store.address, retention_s));
        std::fs::write(folder.join("settings"), text).expect("a settings file");
        let lines = Arc::default();
        let child = spawn(&folder, spans.as_deref(), &lines);
        Self {
            child,
            host: host.to_owned(),
            ip,
            folder,
            spans,
            lines,
        }
    }

    /// Returns the address to which clients connect.
    pub fn ingress(&self) -> SocketAddr {
        SocketAddr::new(self.ip, settings::INGRESS_PORT)
    }

    /// Returns a client of the gateway.
    pub fn client(&self) -> Client {
        Client::new(self.ingress())
    }

    /// Sends a request to `path`, and returns its status.
    pub async fn status(&self, id: &str, path: &str) -> u16 {
        let response = self.client().request(id, path, "x").await;
        response.expect("a response").status
    }

    /// Waits until the gateway is ready.
    pub async fn wait_until_ready(&self) {
        let client = Client::new(SocketAddr::new(self.ip, settings::READINESS_PORT));
        wait_until("the gateway is ready", async || {
            client.is_ready().await.unwrap_or(false)
        })
        .await;
    }

    /// Returns whether the gateway reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let client = Client::new(SocketAddr::new(self.ip, settings::READINESS_PORT));
        client.is_ready().await.unwrap_or(false)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process exits");
    }

    /// Starts the process again on the same host.
    pub fn restart(&mut self) {
        self.child = spawn(&self.folder, self.spans.as_deref(), &self.lines);
    }

    /// Sends a signal, given by name, to the process.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success());
    }

    /// Waits until the process exits by itself. Returns whether it succeeded.
    pub async fn wait_for_exit(&mut self) -> bool {
        let child = &mut self.child;
        let mut code = None;
        wait_until("the gateway exits", async || {
            code = child.try_wait().expect("the process can be queried");
            code.is_some()
        })
        .await;
        code.is_some_and(|code| code.success())
    }

    /// Returns the most memory that the process has had resident, in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kilobytes.expect("the peak").parse().expect("a number")
    }

    /// Returns the log lines with an event so far.
    pub fn log_lines(&self, event: &str) -> Vec<Value> {
        let lines = self.lines.lock().expect("no reader panics");
        let found = lines.iter().filter(|line| line["event"] == event);
        found.cloned().collect()
    }

    /// Returns all log lines so far.
    pub fn all_log_lines(&self) -> Vec<Value> {
        self.lines.lock().expect("no reader panics").clone()
    }

    /// Returns the sum of a metric over its labels; 0 if it was never set.
    pub async fn metric(&self, name: &str) -> u64 {
        let client = Client::new(SocketAddr::new(self.ip, METRICS_PORT));
        let response = client.request("metrics", "/metrics", "").await;
        let body = response.expect("the metrics").body;
        let text = String::from_utf8_lossy(&body).into_owned();
        let prefix = format!("tamaracksail_gateway_{name}");
        let values = text.lines().filter_map(|line| {
            let (label, value) = line.strip_prefix(&prefix)?.rsplit_once(' ')?;
            let is_exact = label.is_empty() || label.starts_with('{');
            is_exact.then(|| value.parse::<u64>().expect("a number"))
        });
        values.sum()
    }

    /// Waits for a log line with an event, and returns the first.
    pub async fn wait_for_log(&self, event: &str) -> Value {
        wait_until(event, async || !self.log_lines(event).is_empty()).await;
        self.log_lines(event).remove(0)
    }

    /// Sends a request of a peer, and returns the response.
    pub async fn call_as_peer(&self, request: &PeerRequest) -> PeerResponse {
        let client = Client::new(SocketAddr::new(self.ip, settings::INTERNAL_PORT));
        let body = tamaracksail_wire::encode(request).into();
        let response = client.send(Method::POST, "/peer", &[], body).await;
        let response = response.expect("a response");
        tamaracksail_wire::decode(&response.body).expect("a response to a peer")
    }

    /// Returns the name of its host.
    pub fn host(&self) -> &str {
        &self.host
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may have exited by itself.
        drop(self.child.kill());
        drop(self.child.wait());
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

fn spawn(folder: &std::path::Path, spans: Option<&str>, lines: &Arc<Mutex<Vec<Value>>>) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tamaracksail-gateway"));
    if let Some(endpoint) = spans {
        command.env("TAMARACKSAIL_OTLP_ENDPOINT", endpoint);
    }
    let time_offset = folder.join(TIME_OFFSET);
    if time_offset.exists() {
        command.env("TAMARACKSAIL_TIME_OFFSET_FILE", time_offset);
    }
    let mut child = command
        .env("TAMARACKSAIL_METRICS_PORT", METRICS_PORT.to_string())
        .env(settings::PATH_VARIABLE, folder.join("settings"))
        .stdout(Stdio::piped())
        .spawn()
        .expect("the gateway starts");
    let output = child.stdout.take().expect("its output is piped");
    let lines = Arc::clone(lines);
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let parsed = serde_json::from_str(&line).unwrap_or_else(|_| json!({"event": line}));
            lines.lock().expect("no reader panics").push(parsed);
        }
    });
    child
}

/// A platform with a store, some engines and one plain service.
pub struct World {
    pub store: Store,
    pub engines: Vec<Engine>,
    pub app: Engine,
}

impl World {
    /// Starts a store and backend servers that respond with `events` events, one per `interval`.
    pub async fn start(engines: usize, events: u64, interval: Duration) -> Self {
        let store = Store::start(SocketAddr::new(address(), 7100))
            .await
            .expect("the store starts");
        store.put_routes(settings::routes(1));
        let mut started = Vec::new();
        for number in 0..engines {
            let engine = start_server(&format!("engine-{number}"), events, interval).await;
            engine.register(&store, "pool", "ready");
            started.push(engine);
        }
        let app = start_server("app-0", events, interval).await;
        app.register(&store, "app", "ready");
        Self {
            store,
            engines: started,
            app,
        }
    }

    /// Removes the faults of engines that no request has had.
    pub fn clear_faults(&self) {
        for engine in &self.engines {
            engine.clear_faults();
        }
    }

    /// Puts routes into the store, and waits until they are in force at `gateways`.
    pub async fn put_routes(&self, gateways: &[Gateway], routes: Value) {
        let version = routes["version"].as_u64().expect("a version");
        self.store.put_routes(routes);
        for gateway in gateways {
            wait_until("the routes are in force", async || {
                gateway.metric("routes_version").await >= version
            })
            .await;
        }
    }

    /// Returns how often an item arrived at any engine.
    pub fn arrival_count(&self, item: &str) -> usize {
        let count = |engine: &Engine| {
            let arrivals = engine.arrivals();
            arrivals.iter().filter(|found| found.id == item).count()
        };
        self.engines.iter().map(count).sum()
    }
}

/// Starts a backend server.
pub async fn start_server(instance: &str, events: u64, interval: Duration) -> Engine {
    Engine::start(instance, SocketAddr::new(address(), 7200), events, interval)
        .await
        .expect("the server starts")
}

/// Runs a test on a `LocalSet`.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Waits until a condition is true.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
    while !condition().await {
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out waiting for: {what}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Reads a batch at `client` until it has `count` results. Returns them by position.
pub async fn read_results(client: &Client, batch: &str, count: usize) -> Vec<ItemResult> {
    let mut results = Vec::new();
    wait_until("all results are read", async || {
        if let Ok(response) = client.results(batch, results.len()).await
            && response.status == 200
        {
            results.extend(response.results());
        }
        results.len() >= count
    })
    .await;
    results
}

/// Starts a platform with two engines, and gateways that use it.
pub async fn start(gateways: usize, events: u64, interval: Duration) -> (World, Vec<Gateway>) {
    let world = World::start(2, events, interval).await;
    let mut started = Vec::new();
    for number in 0..gateways {
        started.push(Gateway::start(&format!("front-{number}"), &world.store));
    }
    for gateway in &started {
        gateway.wait_until_ready().await;
    }
    (world, started)
}

/// Starts a gateway that schedules batches. Returns it, and the store as only this gateway sees it.
pub async fn start_scheduling(world: &World) -> (Gateway, Store) {
    let listener = world.store.add_listener(SocketAddr::new(address(), 7100));
    let listener = listener.await.expect("a listener");
    let scheduling = Gateway::start("front-0", &listener);
    scheduling.wait_until_ready().await;
    let client = scheduling.client();
    client.submit("b0", &["j0"], 1).await.expect("a response");
    read_results(&client, "b0", 1).await;
    (scheduling, listener)
}

/// Checks that there is one result for each of these items, and that all are complete.
pub fn assert_complete(world: &World, results: &[ItemResult], items: &[&str]) {
    let mut found: Vec<&str> = results.iter().map(|r| r.item.as_str()).collect();
    found.sort_unstable();
    assert_eq!(found, items);
    for result in results {
        assert_eq!(result.ending, Ending::Completed, "{}", result.item);
        assert_eq!(result.text, world.engines[0].text(&result.item));
    }
}
