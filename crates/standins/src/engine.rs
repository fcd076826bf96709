//! A stand-in for a model engine. It is OpenAI-compatible, runs all requests concurrently, cancels
//! a request when its connection closes, continues the text of an interrupted response, has a
//! prefix cache, and loads weights on command. Each chunk names the version that generated it, as
//! `system_fingerprint: MODEL@VERSION`.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::time::Duration;

use actix_web::{HttpResponse, web};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::faults::{self, Faults};

/// The number of prefixes that the cache holds.
const MAX_CACHED_PREFIXES: usize = 64;

/// The number of characters at the start of a prompt that form its prefix.
const PREFIX_CHARS: usize = 64;

/// The number of tokens of a response if the request does not set it.
const DEFAULT_RESPONSE_TOKENS: u64 = 16;

/// The largest number of tokens of a response.
const MAX_RESPONSE_TOKENS: u64 = 4096;

/// The faults that the engine injects.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// The time to generate one token, in milliseconds.
    pub token_ms: u64,
    /// Responses stop after their first token, and their connections stay open.
    pub hang: bool,
    /// The process exits when a prompt contains this text.
    pub crash_on: Option<String>,
    /// The number of load commands that still fail.
    pub fail_loads: u32,
    /// The number of load commands that are still carried out but get an error response.
    pub lose_loads: u32,
    /// The number of tokens after which the connection of a response breaks. Zero never breaks it.
    pub break_after: u64,
    /// Whether a load command with an outdated fencing token is rejected.
    pub checks_orders: bool,
}

impl Default for FaultSettings {
    fn default() -> Self {
        Self {
            token_ms: 2,
            hang: false,
            crash_on: None,
            fail_loads: 0,
            lose_loads: 0,
            break_after: 0,
            checks_orders: true,
        }
    }
}

/// The state of an engine.
pub struct Engine {
    /// The process id, so that it changes when the engine restarts.
    epoch: u64,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    /// The version that is loaded of each model.
    versions: BTreeMap<String, u64>,
    /// The highest fencing token that a load command of each model had.
    fences: BTreeMap<String, u64>,
    running: u32,
    /// The cached prefixes, the least recently used first.
    cache: VecDeque<String>,
    events: Vec<Value>,
    event_number: u64,
}

impl Engine {
    /// Returns an engine with the given versions loaded.
    #[must_use]
    pub fn new(versions: BTreeMap<String, u64>) -> Self {
        let inner = Inner {
            versions,
            ..Inner::default()
        };
        Self {
            epoch: u64::from(std::process::id()),
            inner: Mutex::new(inner),
        }
    }

    fn with_inner<R>(&self, update: impl FnOnce(&mut Inner) -> R) -> R {
        update(&mut self.inner.lock().expect("no holder of the lock panics"))
    }

    /// Marks the prompt's prefix as the most recently used, adding it to the cache if necessary.
    /// Returns whether it was cached before.
    fn touch_prefix(&self, prompt: &str) -> bool {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        self.with_inner(|inner| {
            let position = inner.cache.iter().position(|cached| *cached == prefix);
            if let Some(position) = position {
                inner.cache.remove(position);
            } else {
                inner.event_number += 1;
                let event = json!({ "number": inner.event_number, "stored": prefix });
                inner.events.push(event);
            }
            inner.cache.push_back(prefix);
            if inner.cache.len() > MAX_CACHED_PREFIXES {
                inner.cache.pop_front();
            }
            position.is_some()
        })
    }
}

type State = web::Data<Engine>;
type FaultState = web::Data<Faults<FaultSettings>>;

/// Adds the routes of an engine with the given state.
pub fn routes(state: &State, fault_state: &FaultState, config: &mut web::ServiceConfig) {
    config
        .app_data(state.clone())
        .app_data(fault_state.clone())
        .app_data(web::JsonConfig::default().limit(8 * 1024 * 1024))
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/completions", web::post().to(complete))
        .route("/health", web::get().to(health))
        .route("/load", web::post().to(load))
        .route("/weights/{model}/{version}", web::get().to(weights))
        .route("/cache-events", web::get().to(cache_events))
        .route("/faults", web::post().to(faults::set::<FaultSettings>));
}

#[derive(Clone, Debug, Deserialize)]
struct Request {
    model: String,
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    prompt: String,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    continue_final_message: bool,
    #[serde(default)]
    seed: u64,
}

