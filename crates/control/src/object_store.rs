//! Calls of the state machines to the platform's object store.

use tamaracksail_model::id::Revision;
use tamaracksail_model::store::{Call, CallId, CallResult, Op, Reply};
use tamaracksail_platform::Client;

/// Makes a call and returns its reply. A failed call is logged and returned as
/// [`CallResult::Lost`].
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

/// Replaces an object that only this process writes, whatever its revision is. A failed write is
/// not retried, since the next call writes the whole value again.
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
