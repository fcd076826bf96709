//! One sample: a request of class training through the entry's own machine, whose answer goes
//! to shelves.

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
use crate::pump::{self, Reply, Request};

/// How long one sample may take.
const TIMEOUT: Duration = Duration::from_mins(10);

/// What a sample is made from.
pub struct Work {
    /// The control thread.
    pub control: Addr<Control>,
    /// The HTTP client.
    pub http: awc::Client,
    /// The host list, for shelves.
    pub hosts: Arc<Vec<Host>>,
    /// The trainer.
    pub trainer: id::Object,
    /// Its model.
    pub model: id::Object,
    /// The slot.
    pub slot: id::Slot,
    /// The chat request as JSON, without the model.
    pub prompt: String,
    /// The present time.
    pub now: Instant,
}

/// Makes a sample; none if it failed.
pub async fn sample(work: Work) -> Option<Sample> {
    let mut body: Map<String, Value> = serde_json::from_str(&work.prompt).ok()?;
    body.insert("model".to_owned(), json!(work.model));
    body.insert("stream".to_owned(), json!(true));
    body.insert(
        "stream_options".to_owned(),
        json!({ "include_usage": true }),
    );
    let seed = body.get("seed").and_then(Value::as_u64).unwrap_or(0) + u64::from(work.slot.index);
    body.insert("seed".to_owned(), json!(seed));
    let request = id::Request(rand::random::<u64>() >> 11);
    let messages = body
        .get("messages")
        .map(ToString::to_string)
        .unwrap_or_default();
    let arrival = Arrival {
        request,
        caller: id::Caller(format!("trainer/{}", work.trainer)),
        target: Target::Model(work.model.clone()),
        class: Class::Training,
        once: false,
        key: None,
        fingerprint: id::fingerprint(format!("{} {messages}", work.model).as_bytes()),
        // The samples of a group share their prompt, and so the servers that cache it.
        prefix: Some(id::fingerprint(messages.as_bytes())),
        deadline: work.now.after(TIMEOUT),
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
    let request_parts = Request {
        arrival,
        content,
        resume,
        traceparent: None,
    };
    let mut replies = pump::start(&work.control, &work.http, request_parts);
    let answer = loop {
        match replies.recv().await? {
            Reply::Answer(answer) => break answer,
            Reply::Start { .. } | Reply::Bytes(_) => {}
        }
    };
    let versions: BTreeSet<id::Version> = answer.versions.clone();
    let is_whole = answer.outcome == Outcome::Done && answer.status == 200 && !versions.is_empty();
    if !is_whole {
        log::info!(
            "sample {} of {}: {:?}",
            work.slot,
            work.trainer,
            answer.problem
        );
        return None;
    }
    let created = work.now.0 / 1_000_000;
    let identity = chunks::Identity {
        request,
        created,
        include_usage: true,
    };
    let whole = chunks::join(Kind::Chat, &identity, &answer).to_string();
    let payload = id::Nonce(rand::random::<u64>() >> 11);
    let shelves = payloads::write(&work.http, &work.hosts, payload, &Bytes::from(whole)).await;
    if shelves.is_empty() {
        return None;
    }
    Some(Sample {
        payload,
        shelves,
        versions,
        requested_at: work.now,
        score: None,
    })
}
