//! Tests of usage reports, with real gateway processes.

mod common;

use std::time::{Duration, Instant};

use common::reporting::{Site, WINDOW_S, window};
use common::{Gateway, World, run, wait_until};
use hyper::Method;
use tamaracksail_adapter_standins::{cloud, store};
use tamaracksail_policy::duty::{Member, rank};

#[test]
fn each_window_is_reported_once_in_time_with_exact_counts() {
    run(async {
        let begin = Instant::now();
        let mut site = Site::start(4).await;
        wait_until("a reporter exists", async || site.reporter().is_some()).await;
        assert!(
            begin.elapsed() < Duration::from_secs(3),
            "{:?}",
            begin.elapsed()
        );
        site.send_for(Duration::from_secs(2 * WINDOW_S), &[0, 1, 2, 3])
            .await;
        site.wait_until_due().await;
        site.check_reports(|_| false);
        assert_eq!(site.hosts().len(), 1);
    });
}

#[test]
fn a_window_costs_one_write_and_a_watch_of_each_candidate() {
    run(async {
        let mut site = Site::start(5).await;
        wait_until("a reporter exists", async || site.reporter().is_some()).await;
        site.send_for(Duration::from_secs(WINDOW_S), &[0, 1, 2, 3, 4])
            .await;
        let count = |method: &Method| site.world.store.call_count("duties", method);
        let before = (count(&Method::PUT), count(&Method::GET));
        tokio::time::sleep(Duration::from_secs(4 * WINDOW_S)).await;
        let (writes, reads) = (
            count(&Method::PUT) - before.0,
            count(&Method::GET) - before.1,
        );
        // Four windows end, and at the limits of the time one more or less.
        assert!((3..=5).contains(&writes), "{writes} writes");
        assert!(reads <= 3 * writes + 3, "{reads} watches, {writes} writes");
        assert_eq!(count(&Method::POST), 1, "it was created once");
    });
}

#[test]
fn a_killed_reporter_is_replaced_and_its_windows_are_reported_unchanged() {
    run(async {
        let mut site = Site::start(4).await;
        wait_until("a reporter exists", async || site.reporter().is_some()).await;
        let killed = site.reporter().expect("a reporter");
        site.send_for(Duration::from_secs(WINDOW_S), &[0, 1, 2, 3])
            .await;
        // What it counted in the last 300 ms would be lost with it.
        tokio::time::sleep(Duration::from_secs(1)).await;
        site.gateways[killed].kill();
        let begin = Instant::now();
        let others: Vec<usize> = (0..4).filter(|index| *index != killed).collect();
        site.send_for(Duration::from_secs(WINDOW_S), &others).await;
        let reporter = site.reporter().expect("a reporter");
        assert_ne!(reporter, killed, "after {:?}", begin.elapsed());
        site.wait_until_due().await;
        site.check_reports(|_| false);
        assert_eq!(site.hosts().len(), 2);
    });
}

#[test]
fn counts_of_a_killed_gateway_are_reported_although_the_reporter_is_killed_with_it() {
    run(async {
        let mut site = Site::start(4).await;
        wait_until("a reporter exists", async || site.reporter().is_some()).await;
        let reporter = site.reporter().expect("a reporter");
        let members = (0..4).map(|index| Member {
            host: site.gateways[index].host().to_owned(),
            address: site.gateways[index].ingress(),
            has_spare_cpu: true,
            is_scheduler: false,
            is_unresponsive: false,
        });
        let ranked = rank("usage", members.collect());
        let index = |member: &Member| {
            let mut gateways = site.gateways.iter();
            let found = gateways.position(|gateway| gateway.host() == member.host);
            found.expect("a gateway")
        };
        // The deputy is the first besides the reporter.
        let others: Vec<usize> = ranked
            .iter()
            .map(index)
            .filter(|index| *index != reporter)
            .collect();
        let (deputy, victim) = (others[0], others[2]);
        site.send_for(Duration::from_secs(2), &[victim]).await;
        // It may lose what it counted in the last 300 ms.
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.gateways[victim].kill();
        site.gateways[reporter].kill();
        let killed = Instant::now();
        wait_until("a successor exists", async || {
            site.reporter() != Some(reporter)
        })
        .await;
        let limit = Duration::from_secs(WINDOW_S);
        assert!(killed.elapsed() < limit, "{:?}", killed.elapsed());
        site.send_for(Duration::from_secs(2), &[deputy]).await;
        site.wait_until_due().await;
        site.check_reports(|_| false);
    });
}

