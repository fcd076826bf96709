//! Requests that arrive while an entry or an agent stops.

mod common;

use common::{Cluster, POLL_INTERVAL};
use serde_json::json;

/// Sends a filing while `name` stops with another in flight. The first must get its response; the later one, on a
/// kept and then on a new connection, must not run unless it gets its response too.
async fn check(name: &str) {
    let mut cluster = Cluster::start().await;
    cluster.set_faults(7204, &json!({ "delay_ms": 1500 })).await;
    let late = async {
        cluster.wait_for_filing("1").await;
        cluster.signal(name, "-TERM");
        let mut statuses = Vec::new();
        for number in 2..8 {
            let filing = number.to_string();
            statuses.push((filing.clone(), cluster.submit_filing(1, &filing).await.0));
            actix_rt::time::sleep(POLL_INTERVAL * 4).await;
        }
        statuses
    };
    let ((first, _), late) = futures_util::join!(cluster.submit_filing(1, "1"), late);
    assert_eq!(first, 201);
    let filings = cluster.get_json(7204, "/filings").await;
    for (filing, status) in late {
        let runs = filings[&filing].as_u64().unwrap_or(0);
        // Status 0 stands for a connection that was refused.
        let expected = u64::from(status == 201);
        assert!(
            [0, 201, 503].contains(&status),
            "{name}: {filing}: {status}"
        );
        assert_eq!(runs, expected, "{name}: {filing}: {status}");
    }
    let ended = cluster.child(name).wait().expect("the process exits");
    assert!(ended.success(), "{name}: {ended}");
}

// Guards against: an entry that stops takes a late request, and cuts it at its end.
#[actix_rt::test]
async fn a_stopping_entry_takes_no_request_that_it_cuts() {
    check("entry-1").await;
}

// Guards against: an agent that stops takes a late attempt, and cuts it at its end.
#[actix_rt::test]
async fn a_stopping_agent_takes_no_attempt_that_it_cuts() {
    check("agent-4").await;
}
