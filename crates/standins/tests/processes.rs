//! Real processes under the faults that virtual time cannot show: SIGKILL, SIGSTOP, SIGTERM
//! under load, and a closed socket. Each test waits on events, never on the clock; the limits
//! on tries only end a test that would wait for ever.

use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Once;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use tamaracksail_model::host::{Host, Phase, Role};

/// Tries before a test gives up waiting.
const MAX_TRIES: usize = 1200;

/// The pause between two tries.
const PAUSE: Duration = Duration::from_millis(50);

static BUILD: Once = Once::new();
static LAST_ADDRESS: AtomicU8 = AtomicU8::new(0);

fn target_folder() -> PathBuf {
    let own = std::env::current_exe().expect("the test has a path");
    own.ancestors()
        .nth(2)
        .expect("the test lies in target/PROFILE/deps")
        .to_owned()
}

fn build() {
    BUILD.call_once(|| {
        let built = Command::new(env!("CARGO"))
            .args(["build", "--locked", "--quiet", "--workspace", "--bins"])
            .status();
        assert!(built.expect("cargo runs").success());
    });
}

/// Processes on a loopback address of their own, so that no two tests share a port.
struct Cluster {
    address: Ipv4Addr,
    folder: PathBuf,
    children: Vec<(String, Child)>,
    http: awc::Client,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            // It may have ended already.
            child.kill().ok();
            child.wait().ok();
        }
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

