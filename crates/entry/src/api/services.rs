//! Forwards calls of plain services, `/services/{service}/…`. Requests and responses are buffered
//! in full.

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use tamaracksail_control::headers::end_to_end;
use tamaracksail_model::id;
use tamaracksail_model::outcome::Outcome;
use tamaracksail_policy::request::arrival::{Arrival, Target};
use tamaracksail_process::trace::SpanKind;
use tamaracksail_wire::Content;

use super::common::{self, RequestHeaders};
use super::{State, problem};
use crate::request_task::{self, PreparedRequest, ResponsePart};

/// Forwards a call to a backend server of the service and returns its response.
pub async fn call(
    state: web::Data<State>,
    http: web::Data<awc::Client>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    body: web::Bytes,
) -> HttpResponse {
    let headers = match RequestHeaders::read(&request) {
        Ok(headers) => headers,
        Err(problem) => return problem.respond(),
    };
    let span = state.tracer.span(
        "entry.service",
        SpanKind::Server,
        headers.traceparent.as_deref(),
    );
    let (service, path) = path.into_inner();
    let service = id::Object(service);
    let path = format!("/{path}");
    let method = request.method().as_str();
    let query = request.query_string();
    let target = if query.is_empty() {
        path.clone()
    } else {
        format!("{path}?{query}")
    };
    let once = headers.once || state.config.load().is_once(&service, method, &path);
    let mut digest = format!("{service} {method} {target}\n").into_bytes();
    digest.extend_from_slice(&body);
    let received = request.headers().iter();
    let received = received.map(|(name, value)| (name.as_str(), value.as_bytes()));
    let content = Content {
        method: method.to_owned(),
        path: target,
        headers: end_to_end(received, &["host"]),
        body,
    };
    let id = common::new_request_id();
    let arrival = Arrival {
        request: id,
        caller: headers.caller,
        target: Target::Service(service),
        class: headers.class,
        once,
        key: headers.key,
        fingerprint: id::fingerprint(&digest),
        prefix: None,
        deadline: state.clock.now().after(headers.timeout),
        streamed: false,
        resumable: false,
    };
    let resume = Box::new(|content: &Content, _: &[u8]| content.clone());
    let traceparent = span.traceparent();
    let request = PreparedRequest {
        arrival,
        content,
        resume,
        traceparent,
    };
    let mut response_parts = request_task::start(&state.control, &http, request);
    while let Some(part) = response_parts.recv().await {
        let ResponsePart::Final(response) = part else {
            continue;
        };
        span.end(response.problem.as_ref().map(ToString::to_string));
        if response.outcome != Outcome::Done {
            return problem::respond(id, &response);
        }
        let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut builder = HttpResponse::build(status);
        for header in &response.headers {
            builder.append_header((header.name.as_str(), header.value.as_str()));
        }
        common::insert_response_headers(&mut builder, id, &response);
        return builder.body(response.body);
    }
    HttpResponse::ServiceUnavailable().finish()
}
