//! Checks of whether a server is still running.

use std::net::SocketAddr;
use std::time::Duration;

use tamaracksail_adapter::engine::REPORT_PATH;
use tamaracksail_adapter::identity::Identity;
use tamaracksail_http::{Connection, Stage};
use tamaracksail_model::backend::Registration;
use tamaracksail_policy::request::survival::Liveness;

use crate::gateway::Gateway;
use crate::version;

/// The time limit on a connection attempt. A request waits for it before it is sent again; a round
/// trip to another failure domain takes less than ten milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// The time limit on the response to a check.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Opens and closes a connection to a server. Returns whether its host refuses connections, which
/// means that the process has ended.
pub async fn is_refusing(server: SocketAddr) -> bool {
    match Connection::open(server, CONNECT_TIMEOUT).await {
        Ok(_) => false,
        Err(error) => error.stage == Stage::Refused,
    }
}

/// Asks a server whether its process is the registered one: an engine by its report, another server
/// by a health check.
pub async fn check(gateway: &Gateway, server: &Registration) -> Liveness {
    let table = gateway.table();
    let settings = table
        .as_ref()
        .and_then(|table| table.services.get(&server.service));
    let health_path = settings.and_then(|settings| settings.health_path.as_deref());
    let path = match health_path {
        Some(path) if server.models.is_empty() => path,
        _ => REPORT_PATH,
    };
    let statement = version::identify(gateway, server, path, CONNECT_TIMEOUT);
    let limit = CONNECT_TIMEOUT + RESPONSE_TIMEOUT;
    match tokio::time::timeout(limit, statement).await {
        Ok(Ok((identity, response))) => {
            if identity != Identity::Other {
                response.release(&gateway.http);
            }
            match identity {
                Identity::Registered => Liveness::Confirmed,
                Identity::Unstated => Liveness::Responding,
                Identity::Other => Liveness::Replaced,
            }
        }
        Ok(Err(error)) if error.stage == Stage::Refused => Liveness::Refusing,
        Ok(Err(error)) if error.stage == Stage::Connect => Liveness::Unreachable,
        Ok(Err(_)) | Err(_) => Liveness::Unresponsive,
    }
}