#[test]
fn after_all_gateways_were_killed_a_reporter_exists_within_three_seconds() {
    run(async {
        let mut site = Site::start(4).await;
        wait_until("a reporter exists", async || site.reporter().is_some()).await;
        site.send_for(Duration::from_secs(1), &[0, 1, 2, 3]).await;
        // Every window so far is fixed, and not necessarily confirmed.
        tokio::time::sleep(Duration::from_secs(WINDOW_S + 3)).await;
        let fence = |site: &Site| {
            let record = site.world.store.spec("duties", "usage");
            record.expect("a record")["fence"]
                .as_u64()
                .expect("a token")
        };
        let before = fence(&site);
        site.gateways.iter_mut().for_each(Gateway::kill);
        let restarted = Instant::now();
        site.gateways.iter_mut().for_each(Gateway::restart);
        wait_until("a reporter exists", async || fence(&site) > before).await;
        let limit = Duration::from_secs(3);
        assert!(restarted.elapsed() < limit, "{:?}", restarted.elapsed());
        for gateway in &site.gateways {
            gateway.wait_until_ready().await;
        }
        site.send_for(Duration::from_secs(2), &[0, 1, 2, 3]).await;
        site.wait_until_due().await;
        site.check_reports(|_| false);
    });
}

#[test]
fn a_reporter_that_schedules_batches_leaves_the_duty_to_another_gateway() {
    run(async {
        // Items take a minute, so the batch stays open.
        let mut site = Site::start_with(1, Duration::from_secs(20)).await;
        wait_until("a reporter exists", async || site.reporter().is_some()).await;
        let client = site.gateways[0].client().with_key("key-of-north");
        let accepted = client.submit("batch", &["i1"], 1).await;
        assert_eq!(accepted.expect("a response").status, 202);
        site.gateways[0].wait_for_log("scheduling started").await;
        site.add_gateway();
        site.gateways[1].wait_until_ready().await;
        let begin = Instant::now();
        wait_until("the other gateway reports", async || {
            site.reporter() == Some(1)
        })
        .await;
        // It is left at the end of a window that lies 10 s after its acquisition.
        assert!(
            begin.elapsed() < Duration::from_secs(20),
            "{:?}",
            begin.elapsed()
        );
        tokio::time::sleep(Duration::from_secs(2 * WINDOW_S)).await;
        let arrivals = site.cloud.arrivals();
        assert_eq!(
            arrivals.last().expect("a report").holder,
            site.gateways[1].host()
        );
        site.check_unique();
    });
}

#[test]
fn reports_wait_for_a_cloud_that_is_down_and_are_sent_unchanged() {
    run(async {
        let mut site = Site::start(3).await;
        wait_until("a reporter exists", async || site.reporter().is_some()).await;
        site.cloud.set_fault(cloud::Fault::Down);
        let first = window();
        site.send_for(Duration::from_secs(2 * WINDOW_S), &[0, 1, 2])
            .await;
        site.cloud.set_fault(cloud::Fault::Busy);
        tokio::time::sleep(Duration::from_secs(3)).await;
        site.cloud.set_fault(cloud::Fault::LosesResponses);
        site.send_for(Duration::from_secs(WINDOW_S), &[0, 1, 2])
            .await;
        site.cloud
            .set_fault(cloud::Fault::Slow(Duration::from_secs(2)));
        let healed = window();
        site.send_for(Duration::from_secs(WINDOW_S), &[0, 1, 2])
            .await;
        site.wait_until_due().await;
        site.check_reports(|window| (first..healed).contains(&window));
        let calls = site.cloud.call_times();
        let is_crowded = calls
            .windows(50)
            .any(|calls| calls[49] - calls[0] < Duration::from_secs(1));
        assert!(!is_crowded, "50 calls within a second");
    });
}

#[test]
fn reports_are_complete_after_the_store_was_down() {
    run(async {
        let mut site = Site::start(3).await;
        wait_until("a reporter exists", async || site.reporter().is_some()).await;
        site.send_for(Duration::from_secs(2), &[0, 1, 2]).await;
        let first = window();
        site.world.store.set_fault(store::Fault::Silent);
        site.send_for(Duration::from_secs(9), &[0, 1, 2]).await;
        site.world.store.set_fault(store::Fault::None);
        let healed = window();
        site.send_for(Duration::from_secs(WINDOW_S), &[0, 1, 2])
            .await;
        site.wait_until_due().await;
        let is_excused = |window| (first.saturating_sub(2)..=healed).contains(&window);
        site.check_reports(is_excused);
    });
}

