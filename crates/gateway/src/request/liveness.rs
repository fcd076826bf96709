//! Whether a server that broke off a response is still running.

use std::net::SocketAddr;
use std::time::Duration;

use tamaracksail_http::{Connection, Stage};

/// The time limit on a connection attempt. The request waits for it before it is sent again; a round
/// trip to another failure domain takes less than ten milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// The time between two connection attempts. A process that exits closes its sockets one after the
/// other, so its listener may still be open when a connection breaks.
const SECOND_ATTEMPT_DELAY: Duration = Duration::from_millis(20);

/// Whether a server is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Its host refuses connections: the process has ended.
    Ended,
    /// It accepts connections.
    Listening,
    /// Its host does not respond, so the state of the process is unknown.
    Unreachable,
}

impl Liveness {
    /// Returns the text for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Listening => "listening",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Opens and closes a connection to a server, and another one if the first is accepted.
pub async fn check(server: SocketAddr) -> Liveness {
    match connect(server).await {
        Liveness::Listening => {}
        other => return other,
    }
    tokio::time::sleep(SECOND_ATTEMPT_DELAY).await;
    connect(server).await
}

async fn connect(server: SocketAddr) -> Liveness {
    match Connection::open(server, CONNECT_TIMEOUT).await {
        Ok(_) => Liveness::Listening,
        Err(error) if error.stage == Stage::Refused => Liveness::Ended,
        Err(_) => Liveness::Unreachable,
    }
}
