//! Handles `POST /v1/chat/completions` and `POST /v1/completions`, streamed or not.
//!
//! Requests to engines are always streamed, so that each chunk names its model version. Responses
//! that the caller does not want as a stream are joined from the chunks here.

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use serde_json::{Map, Value, json};
use tamaracksail_model::id;
use tamaracksail_model::outcome::Outcome;
use tamaracksail_policy::entry::FinalResponse;
use tamaracksail_policy::request::arrival::{Arrival, Target};
use tamaracksail_process::trace::{Span, SpanKind};
use tamaracksail_wire::{Content, Header};
use tokio::sync::mpsc;

use super::common::{self, RequestHeaders};
use super::problem::{self, Problem};
use super::{State, chunks};
use crate::request_task::{self, PreparedRequest, ResponsePart};

/// The number of characters at the start of a prompt by which requests are sent to servers that may
/// have the prefix in their cache.
const PREFIX_CHARS: usize = 256;

/// The kind of a completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// The parsed body of a completion request.
struct CompletionRequest {
    model: id::Object,
    streamed: bool,
    include_usage: bool,
    body: Map<String, Value>,
}

fn parse(kind: Kind, bytes: &[u8]) -> Result<CompletionRequest, Problem> {
    let mut body: Map<String, Value> = serde_json::from_slice(bytes)
        .map_err(|error| Problem::bad_request(&format!("body: {error}")))?;
    let model = body.get("model").and_then(Value::as_str);
    let model = model.ok_or_else(|| Problem::bad_request("model: must be text"))?;
    let model = id::Object::from(model);
    let streamed = match body.get("stream") {
        None | Some(Value::Null) => false,
        Some(value) => value
            .as_bool()
            .ok_or_else(|| Problem::bad_request("stream: must be true or false"))?,
    };
    let input = match kind {
        Kind::Chat => (
            "messages",
            body.get("messages").is_some_and(Value::is_array),
        ),
        Kind::Text => ("prompt", body.contains_key("prompt")),
    };
    if !input.1 {
        return Err(Problem::bad_request(&format!(
            "{}: missing or of a wrong type",
            input.0
        )));
    }
    let options = body.get("stream_options");
    let include_usage = options
        .and_then(|o| o.get("include_usage")?.as_bool())
        .unwrap_or(false);
    body.insert("stream".to_owned(), json!(true));
    body.insert(
        "stream_options".to_owned(),
        json!({ "include_usage": true }),
    );
    Ok(CompletionRequest {
        model,
        streamed,
        include_usage,
        body,
    })
}

/// Handles `POST /v1/chat/completions`.
pub async fn chat(
    state: web::Data<State>,
    http: web::Data<awc::Client>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    serve(Kind::Chat, &state, &http, &request, &body)
        .await
        .unwrap_or_else(|p| p.respond())
}

/// Handles `POST /v1/completions`.
pub async fn complete(
    state: web::Data<State>,
    http: web::Data<awc::Client>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    serve(Kind::Text, &state, &http, &request, &body)
        .await
        .unwrap_or_else(|p| p.respond())
}

async fn serve(
    kind: Kind,
    state: &State,
    http: &awc::Client,
    request: &HttpRequest,
    body: &[u8],
) -> Result<HttpResponse, Problem> {
    let headers = RequestHeaders::read(request)?;
    let parsed = parse(kind, body)?;
    let span = state.tracer.span(
        "entry.completion",
        SpanKind::Server,
        headers.traceparent.as_deref(),
    );
    let id = common::new_request_id();
    span.set_attribute("request", id.to_string());
    let input = &parsed.body[if kind == Kind::Chat {
        "messages"
    } else {
        "prompt"
    }];
    let input = input.to_string();
    let prefix: String = input.chars().take(PREFIX_CHARS).collect();
    let arrival = Arrival {
        request: id,
        caller: headers.caller,
        target: Target::Model(parsed.model.clone()),
        class: headers.class,
        once: headers.once,
        key: headers.key,
        fingerprint: id::fingerprint(format!("{} {input}", parsed.model).as_bytes()),
        prefix: Some(id::fingerprint(prefix.as_bytes())),
        deadline: state.clock.now().after(headers.timeout),
        streamed: parsed.streamed,
        resumable: parsed.streamed && is_resumable(&parsed.body),
    };
    let content = Content {
        method: "POST".to_owned(),
        path: kind.path().to_owned(),
        headers: vec![Header {
            name: "content-type".to_owned(),
            value: "application/json".to_owned(),
        }],
        body: Bytes::from(Value::Object(parsed.body.clone()).to_string()),
    };
    let resume =
        Box::new(move |content: &Content, relayed: &[u8]| resumed_content(kind, content, relayed));
    let traceparent = span.traceparent();
    let mut response_parts = request_task::start(
        &state.control,
        http,
        PreparedRequest {
            arrival,
            content,
            resume,
            traceparent,
        },
    );
    let created = state.clock.now().0 / 1_000_000;
    let identity = chunks::Identity {
        request: id,
        created,
        include_usage: parsed.include_usage,
    };
    match response_parts.recv().await {
        Some(ResponsePart::Final(response)) => Ok(finish(kind, &identity, &response, span)),
        Some(ResponsePart::Start { status, headers }) => {
            Ok(stream(identity, status, &headers, response_parts, span))
        }
        _ => Ok(HttpResponse::ServiceUnavailable().finish()),
    }
}