impl Cluster {
    /// Two entries, three engines and a plain service with agents, two shelves, the platform.
    async fn start() -> Self {
        build();
        let process = std::process::id();
        let unique = LAST_ADDRESS.fetch_add(1, Ordering::Relaxed) + 1;
        let [_, _, high, low] = process.to_be_bytes();
        let address = Ipv4Addr::new(127, high.max(1), low, unique);
        let folder = std::env::temp_dir().join(format!("tamaracksail-{process}-{unique}"));
        std::fs::create_dir_all(&folder).expect("the folder can be made");
        let http = awc::Client::builder()
            .timeout(Duration::from_mins(1))
            .finish();
        let mut cluster = Self {
            address,
            folder,
            children: Vec::new(),
            http,
        };
        cluster.spawn("platform", "standin-platform", 7000, &[]);
        cluster.wait(7000, "/calls").await;
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
                .agent(index, domain, "engine", "translit-pool", 7200 + index)
                .await;
        }
        cluster.spawn("service", "standin-service", 7204, &[]);
        cluster
            .agent(4, "tunis-b", "service", "registre-app", 7204)
            .await;
        for (index, domain) in [(1, "tunis-a"), (2, "tunis-b")] {
            let name = format!("shelf-{index}");
            cluster
                .list(&name, Role::Shelf, 7300 + index, domain, None)
                .await;
            let data = cluster.folder.join(&name);
            let data = data.to_str().expect("the path is text").to_owned();
            cluster.spawn(
                &name,
                "tamaracksail-shelf",
                7300 + index,
                &["--data", &data],
            );
            cluster.wait(7300 + index, "/readyz").await;
        }
        for (index, domain) in [(1, "tunis-a"), (2, "tunis-b")] {
            let name = format!("entry-{index}");
            cluster
                .list(&name, Role::Entry, 7400 + index, domain, None)
                .await;
            let arguments = ["--stall-ms", "1000", "--parallel", "4"];
            cluster.spawn_host(
                &name,
                "tamaracksail-entry",
                7400 + index,
                domain,
                &arguments,
            );
            cluster.wait(7400 + index, "/readyz").await;
            cluster
                .wait(7400 + index, "/services/registre-app/names/1")
                .await;
            cluster
                .draft(index, 1, false)
                .await
                .expect("engines are found");
        }
        cluster
    }

    fn url(&self, port: u16, path: &str) -> String {
        format!("http://{}:{port}{path}", self.address)
    }

    fn spawn(&mut self, name: &str, binary: &str, port: u16, arguments: &[&str]) {
        let log = std::fs::File::create(self.folder.join(format!("{name}.log")));
        let child = Command::new(target_folder().join(binary))
            .args(["--listen", &format!("{}:{port}", self.address)])
            .args(arguments)
            .stdout(Stdio::null())
            .stderr(log.expect("the log can be made"))
            .spawn();
        self.children
            .push((name.to_owned(), child.expect("the binary is built")));
    }

    fn spawn_host(&mut self, name: &str, binary: &str, port: u16, domain: &str, more: &[&str]) {
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
        arguments.extend(more);
        self.spawn(name, binary, port, &arguments);
    }

    async fn agent(&mut self, index: u16, domain: &str, kind: &str, serves: &str, port: u16) {
        let name = format!("agent-{index}");
        self.list(&name, Role::Agent, 7100 + index, domain, Some(serves))
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
        self.wait(7100 + index, "/readyz").await;
    }

    /// Puts a host on the host list.
    async fn list(&self, name: &str, role: Role, port: u16, domain: &str, serves: Option<&str>) {
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
            .expect("the platform answers");
    }

    async fn apply(&self, path: &str) {
        let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
        let mut command = Command::new(target_folder().join("tamaracksailctl"));
        command
            .args(["apply", "-f", path, "--platform", &self.url(7000, "")])
            .current_dir(root)
            .stdout(Stdio::null());
        let applied = actix_rt::task::spawn_blocking(move || command.status()).await;
        assert!(
            applied
                .expect("it ran")
                .expect("the binary is built")
                .success()
        );
    }

    /// Waits until a path answers with success.
    async fn wait(&self, port: u16, path: &str) {
        for _ in 0..MAX_TRIES {
            let answer = self.http.get(self.url(port, path)).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return;
            }
            actix_rt::time::sleep(PAUSE).await;
        }
        panic!("{path} at port {port} never answered");
    }

    fn child(&mut self, name: &str) -> &mut Child {
        let found = self.children.iter_mut().find(|(known, _)| known == name);
        &mut found.expect("the process was started").1
    }

    async fn faults(&self, port: u16, faults: &Value) {
        let answer = self
            .http
            .post(self.url(port, "/faults"))
            .send_json(faults)
            .await;
        assert!(answer.expect("the stand-in answers").status().is_success());
    }

    async fn get(&self, port: u16, path: &str) -> Value {
        let mut answer = self
            .http
            .get(self.url(port, path))
            .send()
            .await
            .expect("it answers");
        let body = answer
            .body()
            .limit(1 << 24)
            .await
            .expect("the answer is whole");
        serde_json::from_slice(&body).expect("it answers with JSON")
    }

    /// Files a change through an entry; the status and the body.
    async fn file(&self, entry: u16, filing: &str) -> (u16, Value) {
        let request = self
            .http
            .post(self.url(7400 + entry, "/services/registre-app/filings"))
            .insert_header(("idempotency-key", filing))
            .insert_header(("tamaracksail-caller", "clerk"));
        match request.send_json(&json!({ "filing": filing })).await {
            Ok(mut answer) => {
                let status = answer.status().as_u16();
                (status, answer.json().await.unwrap_or(Value::Null))
            }
            Err(_) => (0, Value::Null),
        }
    }

    /// Asks for a draft; the text of the answer, if it is whole.
    async fn draft(&self, entry: u16, tokens: u64, streamed: bool) -> Result<String, String> {
        let body = json!({
            "model": "translit-llm",
            "max_tokens": tokens,
            "stream": streamed,
            "messages": [{ "role": "user", "content": "draft" }],
        });
        let request = self
            .http
            .post(self.url(7400 + entry, "/v1/chat/completions"));
        let mut answer = request
            .send_json(&body)
            .await
            .map_err(|error| error.to_string())?;
        let text = answer
            .body()
            .limit(1 << 24)
            .await
            .map_err(|error| error.to_string())?;
        let text = String::from_utf8_lossy(&text).into_owned();
        let is_whole = !streamed || text.ends_with("data: [DONE]\n\n");
        if answer.status().is_success() && is_whole {
            Ok(text)
        } else {
            Err(text)
        }
    }

    /// Waits until a filing has started to run.
    async fn wait_for_filing(&self, filing: &str) {
        for _ in 0..MAX_TRIES {
            if self.get(7204, "/filings").await[filing].as_u64() == Some(1) {
                return;
            }
            actix_rt::time::sleep(PAUSE).await;
        }
        panic!("the filing {filing} never ran");
    }

    /// Waits until an engine runs something; which one does.
    async fn wait_for_run(&self) -> u16 {
        for _ in 0..MAX_TRIES {
            for engine in 1..=3u16 {
                let health = self.get(7200 + engine, "/health").await;
                if health["running"].as_u64() > Some(0) {
                    return engine;
                }
            }
        }
        panic!("no engine ever ran anything");
    }

    fn signal(&self, name: &str, signal: &str) {
        let found = self.children.iter().find(|(known, _)| known == name);
        let id = found.expect("the process was started").1.id();
        let sent = Command::new("kill")
            .args([signal, &id.to_string()])
            .status();
        assert!(sent.expect("kill runs").success());
    }
}

/// The words of a streamed answer, in order.
fn words(events: &str) -> Vec<String> {
    let data = events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let chunks = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let text: String = chunks
        .filter_map(|chunk| {
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_owned)
        })
        .collect();
    text.split_whitespace().map(str::to_owned).collect()
}

#[actix_rt::test]
async fn a_filing_whose_agent_is_killed_is_unknown_and_never_runs_again() {
    let mut cluster = Cluster::start().await;
    cluster.faults(7204, &json!({ "hang": true })).await;
    let kill = async {
        cluster.wait_for_filing("7").await;
        cluster.signal("agent-4", "-KILL");
    };
    let ((status, body), ()) = futures_util::join!(cluster.file(1, "7"), kill);
    assert_eq!((status, &body["outcome"]), (502, &json!("unknown")));
    cluster.child("agent-4").wait().expect("it was killed");
    cluster.faults(7204, &json!({})).await;
    cluster
        .agent(4, "tunis-b", "service", "registre-app", 7204)
        .await;
    for entry in [1, 2] {
        cluster
            .wait(7400 + entry, "/services/registre-app/names/1")
            .await;
        let (status, body) = cluster.file(entry, "7").await;
        assert_eq!((status, &body["outcome"]), (409, &json!("unknown")));
    }
    assert_eq!(cluster.get(7204, "/filings").await, json!({ "7": 1 }));
}

