//! The routes of trainers and scoring services.

use std::sync::Arc;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use serde::Deserialize;
use serde_json::{Map, Value, json};
use tamaracksail_model::host::Host;
use tamaracksail_model::id::{self, Batch, Epoch, Nonce, Step};
use tamaracksail_model::status;
use tamaracksail_policy::version::ledger::Sample;
use tamaracksail_policy::version::owner::{Event, Request, Response};

use super::State;
use super::problem::Problem;
use crate::payloads;
use crate::training::{GetHosts, Input, TrainerRequest};

/// The header of a request that another entry forwarded, so that it is not forwarded again.
const FORWARDED_HEADER: &str = "tamaracksail-forwarded";

/// How long the entry that owns the ledger may take to respond to a forwarded request.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(30);

/// The maximum size of the response to a forwarded request, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// Registers the routes of trainers and scoring services.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/trainers/{trainer}/steps", web::post().to(open_step))
        .route("/v1/trainers/{trainer}/batches", web::get().to(next_batch))
        .route("/v1/trainers/{trainer}/progress", web::get().to(progress))
        .route("/v1/trainers/{trainer}/drafts", web::get().to(drafts))
        .route("/v1/trainers/{trainer}/scores", web::post().to(score));
}

type RequestContext = (web::Data<State>, web::Data<awc::Client>, HttpRequest);

/// The body of a request that opens a step.
///
/// The name of the type is part of error messages to clients.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Opening {
    step: u64,
    prompts: Vec<String>,
    group_size: u32,
    #[serde(default)]
    params: Map<String, Value>,
}

/// The query of a request for the next batch.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NextBatchQuery {
    /// The last batch that the trainer has received, or zero.
    #[serde(default)]
    held: u64,
    /// The epoch of that batch's contents.
    #[serde(default)]
    epoch: u64,
}

/// The query of a request for drafts, which are samples without a score.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DraftsQuery {
    count: Option<u32>,
}

/// The body of a request with the score of a draft.
///
/// The name of the type is part of error messages to clients.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Score {
    /// The name of the draft's payload, in hexadecimal.
    draft: String,
    score: f64,
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Problem> {
    serde_json::from_slice(body).map_err(|error| Problem::bad_request(&format!("body: {error}")))
}

async fn open_step(
    context: RequestContext,
    trainer: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    let step: Opening = match parse(&body) {
        Ok(step) => step,
        Err(problem) => return problem.respond(),
    };
    let chat_request = |prompt: String| {
        let mut request = step.params.clone();
        request.insert(
            "messages".to_owned(),
            json!([{ "role": "user", "content": prompt }]),
        );
        Value::Object(request).to_string()
    };
    let request = Request::Open {
        step: Step(step.step),
        prompts: step.prompts.into_iter().map(chat_request).collect(),
        group_size: step.group_size,
    };
    handle_request(&context, &trainer, request, body).await
}

async fn next_batch(context: RequestContext, trainer: web::Path<String>) -> HttpResponse {
    let query = match web::Query::<NextBatchQuery>::from_query(context.2.query_string()) {
        Ok(query) => query,
        Err(error) => return Problem::bad_request(&format!("query: {error}")).respond(),
    };
    let request = Request::NextBatch {
        batch: Batch(query.held),
        epoch: Epoch(query.epoch),
    };
    handle_request(&context, &trainer, request, web::Bytes::new()).await
}

async fn progress(context: RequestContext, trainer: web::Path<String>) -> HttpResponse {
    handle_request(&context, &trainer, Request::Progress, web::Bytes::new()).await
}

async fn drafts(context: RequestContext, trainer: web::Path<String>) -> HttpResponse {
    const DEFAULT_COUNT: u32 = 16;
    let count = match web::Query::<DraftsQuery>::from_query(context.2.query_string()) {
        Ok(query) => query.count.unwrap_or(DEFAULT_COUNT),
        Err(error) => return Problem::bad_request(&format!("query: {error}")).respond(),
    };
    handle_request(
        &context,
        &trainer,
        Request::Drafts { count },
        web::Bytes::new(),
    )
    .await
}

async fn score(
    context: RequestContext,
    trainer: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    let scored: Score = match parse(&body) {
        Ok(scored) => scored,
        Err(problem) => return problem.respond(),
    };
    let Ok(payload) = u64::from_str_radix(&scored.draft, 16) else {
        return Problem::bad_request("draft: is no draft's name").respond();
    };
    if !scored.score.is_finite() {
        return Problem::bad_request("score: must be finite").respond();
    }
    let request = Request::Score {
        payload: Nonce(payload),
        score: scored.score,
    };
    handle_request(&context, &trainer, request, body).await
}

