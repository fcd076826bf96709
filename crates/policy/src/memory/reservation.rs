//! Bytes that are reserved until they are released.

use super::budget::{Budget, Exhausted, Use};

/// Bytes that are reserved in a [`Budget`] until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    kind: Use,
    account: Option<String>,
    bytes: u64,
}

impl Reservation {
    pub(super) fn new(budget: Budget, kind: Use, account: Option<String>) -> Self {
        Self {
            budget,
            kind,
            account,
            bytes: 0,
        }
    }

    /// Grows to `bytes`. Does nothing if there are as many already.
    ///
    /// # Errors
    /// If they do not fit. What is reserved stays so.
    pub fn grow_to(&mut self, bytes: u64) -> Result<(), Exhausted> {
        if bytes <= self.bytes {
            return Ok(());
        }
        let (kind, account) = (self.kind, self.account.as_deref());
        let mut state = self.budget.state();
        state.check(kind, account, bytes - self.bytes)?;
        state.change(kind, account, self.bytes, bytes);
        self.bytes = bytes;
        Ok(())
    }

    /// Sets the number of bytes to what is in memory already, whether it fits or not.
    pub fn count_to(&mut self, bytes: u64) {
        let (kind, account) = (self.kind, self.account.as_deref());
        self.budget.state().change(kind, account, self.bytes, bytes);
        self.bytes = bytes;
    }

    /// Returns the number of bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.count_to(0);
    }
}
