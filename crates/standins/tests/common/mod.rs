//! The real processes, on a loopback address of their own.

#![allow(dead_code, reason = "each test file uses some of it")]

pub mod scripted;

use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Once;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use tamaracksail_model::host::{Host, Phase, Role};

/// The number of polls before a test gives up waiting.
pub const MAX_POLLS: usize = 1200;

/// The interval between two polls.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

static BUILD: Once = Once::new();
static LAST_ADDRESS: AtomicU8 = AtomicU8::new(0);

pub fn target_directory() -> PathBuf {
    let own = std::env::current_exe().expect("the test has a path");
    own.ancestors()
        .nth(2)
        .expect("the test binary is in target/PROFILE/deps")
        .to_owned()
}

pub fn build() {
    BUILD.call_once(|| {
        let built = Command::new(env!("CARGO"))
            .args(["build", "--locked", "--quiet", "--workspace", "--bins"])
            .status();
        assert!(built.expect("cargo runs").success());
    });
}

/// Processes that listen on a loopback address of their own, so that no two tests share a port.
pub struct Cluster {
    pub address: Ipv4Addr,
    pub directory: PathBuf,
    children: Vec<(String, Child)>,
    pub http: awc::Client,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            // The process may have exited already.
            child.kill().ok();
            child.wait().ok();
        }
        std::fs::remove_dir_all(&self.directory).ok();
    }
}

impl Cluster {
    /// Starts the platform, three engines and a plain service with their agents, two shelves and
    /// two entries, and waits until they are ready.
    pub async fn start() -> Self {
        build();
        let process = std::process::id();
        let unique = LAST_ADDRESS.fetch_add(1, Ordering::Relaxed) + 1;
        let [_, _, high, low] = process.to_be_bytes();
        let address = Ipv4Addr::new(127, high.max(1), low, unique);
        let directory = std::env::temp_dir().join(format!("tamaracksail-{process}-{unique}"));
        std::fs::create_dir_all(&directory).expect("the directory can be created");
        let http = awc::Client::builder()
            .timeout(Duration::from_mins(1))
            .finish();
        let mut cluster = Self {
            address,
            directory,
            children: Vec::new(),
            http,
        };
        cluster.spawn("platform", "standin-platform", 7000, &[]);
        cluster.wait_for_success(7000, "/calls").await;
        cluster.apply("examples/tn-nord").await;
        for index in 1..=3u16 {
            let domain = if index == 3 { "tunis-b" } else { "tunis-a" };
            let engine = format!("engine-{index}");
            cluster.spawn(
                &engine,
                "standin-engine",
                7200 + index,
                &["--model", "translit-llm"],
            );
            cluster
                .start_agent(index, domain, "engine", "translit-pool", 7200 + index)
                .await;
        }
        cluster.spawn("service", "standin-service", 7204, &[]);
        cluster
            .start_agent(4, "tunis-b", "service", "registre-app", 7204)
            .await;
        for (index, domain) in [(1, "tunis-a"), (2, "tunis-b")] {
            let name = format!("shelf-{index}");
            cluster
                .add_host(&name, Role::Shelf, 7300 + index, domain, None)
                .await;
            let data = cluster.directory.join(&name);
            let data = data.to_str().expect("the path is text").to_owned();
            cluster.spawn(
                &name,
                "tamaracksail-shelf",
                7300 + index,
                &["--data", &data],
            );
            cluster.wait_for_success(7300 + index, "/readyz").await;
        }
        for (index, domain) in [(1, "tunis-a"), (2, "tunis-b")] {
            let name = format!("entry-{index}");
            cluster
                .add_host(&name, Role::Entry, 7400 + index, domain, None)
                .await;
            let arguments = ["--stall-ms", "1000", "--parallel", "4"];
            cluster.spawn_host(
                &name,
                "tamaracksail-entry",
                7400 + index,
                domain,
                &arguments,
            );
            cluster.wait_for_success(7400 + index, "/readyz").await;
            cluster
                .wait_for_success(7400 + index, "/services/registre-app/names/1")
                .await;
            cluster
                .complete_chat(index, 1, false)
                .await
                .expect("the entry finds an engine");
        }
        cluster
    }

    pub fn url(&self, port: u16, path: &str) -> String {
        format!("http://{}:{port}{path}", self.address)
    }

    pub fn spawn(&mut self, name: &str, binary: &str, port: u16, arguments: &[&str]) {
        let log = std::fs::File::create(self.directory.join(format!("{name}.log")));
        let child = Command::new(target_directory().join(binary))
            .args(["--listen", &format!("{}:{port}", self.address)])
            .args(arguments)
            .stdout(Stdio::null())
            .stderr(log.expect("the log file can be created"))
            .spawn();
        self.children
            .push((name.to_owned(), child.expect("the binary is built")));
    }

    pub fn spawn_host(
        &mut self,
        name: &str,
        binary: &str,
        port: u16,
        domain: &str,
        extra_arguments: &[&str],
    ) {
        let platform = self.url(7000, "");
        let seeds = ["tunis-a", "tunis-b"]
            .iter()
            .zip([7401, 7402])
            .map(|(domain, port)| format!("{domain}={}:{port}", self.address))
            .collect::<Vec<_>>()
            .join(",");
        let mut arguments = vec![
            "--name",
            name,
            "--domain",
            domain,
            "--platform",
            &platform,
            "--seeds",
            &seeds,
        ];
        arguments.extend(extra_arguments);
        self.spawn(name, binary, port, &arguments);
    }