async fn handle_request(
    context: &RequestContext,
    trainer: &str,
    request: Request,
    body: web::Bytes,
) -> HttpResponse {
    let (state, http, received) = context;
    let trainer = id::Object::from(trainer);
    let request = TrainerRequest {
        trainer: trainer.clone(),
        request,
    };
    let Ok(response) = state.training.send(request).await else {
        return retry_later();
    };
    match response {
        Response::Opened(step) => HttpResponse::Ok().json(json!({ "step": step })),
        Response::Complete(step) => HttpResponse::Ok().json(json!({ "complete": step })),
        Response::Scored => HttpResponse::Ok().json(json!({ "scored": true })),
        Response::Progress {
            step,
            slots,
            filled,
            done,
            held,
        } => HttpResponse::Ok().json(json!({
            "step": step, "slots": slots, "filled": filled, "done": done, "held": held,
        })),
        Response::RetryLater => retry_later(),
        Response::Refused(why) => Problem::conflict(&why).respond(),
        Response::NotOwner(owner) => forward(state, http, received, body, owner).await,
        Response::Drafts(samples) => {
            let Some(samples) = read_all(state, http, &trainer, &samples).await else {
                return retry_later();
            };
            HttpResponse::Ok().json(json!({ "drafts": samples }))
        }
        Response::Batch {
            batch,
            epoch,
            samples,
            until,
            generation,
        } => {
            let Some(samples) = read_all(state, http, &trainer, &samples).await else {
                return retry_later();
            };
            // Reading the payloads may have taken long, so the staleness bound is checked again
            // before the batch is sent.
            let now = state.clock.now();
            if now >= until {
                return retry_later();
            }
            HttpResponse::Ok().json(json!({
                "batch": batch,
                "epoch": epoch,
                "generation": generation,
                "fresh_for_ms": u64::try_from(until.since(now).as_millis()).unwrap_or(u64::MAX),
                "samples": samples,
            }))
        }
    }
}

/// Returns the payloads of samples, or `None` if some could not be read. The owner is told which.
async fn read_all(
    state: &State,
    http: &awc::Client,
    trainer: &id::Object,
    samples: &[(id::Slot, Sample)],
) -> Option<Vec<Value>> {
    let hosts = state.training.send(GetHosts).await.ok()?;
    let reads = samples
        .iter()
        .map(|(_, sample)| payloads::read(http, &hosts, sample));
    let bodies = futures_util::future::join_all(reads).await;
    let mut values = Vec::new();
    let mut is_complete = true;
    for ((slot, sample), body) in samples.iter().zip(bodies) {
        let parsed = body.and_then(|body| serde_json::from_slice::<Value>(&body).ok());
        let Some(completion) = parsed else {
            let event = Event::PayloadLost(*slot, sample.payload);
            state.training.do_send(Input {
                trainer: trainer.clone(),
                event,
            });
            is_complete = false;
            continue;
        };
        values.push(json!({
            "group": slot.group,
            "index": slot.index,
            "draft": format!("{:x}", sample.payload.0),
            "versions": sample.versions,
            "score": sample.score,
            "answer": completion,
        }));
    }
    is_complete.then_some(values)
}

/// Returns the response that tells the client to retry soon.
fn retry_later() -> HttpResponse {
    Problem::unavailable("nothing yet; the request changed nothing")
        .respond_after(Duration::from_millis(200))
}

/// Forwards a request to the entry that owns the ledger, once.
async fn forward(
    state: &State,
    http: &awc::Client,
    received: &HttpRequest,
    body: web::Bytes,
    owner: Option<id::Host>,
) -> HttpResponse {
    let hosts: Arc<Vec<Host>> = state.training.send(GetHosts).await.unwrap_or_default();
    let host = owner.and_then(|owner| hosts.iter().find(|host| host.name == owner).cloned());
    let (Some(host), false) = (host, received.headers().contains_key(FORWARDED_HEADER)) else {
        return retry_later();
    };
    let url = format!("http://{}{}", host.address, received.uri());
    let request = http
        .request(received.method().clone(), url)
        .timeout(FORWARD_TIMEOUT)
        .insert_header((FORWARDED_HEADER, "true"))
        .insert_header(("content-type", "application/json"));
    match request.send_body(body).await {
        Ok(mut forwarded) => match forwarded.body().limit(MAX_RESPONSE_BYTES).await {
            Ok(body) => {
                let code = forwarded.status().as_u16();
                let status = StatusCode::from_u16(code).ok();
                let status = status
                    .filter(|_| status::is_final(code))
                    .unwrap_or(StatusCode::BAD_GATEWAY);
                let mut builder = HttpResponse::build(status);
                for name in ["content-type", "retry-after", "retry-after-ms"] {
                    if let Some(value) = forwarded.headers().get(name) {
                        builder.insert_header((name, value.clone()));
                    }
                }
                builder.body(body)
            }
            Err(_) => retry_later(),
        },
        Err(error) => {
            log::info!(
                "forwarding a trainer request to {} failed: {error}",
                host.name
            );
            retry_later()
        }
    }
}