impl Request {
    fn content(message: &Value) -> &str {
        message["content"].as_str().unwrap_or_default()
    }

    fn prompt_text(&self) -> String {
        let skip = usize::from(self.continue_final_message);
        let context_length = self.messages.len().saturating_sub(skip);
        let contents = self.messages.iter().take(context_length).map(Self::content);
        contents
            .chain(std::iter::once(self.prompt.as_str()))
            .collect::<Vec<_>>()
            .join("\n")
    }

    /// Returns the number of tokens of the response that an earlier attempt already generated.
    fn previous_tokens(&self) -> u64 {
        if !self.continue_final_message {
            return 0;
        }
        let last = self.messages.last().map_or("", Self::content);
        last.split_whitespace().count() as u64
    }
}

async fn chat(state: State, fault_state: FaultState, body: web::Json<Request>) -> HttpResponse {
    generate(state, fault_state, body.into_inner(), true)
}

async fn complete(state: State, fault_state: FaultState, body: web::Json<Request>) -> HttpResponse {
    generate(state, fault_state, body.into_inner(), false)
}

fn generate(
    state: State,
    fault_state: FaultState,
    request: Request,
    is_chat: bool,
) -> HttpResponse {
    let faults = fault_state.get();
    let prompt = request.prompt_text();
    if faults
        .crash_on
        .as_ref()
        .is_some_and(|text| prompt.contains(text))
    {
        log::error!("exiting: the prompt contains the text of crash_on");
        std::process::exit(101);
    }
    if !state.with_inner(|inner| inner.versions.contains_key(&request.model)) {
        let error = json!({ "error": { "message": "no such model", "type": "not_found" } });
        return HttpResponse::NotFound().json(error);
    }
    if !request.stream {
        let error =
            json!({ "error": { "message": "only streams", "type": "invalid_request_error" } });
        return HttpResponse::BadRequest().json(error);
    }
    let (sender, receiver) = mpsc::channel::<Result<Bytes, std::io::Error>>(4);
    actix_rt::spawn(run_request(
        state,
        fault_state,
        request,
        prompt,
        is_chat,
        sender,
    ));
    let stream = futures_util::stream::unfold(receiver, async |mut receiver| {
        receiver.recv().await.map(|item| (item, receiver))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(stream)
}

async fn run_request(
    state: State,
    fault_state: FaultState,
    request: Request,
    prompt: String,
    is_chat: bool,
    sender: mpsc::Sender<Result<Bytes, std::io::Error>>,
) {
    state.with_inner(|inner| inner.running += 1);
    // A closed channel means that the request was cancelled.
    drop(stream_chunks(&state, &fault_state, &request, &prompt, is_chat, &sender).await);
    state.with_inner(|inner| inner.running -= 1);
}

async fn stream_chunks(
    state: &State,
    fault_state: &FaultState,
    request: &Request,
    prompt: &str,
    is_chat: bool,
    sender: &mpsc::Sender<Result<Bytes, std::io::Error>>,
) -> Result<(), mpsc::error::SendError<Result<Bytes, std::io::Error>>> {
    let is_cached = state.touch_prefix(prompt);
    let prompt_tokens = prompt.split_whitespace().count() as u64;
    let tokens = request
        .max_tokens
        .unwrap_or(DEFAULT_RESPONSE_TOKENS)
        .min(MAX_RESPONSE_TOKENS);
    let previous_tokens = request.previous_tokens();
    for index in previous_tokens..previous_tokens + tokens {
        let faults = fault_state.get();
        if faults.break_after > 0 && index >= faults.break_after {
            let error = std::io::Error::other("cut");
            return sender.send(Err(error)).await;
        }
        if faults.hang && index > previous_tokens {
            actix_rt::time::sleep(Duration::from_hours(1)).await;
        }
        actix_rt::time::sleep(Duration::from_millis(faults.token_ms)).await;
        let version = state.with_inner(|inner| inner.versions.get(&request.model).copied());
        let text = word_at(prompt, request.seed, index);
        let is_last = index + 1 == previous_tokens + tokens;
        let mut chunk = chunk(request, is_chat, &text, is_last, version.unwrap_or(0));
        if is_last {
            chunk["usage"] = json!({
                "prompt_tokens": prompt_tokens,
                "completion_tokens": tokens,
                "total_tokens": prompt_tokens + tokens,
                "prompt_tokens_details": {
                    "cached_tokens": if is_cached { prompt_tokens } else { 0 },
                },
            });
        }
        sender
            .send(Ok(Bytes::from(format!("data: {chunk}\n\n"))))
            .await?;
    }
    sender
        .send(Ok(Bytes::from_static(b"data: [DONE]\n\n")))
        .await
}

/// Returns the word at a position of a response. It depends only on the prompt, the seed and the
/// position, so that another engine continues a response with the same text.
fn word_at(prompt: &str, seed: u64, index: u64) -> String {
    let digest = tamaracksail_model::id::fingerprint(format!("{prompt}/{seed}/{index}").as_bytes());
    format!("w{:x} ", digest.0 & 0xffff)
}

fn chunk(request: &Request, is_chat: bool, text: &str, is_last: bool, version: u64) -> Value {
    let finish_reason = if is_last {
        json!("length")
    } else {
        Value::Null
    };
    let choice = if is_chat {
        json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish_reason })
    } else {
        json!({ "index": 0, "text": text, "finish_reason": finish_reason })
    };
    json!({
        "id": "engine",
        "object": if is_chat { "chat.completion.chunk" } else { "text_completion" },
        "created": 0,
        "model": request.model,
        "system_fingerprint": format!("{}@{version}", request.model),
        "choices": [choice],
    })
}

