//! The headers that all requests of callers and their responses have.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponseBuilder;
use actix_web::http::header::HeaderMap;
use tamaracksail_model::id;
use tamaracksail_model::outcome::Class;
use tamaracksail_policy::entry::FinalResponse;

use super::problem::Problem;

/// The request header with the client account that sends the request.
const CALLER_HEADER: &str = "tamaracksail-caller";

/// The request header with the class of the request.
const CLASS_HEADER: &str = "tamaracksail-class";

/// The request header that says how long the caller waits for the response, in milliseconds.
const DEADLINE_HEADER: &str = "tamaracksail-deadline-ms";

/// The request header that marks a request as one that may run at most once.
const ONCE_HEADER: &str = "tamaracksail-once";

/// How long a caller waits if its request does not say.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(1);

/// The upper limit of how long a caller waits; longer times are reduced to it.
const MAX_TIMEOUT: Duration = Duration::from_hours(1);

/// The maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// The values of a request's headers.
#[derive(Clone, Debug)]
pub struct RequestHeaders {
    /// The client account that sends the request.
    pub caller: id::Caller,
    /// The class of the request.
    pub class: Class,
    /// How long the caller waits for the response.
    pub timeout: Duration,
    /// Whether the request may run at most once.
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

impl RequestHeaders {
    /// Reads the headers of a request.
    ///
    /// # Errors
    /// Returns a problem that names the first invalid header.
    pub fn read(request: &HttpRequest) -> Result<Self, Problem> {
        let headers = request.headers();
        let class = header(headers, CLASS_HEADER)?.unwrap_or("interactive");
        let class = Class::parse(class).map_err(|text| {
            Problem::bad_request(&format!("{CLASS_HEADER}: {text:?} is no class"))
        })?;
        let timeout = match header(headers, DEADLINE_HEADER)? {
            None => DEFAULT_TIMEOUT,
            Some(text) => match text.parse::<u64>() {
                Ok(millis) if millis > 0 => Duration::from_millis(millis).min(MAX_TIMEOUT),
                _ => {
                    let problem =
                        format!("{DEADLINE_HEADER}: {text:?} is not a count of milliseconds");
                    return Err(Problem::bad_request(&problem));
                }
            },
        };
        let once = match header(headers, ONCE_HEADER)? {
            None | Some("false") => false,
            Some("true") => true,
            Some(other) => {
                let problem = format!("{ONCE_HEADER}: {other:?} is neither true nor false");
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
            caller: id::Caller(
                header(headers, CALLER_HEADER)?
                    .unwrap_or("anonymous")
                    .to_owned(),
            ),
            class,
            timeout,
            once,
            key,
            traceparent: header(headers, "traceparent")?.map(str::to_owned),
        })
    }
}

/// Returns a random request id.
pub fn new_request_id() -> id::Request {
    // JSON numbers are exact up to 53 bits, and the id is written as a JSON number.
    id::Request(rand::random::<u64>() >> 11)
}

/// Returns the versions that produced a response as text, such as `7,8`.
pub fn format_versions(response: &FinalResponse) -> String {
    response
        .versions
        .iter()
        .map(|version| version.0.to_string())
        .collect::<Vec<_>>()
        .join(",")
}

/// Inserts headers that describe how a response was produced, and the tokens and attempts that it
/// took.
pub fn insert_response_headers(
    builder: &mut HttpResponseBuilder,
    request: id::Request,
    response: &FinalResponse,
) {
    builder
        .insert_header(("tamaracksail-request", request.0.to_string()))
        .insert_header(("tamaracksail-outcome", response.outcome.to_string()))
        .insert_header(("tamaracksail-versions", format_versions(response)))
        .insert_header((
            "tamaracksail-prompt-tokens",
            response.usage.prompt_tokens.to_string(),
        ))
        .insert_header((
            "tamaracksail-completion-tokens",
            response.usage.completion_tokens.to_string(),
        ))
        .insert_header(("tamaracksail-attempts", response.attempts.to_string()))
        .insert_header(("tamaracksail-generation", response.generation.0.to_string()));
}
