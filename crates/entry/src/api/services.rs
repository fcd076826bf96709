//! `/services/{service}/…`: plain services, passed through whole.

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use tamaracksail_control::headers::end_to_end;
use tamaracksail_model::id;
use tamaracksail_model::outcome::Outcome;
use tamaracksail_policy::request::arrival::{Arrival, Target};
use tamaracksail_process::trace::SpanKind;
use tamaracksail_wire::Content;

use super::common::{self, Terms};
use super::{State, problem};
use crate::pump::{self, Reply, Request};

/// Passes one call on.
pub async fn call(
    state: web::Data<State>,
    http: web::Data<awc::Client>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    body: web::Bytes,
) -> HttpResponse {
    let terms = match Terms::read(&request) {
        Ok(terms) => terms,
        Err(problem) => return problem.respond(),
    };
    let span = state.tracer.span(
        "entry.service",
        SpanKind::Server,
        terms.traceparent.as_deref(),
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
    let once = terms.once || state.config.load().is_once(&service, method, &path);
    let mut digest = format!("{service} {method} {target}\n").into_bytes();
    digest.extend_from_slice(&body);
    let content = Content {
        method: method.to_owned(),
        path: target,
        headers: end_to_end(request.headers(), &["host"]),
        body,
    };
    let id = common::new_request();
    let arrival = Arrival {
        request: id,
        caller: terms.caller,
        target: Target::Service(service),
        class: terms.class,
        once,
        key: terms.key,
        fingerprint: id::fingerprint(&digest),
        prefix: None,
        deadline: state.clock.now().after(terms.timeout),
        streamed: false,
        resumable: false,
    };
    let resume = Box::new(|content: &Content, _: &[u8]| content.clone());
    let traceparent = span.traceparent();
    let request = Request {
        arrival,
        content,
        resume,
        traceparent,
    };
    let mut replies = pump::start(&state.control, &http, request);
    while let Some(reply) = replies.recv().await {
        let Reply::Answer(answer) = reply else {
            continue;
        };
        span.end(answer.problem.as_ref().map(ToString::to_string));
        if answer.outcome != Outcome::Done {
            return problem::respond(id, &answer);
        }
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = HttpResponse::build(status);
        for header in &answer.headers {
            response.append_header((header.name.as_str(), header.value.as_str()));
        }
        common::name_answer(&mut response, id, &answer);
        return response.body(answer.body);
    }
    HttpResponse::ServiceUnavailable().finish()
}
