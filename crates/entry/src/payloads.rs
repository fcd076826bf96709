//! Sample payloads on shelves: two copies in two failure domains.

use std::time::Duration;

use bytes::Bytes;
use tamaracksail_model::host::{Host, Phase, Role};
use tamaracksail_model::id;
use tamaracksail_policy::version::ledger::Sample;

/// How long a shelf may take.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Copies of a payload.
const COPIES: usize = 2;

/// The largest payload, in bytes.
const MAX_BYTES: usize = 8 * 1024 * 1024;

fn url(shelf: &Host, payload: id::Nonce) -> String {
    format!("http://{}/v1/payloads/{:x}", shelf.address, payload.0)
}

/// The shelves of the host list in the order in which a payload tries them: spread by its name,
/// and one domain after the other.
fn order(hosts: &[Host], payload: id::Nonce) -> Vec<&Host> {
    let live = |host: &&Host| host.role == Role::Shelf && host.phase == Phase::Live;
    let mut shelves: Vec<&Host> = hosts.iter().filter(live).collect();
    let rank = |host: &Host| id::fingerprint(format!("{}/{}", payload.0, host.name).as_bytes());
    shelves.sort_by_key(|shelf| rank(shelf));
    let mut ordered: Vec<&Host> = Vec::new();
    while !shelves.is_empty() {
        let last = ordered.last().map(|host| &host.domain);
        let place = shelves
            .iter()
            .position(|shelf| Some(&shelf.domain) != last)
            .unwrap_or(0);
        ordered.push(shelves.remove(place));
    }
    ordered
}

/// Writes a payload; the shelves that hold it. Fewer than two is better than none, and none
/// means that the sample does not exist.
pub async fn write(
    http: &awc::Client,
    hosts: &[Host],
    payload: id::Nonce,
    body: &Bytes,
) -> Vec<id::Host> {
    let mut holders = Vec::new();
    for shelf in order(hosts, payload) {
        if holders.len() == COPIES {
            break;
        }
        let request = http.put(url(shelf, payload)).timeout(TIMEOUT);
        match request.send_body(body.clone()).await {
            Ok(response) if response.status().is_success() => holders.push(shelf.name.clone()),
            Ok(response) => log::warn!("write payload to {}: {}", shelf.name, response.status()),
            Err(error) => log::warn!("write payload to {}: {error}", shelf.name),
        }
    }
    holders
}

/// Reads a payload from the shelves that hold it.
pub async fn read(http: &awc::Client, hosts: &[Host], sample: &Sample) -> Option<Bytes> {
    for name in &sample.shelves {
        let Some(shelf) = hosts.iter().find(|host| host.name == *name) else {
            continue;
        };
        let request = http.get(url(shelf, sample.payload)).timeout(TIMEOUT);
        match request.send().await {
            Ok(mut response) if response.status().is_success() => {
                if let Ok(body) = response.body().limit(MAX_BYTES).await {
                    return Some(body);
                }
            }
            Ok(response) => log::warn!("read payload from {name}: {}", response.status()),
            Err(error) => log::warn!("read payload from {name}: {error}"),
        }
    }
    None
}

/// Removes payloads. What stays is removed by age.
pub async fn remove(http: &awc::Client, hosts: &[Host], samples: &[Sample]) {
    for sample in samples {
        for name in &sample.shelves {
            let Some(shelf) = hosts.iter().find(|host| host.name == *name) else {
                continue;
            };
            let request = http.delete(url(shelf, sample.payload)).timeout(TIMEOUT);
            if let Err(error) = request.send().await {
                log::debug!("remove payload from {name}: {error}");
            }
        }
    }
}
