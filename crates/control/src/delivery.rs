//! Whether a request that failed was sent.

use awc::error::{ConnectError, SendRequestError};

/// Returns whether nothing of the request was sent.
///
/// A peer that closes the connection instead of responding causes [`ConnectError::Disconnected`], although it may
/// have received the request.
#[must_use]
pub fn is_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(cause) => !matches!(cause, ConnectError::Disconnected),
        _ => false,
    }
}
