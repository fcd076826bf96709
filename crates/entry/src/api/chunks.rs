//! The engine's chunks, one line of JSON each: joined to a whole answer, or written as
//! server-sent events.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde_json::{Map, Value, json};
use tamaracksail_model::id;
use tamaracksail_model::outcome::Outcome;
use tamaracksail_policy::entry::FinalResponse;

use super::openai::Kind;
use super::problem;

/// What an answer to a caller is named by.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// The request.
    pub request: id::Request,
    /// When it was made, in seconds since the Unix epoch.
    pub created: u64,
    /// Whether the caller asked for usage in its stream.
    pub include_usage: bool,
}

impl Identity {
    fn text(&self) -> String {
        format!("tamaracksail-{}", self.request.0)
    }
}

fn parse(lines: &[u8]) -> impl Iterator<Item = Value> + '_ {
    lines
        .split(|byte| *byte == b'\n')
        .filter_map(|line| serde_json::from_slice(line).ok())
}

fn choices(chunk: &Value) -> &[Value] {
    chunk["choices"].as_array().map_or(&[], Vec::as_slice)
}

/// The text of the first choice, and the chunks that held some.
pub fn text(lines: &[u8]) -> (String, u64) {
    let mut text = String::new();
    let mut tokens = 0;
    for chunk in parse(lines) {
        for choice in choices(&chunk) {
            let piece = choice["delta"]["content"]
                .as_str()
                .or(choice["text"].as_str());
            let piece = piece.unwrap_or_default();
            text.push_str(piece);
            tokens += u64::from(!piece.is_empty());
        }
    }
    (text, tokens)
}

/// What an answer names beyond the format.
fn note(identity: &Identity, answer: &FinalResponse) -> Value {
    json!({
        "request": identity.request.0,
        "versions": answer.versions,
        "attempts": answer.attempts,
        "generation": answer.generation,
        "outcome": answer.outcome,
    })
}

/// One choice of a whole answer, put together from its chunks.
#[derive(Default)]
struct Choice {
    text: String,
    reasoning: String,
    role: Option<Value>,
    tools: BTreeMap<u64, Value>,
    logprobs: Option<Value>,
    finish: Value,
}

impl Choice {
    fn add(&mut self, chunk: &Value) {
        let delta = &chunk["delta"];
        let piece = delta["content"].as_str().or(chunk["text"].as_str());
        self.text.push_str(piece.unwrap_or_default());
        self.reasoning
            .push_str(delta["reasoning_content"].as_str().unwrap_or_default());
        if delta["role"].is_string() {
            self.role = Some(delta["role"].clone());
        }
        for call in delta["tool_calls"].as_array().into_iter().flatten() {
            self.add_tool_call(call);
        }
        if let Some(more) = chunk["logprobs"].as_object() {
            self.add_logprobs(more);
        }
        if !chunk["finish_reason"].is_null() {
            self.finish = chunk["finish_reason"].clone();
        }
    }

    fn add_tool_call(&mut self, call: &Value) {
        let index = call["index"].as_u64().unwrap_or(0);
        let Some(known) = self.tools.get_mut(&index) else {
            self.tools.insert(index, call.clone());
            return;
        };
        let more = call["function"]["arguments"].as_str().unwrap_or_default();
        let arguments = known["function"]["arguments"].as_str().unwrap_or_default();
        known["function"]["arguments"] = json!(format!("{arguments}{more}"));
    }

    /// Appends lists field by field, as both forms of logprobs are objects of lists.
    fn add_logprobs(&mut self, more: &Map<String, Value>) {
        let known = self.logprobs.get_or_insert_with(|| json!({}));
        for (field, values) in more {
            match (known[field].as_array_mut(), values.as_array()) {
                (Some(list), Some(values)) => list.extend(values.iter().cloned()),
                _ => known[field] = values.clone(),
            }
        }
    }

    fn finish(self, kind: Kind, index: u64) -> Value {
        let logprobs = self.logprobs.unwrap_or(Value::Null);
        if kind == Kind::Text {
            return json!({
                "index": index,
                "text": self.text,
                "logprobs": logprobs,
                "finish_reason": self.finish,
            });
        }
        let mut message = json!({
            "role": self.role.unwrap_or(json!("assistant")),
            "content": self.text,
        });
        if !self.reasoning.is_empty() {
            message["reasoning_content"] = json!(self.reasoning);
        }
        if !self.tools.is_empty() {
            if self.text.is_empty() {
                message["content"] = Value::Null;
            }
            message["tool_calls"] = self.tools.into_values().map(without_index).collect();
        }
        json!({
            "index": index,
            "message": message,
            "logprobs": logprobs,
            "finish_reason": self.finish,
        })
    }
}

