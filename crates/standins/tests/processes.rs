//! Tests with real processes, under faults that a simulation cannot show: SIGKILL, SIGSTOP, SIGTERM
//! under load, and a closed socket. Each test waits for events and does not depend on time; the
//! limit on polls only ends a test that would never finish.

mod common;

use std::time::Duration;

use common::{Cluster, MAX_POLLS, POLL_INTERVAL};
use serde_json::{Value, json};

/// Returns the words of a streamed response, in order.
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
async fn a_filing_whose_agent_is_killed_has_an_unknown_outcome_and_does_not_run_again() {
    let mut cluster = Cluster::start().await;
    cluster.set_faults(7204, &json!({ "hang": true })).await;
    let kill = async {
        cluster.wait_for_filing("7").await;
        cluster.signal("agent-4", "-KILL");
    };
    let ((status, body), ()) = futures_util::join!(cluster.submit_filing(1, "7"), kill);
    assert_eq!((status, &body["outcome"]), (502, &json!("unknown")));
    cluster
        .child("agent-4")
        .wait()
        .expect("the agent was killed");
    cluster.set_faults(7204, &json!({})).await;
    cluster
        .start_agent(4, "tunis-b", "service", "registre-app", 7204)
        .await;
    for entry in [1, 2] {
        cluster
            .wait_for_success(7400 + entry, "/services/registre-app/names/1")
            .await;
        let (status, body) = cluster.submit_filing(entry, "7").await;
        assert_eq!((status, &body["outcome"]), (409, &json!("unknown")));
    }
    assert_eq!(cluster.get_json(7204, "/filings").await, json!({ "7": 1 }));
}

#[actix_rt::test]
async fn a_filing_repeated_while_its_entry_is_stopped_runs_once() {
    let cluster = Cluster::start().await;
    cluster.set_faults(7204, &json!({ "delay_ms": 1500 })).await;
    let repeat = async {
        cluster.wait_for_filing("8").await;
        cluster.signal("entry-1", "-STOP");
        let (status, body) = cluster.submit_filing(2, "8").await;
        cluster.signal("entry-1", "-CONT");
        (status, body["outcome"].clone())
    };
    let ((first, _), (second, outcome)) =
        futures_util::join!(cluster.submit_filing(1, "8"), repeat);
    assert_eq!(first, 201);
    assert_eq!((second, outcome), (409, json!("unknown")));
    for _ in 0..MAX_POLLS {
        // The result is stored as soon as the entry, which was stopped, has written it.
        if cluster.submit_filing(2, "8").await.0 == 201 {
            break;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(cluster.submit_filing(2, "8").await.0, 201);
    assert_eq!(cluster.get_json(7204, "/filings").await, json!({ "8": 1 }));
}

#[actix_rt::test]
async fn a_stream_whose_engine_is_killed_continues_on_another() {
    let cluster = Cluster::start().await;
    let expected = words(
        &cluster
            .complete_chat(1, 400, true)
            .await
            .expect("no fault is injected"),
    );
    let kill = async {
        let engine = cluster.wait_for_run().await;
        cluster.signal(&format!("engine-{engine}"), "-KILL");
    };
    let (response, ()) = futures_util::join!(cluster.complete_chat(1, 400, true), kill);
    assert_eq!(
        words(&response.expect("the response is complete")),
        expected
    );
}

#[actix_rt::test]
async fn a_broken_stream_never_looks_complete() {
    let cluster = Cluster::start().await;
    for engine in 1..=3 {
        cluster
            .set_faults(7200 + engine, &json!({ "break_after": 5 }))
            .await;
    }
    let text = cluster
        .complete_chat(1, 400, true)
        .await
        .expect_err("every engine breaks the connection");
    assert!(
        text.contains("\"outcome\":\"unknown\"") && !text.contains("[DONE]"),
        "{text}"
    );
}

#[actix_rt::test]
async fn graceful_stops_break_no_stream() {
    let mut cluster = Cluster::start().await;
    for engine in 1..=3 {
        cluster
            .set_faults(7200 + engine, &json!({ "token_ms": 5 }))
            .await;
    }
    let streams = (0..16).map(|number| cluster.complete_chat(1 + number % 2, 300, true));
    let streams = futures_util::future::join_all(streams);
    let stop = async {
        let agent = format!("agent-{}", cluster.wait_for_run().await);
        cluster.signal(&agent, "-TERM");
        cluster.signal("entry-2", "-TERM");
        agent
    };
    let (responses, agent) = futures_util::join!(streams, stop);
    let broken: Vec<_> = responses.into_iter().filter_map(Result::err).collect();
    assert_eq!(broken, Vec::<String>::new());
    for name in [agent.as_str(), "entry-2"] {
        let ended = cluster.child(name).wait().expect("the process exits");
        assert!(ended.success(), "{name}: {ended}");
    }
}

#[actix_rt::test]
async fn a_step_completes_although_its_owner_is_killed() {
    let cluster = Cluster::start().await;
    let plan = tamaracksail_standins::trainer::Plan {
        entries: vec![cluster.url(7401, ""), cluster.url(7402, "")],
        trainer: "translit".to_owned(),
        step: 1,
        groups: 8,
        group_size: 4,
        max_tokens: 60,
        state: cluster.directory.join("trainer"),
        learn_time: Duration::from_millis(50),
        timeout: Duration::from_mins(2),
    };
    let kill = async {
        for _ in 0..MAX_POLLS {
            let url = cluster.url(7401, "/v1/trainers/translit/progress");
            let progress: Value = match cluster.http.get(url).send().await {
                Ok(mut response) => response.json().await.unwrap_or(Value::Null),
                Err(_) => Value::Null,
            };
            if progress["filled"].as_u64() > Some(0) {
                break;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        let ledger = cluster.get_json(7000, "/objects/ledger/translit").await;
        let owner = ledger["owner"]
            .as_str()
            .expect("the ledger has an owner")
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
