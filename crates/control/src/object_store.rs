//! Calls of the machines to the platform.

use tamaracksail_model::id::Revision;
use tamaracksail_model::store::{Call, CallId, CallResult, Op, Reply};
use tamaracksail_platform::Client;

/// Carries out a call; a failed one is logged and lost.
pub async fn call(client: &Client, call: Call) -> Reply {
    let result = match client.call(&call).await {
        Ok(result) => result,
        Err(error) => {
            log::warn!("{error}");
            CallResult::Lost
        }
    };
    Reply {
        call_id: call.call_id,
        result,
    }
}

/// Replaces an object that only this process writes, whatever its revision. A lost write is
/// made up for by the next one.
pub async fn overwrite(client: &Client, key: String, value: Vec<u8>) {
    let call_id = CallId(0);
    let read = call(
        client,
        Call {
            call_id,
            key: key.clone(),
            op: Op::Get,
        },
    )
    .await;
    let revision = match read.result {
        CallResult::Value { revision, .. } => revision,
        CallResult::Missing => Revision(0),
        _ => return,
    };
    call(
        client,
        Call {
            call_id,
            key,
            op: Op::Put { revision, value },
        },
    )
    .await;
}
