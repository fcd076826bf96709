//! Sends the same requests over loopback to a server directly and through an entry in one run, so
//! that the results can be compared.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use tamaracksail_process::settings::{About, Parser};

const HELP: &str = "\
load --direct URL --through URL [--requests N] [--parallel N] [--tokens N] [--model NAME]

Sends N streamed chat completions to each URL, in two halves that alternate between the URLs.
";

/// The measurements for one URL.
#[derive(Default)]
struct Outcome {
    latencies: Vec<Duration>,
    failed: usize,
    elapsed: Duration,
}

/// Sends a request and returns its latency, or `None` if it failed or the stream was incomplete.
async fn send_request(http: &awc::Client, url: &str, body: &serde_json::Value) -> Option<Duration> {
    let start = Instant::now();
    let mut response = http.post(url).send_json(body).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let mut is_complete = false;
    while let Some(bytes) = response.next().await {
        is_complete |= bytes.ok()?.windows(6).any(|window| window == b"[DONE]");
    }
    is_complete.then(|| start.elapsed())
}

/// Sends all requests to one URL, up to `parallel` at a time.
async fn run(url: &str, requests: usize, parallel: usize, body: &serde_json::Value) -> Outcome {
    let http = awc::Client::builder()
        .timeout(Duration::from_secs(30))
        .finish();
    let url = format!("{url}/v1/chat/completions");
    let start = Instant::now();
    let responses = futures_util::stream::iter(0..requests)
        .map(|_| send_request(&http, &url, body))
        .buffer_unordered(parallel);
    let results: Vec<Option<Duration>> = responses.collect().await;
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
        let (median, percentile_99) = (at(50), at(99));
        let done = u32::try_from(outcome.latencies.len()).unwrap_or(u32::MAX);
        let rate = f64::from(done) / outcome.elapsed.as_secs_f64();
        println!(
            "| {name} | {done} | {} | {rate:.0} | {median:.1} ms | {percentile_99:.1} ms |",
            outcome.failed
        );
    }
}
