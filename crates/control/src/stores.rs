//! Calls of the machines to the platform.

use tamaracksail_model::id::Revision;
use tamaracksail_model::store::{Answer, Call, Op, Reply, Ticket};
use tamaracksail_platform::Client;

/// Carries out a call; a failed one is logged and lost.
pub async fn call(client: &Client, call: Call) -> Reply {
    let answer = match client.call(&call).await {
        Ok(answer) => answer,
        Err(error) => {
            log::warn!("{error}");
            Answer::Lost
        }
    };
    Reply {
        ticket: call.ticket,
        answer,
    }
}

/// Replaces an object that only this process writes, whatever its revision. A lost write is
/// made up for by the next one.
pub async fn overwrite(client: &Client, key: String, value: Vec<u8>) {
    let ticket = Ticket(0);
    let read = call(
        client,
        Call {
            ticket,
            key: key.clone(),
            op: Op::Get,
        },
    )
    .await;
    let revision = match read.answer {
        Answer::Value { revision, .. } => revision,
        Answer::Missing => Revision(0),
        _ => return,
    };
    call(
        client,
        Call {
            ticket,
            key,
            op: Op::Put { revision, value },
        },
    )
    .await;
}
