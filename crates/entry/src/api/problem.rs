//! Error responses as `application/problem+json`, with the member `error` that `OpenAI` clients
//! read.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::{HttpRequest, HttpResponse};
use serde_json::{Value, json};
use tamaracksail_model::id;
use tamaracksail_model::outcome::Outcome;
use tamaracksail_policy::entry::{self, Cause, FinalResponse};

use super::common;

/// An error that was found before the request was accepted, so the request was not run.
#[derive(Clone, Debug)]
pub struct Problem {
    status: StatusCode,
    detail: String,
}

impl Problem {
    /// Creates the problem of a malformed request.
    pub fn bad_request(detail: &str) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            detail: detail.to_owned(),
        }
    }

    /// Creates the problem of a request for something that does not exist.
    pub fn not_found(detail: &str) -> Self {
        Self {
            status: StatusCode::NOT_FOUND,
            detail: detail.to_owned(),
        }
    }

    /// Creates the problem of a request that conflicts with the current state.
    pub fn conflict(detail: &str) -> Self {
        Self {
            status: StatusCode::CONFLICT,
            detail: detail.to_owned(),
        }
    }

    /// Creates the problem of a request that cannot be served now.
    pub fn unavailable(detail: &str) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            detail: detail.to_owned(),
        }
    }

    /// Returns the error as a response that tells the client to retry after `after`.
    pub fn respond_after(&self, after: Duration) -> HttpResponse {
        let mut response = self.respond();
        let headers = response.headers_mut();
        headers.remove("x-should-retry");
        headers.insert(
            HeaderName::from_static("retry-after"),
            HeaderValue::from(ceil_seconds(after)),
        );
        let millis = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        headers.insert(
            HeaderName::from_static("retry-after-ms"),
            HeaderValue::from(millis),
        );
        response
    }

    /// Returns the error as a response that tells the client not to retry.
    pub fn respond(&self) -> HttpResponse {
        let body = body(self.status, &self.detail, Outcome::NotRun, None, None);
        HttpResponse::build(self.status)
            .content_type("application/problem+json")
            .insert_header(("x-should-retry", "false"))
            .insert_header(("tamaracksail-outcome", Outcome::NotRun.to_string()))
            .body(body.to_string())
    }
}

fn body(
    status: StatusCode,
    detail: &str,
    outcome: Outcome,
    request: Option<id::Request>,
    problem: Option<&entry::Problem>,
) -> Value {
    let title = status.canonical_reason().unwrap_or("Error");
    let kind = match status.as_u16() {
        400 | 422 => "invalid_request_error",
        404 => "not_found_error",
        409 => "conflict_error",
        429 => "rate_limit_error",
        _ => "server_error",
    };
    json!({
        "type": "about:blank",
        "title": title,
        "status": status.as_u16(),
        "detail": detail,
        "outcome": outcome,
        "step": problem.map(|problem| problem.stage),
        "peer": problem.and_then(|problem| problem.peer.clone()),
        "request": request.map(|request| request.0),
        "error": { "message": detail, "type": kind, "param": null, "code": outcome },
    })
}

/// Returns a readable description of why a request got no complete response.
fn describe_failure(cause: Cause, outcome: Outcome) -> String {
    let reason = match cause {
        Cause::NotReady => "this host has no configuration yet".to_owned(),
        Cause::Stopping => "this host is stopping".to_owned(),
        Cause::UnknownTarget => "there is no such model or service".to_owned(),
        Cause::Deadline => "the deadline passed".to_owned(),
        Cause::Overload => "more requests wait than can be served in time".to_owned(),
        Cause::NoServer => "no backend server can take the request".to_owned(),
        Cause::RetryBudget => "servers failed and the retry budget is spent".to_owned(),
        Cause::Suspect => "requests with this content crashed several servers".to_owned(),
        Cause::Platform => "the platform did not confirm the claim of the key".to_owned(),
        Cause::Running => "a request with this key is still running".to_owned(),
        Cause::MayHaveRun => {
            "a request with this key may have run and will not be run again".to_owned()
        }
        Cause::CallerGone => "the caller closed its connection".to_owned(),
        Cause::Link => "the link to the backend server failed".to_owned(),
        Cause::Server(reason) => format!("the backend server's agent reported {reason:?}"),
    };
    match outcome {
        Outcome::NotRun => format!("{reason}; the request was not run"),
        _ => format!("{reason}; the request may have run"),
    }
}

/// Returns the body that describes why a response is not complete.
pub fn failure_body(request: id::Request, response: &FinalResponse) -> Value {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let problem = response.problem.as_ref();
    let detail = problem.map_or_else(
        || "no whole answer".to_owned(),
        |problem| describe_failure(problem.cause, response.outcome),
    );
    body(status, &detail, response.outcome, Some(request), problem)
}

/// Returns the HTTP response for a request that got no complete response.
pub fn respond(request: id::Request, response: &FinalResponse) -> HttpResponse {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    common::insert_response_headers(&mut builder, request, response);
    match response.retry_after {
        Some(after) => {
            builder
                .insert_header(("retry-after", ceil_seconds(after).to_string()))
                .insert_header(("retry-after-ms", after.as_millis().to_string()));
        }
        None => {
            builder.insert_header(("x-should-retry", "false"));
        }
    }
    builder
        .content_type("application/problem+json")
        .body(failure_body(request, response).to_string())
}

/// Rounds a duration up to whole seconds, since `Retry-After` has no fractions.
fn ceil_seconds(duration: Duration) -> u64 {
    duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}

/// Responds to requests for unknown paths.
pub async fn no_route(request: HttpRequest) -> HttpResponse {
    Problem::not_found(&format!(
        "{} {} is no route",
        request.method(),
        request.path()
    ))
    .respond()
}