fn without_index(mut call: Value) -> Value {
    if let Some(fields) = call.as_object_mut() {
        fields.remove("index");
    }
    call
}

/// A whole answer.
pub fn join(kind: Kind, identity: &Identity, answer: &FinalResponse) -> Value {
    let mut merged: BTreeMap<u64, Choice> = BTreeMap::new();
    let mut model = Value::Null;
    let mut fingerprint = Value::Null;
    for chunk in parse(&answer.body) {
        model = chunk["model"].clone();
        fingerprint = chunk["system_fingerprint"].clone();
        for choice in choices(&chunk) {
            merged
                .entry(choice["index"].as_u64().unwrap_or(0))
                .or_default()
                .add(choice);
        }
    }
    let choices = merged
        .into_iter()
        .map(|(index, choice)| choice.finish(kind, index));
    let usage = answer.usage;
    json!({
        "id": identity.text(),
        "object": if kind == Kind::Chat { "chat.completion" } else { "text_completion" },
        "created": identity.created,
        "model": model,
        "system_fingerprint": fingerprint,
        "choices": choices.collect::<Vec<_>>(),
        "usage": {
            "prompt_tokens": usage.prompt_tokens,
            "completion_tokens": usage.completion_tokens,
            "total_tokens": usage.prompt_tokens + usage.completion_tokens,
            "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
        },
        "tamaracksail": note(identity, answer),
    })
}

/// Writes chunks as server-sent events.
///
/// The chunk that ends a choice is held back until the answer is known to be whole, so that
/// it can name all versions and a broken answer never looks finished.
pub struct Writer {
    identity: Identity,
    is_events: bool,
    rest: Vec<u8>,
    held: Vec<Value>,
}

impl Writer {
    /// A writer of events, or of bytes as they are for an answer with an error status.
    pub fn new(identity: Identity, is_events: bool) -> Self {
        Self {
            identity,
            is_events,
            rest: Vec::new(),
            held: Vec::new(),
        }
    }

    /// Takes bytes of the answer and gives those to send.
    pub fn write(&mut self, bytes: &Bytes) -> Bytes {
        if !self.is_events {
            return bytes.clone();
        }
        self.rest.extend_from_slice(bytes);
        let mut out = Vec::new();
        while let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.rest.drain(..=end).collect();
            if let Ok(chunk) = serde_json::from_slice::<Value>(&line) {
                self.write_chunk(chunk, &mut out);
            }
        }
        Bytes::from(out)
    }

    fn write_chunk(&mut self, mut chunk: Value, out: &mut Vec<u8>) {
        chunk["id"] = json!(self.identity.text());
        chunk["created"] = json!(self.identity.created);
        let is_usage_only = choices(&chunk).is_empty();
        if !self.identity.include_usage {
            if is_usage_only {
                return;
            }
            if let Some(fields) = chunk.as_object_mut() {
                fields.remove("usage");
            }
        }
        let is_end = choices(&chunk)
            .iter()
            .any(|choice| !choice["finish_reason"].is_null());
        if is_end || is_usage_only {
            self.held.push(chunk);
        } else {
            write_event(&chunk, out);
        }
    }

    /// Ends the answer.
    pub fn finish(&mut self, answer: &FinalResponse) -> Bytes {
        let mut out = Vec::new();
        if !self.is_events {
            return Bytes::from(out);
        }
        if answer.outcome != Outcome::Done {
            // No end mark follows: a client that waits for it sees that the answer is not whole.
            write_event(&problem::body_of(self.identity.request, answer), &mut out);
            return Bytes::from(out);
        }
        let note = note(&self.identity, answer);
        for mut chunk in std::mem::take(&mut self.held) {
            chunk["tamaracksail"] = note.clone();
            write_event(&chunk, &mut out);
        }
        out.extend_from_slice(b"data: [DONE]\n\n");
        Bytes::from(out)
    }
}

fn write_event(event: &Value, out: &mut Vec<u8>) {
    out.extend_from_slice(format!("data: {event}\n\n").as_bytes());
}