/// Returns whether another engine can continue a response that broke off. This needs a single
/// choice of plain text.
fn is_resumable(body: &Map<String, Value>) -> bool {
    let has_one_choice = body.get("n").is_none_or(|n| n.as_u64() == Some(1));
    let is_plain = ["tools", "logprobs", "response_format", "echo", "suffix"]
        .iter()
        .all(|field| {
            body.get(*field)
                .is_none_or(|value| value.is_null() || value == false)
        });
    has_one_choice && is_plain && body.get("prompt").is_none_or(Value::is_string)
}

/// Returns the request that continues after the text of the chunks that were relayed.
fn resumed_content(kind: Kind, content: &Content, relayed: &[u8]) -> Content {
    let Ok(mut body) = serde_json::from_slice::<Map<String, Value>>(&content.body) else {
        return content.clone();
    };
    let (text, tokens) = chunks::generated_text(relayed);
    match kind {
        Kind::Chat => {
            if let Some(messages) = body.get_mut("messages").and_then(Value::as_array_mut) {
                messages.push(json!({ "role": "assistant", "content": text }));
            }
            body.insert("continue_final_message".to_owned(), json!(true));
            body.insert("add_generation_prompt".to_owned(), json!(false));
        }
        Kind::Text => {
            let prompt = body
                .get("prompt")
                .and_then(Value::as_str)
                .unwrap_or_default();
            body.insert("prompt".to_owned(), json!(format!("{prompt}{text}")));
        }
    }
    for limit in ["max_tokens", "max_completion_tokens"] {
        if let Some(max_tokens) = body.get(limit).and_then(Value::as_u64) {
            body.insert(
                limit.to_owned(),
                json!(max_tokens.saturating_sub(tokens).max(1)),
            );
        }
    }
    Content {
        body: Bytes::from(Value::Object(body).to_string()),
        ..content.clone()
    }
}

fn finish(
    kind: Kind,
    identity: &chunks::Identity,
    response: &FinalResponse,
    span: Span,
) -> HttpResponse {
    span.set_attribute("versions", common::format_versions(response));
    span.end(response.problem.as_ref().map(ToString::to_string));
    if response.outcome != Outcome::Done {
        return problem::respond(identity.request, response);
    }
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    common::insert_response_headers(&mut builder, identity.request, response);
    if !status.is_success() {
        return builder
            .content_type("application/json")
            .body(response.body.clone());
    }
    builder.json(chunks::join(kind, identity, response))
}

fn stream(
    identity: chunks::Identity,
    status: u16,
    headers: &[Header],
    mut response_parts: mpsc::UnboundedReceiver<ResponsePart>,
    span: Span,
) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let mut builder = HttpResponse::build(status);
    builder.insert_header(("tamaracksail-request", identity.request.0.to_string()));
    if status.is_success() {
        builder
            .content_type("text/event-stream")
            .insert_header(("cache-control", "no-cache"));
    } else {
        let content_type = headers.iter().find(|header| header.name == "content-type");
        builder
            .content_type(content_type.map_or("application/json", |header| header.value.as_str()));
    }
    let (sender, receiver) = mpsc::channel::<Result<Bytes, std::io::Error>>(16);
    actix_rt::spawn(async move {
        let mut writer = chunks::StreamWriter::new(identity, status.is_success());
        let mut span = Some(span);
        while let Some(part) = response_parts.recv().await {
            let (bytes, is_last) = match part {
                ResponsePart::Start { .. } => continue,
                ResponsePart::Bytes(bytes) => (writer.write(&bytes), false),
                ResponsePart::Final(response) => {
                    if let Some(span) = span.take() {
                        span.set_attribute("versions", common::format_versions(&response));
                        span.end(response.problem.as_ref().map(ToString::to_string));
                    }
                    (writer.finish(&response), true)
                }
            };
            // The send fails if the caller has disconnected. Returning drops `response_parts`, and
            // so cancels the request.
            if !bytes.is_empty() && sender.send(Ok(bytes)).await.is_err() || is_last {
                return;
            }
        }
    });
    let stream = futures_util::stream::unfold(receiver, async |mut receiver| {
        receiver.recv().await.map(|item| (item, receiver))
    });
    builder.streaming(stream)
}
