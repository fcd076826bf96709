//! A stand-in for a scoring service, which reads drafts from an entry and submits a score for each.

use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::{Value, json};

/// The delay before drafts are requested again.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The result of scoring.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The number of scores that were accepted.
    pub scored: u64,
    /// The number of scores that were refused, for example because a version is not allowed, or
    /// that could not be sent.
    pub refused: u64,
}

/// Scores drafts for the given duration.
pub async fn run(entry: &str, trainer: &str, duration: Duration) -> Report {
    let http = awc::Client::default();
    let deadline = Instant::now() + duration;
    let mut report = Report::default();
    while Instant::now() < deadline {
        let url = format!("{entry}/v1/trainers/{trainer}/drafts?count=16");
        let drafts = match http.get(url).timeout(duration).send().await {
            Ok(mut response) => response.json::<Value>().limit(64 * 1024 * 1024).await.ok(),
            Err(_) => None,
        };
        let drafts = drafts.and_then(|value| value["drafts"].as_array().cloned());
        for draft in drafts.iter().flatten() {
            let text = draft["answer"]["choices"][0]["message"]["content"].as_str();
            let words = text.unwrap_or_default().split_whitespace().count();
            let score = u32::try_from(words).map_or(0.0, f64::from) / 100.0;
            let url = format!("{entry}/v1/trainers/{trainer}/scores");
            let body = json!({ "draft": draft["draft"], "score": score });
            match http.post(url).send_json(&body).await {
                Ok(response) if response.status().is_success() => report.scored += 1,
                _ => report.refused += 1,
            }
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    report
}
