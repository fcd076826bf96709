//! Trainers and scoring services.

use std::sync::Arc;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use serde::Deserialize;
use serde_json::{Map, Value, json};
use tamaracksail_model::host::Host;
use tamaracksail_model::id::{self, Batch, Epoch, Nonce, Step};
use tamaracksail_policy::version::ledger::Sample;
use tamaracksail_policy::version::owner::{Event, Request, Response};

use super::State;
use super::problem::Problem;
use crate::payloads;
use crate::training::{Hosts, Input, Question};

/// Marks a request that another entry passed on, so that it is not passed on again.
const FORWARDED: &str = "tamaracksail-forwarded";

/// How long the owner's entry may take to answer.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(30);

/// The largest answer of the owner's entry, in bytes.
const MAX_BYTES: usize = 256 * 1024 * 1024;

/// Adds the routes.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/trainers/{trainer}/steps", web::post().to(open))
        .route("/v1/trainers/{trainer}/batches", web::get().to(next))
        .route("/v1/trainers/{trainer}/progress", web::get().to(progress))
        .route("/v1/trainers/{trainer}/drafts", web::get().to(drafts))
        .route("/v1/trainers/{trainer}/scores", web::post().to(score));
}

type Traffic = (web::Data<State>, web::Data<awc::Client>, HttpRequest);

