//! The chunks of an engine's response, each a line of JSON. They are joined into one completion or
//! written as server-sent events.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde_json::{Map, Value, json};
use tamaracksail_model::id;
use tamaracksail_model::outcome::Outcome;
use tamaracksail_policy::entry::FinalResponse;

use super::openai::Kind;
use super::problem;

/// The fields that identify a response to its caller.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// The request.
    pub request: id::Request,
    /// When the response was created, in seconds since the Unix epoch.
    pub created: u64,
    /// Whether the caller requested the chunk with the token usage in its stream.
    pub include_usage: bool,
}

impl Identity {
    fn response_id(&self) -> String {
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

/// Returns the text of the chunks and the number of chunks with text, which stands for the number
/// of tokens. For responses with a single choice.
pub fn generated_text(lines: &[u8]) -> (String, u64) {
    let mut text = String::new();
    let mut tokens = 0;
    for chunk in parse(lines) {
        for choice in choices(&chunk) {
            let fragment = choice["delta"]["content"]
                .as_str()
                .or(choice["text"].as_str());
            let fragment = fragment.unwrap_or_default();
            text.push_str(fragment);
            tokens += u64::from(!fragment.is_empty());
        }
    }
    (text, tokens)
}

/// Returns the member `tamaracksail` of a response, which extends the `OpenAI` format.
fn response_metadata(identity: &Identity, response: &FinalResponse) -> Value {
    json!({
        "request": identity.request.0,
        "versions": response.versions,
        "attempts": response.attempts,
        "generation": response.generation,
        "outcome": response.outcome,
    })
}

/// A choice of a completion, joined from its chunks.
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
        let fragment = delta["content"].as_str().or(chunk["text"].as_str());
        self.text.push_str(fragment.unwrap_or_default());
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

    /// Appends the lists of each field. The logprobs of chat and of text completions are both
    /// objects of lists.
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

/// Joins the chunks of a response into one completion.
pub fn join(kind: Kind, identity: &Identity, response: &FinalResponse) -> Value {
    let mut choices_by_index: BTreeMap<u64, Choice> = BTreeMap::new();
    let mut model = Value::Null;
    let mut fingerprint = Value::Null;
    for chunk in parse(&response.body) {
        model = chunk["model"].clone();
        fingerprint = chunk["system_fingerprint"].clone();
        for choice in choices(&chunk) {
            choices_by_index
                .entry(choice["index"].as_u64().unwrap_or(0))
                .or_default()
                .add(choice);
        }
    }
    let choices = choices_by_index
        .into_iter()
        .map(|(index, choice)| choice.finish(kind, index));
    let usage = response.usage;
    json!({
        "id": identity.response_id(),
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
        "tamaracksail": response_metadata(identity, response),
    })
}

/// Writes chunks as server-sent events.
///
/// The chunks that end a choice are held back until the response is known to be complete. So they
/// can name all versions, and a response that broke off never looks complete.
pub struct StreamWriter {
    identity: Identity,
    is_event_stream: bool,
    /// The start of a line whose end has not arrived.
    unparsed: Vec<u8>,
    /// The chunks that are sent once the response is complete.
    held_back: Vec<Value>,
}

impl StreamWriter {
    /// Creates a writer of events if `is_event_stream`. Otherwise the writer returns the bytes
    /// unchanged, as for a response with an error status.
    pub fn new(identity: Identity, is_event_stream: bool) -> Self {
        Self {
            identity,
            is_event_stream,
            unparsed: Vec::new(),
            held_back: Vec::new(),
        }
    }

    /// Writes bytes of the response and returns the bytes to send to the caller.
    pub fn write(&mut self, bytes: &Bytes) -> Bytes {
        if !self.is_event_stream {
            return bytes.clone();
        }
        self.unparsed.extend_from_slice(bytes);
        let mut out = Vec::new();
        while let Some(end) = self.unparsed.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.unparsed.drain(..=end).collect();
            if let Ok(chunk) = serde_json::from_slice::<Value>(&line) {
                self.write_chunk(chunk, &mut out);
            }
        }
        Bytes::from(out)
    }

    fn write_chunk(&mut self, mut chunk: Value, out: &mut Vec<u8>) {
        chunk["id"] = json!(self.identity.response_id());
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
        let ends_choice = choices(&chunk)
            .iter()
            .any(|choice| !choice["finish_reason"].is_null());
        if ends_choice || is_usage_only {
            self.held_back.push(chunk);
        } else {
            write_event(&chunk, out);
        }
    }

    /// Ends the response and returns the last bytes to send to the caller.
    pub fn finish(&mut self, response: &FinalResponse) -> Bytes {
        let mut out = Vec::new();
        if !self.is_event_stream {
            return Bytes::from(out);
        }
        if response.outcome != Outcome::Done {
            // `[DONE]` is left out, so that the client sees that the response is not complete.
            write_event(
                &problem::failure_body(self.identity.request, response),
                &mut out,
            );
            return Bytes::from(out);
        }
        let metadata = response_metadata(&self.identity, response);
        for mut chunk in std::mem::take(&mut self.held_back) {
            chunk["tamaracksail"] = metadata.clone();
            write_event(&chunk, &mut out);
        }
        out.extend_from_slice(b"data: [DONE]\n\n");
        Bytes::from(out)
    }
}

fn write_event(event: &Value, out: &mut Vec<u8>) {
    out.extend_from_slice(format!("data: {event}\n\n").as_bytes());
}
