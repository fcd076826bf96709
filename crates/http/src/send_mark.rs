//! When a request was sent.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// When a request was given to an open connection. As an extension of a request it tells this also if the
/// request is abandoned before its response arrives. Clones share the time.
#[derive(Clone, Debug, Default)]
pub struct SendMark(Arc<Mutex<Option<Instant>>>);

impl SendMark {
    /// Returns when the request was sent; none if it was not.
    #[must_use]
    pub fn sent_at(&self) -> Option<Instant> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set(&self, at: Option<Instant>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = at;
    }
}
