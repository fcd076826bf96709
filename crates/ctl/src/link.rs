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

/// A client of the platform that the settings name.
pub fn platform(parser: &mut Parser) -> Client {
    Client::new(&parser.required("--platform", Url(String::new())).0)
}

/// Carries out a call of a machine.
pub async fn reply(client: &Client, call: &Call) -> Reply {
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

/// Reads an object; none if there is no such object.
///
/// # Errors
/// If the platform does not answer.
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

/// Reads the head and the newest set, or that of `generation`.
///
/// # Errors
/// If the platform does not answer or the generation is not listed.
pub async fn fetch(
    client: &Client,
    generation: Option<Generation>,
) -> Result<(Head, Snapshot), Failure> {
    let mut call_ids = CallIds::default();
    let (mut fetch, mut call) = Fetch::start(&mut call_ids, generation);
    loop {
        let reply = reply(client, &call).await;
        match fetch.handle_reply(&mut call_ids, &reply) {
            Ok(Some(next)) => call = next,
            Ok(None) => return Err(Failure::one("read configuration: unexpected reply")),
            Err(Outcome::Found(_, head, snapshot)) => return Ok((head, snapshot)),
            Err(Outcome::NotInHistory) => {
                return Err(Failure::one("that generation is not listed"));
            }
            Err(Outcome::Failed) => {
                return Err(Failure::one(
                    "read configuration: the platform does not answer",
                ));
            }
        }
    }
}
