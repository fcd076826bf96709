//! A model engine: OpenAI-compatible, with continuous batching in its simplest form, priorities,
//! cancelling, continuing of broken answers, a prefix cache, and weights that are swapped by
//! order. Each chunk names the version that made it, as `system_fingerprint: MODEL@VERSION`.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::time::Duration;

use actix_web::{HttpResponse, web};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::faults::{self, Faults};

/// Prefixes that the cache holds.
const CACHED_PREFIXES: usize = 64;

/// Characters of a prompt that count as its prefix.
const PREFIX_CHARS: usize = 64;

/// Tokens of an answer when the request does not say.
const DEFAULT_TOKENS: u64 = 16;

/// The most tokens of an answer.
const MAX_TOKENS: u64 = 4096;

/// Faults of the engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// The time of one token, in milliseconds.
    pub token_ms: u64,
    /// Answers stop in the middle and stay open.
    pub hang: bool,
    /// The process ends when a prompt holds this text.
    pub crash_on: Option<String>,
    /// So many orders to load fail.
    pub fail_loads: u32,
    /// So many orders are carried out, but their answers are lost.
    pub lose_loads: u32,
    /// Streams break off after this many tokens; zero: never.
    pub break_after: u64,
    /// Whether an order with an old fencing number is refused.
    pub checks_orders: bool,
}

impl Default for Switches {
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

/// The engine's state.
pub struct Engine {
    epoch: u64,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    versions: BTreeMap<String, u64>,
    fences: BTreeMap<String, u64>,
    running: u32,
    cache: VecDeque<String>,
    events: Vec<Value>,
    event_number: u64,
}

impl Engine {
    /// An engine with the given versions loaded.
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

    fn with<R>(&self, act: impl FnOnce(&mut Inner) -> R) -> R {
        act(&mut self.inner.lock().expect("no holder panics"))
    }

