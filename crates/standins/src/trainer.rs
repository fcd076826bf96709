//! A trainer: opens a step, takes batch after batch, and keeps what it holds in a file.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// The pause before an entry is asked again.
const PAUSE: Duration = Duration::from_millis(100);

/// How long one request may take.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The largest batch, in bytes.
const MAX_BYTES: usize = 256 * 1024 * 1024;

/// What the trainer is to do.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The entries, which it asks in turn.
    pub entries: Vec<String>,
    /// Its name.
    pub trainer: String,
    /// The step.
    pub step: u64,
    /// Prompts of the step.
    pub groups: u32,
    /// Samples of each prompt.
    pub group_size: u32,
    /// Tokens of a sample.
    pub max_tokens: u64,
    /// Where what it holds is kept.
    pub state: PathBuf,
    /// How long it learns from a batch.
    pub learn: Duration,
    /// When it gives up.
    pub patience: Duration,
}

/// What the trainer holds; survives its death.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    held: u64,
    epoch: u64,
    /// How often it learnt from each slot of the step.
    learnt: BTreeMap<String, u32>,
    step: u64,
}

/// What came of the step.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Samples that it learnt from.
    pub samples: usize,
    /// Of those, samples that came more than once.
    pub doubled: usize,
    /// Batches.
    pub batches: u64,
    /// Versions of the samples, with their count.
    pub versions: BTreeMap<u64, u64>,
    /// The time that it waited for samples, in milliseconds.
    pub idle_ms: u64,
    /// Whether the step is complete.
    pub complete: bool,
}

fn load(path: &Path, step: u64) -> State {
    let stored: Option<State> = std::fs::read(path)
        .ok()
        .and_then(|bytes| serde_json::from_slice(&bytes).ok());
    let mut state = stored.unwrap_or_default();
    if state.step != step {
        state.step = step;
        state.learnt.clear();
    }
    state
}

/// Replaces the file as a whole, so that a death leaves the old state or the new one.
fn save(path: &Path, state: &State) -> std::io::Result<()> {
    let new = path.with_extension("new");
    std::fs::write(&new, serde_json::to_vec(state)?)?;
    std::fs::rename(new, path)
}

/// Takes a step as a whole.
///
/// # Errors
/// If an entry refuses a request, or the state cannot be kept.
pub async fn run(plan: &Plan) -> Result<Report, String> {
    let http = awc::Client::builder().timeout(TIMEOUT).finish();
    let until = Instant::now() + plan.patience;
    let mut state = load(&plan.state, plan.step);
    let mut report = Report::default();
    let mut turn = 0;
    let mut is_open = false;
    while Instant::now() < until && !report.complete {
        let entry = &plan.entries[turn % plan.entries.len()];
        let asked = Instant::now();
        let answer = if is_open {
            next(&http, entry, &plan.trainer, &state).await
        } else {
            open(&http, entry, plan).await
        };
        report.idle_ms += u64::try_from(asked.elapsed().as_millis()).unwrap_or(u64::MAX);
        match answer {
            Answer::Later => {
                turn += 1;
                actix_rt::time::sleep(PAUSE).await;
                report.idle_ms += u64::try_from(PAUSE.as_millis()).unwrap_or(0);
            }
            Answer::Refused(why) => return Err(why),
            Answer::Value(value) if !is_open => is_open = value["step"].as_u64() == Some(plan.step),
            Answer::Value(value) if value.get("complete").is_some() => report.complete = true,
            Answer::Value(batch) => {
                learn(&mut state, &mut report, &batch);
                save(&plan.state, &state).map_err(|error| error.to_string())?;
                actix_rt::time::sleep(plan.learn).await;
            }
        }
    }
    report.samples = state.learnt.len();
    report.doubled = state.learnt.values().filter(|times| **times > 1).count();
    Ok(report)
}

enum Answer {
    Value(Value),
    Later,
    Refused(String),
}

/// Learns from a batch, unless it is held already.
fn learn(state: &mut State, report: &mut Report, batch: &Value) {
    let (number, epoch) = (batch["batch"].as_u64(), batch["epoch"].as_u64());
    if number != Some(state.held + 1) {
        return;
    }
    state.held += 1;
    state.epoch = epoch.unwrap_or(0);
    report.batches += 1;
    for sample in batch["samples"].as_array().into_iter().flatten() {
        let slot = format!("{}.{}", sample["group"], sample["index"]);
        *state.learnt.entry(slot).or_default() += 1;
        for version in sample["versions"].as_array().into_iter().flatten() {
            *report
                .versions
                .entry(version.as_u64().unwrap_or(0))
                .or_default() += 1;
        }
    }
}

async fn read<S>(response: Result<awc::ClientResponse<S>, awc::error::SendRequestError>) -> Answer
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
{
    let Ok(mut response) = response else {
        return Answer::Later;
    };
    let Ok(body) = response.body().limit(MAX_BYTES).await else {
        return Answer::Later;
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    match response.status().as_u16() {
        200 => serde_json::from_slice(&body).map_or(Answer::Later, Answer::Value),
        400..=499 => Answer::Refused(text),
        _ => Answer::Later,
    }
}

async fn open(http: &awc::Client, entry: &str, plan: &Plan) -> Answer {
    let prompts: Vec<String> = (0..plan.groups)
        .map(|group| format!("step {} draft {group}", plan.step))
        .collect();
    let body = json!({
        "step": plan.step,
        "prompts": prompts,
        "group_size": plan.group_size,
        "params": { "max_tokens": plan.max_tokens },
    });
    let url = format!("{entry}/v1/trainers/{}/steps", plan.trainer);
    read(http.post(url).send_json(&body).await).await
}

async fn next(http: &awc::Client, entry: &str, trainer: &str, state: &State) -> Answer {
    let (held, epoch) = (state.held, state.epoch);
    let url = format!("{entry}/v1/trainers/{trainer}/batches?held={held}&epoch={epoch}");
    read(http.get(url).send().await).await
}
