//! Tests of servers that state how many requests per second they accept from all gateways together,
//! with real gateway processes.

mod common;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{Gateway, World, read_results, run, start_server};
use hyper::Method;
use tamaracksail_adapter::names;
use tamaracksail_adapter_standins::client::Client;
use tamaracksail_adapter_standins::store::Fault as StoreFault;
use tamaracksail_adapter_standins::{Engine, limit};

/// The time between two events of a streamed response.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);

/// The share of its limit that a server must get while clients ask for more.
const MIN_USE: f64 = 0.8;

/// The longest time until a request that cannot be served is refused.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(600);

/// What clients observed.
#[derive(Debug, Default)]
struct Tally {
    served: usize,
    refused: usize,
    /// Problems, such as a response with an unexpected status.
    problems: Vec<String>,
}

/// Gateways before servers with limits.
struct Limited {
    world: World,
    servers: Vec<Engine>,
    gateways: Vec<Gateway>,
    path: &'static str,
}

impl Limited {
    /// Starts gateways, and one server of the service for each limit.
    async fn start(
        gateways: usize,
        service: &str,
        path: &'static str,
        limits: &[Option<f64>],
    ) -> Self {
        let world = World::start(0, 5, EVENT_INTERVAL).await;
        world.store.remove_server(&world.app.instance);
        let mut servers = Vec::new();
        for (number, limit) in limits.iter().enumerate() {
            let server = start_server(&format!("server-{number}"), 5, EVENT_INTERVAL).await;
            server.state_limit(*limit);
            server.register(&world.store, service, "ready");
            servers.push(server);
        }
        let mut limited = Self {
            world,
            servers,
            gateways: Vec::new(),
            path,
        };
        for number in 0..gateways {
            limited.add_gateway(number);
        }
        for gateway in &limited.gateways {
            gateway.wait_until_ready().await;
        }
        limited
    }

    fn add_gateway(&mut self, number: usize) {
        let gateway = Gateway::start(&format!("front-{number}"), &self.world.store);
        self.gateways.push(gateway);
    }

    /// Sends a request to each gateway at each `interval` for `duration`.
    async fn press(&self, interval: Duration, duration: Duration) -> Tally {
        let tally = Rc::new(RefCell::new(Tally::default()));
        let end = Instant::now() + duration;
        let mut tasks = Vec::new();
        let mut number = 0;
        while Instant::now() < end {
            for gateway in &self.gateways {
                number += 1;
                let (client, path, tally) = (gateway.client(), self.path, Rc::clone(&tally));
                let id = format!("{}-{number}", gateway.host());
                tasks.push(tokio::task::spawn_local(async move {
                    send(&client, path, &id, &tally).await;
                }));
            }
            tokio::time::sleep(interval).await;
        }
        for task in tasks {
            task.await.expect("the request ends");
        }
        tally.take()
    }

    /// Checks that each server with a limit got no more than it allows in any window that starts at
    /// `from` or later.
    fn check(&self, from: Instant) {
        for (number, server) in self.servers.iter().enumerate() {
            let Some(per_second) = server.limit() else {
                continue;
            };
            let peak = limit::peak(&server.arrivals(), from);
            let allowed = limit::allowed(per_second);
            assert!(
                peak <= allowed,
                "server {number} states {per_second} a second and got {peak} requests in four \
                 seconds, {allowed} are allowed"
            );
        }
    }

    /// Checks that the servers got [`MIN_USE`] of their limits between `from` and now.
    fn check_use(&self, from: Instant) {
        let seconds = from.elapsed().as_secs_f64();
        let limits: f64 = self.servers.iter().filter_map(Engine::limit).sum();
        let arrivals = self.servers.iter().flat_map(Engine::arrivals);
        let count = arrivals.filter(|arrival| arrival.at >= from).count();
        let count = u32::try_from(count).expect("a small number");
        let share = f64::from(count) / (limits * seconds);
        assert!(share >= MIN_USE, "{share:.2} of the limits was used");
    }
}

