//! What every caller's request has: who sends it, how urgent it is, and what its answer names.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponseBuilder;
use actix_web::http::header::HeaderMap;
use tamaracksail_model::id;
use tamaracksail_model::outcome::Class;
use tamaracksail_policy::entry::FinalResponse;

use super::problem::Problem;

/// The header that names the caller.
const CALLER: &str = "tamaracksail-caller";

/// The header that names the class.
const CLASS: &str = "tamaracksail-class";

/// The header with the time that the caller waits, in milliseconds.
const DEADLINE: &str = "tamaracksail-deadline-ms";

/// The header that marks a request as not repeatable.
const ONCE: &str = "tamaracksail-once";

/// The time that a caller waits if it does not say.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(1);

/// The longest time that a caller may wait.
const MAX_DEADLINE: Duration = Duration::from_hours(1);

/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// What the headers of a request say.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Who sends it.
    pub caller: id::Caller,
    /// The class.
    pub class: Class,
    /// The time that the caller waits.
    pub timeout: Duration,
    /// Whether it may not be repeated.
    pub once: bool,
    /// The idempotency key.
    pub key: Option<String>,
    /// The W3C trace context.
    pub traceparent: Option<String>,
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| Problem::bad_request(&format!("{name}: not text")))?;
    Ok(Some(text))
}

impl Terms {
    /// Reads the headers.
    ///
    /// # Errors
    /// The header that is wrong.
    pub fn read(request: &HttpRequest) -> Result<Self, Problem> {
        let headers = request.headers();
        let class = header(headers, CLASS)?.unwrap_or("interactive");
        let class = Class::parse(class)
            .map_err(|text| Problem::bad_request(&format!("{CLASS}: {text:?} is no class")))?;
        let timeout = match header(headers, DEADLINE)? {
            None => DEFAULT_DEADLINE,
            Some(text) => match text.parse::<u64>() {
                Ok(millis) if millis > 0 => Duration::from_millis(millis).min(MAX_DEADLINE),
                _ => {
                    let problem = format!("{DEADLINE}: {text:?} is not a count of milliseconds");
                    return Err(Problem::bad_request(&problem));
                }
            },
        };
        let once = match header(headers, ONCE)? {
            None | Some("false") => false,
            Some("true") => true,
            Some(other) => {
                let problem = format!("{ONCE}: {other:?} is neither true nor false");
                return Err(Problem::bad_request(&problem));
            }
        };
        let key = header(headers, "idempotency-key")?.map(str::to_owned);
        if key
            .as_ref()
            .is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES)
        {
            return Err(Problem::bad_request(
                "idempotency-key: must have 1 to 255 bytes",
            ));
        }
        Ok(Self {
            caller: id::Caller(header(headers, CALLER)?.unwrap_or("anonymous").to_owned()),
            class,
            timeout,
            once,
            key,
            traceparent: header(headers, "traceparent")?.map(str::to_owned),
        })
    }
}

/// A new request id.
pub fn new_request() -> id::Request {
    // JSON numbers are exact up to 53 bits.
    id::Request(rand::random::<u64>() >> 11)
}

/// The versions as text, such as `7,8`.
pub fn versions(answer: &FinalResponse) -> String {
    answer
        .versions
        .iter()
        .map(|version| version.0.to_string())
        .collect::<Vec<_>>()
        .join(",")
}

/// Names in headers what produced an answer and what it cost.
pub fn name_answer(
    response: &mut HttpResponseBuilder,
    request: id::Request,
    answer: &FinalResponse,
) {
    response
        .insert_header(("tamaracksail-request", request.0.to_string()))
        .insert_header(("tamaracksail-outcome", answer.outcome.to_string()))
        .insert_header(("tamaracksail-versions", versions(answer)))
        .insert_header((
            "tamaracksail-prompt-tokens",
            answer.usage.prompt_tokens.to_string(),
        ))
        .insert_header((
            "tamaracksail-completion-tokens",
            answer.usage.completion_tokens.to_string(),
        ))
        .insert_header(("tamaracksail-attempts", answer.attempts.to_string()))
        .insert_header(("tamaracksail-generation", answer.generation.0.to_string()));
}
