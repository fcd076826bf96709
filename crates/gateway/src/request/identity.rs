//! Whom a request belongs to.

use hyper::header::{HeaderMap, HeaderValue, WWW_AUTHENTICATE};
use hyper::{Response, StatusCode};
use tamaracksail_adapter::ingress;
use tamaracksail_model::account::Caller;
use tamaracksail_model::table::Table;

use super::response::empty_response;
use crate::connection::Body;

/// Returns who makes a request, by its key. `is_open` says that it needs none.
///
/// # Errors
/// The status to respond with: 400 if the credentials are malformed, 401 if the key is missing or
/// belongs to no account (RFC 6750, section 3.1).
pub fn authenticate(
    table: &Table,
    is_open: bool,
    headers: &HeaderMap,
) -> Result<Caller, StatusCode> {
    let Some(accounts) = &table.accounts else {
        return Ok(Caller::Any);
    };
    let key = ingress::key(headers);
    let account = key.as_ref().ok().and_then(|key| accounts.find((*key)?));
    match (account, key) {
        (Some(account), _) => Ok(Caller::Account(account.name.clone())),
        (None, _) if is_open => Ok(Caller::Anonymous),
        (None, Ok(key)) => {
            let problem = if key.is_some() {
                "unknown key"
            } else {
                "no key"
            };
            log::info!(problem, routes = table.version; "request not authenticated");
            Err(StatusCode::UNAUTHORIZED)
        }
        (None, Err(error)) => {
            log::info!(error:%, routes = table.version; "request not authenticated");
            Err(StatusCode::BAD_REQUEST)
        }
    }
}

/// Returns the response to a request without valid credentials.
pub fn refuse(code: StatusCode) -> Response<Body> {
    let mut response = empty_response(code);
    if code == StatusCode::UNAUTHORIZED {
        let scheme = HeaderValue::from_static("Bearer");
        response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    }
    response
}