/// Sends a request and records its outcome.
async fn send(client: &Client, path: &str, id: &str, tally: &RefCell<Tally>) {
    let headers = [
        (names::REQUEST_ID, id),
        (names::REMAINING_MS, "5000"),
        ("x-item", "1"),
    ];
    let headers = if path == "/stream/x" {
        &headers[..]
    } else {
        &headers[..2]
    };
    let start = Instant::now();
    let response = client
        .send(Method::POST, path, headers, Bytes::from(id.to_owned()))
        .await;
    let took = start.elapsed();
    let mut tally = tally.borrow_mut();
    match response {
        Ok(response) if response.status == 200 => tally.served += 1,
        Ok(response) if response.status == 503 => {
            tally.refused += 1;
            if response.retry_after().is_none_or(|seconds| seconds <= 0.0) {
                tally.problems.push(format!("{id}: no Retry-After"));
            }
            if took > MAX_REFUSAL_TIME {
                tally.problems.push(format!("{id}: refused after {took:?}"));
            }
        }
        Ok(response) => {
            let problem = format!("{id}: status {}", response.status);
            tally.problems.push(problem);
        }
        Err(error) => tally.problems.push(format!("{id}: {error}")),
    }
}

/// Lets five gateways press on two servers with a limit of two requests per second each.
async fn check_limits_under_pressure(service: &str, path: &'static str) {
    let limited = Limited::start(5, service, path, &[Some(2.0), Some(2.0)]).await;
    let start = Instant::now();
    limited
        .press(Duration::from_millis(200), limit::SETTLE_TIME)
        .await;
    let from = start + limit::SETTLE_TIME;
    let tally = limited
        .press(Duration::from_millis(200), Duration::from_secs(8))
        .await;
    limited.check(from);
    limited.check_use(from);
    assert_eq!(tally.problems, Vec::<String>::new());
    assert!(tally.refused > 0, "{tally:?}");
}

#[test]
fn gateways_together_do_not_exceed_the_limit_of_a_server() {
    run(check_limits_under_pressure("app", "/plain/x"));
}

#[test]
fn requests_that_run_once_do_not_exceed_the_limit_of_a_server() {
    run(check_limits_under_pressure("app", "/once/x"));
}

#[test]
fn streams_do_not_exceed_the_limit_of_a_server() {
    run(check_limits_under_pressure("pool", "/stream/x"));
}

#[test]
fn a_limit_that_is_small_beside_the_number_of_gateways_is_kept() {
    run(async {
        let limited = Limited::start(10, "app", "/plain/x", &[Some(0.5)]).await;
        let start = Instant::now();
        let tally = limited
            .press(Duration::from_millis(250), Duration::from_secs(12))
            .await;
        limited.check(start + limit::SETTLE_TIME);
        assert_eq!(tally.problems, Vec::<String>::new());
        assert!(tally.served > 0 && tally.refused > 0, "{tally:?}");
    });
}

#[test]
fn other_servers_serve_what_a_server_with_a_limit_does_not_accept() {
    run(async {
        let limits = [Some(1.0), None];
        let limited = Limited::start(4, "app", "/plain/x", &limits).await;
        let start = Instant::now();
        let tally = limited
            .press(Duration::from_millis(100), Duration::from_secs(8))
            .await;
        limited.check(start + limit::SETTLE_TIME);
        assert_eq!(tally.problems, Vec::<String>::new());
        assert_eq!(tally.refused, 0);
    });
}

