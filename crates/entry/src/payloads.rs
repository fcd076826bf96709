//! Stores the payloads of samples on shelves, as two copies in two failure domains.

use std::time::Duration;

use bytes::Bytes;
use tamaracksail_model::host::{Host, Phase, Role};
use tamaracksail_model::id;
use tamaracksail_policy::version::ledger::Sample;

/// How long a shelf may take to respond.
const SHELF_TIMEOUT: Duration = Duration::from_secs(3);

/// The number of shelves that a payload is written to.
const COPIES: usize = 2;

/// The maximum size of a payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = 8 * 1024 * 1024;

fn url(shelf: &Host, payload: id::Nonce) -> String {
    format!("http://{}/v1/payloads/{:x}", shelf.address, payload.0)
}

/// Returns the live shelves in the order in which a payload is offered to them. A hash of the
/// payload's name spreads payloads over the shelves, and consecutive shelves are in different
/// failure domains where possible.
fn order_shelves(hosts: &[Host], payload: id::Nonce) -> Vec<&Host> {
    let is_live_shelf = |host: &&Host| host.role == Role::Shelf && host.phase == Phase::Live;
    let mut shelves: Vec<&Host> = hosts.iter().filter(is_live_shelf).collect();
    let rank = |host: &Host| id::fingerprint(format!("{}/{}", payload.0, host.name).as_bytes());
    shelves.sort_by_key(|shelf| rank(shelf));
    let mut ordered: Vec<&Host> = Vec::new();
    while !shelves.is_empty() {
        let last_domain = ordered.last().map(|host| &host.domain);
        let position = shelves
            .iter()
            .position(|shelf| Some(&shelf.domain) != last_domain)
            .unwrap_or(0);
        ordered.push(shelves.remove(position));
    }
    ordered
}

/// Writes a payload and returns the shelves that stored it. One shelf is accepted if no second
/// one stores the payload. If none does, the caller must treat the sample as failed.
pub async fn write(
    http: &awc::Client,
    hosts: &[Host],
    payload: id::Nonce,
    body: &Bytes,
) -> Vec<id::Host> {
    let mut holders = Vec::new();
    for shelf in order_shelves(hosts, payload) {
        if holders.len() == COPIES {
            break;
        }
        let request = http.put(url(shelf, payload)).timeout(SHELF_TIMEOUT);
        match request.send_body(body.clone()).await {
            Ok(response) if response.status().is_success() => holders.push(shelf.name.clone()),
            Ok(response) => log::warn!(
                "writing a payload to {} failed: HTTP status {}",
                shelf.name,
                response.status()
            ),
            Err(error) => log::warn!("writing a payload to {} failed: {error}", shelf.name),
        }
    }
    holders
}

/// Reads the payload of a sample from the first of its shelves that returns it.
pub async fn read(http: &awc::Client, hosts: &[Host], sample: &Sample) -> Option<Bytes> {
    for name in &sample.shelves {
        let Some(shelf) = hosts.iter().find(|host| host.name == *name) else {
            continue;
        };
        let request = http.get(url(shelf, sample.payload)).timeout(SHELF_TIMEOUT);
        match request.send().await {
            Ok(mut response) if response.status().is_success() => {
                if let Ok(body) = response.body().limit(MAX_PAYLOAD_BYTES).await {
                    return Some(body);
                }
            }
            Ok(response) => log::warn!(
                "reading a payload from {name} failed: HTTP status {}",
                response.status()
            ),
            Err(error) => log::warn!("reading a payload from {name} failed: {error}"),
        }
    }
    None
}

/// Removes the payloads of samples from their shelves. A failed removal is not retried, since
/// shelves remove old payloads when they start.
pub async fn remove(http: &awc::Client, hosts: &[Host], samples: &[Sample]) {
    for sample in samples {
        for name in &sample.shelves {
            let Some(shelf) = hosts.iter().find(|host| host.name == *name) else {
                continue;
            };
            let request = http
                .delete(url(shelf, sample.payload))
                .timeout(SHELF_TIMEOUT);
            if let Err(error) = request.send().await {
                log::debug!("removing a payload from {name} failed: {error}");
            }
        }
    }
}
