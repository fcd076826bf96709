//! What goes wrong on a connection.

use std::fmt;
use std::net::SocketAddr;

/// Where an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The peer's host is there and no process listens: nothing was sent.
    Refused,
    /// Before a connection stood: nothing was sent.
    Connect,
    /// After the request may have been sent, before the head of the answer.
    Head,
    /// Within the body of the answer.
    Body,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused | Self::Connect => "connect",
            Self::Head => "answer head",
            Self::Body => "answer body",
        })
    }
}

/// A failed exchange.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{stage} with {peer}: {problem}")]
pub struct Error {
    /// Where it failed.
    pub stage: Stage,
    /// The peer's address.
    pub peer: SocketAddr,
    /// What happened.
    pub problem: String,
}

impl Error {
    /// Whether nothing was sent.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self.stage, Stage::Refused | Stage::Connect)
    }
}
