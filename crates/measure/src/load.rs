//! A bounded load over loopback: the same requests to a server directly and through entries, in
//! one run, so that the ratio can be quoted.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use tamaracksail_process::settings::{About, Parser};

const HELP: &str = "\
load --direct URL --through URL [--requests N] [--parallel N] [--tokens N] [--model NAME]

Sends N streamed chat completions to each URL, half of them before and half after the other's.
";

/// What one URL gave.
#[derive(Default)]
struct Outcome {
    latencies: Vec<Duration>,
    failed: usize,
    elapsed: Duration,
}

async fn one(http: &awc::Client, url: &str, body: &serde_json::Value) -> Option<Duration> {
    let start = Instant::now();
    let mut response = http.post(url).send_json(body).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let mut is_whole = false;
    while let Some(bytes) = response.next().await {
        is_whole |= bytes.ok()?.windows(6).any(|window| window == b"[DONE]");
    }
    is_whole.then(|| start.elapsed())
}

async fn run(url: &str, requests: usize, parallel: usize, body: &serde_json::Value) -> Outcome {
    let http = awc::Client::builder()
        .timeout(Duration::from_secs(30))
        .finish();
    let url = format!("{url}/v1/chat/completions");
    let start = Instant::now();
    let sent = futures_util::stream::iter(0..requests)
        .map(|_| one(&http, &url, body))
        .buffer_unordered(parallel);
    let results: Vec<Option<Duration>> = sent.collect().await;
    let latencies: Vec<Duration> = results.iter().copied().flatten().collect();
    Outcome {
        failed: requests - latencies.len(),
        latencies,
        elapsed: start.elapsed(),
    }
}

#[actix_rt::main]
async fn main() {
    let about = About {
        name: "load",
        version: env!("CARGO_PKG_VERSION"),
        help: HELP,
    };
    let mut parser = Parser::new(about);
    let direct: String = parser.required("--direct", String::new());
    let through: String = parser.required("--through", String::new());
    let requests: usize = parser.with_default("--requests", 2000);
    let parallel: usize = parser.with_default("--parallel", 8);
    let tokens: u64 = parser.with_default("--tokens", 16);
    let model: String = parser.with_default("--model", "translit-llm".to_owned());
    parser.finish();
    let body = serde_json::json!({
        "model": model,
        "stream": true,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": "draft" }],
    });
    println!("| way | requests | failed | requests/s | median | 99th percentile |");
    println!("|---|---|---|---|---|---|");
    let mut outcomes = [Outcome::default(), Outcome::default()];
    for _half in 0..2 {
        for (outcome, url) in outcomes.iter_mut().zip([&direct, &through]) {
            let half = run(url, requests / 2, parallel, &body).await;
            outcome.latencies.extend(half.latencies);
            outcome.failed += half.failed;
            outcome.elapsed += half.elapsed;
        }
    }
    for (outcome, name) in outcomes.iter_mut().zip(["direct", "entry and agent"]) {
        outcome.latencies.sort_unstable();
        let at = |percent: usize| {
            let rank = outcome.latencies.len() * percent / 100;
            outcome
                .latencies
                .get(rank)
                .copied()
                .unwrap_or_default()
                .as_secs_f64()
                * 1000.0
        };
        let (median, last) = (at(50), at(99));
        let done = u32::try_from(outcome.latencies.len()).unwrap_or(u32::MAX);
        let rate = f64::from(done) / outcome.elapsed.as_secs_f64();
        println!(
            "| {name} | {done} | {} | {rate:.0} | {median:.1} ms | {last:.1} ms |",
            outcome.failed
        );
    }
}
