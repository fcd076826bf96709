//! The health of the backend server.

use std::collections::BTreeMap;
use std::time::Duration;

use awc::error::SendRequestError;
use serde::Deserialize;
use tamaracksail_model::id;

use crate::server::Server;

/// How long a probe waits.
const TIMEOUT: Duration = Duration::from_millis(500);

/// What a probe found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Health {
    /// The server answers.
    Up {
        /// Changes whenever the server restarts.
        epoch: u64,
        /// The versions loaded.
        versions: BTreeMap<id::Object, id::Version>,
    },
    /// Nothing listens there.
    Down,
    /// No answer in time.
    Silent,
}

#[derive(Deserialize)]
struct Answer {
    epoch: u64,
    #[serde(default)]
    versions: BTreeMap<id::Object, id::Version>,
}

/// Probes the server.
pub async fn probe(http: &awc::Client, server: &Server) -> Health {
    let url = format!("{}/health", server.url);
    match http.get(url).timeout(TIMEOUT).send().await {
        Err(SendRequestError::Connect(_)) => Health::Down,
        Err(_) => Health::Silent,
        Ok(mut response) => match response.json::<Answer>().await {
            Ok(answer) => Health::Up {
                epoch: answer.epoch,
                versions: answer.versions,
            },
            Err(_) => Health::Silent,
        },
    }
}