#[actix_rt::test]
async fn a_filing_repeated_while_its_entry_is_frozen_runs_once() {
    let cluster = Cluster::start().await;
    cluster.faults(7204, &json!({ "delay_ms": 1500 })).await;
    let repeat = async {
        cluster.wait_for_filing("8").await;
        cluster.signal("entry-1", "-STOP");
        let (status, body) = cluster.file(2, "8").await;
        cluster.signal("entry-1", "-CONT");
        (status, body["outcome"].clone())
    };
    let ((first, _), (second, outcome)) = futures_util::join!(cluster.file(1, "8"), repeat);
    assert_eq!(first, 201);
    assert_eq!((second, outcome), (409, json!("unknown")));
    for _ in 0..MAX_TRIES {
        // The first answer is kept as soon as the frozen entry has written it.
        if cluster.file(2, "8").await.0 == 201 {
            break;
        }
        actix_rt::time::sleep(PAUSE).await;
    }
    assert_eq!(cluster.file(2, "8").await.0, 201);
    assert_eq!(cluster.get(7204, "/filings").await, json!({ "8": 1 }));
}

#[actix_rt::test]
async fn a_stream_whose_engine_is_killed_goes_on_at_another() {
    let cluster = Cluster::start().await;
    let whole = words(&cluster.draft(1, 400, true).await.expect("no fault yet"));
    let kill = async {
        let engine = cluster.wait_for_run().await;
        cluster.signal(&format!("engine-{engine}"), "-KILL");
    };
    let (answer, ()) = futures_util::join!(cluster.draft(1, 400, true), kill);
    assert_eq!(words(&answer.expect("the answer is whole")), whole);
}

#[actix_rt::test]
async fn a_broken_stream_never_looks_whole() {
    let cluster = Cluster::start().await;
    for engine in 1..=3 {
        cluster
            .faults(7200 + engine, &json!({ "break_after": 5 }))
            .await;
    }
    let text = cluster
        .draft(1, 400, true)
        .await
        .expect_err("every engine breaks off");
    assert!(
        text.contains("\"outcome\":\"unknown\"") && !text.contains("[DONE]"),
        "{text}"
    );
}

#[actix_rt::test]
async fn planned_stops_cut_no_stream() {
    let mut cluster = Cluster::start().await;
    for engine in 1..=3 {
        cluster
            .faults(7200 + engine, &json!({ "token_ms": 5 }))
            .await;
    }
    let streams = (0..16).map(|number| cluster.draft(1 + number % 2, 300, true));
    let streams = futures_util::future::join_all(streams);
    let stop = async {
        let agent = format!("agent-{}", cluster.wait_for_run().await);
        cluster.signal(&agent, "-TERM");
        cluster.signal("entry-2", "-TERM");
        agent
    };
    let (answers, agent) = futures_util::join!(streams, stop);
    let broken: Vec<_> = answers.into_iter().filter_map(Result::err).collect();
    assert_eq!(broken, Vec::<String>::new());
    for name in [agent.as_str(), "entry-2"] {
        let ended = cluster.child(name).wait().expect("it ends by itself");
        assert!(ended.success(), "{name}: {ended}");
    }
}

#[actix_rt::test]
async fn a_step_is_whole_though_its_owner_is_killed() {
    let cluster = Cluster::start().await;
    let plan = tamaracksail_standins::trainer::Plan {
        entries: vec![cluster.url(7401, ""), cluster.url(7402, "")],
        trainer: "translit".to_owned(),
        step: 1,
        groups: 8,
        group_size: 4,
        max_tokens: 60,
        state: cluster.folder.join("trainer"),
        learn: Duration::from_millis(50),
        patience: Duration::from_mins(2),
    };
    let kill = async {
        for _ in 0..MAX_TRIES {
            let url = cluster.url(7401, "/v1/trainers/translit/progress");
            let progress: Value = match cluster.http.get(url).send().await {
                Ok(mut answer) => answer.json().await.unwrap_or(Value::Null),
                Err(_) => Value::Null,
            };
            if progress["filled"].as_u64() > Some(0) {
                break;
            }
            actix_rt::time::sleep(PAUSE).await;
        }
        let ledger = cluster.get(7000, "/objects/ledger/translit").await;
        let owner = ledger["owner"]
            .as_str()
            .expect("somebody owns it")
            .to_owned();
        cluster.signal(&owner, "-KILL");
    };
    let (report, ()) = futures_util::join!(tamaracksail_standins::trainer::run(&plan), kill);
    let report = report.expect("nothing is refused");
    assert_eq!(
        (report.samples, report.doubled, report.complete),
        (32, 0, true)
    );
}
