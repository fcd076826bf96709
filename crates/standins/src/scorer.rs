//! A scoring service: takes drafts and gives each a score.

use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::{Value, json};

/// The pause before an entry is asked again.
const PAUSE: Duration = Duration::from_millis(100);

/// What came of the scoring.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Scores that were taken.
    pub scored: u64,
    /// Scores that were refused, for example of a version that is not allowed.
    pub refused: u64,
}

/// Scores drafts until the time is over.
pub async fn run(entry: &str, trainer: &str, time: Duration) -> Report {
    let http = awc::Client::default();
    let until = Instant::now() + time;
    let mut report = Report::default();
    while Instant::now() < until {
        let url = format!("{entry}/v1/trainers/{trainer}/drafts?count=16");
        let drafts = match http.get(url).timeout(time).send().await {
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
        actix_rt::time::sleep(PAUSE).await;
    }
    report
}