#[test]
fn a_window_is_fixed_once_although_responses_to_writes_are_lost() {
    run(async {
        let mut site = Site::start(3).await;
        wait_until("a reporter exists", async || site.reporter().is_some()).await;
        let fault = store::Fault::LosesResponses("duties".to_owned());
        site.world.store.set_fault(fault);
        site.send_for(Duration::from_secs(2 * WINDOW_S), &[0, 1, 2])
            .await;
        let delay = Duration::from_secs(2);
        let fault = store::Fault::AppliesLate("duties".to_owned(), delay);
        site.world.store.set_fault(fault);
        site.send_for(Duration::from_secs(2 * WINDOW_S), &[0, 1, 2])
            .await;
        site.world.store.set_fault(store::Fault::None);
        site.send_for(Duration::from_secs(1), &[0, 1, 2]).await;
        site.wait_until_due().await;
        site.check_reports(|_| true);
    });
}

#[test]
fn a_frozen_reporter_sends_nothing_after_it_was_replaced() {
    run(async {
        let mut site = Site::start(3).await;
        wait_until("a reporter exists", async || site.reporter().is_some()).await;
        let frozen = site.reporter().expect("a reporter");
        site.send_for(Duration::from_secs(WINDOW_S), &[0, 1, 2])
            .await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        site.gateways[frozen].signal("STOP");
        let others: Vec<usize> = (0..3).filter(|index| *index != frozen).collect();
        wait_until("a successor exists", async || {
            site.reporter() != Some(frozen)
        })
        .await;
        let successor = site.reporter().expect("a reporter");
        site.send_for(Duration::from_secs(2), &others).await;
        site.gateways[frozen].signal("CONT");
        let thawed = Instant::now();
        site.send_for(Duration::from_secs(WINDOW_S), &[0, 1, 2])
            .await;
        site.wait_until_due().await;
        site.check_reports(|_| true);
        let host = site.gateways[successor].host();
        let arrivals = site.cloud.arrivals();
        let late = arrivals.iter().filter(|arrival| arrival.at > thawed);
        for arrival in late {
            assert_eq!(arrival.holder, host);
        }
    });
}

#[test]
fn what_did_not_run_is_not_counted_and_what_may_have_run_is_counted_once() {
    run(async {
        use tamaracksail_adapter_standins::engine::Fault;
        let mut site = Site::start(2).await;
        wait_until("a reporter exists", async || site.reporter().is_some()).await;
        let client = site.gateways[0].client().with_key("key-of-south");
        // Early in a window, so that all of it is in one.
        wait_until("a window begins", async || {
            common::reporting::unix_ms() % (WINDOW_S * 1000) < 500
        })
        .await;
        let at = window();
        // Refused and run at the second attempt; run twice; refused for want of a key.
        for (id, fault) in [("a", Fault::NotRun), ("b", Fault::NoResponse)] {
            site.world.app.push_faults(&[fault]);
            client
                .request(id, "/plain/a", "")
                .await
                .expect("a response");
        }
        let stranger = site.gateways[0].client().with_key("key-of-nobody");
        stranger
            .request("c", "/plain/a", "")
            .await
            .expect("a response");
        client
            .request("d", "/elsewhere/", "")
            .await
            .expect("a response");
        let streamed = client.stream("e", "/stream/x").await;
        assert_eq!(streamed.expect("a response").status, 200);
        let accepted = client.submit("batch", &["i1", "i2"], 1).await;
        assert_eq!(accepted.expect("a response").status, 202);
        assert_eq!(window(), at, "the machine is too slow for this test");
        let ran = site.truth.entry(at).or_default();
        ran.insert("south".to_owned(), 3);
        site.wait_until_due().await;
        site.check_reports(|_| false);
    });
}

#[test]
fn without_a_cloud_nothing_is_added() {
    run(async {
        let world = World::start(1, 3, Duration::from_millis(5)).await;
        let gateway = Gateway::start("front-0", &world.store);
        gateway.wait_until_ready().await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        for method in [Method::GET, Method::POST, Method::PUT] {
            assert_eq!(world.store.call_count("duties", &method), 0);
        }
        let record = world.store.spec("gateways", "front-0").expect("a record");
        assert_eq!(record.as_object().expect("an object").len(), 1);
    });
}