    /// Whether the prompt's prefix was cached; it is afterwards.
    fn touch_prefix(&self, prompt: &str) -> bool {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        self.with(|inner| {
            let place = inner.cache.iter().position(|cached| *cached == prefix);
            if let Some(place) = place {
                inner.cache.remove(place);
            } else {
                inner.event_number += 1;
                let event = json!({ "number": inner.event_number, "stored": prefix });
                inner.events.push(event);
            }
            inner.cache.push_back(prefix);
            if inner.cache.len() > CACHED_PREFIXES {
                inner.cache.pop_front();
            }
            place.is_some()
        })
    }
}

type State = web::Data<Engine>;
type Switch = web::Data<Faults<Switches>>;

/// Adds the routes of an engine with the given state.
pub fn routes(state: &State, switches: &Switch, config: &mut web::ServiceConfig) {
    config
        .app_data(state.clone())
        .app_data(switches.clone())
        .app_data(web::JsonConfig::default().limit(8 * 1024 * 1024))
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/completions", web::post().to(complete))
        .route("/health", web::get().to(health))
        .route("/load", web::post().to(load))
        .route("/weights/{model}/{version}", web::get().to(weights))
        .route("/cache-events", web::get().to(cache_events))
        .route("/faults", web::post().to(faults::set::<Switches>));
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

    fn text(&self) -> String {
        let skip = usize::from(self.continue_final_message);
        let kept = self.messages.len().saturating_sub(skip);
        let contents = self.messages.iter().take(kept).map(Self::content);
        contents
            .chain(std::iter::once(self.prompt.as_str()))
            .collect::<Vec<_>>()
            .join("\n")
    }

    /// The words that an earlier attempt already gave.
    fn given(&self) -> u64 {
        if !self.continue_final_message {
            return 0;
        }
        let last = self.messages.last().map_or("", Self::content);
        last.split_whitespace().count() as u64
    }
}

async fn chat(state: State, switches: Switch, body: web::Json<Request>) -> HttpResponse {
    generate(state, switches, body.into_inner(), true)
}

async fn complete(state: State, switches: Switch, body: web::Json<Request>) -> HttpResponse {
    generate(state, switches, body.into_inner(), false)
}

fn generate(state: State, switches: Switch, request: Request, is_chat: bool) -> HttpResponse {
    let faults = switches.get();
    let prompt = request.text();
    if faults
        .crash_on
        .as_ref()
        .is_some_and(|text| prompt.contains(text))
    {
        log::error!("crashing on the chosen prompt");
        std::process::exit(101);
    }
    if !state.with(|inner| inner.versions.contains_key(&request.model)) {
        let error = json!({ "error": { "message": "no such model", "type": "not_found" } });
        return HttpResponse::NotFound().json(error);
    }
    if !request.stream {
        let error =
            json!({ "error": { "message": "only streams", "type": "invalid_request_error" } });
        return HttpResponse::BadRequest().json(error);
    }
    let (sender, receiver) = mpsc::channel::<Result<Bytes, std::io::Error>>(4);
    actix_rt::spawn(run(state, switches, request, prompt, is_chat, sender));
    let stream = futures_util::stream::unfold(receiver, async |mut receiver| {
        receiver.recv().await.map(|item| (item, receiver))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(stream)
}

async fn run(
    state: State,
    switches: Switch,
    request: Request,
    prompt: String,
    is_chat: bool,
    sender: mpsc::Sender<Result<Bytes, std::io::Error>>,
) {
    state.with(|inner| inner.running += 1);
    // A closed channel means that the request was cancelled.
    drop(tell(&state, &switches, &request, &prompt, is_chat, &sender).await);
    state.with(|inner| inner.running -= 1);
}

async fn tell(
    state: &State,
    switches: &Switch,
    request: &Request,
    prompt: &str,
    is_chat: bool,
    sender: &mpsc::Sender<Result<Bytes, std::io::Error>>,
) -> Result<(), mpsc::error::SendError<Result<Bytes, std::io::Error>>> {
    let is_cached = state.touch_prefix(prompt);
    let prompt_tokens = prompt.split_whitespace().count() as u64;
    let tokens = request.max_tokens.unwrap_or(DEFAULT_TOKENS).min(MAX_TOKENS);
    let given = request.given();
    for index in given..given + tokens {
        let faults = switches.get();
        if faults.break_after > 0 && index >= faults.break_after {
            let cut = std::io::Error::other("cut");
            return sender.send(Err(cut)).await;
        }
        if faults.hang && index > given {
            actix_rt::time::sleep(Duration::from_hours(1)).await;
        }
        actix_rt::time::sleep(Duration::from_millis(faults.token_ms)).await;
        let version = state.with(|inner| inner.versions.get(&request.model).copied());
        let text = word(prompt, request.seed, index);
        let is_last = index + 1 == given + tokens;
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

/// The word at a place of an answer: a function of prompt, seed and place alone.
fn word(prompt: &str, seed: u64, index: u64) -> String {
    let digest = tamaracksail_model::id::fingerprint(format!("{prompt}/{seed}/{index}").as_bytes());
    format!("w{:x} ", digest.0 & 0xffff)
}

fn chunk(request: &Request, is_chat: bool, text: &str, is_last: bool, version: u64) -> Value {
    let finish = if is_last {
        json!("length")
    } else {
        Value::Null
    };
    let choice = if is_chat {
        json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish })
    } else {
        json!({ "index": 0, "text": text, "finish_reason": finish })
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
    let (versions, running) = state.with(|inner| (inner.versions.clone(), inner.running));
    let report = json!({ "epoch": state.epoch, "versions": versions, "running": running });
    HttpResponse::Ok().json(report)
}

/// An order to load a version.
#[derive(Debug, Deserialize)]
struct Load {
    model: String,
    version: u64,
    fence: u64,
    /// Where the weights are read from.
    url: String,
}

async fn load(state: State, switches: Switch, order: web::Json<Load>) -> HttpResponse {
    let is_old = state.with(|inner| {
        let known = inner.fences.entry(order.model.clone()).or_default();
        let is_old = order.fence < *known;
        *known = (*known).max(order.fence);
        is_old
    });
    if is_old && switches.get().checks_orders {
        return HttpResponse::Conflict().json(json!({ "error": "old fencing number" }));
    }
    let fails = switches.change(|faults| take_one(&mut faults.fail_loads));
    if fails || !fetch_weights(&order).await {
        return HttpResponse::BadGateway().json(json!({ "error": "the weights did not load" }));
    }
    state.with(|inner| inner.versions.insert(order.model.clone(), order.version));
    if switches.change(|faults| take_one(&mut faults.lose_loads)) {
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok().json(json!({ "version": order.version }))
}

fn take_one(count: &mut u32) -> bool {
    let is_left = *count > 0;
    *count = count.saturating_sub(1);
    is_left
}

/// Whether the weights at the order's URL are those of its version.
async fn fetch_weights(order: &Load) -> bool {
    let Ok(mut response) = awc::Client::default().get(&order.url).send().await else {
        return false;
    };
    let Ok(weights) = response.body().await else {
        return false;
    };
    let expected = format!("{}@{}\n", order.model, order.version);
    response.status().is_success() && weights.starts_with(expected.as_bytes())
}

async fn weights(state: State, path: web::Path<(String, u64)>) -> HttpResponse {
    let (model, version) = path.into_inner();
    if state.with(|inner| inner.versions.get(&model) != Some(&version)) {
        return HttpResponse::NotFound().finish();
    }
    HttpResponse::Ok().body(format!("{model}@{version}\n"))
}

/// Cache events since the last call; every seventh is missing.
async fn cache_events(state: State) -> HttpResponse {
    let events = state.with(|inner| std::mem::take(&mut inner.events));
    let is_gap = |event: &Value| {
        event["number"]
            .as_u64()
            .is_some_and(|n| n.is_multiple_of(7))
    };
    let events: Vec<Value> = events.into_iter().filter(|event| !is_gap(event)).collect();
    HttpResponse::Ok().json(events)
}
