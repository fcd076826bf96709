//! Generates a sample: sends a request of class `training` through the entry's own state machine,
//! and stores the response on shelves.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use bytes::Bytes;
use serde_json::{Map, Value, json};
use tamaracksail_model::host::Host;
use tamaracksail_model::id;
use tamaracksail_model::outcome::{Class, Outcome};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::request::arrival::{Arrival, Target};
use tamaracksail_policy::version::ledger::Sample;
use tamaracksail_wire::{Content, Header};

use crate::api::chunks;
use crate::api::openai::Kind;
use crate::control::Control;
use crate::payloads;
use crate::request_task::{self, PreparedRequest, ResponsePart};

/// The deadline of the request for a sample.
const SAMPLE_TIMEOUT: Duration = Duration::from_mins(10);

/// A sample to generate.
pub struct SampleTask {
    /// The control actor.
    pub control: Addr<Control>,
    /// The HTTP client.
    pub http: awc::Client,
    /// The host list, which names the shelves.
    pub hosts: Arc<Vec<Host>>,
    /// The trainer.
    pub trainer: id::Object,
    /// The trainer's model.
    pub model: id::Object,
    /// The slot that the sample is for.
    pub slot: id::Slot,
    /// The chat request as JSON, without the model.
    pub prompt: String,
    /// The time at which the task starts.
    pub now: Instant,
}

/// Generates a sample and stores its payload. Returns `None` if either failed.
pub async fn generate(task: SampleTask) -> Option<Sample> {
    let mut body: Map<String, Value> = serde_json::from_str(&task.prompt).ok()?;
    body.insert("model".to_owned(), json!(task.model));
    body.insert("stream".to_owned(), json!(true));
    body.insert(
        "stream_options".to_owned(),
        json!({ "include_usage": true }),
    );
    // Each sample of a group has its own seed.
    let seed = body.get("seed").and_then(Value::as_u64).unwrap_or(0) + u64::from(task.slot.index);
    body.insert("seed".to_owned(), json!(seed));
    let request = id::Request(rand::random::<u64>() >> 11);
    let messages = body
        .get("messages")
        .map(ToString::to_string)
        .unwrap_or_default();
    let arrival = Arrival {
        request,
        caller: id::Caller(format!("trainer/{}", task.trainer)),
        target: Target::Model(task.model.clone()),
        class: Class::Training,
        once: false,
        key: None,
        fingerprint: id::Fingerprint::OWED,
        // The samples of a group have the same prompt, so they are sent to servers that have it
        // in their prefix cache.
        prefix: Some(id::fingerprint(messages.as_bytes())),
        deadline: task.now.after(SAMPLE_TIMEOUT),
        streamed: false,
        resumable: false,
    };
    let header = Header {
        name: "content-type".to_owned(),
        value: "application/json".to_owned(),
    };
    let content = Content {
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        headers: vec![header],
        body: Bytes::from(Value::Object(body).to_string()),
    };
    let resume = Box::new(|content: &Content, _: &[u8]| content.clone());
    let prepared = PreparedRequest {
        arrival,
        content,
        resume,
        traceparent: None,
    };
    let mut response_parts = request_task::start(&task.control, &task.http, prepared);
    let response = loop {
        match response_parts.recv().await? {
            ResponsePart::Final(response) => break response,
            ResponsePart::Start { .. } | ResponsePart::Bytes(_) => {}
        }
    };
    let versions: BTreeSet<id::Version> = response.versions.clone();
    let is_complete =
        response.outcome == Outcome::Done && response.status == 200 && !versions.is_empty();
    if !is_complete {
        log::info!(
            "generating sample {} of {} failed: {:?}",
            task.slot,
            task.trainer,
            response.problem
        );
        return None;
    }
    let created = task.now.0 / 1_000_000;
    let identity = chunks::Identity {
        request,
        created,
        include_usage: true,
    };
    let completion = chunks::join(Kind::Chat, &identity, &response).to_string();
    let payload = id::Nonce(rand::random::<u64>() >> 11);
    let shelves = payloads::write(&task.http, &task.hosts, payload, &Bytes::from(completion)).await;
    if shelves.is_empty() {
        return None;
    }
    Some(Sample {
        payload,
        shelves,
        versions,
        requested_at: task.now,
        score: None,
    })
}