    pub async fn start_agent(
        &mut self,
        index: u16,
        domain: &str,
        kind: &str,
        serves: &str,
        port: u16,
    ) {
        let name = format!("agent-{index}");
        self.add_host(&name, Role::Agent, 7100 + index, domain, Some(serves))
            .await;
        let url = self.url(port, "");
        let arguments = ["--kind", kind, "--serves", serves, "--server", &url];
        self.spawn_host(
            &name,
            "tamaracksail-agent",
            7100 + index,
            domain,
            &arguments,
        );
        self.wait_for_success(7100 + index, "/readyz").await;
    }

    /// Adds a host to the host list.
    pub async fn add_host(
        &self,
        name: &str,
        role: Role,
        port: u16,
        domain: &str,
        serves: Option<&str>,
    ) {
        let host = Host {
            name: name.into(),
            role,
            address: (self.address, port).into(),
            domain: domain.into(),
            serves: serves.map(Into::into),
            phase: Phase::Live,
        };
        let url = self.url(7000, &format!("/hosts/{name}"));
        self.http
            .put(url)
            .send_json(&host)
            .await
            .expect("the platform responds");
    }

    pub async fn apply(&self, path: &str) {
        let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
        let mut command = Command::new(target_directory().join("tamaracksailctl"));
        command
            .args(["apply", "-f", path, "--platform", &self.url(7000, "")])
            .current_dir(root)
            .stdout(Stdio::null());
        let applied = actix_rt::task::spawn_blocking(move || command.status()).await;
        assert!(
            applied
                .expect("the command ran")
                .expect("the binary is built")
                .success()
        );
    }

    /// Waits until a request for the path succeeds.
    pub async fn wait_for_success(&self, port: u16, path: &str) {
        for _ in 0..MAX_POLLS {
            let response = self.http.get(self.url(port, path)).send().await;
            if response.is_ok_and(|response| response.status().is_success()) {
                return;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{path} at port {port} never succeeded");
    }

    pub fn child(&mut self, name: &str) -> &mut Child {
        let child = self.children.iter_mut().find(|(known, _)| known == name);
        &mut child.expect("the process was started").1
    }

    pub async fn set_faults(&self, port: u16, faults: &Value) {
        let response = self
            .http
            .post(self.url(port, "/faults"))
            .send_json(faults)
            .await;
        assert!(
            response
                .expect("the stand-in responds")
                .status()
                .is_success()
        );
    }

    pub async fn get_json(&self, port: u16, path: &str) -> Value {
        let mut response = self
            .http
            .get(self.url(port, path))
            .send()
            .await
            .expect("the process responds");
        let body = response
            .body()
            .limit(1 << 24)
            .await
            .expect("the response is complete");
        serde_json::from_slice(&body).expect("the response is JSON")
    }

    /// Submits a filing through an entry, and returns the status and the body of the response, or
    /// status 0 if there is none.
    pub async fn submit_filing(&self, entry: u16, filing: &str) -> (u16, Value) {
        let request = self
            .http
            .post(self.url(7400 + entry, "/services/registre-app/filings"))
            .insert_header(("idempotency-key", filing))
            .insert_header(("tamaracksail-caller", "clerk"));
        match request.send_json(&json!({ "filing": filing })).await {
            Ok(mut response) => {
                let status = response.status().as_u16();
                (status, response.json().await.unwrap_or(Value::Null))
            }
            Err(_) => (0, Value::Null),
        }
    }

    /// Requests a chat completion, and returns the body of the response if it succeeded and is
    /// complete.
    pub async fn complete_chat(
        &self,
        entry: u16,
        tokens: u64,
        streamed: bool,
    ) -> Result<String, String> {
        let body = json!({
            "model": "translit-llm",
            "max_tokens": tokens,
            "stream": streamed,
            "messages": [{ "role": "user", "content": "draft" }],
        });
        let request = self
            .http
            .post(self.url(7400 + entry, "/v1/chat/completions"));
        let mut response = request
            .send_json(&body)
            .await
            .map_err(|error| error.to_string())?;
        let text = response
            .body()
            .limit(1 << 24)
            .await
            .map_err(|error| error.to_string())?;
        let text = String::from_utf8_lossy(&text).into_owned();
        let is_complete = !streamed || text.ends_with("data: [DONE]\n\n");
        if response.status().is_success() && is_complete {
            Ok(text)
        } else {
            Err(text)
        }
    }

    /// Waits until the service has started to run a filing.
    pub async fn wait_for_filing(&self, filing: &str) {
        for _ in 0..MAX_POLLS {
            if self.get_json(7204, "/filings").await[filing].as_u64() == Some(1) {
                return;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        panic!("the filing {filing} never ran");
    }

    /// Waits until an engine runs a request, and returns the engine's number.
    pub async fn wait_for_run(&self) -> u16 {
        for _ in 0..MAX_POLLS {
            for engine in 1..=3u16 {
                let health = self.get_json(7200 + engine, "/health").await;
                if health["running"].as_u64() > Some(0) {
                    return engine;
                }
            }
        }
        panic!("no engine ever ran a request");
    }

    pub fn signal(&self, name: &str, signal: &str) {
        let child = self.children.iter().find(|(known, _)| known == name);
        let id = child.expect("the process was started").1.id();
        let sent = Command::new("kill")
            .args([signal, &id.to_string()])
            .status();
        assert!(sent.expect("kill runs").success());
    }
}
