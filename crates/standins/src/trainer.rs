//! A stand-in for a trainer, which opens a step, fetches its batches one after the other, and saves
//! its progress in a file.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// The delay before a request is retried at the next entry.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long a request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The largest batch, in bytes.
const MAX_BATCH_BYTES: usize = 256 * 1024 * 1024;

/// The task of the trainer.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The URLs of the entries. After a failed request, the trainer uses the next one.
    pub entries: Vec<String>,
    /// The name of the trainer.
    pub trainer: String,
    /// The number of the step.
    pub step: u64,
    /// The number of prompts of the step.
    pub groups: u32,
    /// The number of samples of each prompt.
    pub group_size: u32,
    /// The largest number of tokens of a sample.
    pub max_tokens: u64,
    /// The file in which progress is saved.
    pub state: PathBuf,
    /// How long it takes to learn from a batch.
    pub learn_time: Duration,
    /// How long the step may take before the trainer gives up.
    pub timeout: Duration,
}

/// The saved progress of the trainer, which survives a restart.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    /// The number of the last batch that was received.
    held: u64,
    /// The epoch of that batch.
    epoch: u64,
    /// How often the trainer learnt from each sample of the step, by `GROUP.INDEX`.
    learnt: BTreeMap<String, u32>,
    step: u64,
}

/// The result of the step.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The number of samples that the trainer learnt from.
    pub samples: usize,
    /// The number of those samples that were received more than once.
    pub doubled: usize,
    /// The number of batches.
    pub batches: u64,
    /// The number of samples that each version contributed to.
    pub versions: BTreeMap<u64, u64>,
    /// The time that the trainer waited for samples, in milliseconds.
    pub idle_ms: u64,
    /// Whether the step is complete.
    pub complete: bool,
}

fn load_state(path: &Path, step: u64) -> State {
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

/// Replaces the file atomically, so that a crash leaves either the old state or the new one.
fn save_state(path: &Path, state: &State) -> std::io::Result<()> {
    let temporary_path = path.with_extension("new");
    std::fs::write(&temporary_path, serde_json::to_vec(state)?)?;
    std::fs::rename(temporary_path, path)
}

/// Opens a step and learns from its batches until the step is complete or the plan's timeout
/// expires.
///
/// # Errors
/// If an entry refuses a request, or the state cannot be saved.
pub async fn run(plan: &Plan) -> Result<Report, String> {
    let http = awc::Client::builder().timeout(REQUEST_TIMEOUT).finish();
    let deadline = Instant::now() + plan.timeout;
    let mut state = load_state(&plan.state, plan.step);
    let mut report = Report::default();
    let mut entry_index = 0;
    let mut is_open = false;
    while Instant::now() < deadline && !report.complete {
        let entry = &plan.entries[entry_index % plan.entries.len()];
        let sent_at = Instant::now();
        let response = if is_open {
            next_batch(&http, entry, &plan.trainer, &state).await
        } else {
            open_step(&http, entry, plan).await
        };
        report.idle_ms += u64::try_from(sent_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        match response {
            Reply::Retry => {
                entry_index += 1;
                actix_rt::time::sleep(RETRY_DELAY).await;
                report.idle_ms += u64::try_from(RETRY_DELAY.as_millis()).unwrap_or(0);
            }
            Reply::Refused(message) => return Err(message),
            Reply::Value(value) if !is_open => is_open = value["step"].as_u64() == Some(plan.step),
            Reply::Value(value) if value.get("complete").is_some() => report.complete = true,
            Reply::Value(batch) => {
                learn(&mut state, &mut report, &batch);
                save_state(&plan.state, &state).map_err(|error| error.to_string())?;
                actix_rt::time::sleep(plan.learn_time).await;
            }
        }
    }
    report.samples = state.learnt.len();
    report.doubled = state.learnt.values().filter(|count| **count > 1).count();
    Ok(report)
}

/// The result of a request to an entry.
enum Reply {
    /// The response, as JSON.
    Value(Value),
    /// The request failed, or nothing is ready yet.
    Retry,
    /// An entry refused the request, with this response body.
    Refused(String),
}

/// Learns from a batch, unless it is not the one that follows the last received batch.
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

async fn read_response<S>(
    response: Result<awc::ClientResponse<S>, awc::error::SendRequestError>,
) -> Reply
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
{
    let Ok(mut response) = response else {
        return Reply::Retry;
    };
    let Ok(body) = response.body().limit(MAX_BATCH_BYTES).await else {
        return Reply::Retry;
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    match response.status().as_u16() {
        200 => serde_json::from_slice(&body).map_or(Reply::Retry, Reply::Value),
        400..=499 => Reply::Refused(text),
        _ => Reply::Retry,
    }
}

async fn open_step(http: &awc::Client, entry: &str, plan: &Plan) -> Reply {
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
    read_response(http.post(url).send_json(&body).await).await
}

async fn next_batch(http: &awc::Client, entry: &str, trainer: &str, state: &State) -> Reply {
    let (held, epoch) = (state.held, state.epoch);
    let url = format!("{entry}/v1/trainers/{trainer}/batches?held={held}&epoch={epoch}");
    read_response(http.get(url).send().await).await
}
