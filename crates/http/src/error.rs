//! Errors of connections and requests.

use std::fmt;
use std::net::SocketAddr;

/// The stage at which a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The peer's host refused the connection since no process listens. Nothing was sent.
    Refused,
    /// Before a connection was established. Nothing was sent.
    Connect,
    /// After the request may have been sent, and before the head of the response was received.
    Head,
    /// While the body of the response was received.
    Body,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused | Self::Connect => "connect",
            Self::Head => "response head",
            Self::Body => "response body",
        })
    }
}

/// A failed request.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{stage} with {peer}: {problem}")]
pub struct Error {
    /// The stage at which it failed.
    pub stage: Stage,
    /// The peer's address.
    pub peer: SocketAddr,
    /// What happened.
    pub problem: String,
}

impl Error {
    /// Returns whether nothing was sent.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self.stage, Stage::Refused | Stage::Connect)
    }
}
