//! Writes results to the store, which fixes their positions.

use std::rc::Rc;
use std::time::Duration;

use tamaracksail_adapter::store::Error;
use tamaracksail_model::batch::{Ending, ItemResult};
use tamaracksail_policy::batch::BatchKey;

use super::lease_loop;
use super::schema::{self, Chunk};
use crate::gateway::{Gateway, now};

/// The delay before a failed write of results is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Writes results as the next chunk. Retries until they are durable, scheduling stops here or the
/// batch ends.
pub async fn write(gateway: Rc<Gateway>, batch: BatchKey, id: String, results: Vec<ItemResult>) {
    let coordinator = &gateway.coordinator;
    let term = coordinator.term();
    let position = coordinator.batches.borrow_mut().log_mut(&id).map(|log| {
        log.is_writing = true;
        (log.next_chunk, log.results.len(), log.total)
    });
    let Some((mut number, first, total)) = position else {
        return;
    };
    let chunk = Chunk {
        total,
        first,
        results,
    };
    let kind = schema::batch_kind(&id);
    let mut name = schema::chunk_name(number);
    let mut is_unknown = false;
    loop {
        let is_held = coordinator.lease.borrow().fence(now()).is_some();
        if coordinator.term() != term {
            // A result log belongs to a later term and was read from the store.
            return;
        }
        if coordinator.batches.borrow().id(batch).is_none() {
            let mut batches = coordinator.batches.borrow_mut();
            if is_unknown {
                // The store may have more results than memory, so reads must go there.
                batches.drop_log(&id);
            } else if let Some(result_log) = batches.log_mut(&id) {
                result_log.is_writing = false;
            }
            return;
        }
        let outcome = if is_held {
            let call = gateway.store.create(&kind, &name, &chunk);
            lease_loop::with_timeout(call).await.map(|_| ())
        } else {
            Err(Error::NotDone {
                call: name.clone(),
                problem: "the lease is not held".to_owned(),
            })
        };
        match outcome {
            Ok(()) => {
                lease_loop::record_store_outcome(&gateway, true);
                break;
            }
            Err(Error::Conflict { .. }) => {
                lease_loop::record_store_outcome(&gateway, true);
                is_unknown = true;
                // The chunk is from an earlier attempt, or from a scheduler that has taken over.
                match gateway.store.get(&kind, &name).await {
                    Ok(object) if object.spec::<Chunk>().is_ok_and(|found| found == chunk) => break,
                    Ok(object) if object.spec::<Chunk>().is_ok_and(|c| c.results.is_empty()) => {
                        // A seal holds no results, so positions are unchanged. Try the next number.
                        number += 1;
                        name = schema::chunk_name(number);
                    }
                    Ok(_) => {
                        log::warn!(
                            batch = id.as_str(), chunk = number;
                            "chunk was written by another scheduler"
                        );
                        coordinator.lease.borrow_mut().invalidate();
                        coordinator.stop_scheduling("another process writes results");
                        return;
                    }
                    Err(error) => {
                        log::warn!(
                            batch = id.as_str(), chunk = number, error:%;
                            "existing chunk not read"
                        );
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                }
            }
            Err(error) => {
                is_unknown |= matches!(error, Error::Unknown { .. });
                lease_loop::record_store_outcome(&gateway, false);
                log::warn!(batch = id.as_str(), chunk = number, error:%; "results not written");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
    if coordinator.term() != term {
        // The result log belongs to a later term and was read from the store.
        return;
    }
    record_written(&gateway, batch, &id, number, chunk);
}

/// Records that a chunk is durable.
fn record_written(gateway: &Gateway, batch: BatchKey, id: &str, number: usize, chunk: Chunk) {
    let coordinator = &gateway.coordinator;
    for result in &chunk.results {
        let ending = match result.ending {
            Ending::Completed => "completed",
            Ending::Aborted => "aborted",
        };
        gateway.metrics.results.with_label_values(&[ending]).inc();
    }
    log::info!(
        batch = id, chunk = number, first = chunk.first, results = chunk.results.len();
        "results written"
    );
    // The log of an ended batch may have been evicted and read again, with this chunk.
    if let Some(result_log) = coordinator.batches.borrow_mut().log_mut(id)
        && result_log.results.len() == chunk.first
    {
        result_log.bytes += chunk.results.iter().map(|r| r.text.len()).sum::<usize>();
        result_log.results.extend(chunk.results);
        result_log.next_chunk = number + 1;
        result_log.is_writing = false;
        result_log.changed.notify_waiters();
    }
    coordinator
        .scheduler
        .borrow_mut()
        .results_written(now(), batch);
    coordinator.wake_scheduler();
}
