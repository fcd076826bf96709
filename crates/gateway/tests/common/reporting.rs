//! Gateways that report usage to a stand-in of the cloud.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tamaracksail_adapter_standins::cloud::{Arrival, Cloud};
use tamaracksail_adapter_standins::loopback::address;
use tamaracksail_adapter_standins::settings::{self, with_accounts, with_cloud};
use tamaracksail_model::usage::Counts;

use super::{Gateway, World};

/// The length of a window in seconds.
pub const WINDOW_S: u64 = 5;

/// When a report is due after its window's end, in milliseconds.
pub const LIMIT_MS: u64 = 10_000;

/// The accounts, each with its keys.
const ACCOUNTS: [(&str, &[&str]); 2] = [("north", &["key-of-north"]), ("south", &["key-of-south"])];

/// A platform with a cloud, and gateways that report to it.
pub struct Site {
    pub world: World,
    pub cloud: Cloud,
    pub gateways: Vec<Gateway>,
    /// The requests sent so far, by window and account.
    pub truth: BTreeMap<u64, Counts>,
    number: u64,
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.expect("after 1970").as_millis()).expect("in range")
}

pub fn window() -> u64 {
    unix_ms() / (WINDOW_S * 1000)
}

impl Site {
    /// Starts a platform and gateways.
    pub async fn start(gateways: usize) -> Self {
        Self::start_with(gateways, Duration::from_millis(5)).await
    }

    /// Starts a platform, whose servers send three events at an interval, and gateways.
    pub async fn start_with(gateways: usize, interval: Duration) -> Self {
        let world = World::start(1, 3, interval).await;
        let routes = with_accounts(settings::routes(2), &ACCOUNTS);
        world.store.put_routes(routes);
        let cloud = Cloud::start(SocketAddr::new(address(), 7300)).await;
        let cloud = cloud.expect("the cloud starts");
        let mut site = Self {
            world,
            cloud,
            gateways: Vec::new(),
            truth: BTreeMap::new(),
            number: 0,
        };
        for _ in 0..gateways {
            site.add_gateway();
        }
        for gateway in &site.gateways {
            gateway.wait_until_ready().await;
        }
        site
    }

    /// Starts a further gateway.
    pub fn add_gateway(&mut self) {
        let host = format!("front-{}", self.gateways.len());
        let cloud = self.cloud.address;
        let change = |text: String| with_cloud(&text, cloud, 5.0);
        let gateway = Gateway::with_settings(&host, &self.world.store, change);
        self.gateways.push(gateway);
    }

    /// Sends a request of an account to a gateway. It begins in the present window: close to a
    /// window's end, waits for the next.
    pub async fn request(&mut self, gateway: usize, account: &str) {
        let left = WINDOW_S * 1000 - unix_ms() % (WINDOW_S * 1000);
        if left < 200 {
            tokio::time::sleep(Duration::from_millis(left + 20)).await;
        }
        let before = window();
        let client = self.gateways[gateway].client();
        let client = client.with_key(&format!("key-of-{account}"));
        self.number += 1;
        let id = format!("request-{}", self.number);
        let response = client.request(&id, "/plain/a", "").await;
        assert_eq!(response.expect("a response").status, 200);
        assert_eq!(window(), before, "the machine is too slow for this test");
        let counts = self.truth.entry(before).or_default();
        *counts.entry(account.to_owned()).or_default() += 1;
    }

    /// Sends requests to these gateways for a while.
    pub async fn send_for(&mut self, duration: Duration, gateways: &[usize]) {
        let end = tokio::time::Instant::now() + duration;
        let mut number = 0;
        while tokio::time::Instant::now() < end {
            let account = if number % 3 == 0 { "south" } else { "north" };
            self.request(gateways[number % gateways.len()], account)
                .await;
            number += 1;
            tokio::time::sleep(Duration::from_millis(70)).await;
        }
    }

    /// Waits until every window with requests is due.
    pub async fn wait_until_due(&self) {
        let last = *self.truth.keys().next_back().expect("requests were sent");
        let due = (last + 1) * WINDOW_S * 1000 + LIMIT_MS;
        tokio::time::sleep(Duration::from_millis(due.saturating_sub(unix_ms()))).await;
    }

    /// Returns the index of the gateway that reports.
    pub fn reporter(&self) -> Option<usize> {
        let record = self.world.store.spec("duties", "usage")?;
        let host = record["holder"]["host"].as_str()?;
        self.gateways
            .iter()
            .position(|gateway| gateway.host() == host)
    }

    /// Checks what holds whatever fails: a window has one report, and a fencing token one host.
    pub fn check_unique(&self) -> BTreeMap<u64, Arrival> {
        let mut reports: BTreeMap<u64, Arrival> = BTreeMap::new();
        let mut hosts = BTreeMap::new();
        let mut last_fence = 0;
        for arrival in self.cloud.arrivals() {
            assert!(arrival.fence >= last_fence, "fencing tokens rise");
            last_fence = arrival.fence;
            let host = hosts.entry(arrival.fence).or_insert(arrival.holder.clone());
            assert_eq!(*host, arrival.holder, "one host has a fencing token");
            let first = reports.entry(arrival.window).or_insert(arrival.clone());
            assert_eq!(first.counts, arrival.counts, "one report of a window");
        }
        reports
    }

    /// Checks that each window since the first request was reported with exactly its counts, and
    /// within `limit_ms` of its end unless `is_excused`.
    pub fn check_reports(&self, is_excused: impl Fn(u64) -> bool) {
        let reports = self.check_unique();
        let first = *self.truth.keys().next().expect("requests were sent");
        let last = *self.truth.keys().next_back().expect("requests were sent");
        let empty = Counts::new();
        for window in first..=last {
            let report = reports.get(&window);
            let report = report.unwrap_or_else(|| panic!("window {window} was not reported"));
            let counts = self.truth.get(&window).unwrap_or(&empty);
            assert_eq!(&report.counts, counts, "window {window}");
            let end = (window + 1) * WINDOW_S * 1000;
            let is_in_time = report.unix_ms <= end + LIMIT_MS;
            assert!(is_in_time || is_excused(window), "window {window} was late");
        }
    }

    /// Returns the hosts that reported, in order, without repetitions.
    pub fn hosts(&self) -> BTreeSet<String> {
        let arrivals = self.cloud.arrivals().into_iter();
        arrivals.map(|arrival| arrival.holder).collect()
    }
}