#[test]
fn items_do_not_exceed_the_limits_of_engines() {
    run(async {
        let limits = [Some(3.0), Some(3.0)];
        let limited = Limited::start(3, "pool", "/batch/new", &limits).await;
        let client = limited.gateways[0].client();
        let items: Vec<String> = (0..70).map(|number| format!("i{number}")).collect();
        let ids: Vec<&str> = items.iter().map(String::as_str).collect();
        let (first, others) = ids.split_at(10);
        let response = client.submit("b1", first, 1).await.expect("a response");
        assert_eq!(response.status, 202);
        read_results(&client, "b1", first.len()).await;
        tokio::time::sleep(limit::SETTLE_TIME).await;
        let from = Instant::now();
        let response = client.submit("b2", others, 1).await.expect("a response");
        assert_eq!(response.status, 202);
        read_results(&client, "b2", others.len()).await;
        limited.check(from);
        limited.check_use(from);
    });
}

#[test]
fn limits_are_kept_while_gateways_are_killed_and_join() {
    run(async {
        let limits = [Some(2.0), Some(2.0)];
        let mut limited = Limited::start(4, "app", "/plain/x", &limits).await;
        let start = Instant::now();
        let interval = Duration::from_millis(200);
        limited.press(interval, limit::SETTLE_TIME).await;
        for number in 0..3 {
            limited.gateways[number].kill();
            let killed = limited.gateways.remove(number);
            limited.press(interval, Duration::from_secs(3)).await;
            limited.gateways.insert(number, killed);
            limited.gateways[number].restart();
            limited.gateways[number].wait_until_ready().await;
            limited.press(interval, Duration::from_secs(1)).await;
        }
        limited.add_gateway(4);
        limited.gateways[4].wait_until_ready().await;
        let joined = Instant::now();
        limited.press(interval, Duration::from_secs(5)).await;
        limited.check(start + limit::SETTLE_TIME);
        limited.check_use(joined);
    });
}

#[test]
fn limits_are_kept_while_the_store_is_down() {
    run(async {
        let limits = [Some(2.0), Some(2.0)];
        let limited = Limited::start(4, "app", "/plain/x", &limits).await;
        let start = Instant::now();
        let interval = Duration::from_millis(200);
        limited.press(interval, limit::SETTLE_TIME).await;
        for fault in [StoreFault::Silent, StoreFault::Busy] {
            limited.world.store.set_fault(fault);
            let tally = limited.press(interval, Duration::from_secs(5)).await;
            assert!(tally.served > 0, "{tally:?}");
            limited.world.store.set_fault(StoreFault::None);
            limited.press(interval, Duration::from_secs(2)).await;
        }
        limited.check(start + limit::SETTLE_TIME);
    });
}

#[test]
fn a_limit_that_changes_is_kept_and_one_that_ends_is_forgotten() {
    run(async {
        let limits = [Some(8.0), Some(8.0)];
        let limited = Limited::start(4, "app", "/plain/x", &limits).await;
        let interval = Duration::from_millis(100);
        limited.press(interval, Duration::from_secs(4)).await;
        for server in &limited.servers {
            server.state_limit(Some(1.5));
        }
        let changed = Instant::now();
        limited.press(interval, Duration::from_secs(8)).await;
        limited.check(changed + limit::SETTLE_TIME);
        for server in &limited.servers {
            server.state_limit(None);
        }
        limited.press(interval, limit::SETTLE_TIME).await;
        let tally = limited.press(interval, Duration::from_secs(2)).await;
        assert_eq!(tally.problems, Vec::<String>::new());
        assert_eq!(tally.refused, 0);
    });
}

#[test]
fn the_only_gateway_that_uses_permits_keeps_the_right_to_grant_them() {
    run(async {
        let limited = Limited::start(1, "app", "/plain/x", &[Some(4.0)]).await;
        let interval = Duration::from_millis(100);
        limited.press(interval, Duration::from_secs(3)).await;
        let changes = |gateway: &Gateway| gateway.log_lines("source of permits changed").len();
        let before = changes(&limited.gateways[0]);
        limited.press(interval, Duration::from_secs(16)).await;
        assert_eq!(changes(&limited.gateways[0]), before);
    });
}
