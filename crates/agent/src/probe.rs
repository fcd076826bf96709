//! Probes the health of the backend server.

use std::collections::BTreeMap;
use std::time::Duration;

use awc::error::SendRequestError;
use serde::Deserialize;
use tamaracksail_model::id;

use crate::server::Server;

/// How long a probe waits for a response.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The result of a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Health {
    /// The server responded.
    Up {
        /// A number that changes whenever the server restarts.
        epoch: u64,
        /// The version that is loaded of each model.
        versions: BTreeMap<id::Object, id::Version>,
    },
    /// The connection failed.
    Down,
    /// No valid response came in time.
    NoResponse,
}

#[derive(Deserialize)]
struct HealthResponse {
    epoch: u64,
    #[serde(default)]
    versions: BTreeMap<id::Object, id::Version>,
}

/// Probes the server.
pub async fn probe(http: &awc::Client, server: &Server) -> Health {
    let url = format!("{}/health", server.url);
    match http.get(url).timeout(PROBE_TIMEOUT).send().await {
        Err(SendRequestError::Connect(_)) => Health::Down,
        Err(_) => Health::NoResponse,
        Ok(mut response) => match response.json::<HealthResponse>().await {
            Ok(health) => Health::Up {
                epoch: health.epoch,
                versions: health.versions,
            },
            Err(_) => Health::NoResponse,
        },
    }
}