/// A step to open.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Opening {
    step: u64,
    prompts: Vec<String>,
    group_size: u32,
    #[serde(default)]
    params: Map<String, Value>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Held {
    #[serde(default)]
    held: u64,
    #[serde(default)]
    epoch: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Count {
    count: Option<u32>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Score {
    draft: String,
    score: f64,
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Problem> {
    serde_json::from_slice(body).map_err(|error| Problem::bad_request(&format!("body: {error}")))
}

async fn open(traffic: Traffic, trainer: web::Path<String>, body: web::Bytes) -> HttpResponse {
    let opening: Opening = match parse(&body) {
        Ok(opening) => opening,
        Err(problem) => return problem.respond(),
    };
    let chat = |prompt: String| {
        let mut request = opening.params.clone();
        request.insert(
            "messages".to_owned(),
            json!([{ "role": "user", "content": prompt }]),
        );
        Value::Object(request).to_string()
    };
    let request = Request::Open {
        step: Step(opening.step),
        prompts: opening.prompts.into_iter().map(chat).collect(),
        group_size: opening.group_size,
    };
    ask(&traffic, &trainer, request, body).await
}

async fn next(traffic: Traffic, trainer: web::Path<String>) -> HttpResponse {
    let held = match web::Query::<Held>::from_query(traffic.2.query_string()) {
        Ok(held) => held,
        Err(error) => return Problem::bad_request(&format!("query: {error}")).respond(),
    };
    let request = Request::NextBatch {
        batch: Batch(held.held),
        epoch: Epoch(held.epoch),
    };
    ask(&traffic, &trainer, request, web::Bytes::new()).await
}

async fn progress(traffic: Traffic, trainer: web::Path<String>) -> HttpResponse {
    ask(&traffic, &trainer, Request::Progress, web::Bytes::new()).await
}

async fn drafts(traffic: Traffic, trainer: web::Path<String>) -> HttpResponse {
    const DEFAULT_COUNT: u32 = 16;
    let count = match web::Query::<Count>::from_query(traffic.2.query_string()) {
        Ok(query) => query.count.unwrap_or(DEFAULT_COUNT),
        Err(error) => return Problem::bad_request(&format!("query: {error}")).respond(),
    };
    ask(
        &traffic,
        &trainer,
        Request::Drafts { count },
        web::Bytes::new(),
    )
    .await
}

async fn score(traffic: Traffic, trainer: web::Path<String>, body: web::Bytes) -> HttpResponse {
    let given: Score = match parse(&body) {
        Ok(given) => given,
        Err(problem) => return problem.respond(),
    };
    let Ok(payload) = u64::from_str_radix(&given.draft, 16) else {
        return Problem::bad_request("draft: is no draft's name").respond();
    };
    if !given.score.is_finite() {
        return Problem::bad_request("score: must be finite").respond();
    }
    let request = Request::Score {
        payload: Nonce(payload),
        score: given.score,
    };
    ask(&traffic, &trainer, request, body).await
}

async fn ask(traffic: &Traffic, trainer: &str, request: Request, body: web::Bytes) -> HttpResponse {
    let (state, http, received) = traffic;
    let trainer = id::Object::from(trainer);
    let question = Question {
        trainer: trainer.clone(),
        request,
    };
    let Ok(response) = state.training.send(question).await else {
        return wait();
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
        Response::RetryLater => wait(),
        Response::Refused(why) => Problem::conflict(&why).respond(),
        Response::NotOwner(owner) => forward(state, http, received, body, owner).await,
        Response::Drafts(samples) => {
            let Some(samples) = read_all(state, http, &trainer, &samples).await else {
                return wait();
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
                return wait();
            };
            // Reading may have taken long: the bound is looked at again as the batch leaves.
            let now = state.clock.now();
            if now >= until {
                return wait();
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

/// The payloads of samples; none if one is lost, which the owner is told.
async fn read_all(
    state: &State,
    http: &awc::Client,
    trainer: &id::Object,
    samples: &[(id::Slot, Sample)],
) -> Option<Vec<Value>> {
    let hosts = state.training.send(Hosts).await.ok()?;
    let reads = samples
        .iter()
        .map(|(_, sample)| payloads::read(http, &hosts, sample));
    let bodies = futures_util::future::join_all(reads).await;
    let mut values = Vec::new();
    let mut is_whole = true;
    for ((slot, sample), body) in samples.iter().zip(bodies) {
        let parsed = body.and_then(|body| serde_json::from_slice::<Value>(&body).ok());
        let Some(answer) = parsed else {
            let event = Event::PayloadLost(*slot, sample.payload);
            state.training.do_send(Input {
                trainer: trainer.clone(),
                event,
            });
            is_whole = false;
            continue;
        };
        values.push(json!({
            "group": slot.group,
            "index": slot.index,
            "draft": format!("{:x}", sample.payload.0),
            "versions": sample.versions,
            "score": sample.score,
            "answer": answer,
        }));
    }
    is_whole.then_some(values)
}

/// Nothing yet: when to come back.
fn wait() -> HttpResponse {
    Problem::unavailable("nothing yet; the request changed nothing")
        .respond_after(Duration::from_millis(200))
}

/// Passes a request on to the entry that owns the ledger.
async fn forward(
    state: &State,
    http: &awc::Client,
    received: &HttpRequest,
    body: web::Bytes,
    owner: Option<id::Host>,
) -> HttpResponse {
    let hosts: Arc<Vec<Host>> = state.training.send(Hosts).await.unwrap_or_default();
    let host = owner.and_then(|owner| hosts.iter().find(|host| host.name == owner).cloned());
    let (Some(host), false) = (host, received.headers().contains_key(FORWARDED)) else {
        return wait();
    };
    let url = format!("http://{}{}", host.address, received.uri());
    let request = http
        .request(received.method().clone(), url)
        .timeout(FORWARD_TIMEOUT)
        .insert_header((FORWARDED, "true"))
        .insert_header(("content-type", "application/json"));
    match request.send_body(body).await {
        Ok(mut answer) => match answer.body().limit(MAX_BYTES).await {
            Ok(body) => {
                let status = StatusCode::from_u16(answer.status().as_u16())
                    .unwrap_or(StatusCode::BAD_GATEWAY);
                let mut response = HttpResponse::build(status);
                for name in ["content-type", "retry-after", "retry-after-ms"] {
                    if let Some(value) = answer.headers().get(name) {
                        response.insert_header((name, value.clone()));
                    }
                }
                response.body(body)
            }
            Err(_) => wait(),
        },
        Err(error) => {
            log::info!("forward to {}: {error}", host.name);
            wait()
        }
    }
}