async fn health(state: State) -> HttpResponse {
    let (versions, running) = state.with_inner(|inner| (inner.versions.clone(), inner.running));
    let report = json!({ "epoch": state.epoch, "versions": versions, "running": running });
    HttpResponse::Ok().json(report)
}

/// A command to load a version.
#[derive(Debug, Deserialize)]
struct LoadCommand {
    model: String,
    version: u64,
    fence: u64,
    /// The URL of the weights.
    url: String,
}

async fn load(
    state: State,
    fault_state: FaultState,
    command: web::Json<LoadCommand>,
) -> HttpResponse {
    let is_stale = state.with_inner(|inner| {
        let newest_fence = inner.fences.entry(command.model.clone()).or_default();
        let is_stale = command.fence < *newest_fence;
        *newest_fence = (*newest_fence).max(command.fence);
        is_stale
    });
    if is_stale && fault_state.get().checks_orders {
        return HttpResponse::Conflict().json(json!({ "error": "old fencing number" }));
    }
    let fails = fault_state.change(|faults| decrement(&mut faults.fail_loads));
    if fails || !fetch_weights(&command).await {
        return HttpResponse::BadGateway().json(json!({ "error": "the weights did not load" }));
    }
    state.with_inner(|inner| {
        inner
            .versions
            .insert(command.model.clone(), command.version)
    });
    if fault_state.change(|faults| decrement(&mut faults.lose_loads)) {
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok().json(json!({ "version": command.version }))
}

/// Decrements a count, and returns whether it was above zero.
fn decrement(count: &mut u32) -> bool {
    let was_positive = *count > 0;
    *count = count.saturating_sub(1);
    was_positive
}

/// Returns whether the weights at the command's URL are those of its version.
async fn fetch_weights(command: &LoadCommand) -> bool {
    let Ok(mut response) = awc::Client::default().get(&command.url).send().await else {
        return false;
    };
    let Ok(weights) = response.body().await else {
        return false;
    };
    let expected = format!("{}@{}\n", command.model, command.version);
    response.status().is_success() && weights.starts_with(expected.as_bytes())
}

async fn weights(state: State, path: web::Path<(String, u64)>) -> HttpResponse {
    let (model, version) = path.into_inner();
    if state.with_inner(|inner| inner.versions.get(&model) != Some(&version)) {
        return HttpResponse::NotFound().finish();
    }
    HttpResponse::Ok().body(format!("{model}@{version}\n"))
}

/// Returns the cache events since the last call. Every seventh event is dropped, as by a lossy
/// engine.
async fn cache_events(state: State) -> HttpResponse {
    let events = state.with_inner(|inner| std::mem::take(&mut inner.events));
    let is_dropped = |event: &Value| {
        event["number"]
            .as_u64()
            .is_some_and(|n| n.is_multiple_of(7))
    };
    let events: Vec<Value> = events
        .into_iter()
        .filter(|event| !is_dropped(event))
        .collect();
    HttpResponse::Ok().json(events)
}
