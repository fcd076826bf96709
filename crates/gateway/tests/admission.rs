//! Fair sharing of a service among client accounts, with real gateway processes.

mod common;

use std::time::{Duration, Instant};

use common::{Gateway, World, run, wait_until};
use tamaracksail_adapter_standins::settings::{self, with_accounts};
use tamaracksail_adapter_standins::{Client, client::Response};

const EVENT_INTERVAL: Duration = Duration::from_millis(5);

/// The accounts of a test: each has a name and its keys.
const ACCOUNTS: [(&str, &[&str]); 2] = [("north", &["key-of-north"]), ("south", &["key-of-south"])];

/// Starts gateways and a plain service with four slots, whose requests take `work_time`.
/// Routes have this objective, or 1 s.
async fn start(
    gateways: usize,
    work_time: Duration,
    has_accounts: bool,
    objective: Option<Duration>,
) -> (World, Vec<Gateway>) {
    let world = World::start(1, 5, EVENT_INTERVAL).await;
    world.app.limit_slots();
    world.app.set_work_time(work_time);
    if has_accounts {
        let mut routes = with_accounts(settings::routes(2), &ACCOUNTS);
        if let Some(objective) = objective {
            let millis = u64::try_from(objective.as_millis()).expect("a short time");
            routes = settings::with_objective(routes, millis);
        }
        world.store.put_routes(routes);
    }
    let mut started = Vec::new();
    for number in 0..gateways {
        started.push(Gateway::start(&format!("front-{number}"), &world.store));
    }
    for gateway in &started {
        gateway.wait_until_ready().await;
    }
    (world, started)
}

async fn send(client: &Client, id: &str) -> Response {
    let sent = client.request(id, "/once/a", "");
    sent.await.expect("a response")
}

/// Sends requests, one after the other and at once after each response, until aborted.
fn flood(client: Client, number: usize) -> tokio::task::JoinHandle<()> {
    tokio::task::spawn_local(async move {
        loop {
            let response = send(&client, &format!("flood-{number}")).await;
            assert!([200, 503].contains(&response.status));
            if response.status == 503 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    })
}

/// Guards against requests of a quiet account that queue behind those of an account that floods.
#[test]
fn a_flood_of_one_account_does_not_delay_another() {
    run(async {
        // Lookups take 40 ms, and their objective is 150 ms.
        const WORK_TIME: Duration = Duration::from_millis(40);
        const OBJECTIVE: Duration = Duration::from_millis(150);
        let (_world, gateways) = start(2, WORK_TIME, true, Some(OBJECTIVE)).await;
        let floods: Vec<_> = (0..120)
            .map(|number| {
                let client = gateways[number % 2].client().with_key("key-of-north");
                flood(client, number)
            })
            .collect();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let mut times = Vec::new();
        for number in 0..20 {
            let client = gateways[number % 2].client().with_key("key-of-south");
            let start = Instant::now();
            let response = send(&client, &format!("quiet-{number}")).await;
            times.push(start.elapsed());
            assert_eq!(response.status, 200);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert!(floods.iter().all(|flood| !flood.is_finished()));
        floods.iter().for_each(tokio::task::JoinHandle::abort);
        times.sort_unstable();
        println!("times of the quiet account: {times:?}");
        assert!(times[10] < OBJECTIVE, "{times:?}");
        // Twice the objective, for what a busy machine adds.
        assert!(times[19] < OBJECTIVE * 2, "{times:?}");
        let refused = gateways[0].log_lines("refused, it cannot begin in time");
        assert!(refused.iter().any(|line| line["account"] == "north"));
        assert!(!refused.iter().any(|line| line["account"] == "south"));
    });
}

/// Guards against waits in the gateway where no accounts are configured.
#[test]
fn without_accounts_requests_go_out_at_once() {
    run(async {
        for (has_accounts, expected) in [(false, 12), (true, 4)] {
            let (world, gateways) = start(1, Duration::from_millis(400), has_accounts, None).await;
            let sent: Vec<_> = (0..12)
                .map(|number| {
                    let client = gateways[0].client();
                    let client = if has_accounts {
                        client.with_key("key-of-north")
                    } else {
                        client
                    };
                    tokio::task::spawn_local(async move {
                        send(&client, &format!("r-{number}")).await.status
                    })
                })
                .collect();
            tokio::time::sleep(Duration::from_millis(300)).await;
            assert_eq!(world.app.arrivals().len(), expected, "{has_accounts}");
            for sent in sent {
                let status = sent.await.expect("it was sent");
                assert!(status == 200 || has_accounts, "{status}");
            }
        }
    });
}

/// Guards against servers that run requests whose clients left while they waited.
#[test]
fn a_request_whose_client_disconnects_leaves_the_queue() {
    run(async {
        let (world, gateways) = start(1, Duration::from_millis(400), true, None).await;
        let north = gateways[0].client().with_key("key-of-north");
        let sent: Vec<_> = (0..8)
            .map(|number| {
                let client = north.clone();
                let id = format!("r-{number}");
                tokio::task::spawn_local(async move { send(&client, &id).await.status })
            })
            .collect();
        wait_until("all slots are used", async || {
            world.app.arrivals().len() == 4
        })
        .await;
        let waiting: Vec<_> = sent.iter().filter(|sent| !sent.is_finished()).collect();
        assert_eq!(waiting.len(), 8);
        let running: Vec<String> = world.app.arrivals().into_iter().map(|a| a.id).collect();
        for (number, task) in sent.iter().enumerate() {
            if !running.contains(&format!("r-{number}")) {
                task.abort();
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        let south = gateways[0].client().with_key("key-of-south");
        assert_eq!(send(&south, "after").await.status, 200);
        assert_eq!(world.app.arrivals().len(), 5);
    });
}

/// Guards against clients that all come again at the same time.
#[test]
fn what_cannot_begin_in_time_is_refused_at_once_with_spread_times() {
    run(async {
        let (world, gateways) = start(1, Duration::from_millis(600), true, None).await;
        let north = gateways[0].client().with_key("key-of-north");
        let running: Vec<_> = (0..4)
            .map(|number| {
                let client = north.clone();
                let id = format!("r-{number}");
                tokio::task::spawn_local(async move { send(&client, &id).await.status })
            })
            .collect();
        for task in running {
            assert_eq!(task.await.expect("it was sent"), 200);
        }
        // The service time is known to some degree. More of the same load makes it certain.
        let mut refused = Vec::new();
        let mut tasks = Vec::new();
        for number in 0..60 {
            let client = north.clone();
            tasks.push(tokio::task::spawn_local(async move {
                let start = Instant::now();
                let response = send(&client, &format!("s-{number}")).await;
                (response, start.elapsed())
            }));
        }
        for task in tasks {
            let (response, elapsed) = task.await.expect("it was sent");
            if response.status == 503 {
                // Half of the objective of 1 s, and what a busy machine adds.
                assert!(elapsed < Duration::from_millis(900), "{elapsed:?}");
                refused.push(response.retry_after().expect("a time"));
            }
        }
        assert!(refused.len() >= 40, "{}", refused.len());
        refused.sort_by(f64::total_cmp);
        assert!(refused[0] * 1.5 < refused[refused.len() - 1], "{refused:?}");
        assert!(world.app.arrivals().len() <= 4 + 8);
    });
}
