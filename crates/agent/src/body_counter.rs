//! Limits on the body of a server's response.

use std::cell::Cell;

/// The limit on a whole body, in bytes. An entry holds the response until its client has read it.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The limit on the bytes that are held until more arrive, as those of an event that has not ended. Events hold
/// a few tokens each.
const MAX_HELD_BYTES: usize = 256 << 10;

/// Counts the bytes of one body.
#[derive(Debug, Default)]
pub struct BodyCounter {
    whole: Cell<usize>,
    held: Cell<usize>,
}

impl BodyCounter {
    /// Counts bytes that have arrived.
    ///
    /// # Errors
    /// Which limit the body exceeds.
    pub fn record_chunk(&self, bytes: usize) -> Result<(), String> {
        self.whole.set(self.whole.get().saturating_add(bytes));
        self.held.set(self.held.get().saturating_add(bytes));
        if self.whole.get() > MAX_BODY_BYTES {
            return Err(format!("longer than {MAX_BODY_BYTES} bytes"));
        }
        if self.held.get() > MAX_HELD_BYTES {
            return Err(format!("an event is longer than {MAX_HELD_BYTES} bytes"));
        }
        Ok(())
    }

    /// Records that bytes have been passed on.
    pub fn record_passed_on(&self) {
        self.held.set(0);
    }
}
