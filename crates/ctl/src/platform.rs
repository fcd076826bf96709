//! Calls to the platform.

use tamaracksail_control::options::Url;
use tamaracksail_model::config::Snapshot;
use tamaracksail_model::id::Generation;
use tamaracksail_model::store::{Call, CallId, CallIds, CallResult, Op, Reply};
use tamaracksail_platform::Client;
use tamaracksail_policy::version::fetch::{Fetch, Outcome};
use tamaracksail_policy::version::head::Head;
use tamaracksail_process::settings::Parser;

use crate::Failure;

/// Returns a client for the platform given in the settings.
pub fn client(parser: &mut Parser) -> Client {
    Client::new(&parser.required("--platform", Url(String::new())).0)
}

/// Makes a call that a state machine requested. A failed call is printed and counts as lost.
pub async fn call(client: &Client, call: &Call) -> Reply {
    let result = match client.call(call).await {
        Ok(result) => result,
        Err(error) => {
            eprintln!("{}: {error}", crate::NAME);
            CallResult::Lost
        }
    };
    Reply {
        call_id: call.call_id,
        result,
    }
}

/// Reads an object. Returns `None` if it does not exist.
///
/// # Errors
/// Fails if the platform does not respond.
pub async fn get(client: &Client, key: &str) -> Result<Option<Vec<u8>>, Failure> {
    let call = Call {
        call_id: CallId(0),
        key: key.to_owned(),
        op: Op::Get,
    };
    match client.call(&call).await? {
        CallResult::Value { value, .. } => Ok(Some(value)),
        _ => Ok(None),
    }
}

/// Reads the head and the configuration of `generation`, by default the newest one.
///
/// # Errors
/// Fails if the platform does not respond or the generation is not in the history.
pub async fn fetch_config(
    client: &Client,
    generation: Option<Generation>,
) -> Result<(Head, Snapshot), Failure> {
    let mut call_ids = CallIds::default();
    let (mut fetch, mut call) = Fetch::start(&mut call_ids, generation);
    loop {
        let reply = self::call(client, &call).await;
        match fetch.handle_reply(&mut call_ids, &reply) {
            Ok(Some(next)) => call = next,
            Ok(None) => return Err(Failure::new("read configuration: unexpected reply")),
            Err(Outcome::Found(_, head, snapshot)) => return Ok((head, snapshot)),
            Err(Outcome::NotInHistory) => {
                return Err(Failure::new("that generation is not listed"));
            }
            Err(Outcome::Failed) => {
                return Err(Failure::new(
                    "read configuration: the platform does not answer",
                ));
            }
        }
    }
}
