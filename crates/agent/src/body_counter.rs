//! Limits on the body of a server's response.

use std::cell::Cell;

/// The limits on a body, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// The whole body. An entry holds the response until its client has read it.
    whole: usize,
    /// The part in which no event ends, which is held until the rest arrives.
    event: usize,
}

impl BodyLimits {
    /// The limits on a stream of events, which hold a few tokens each.
    pub const EVENTS: Self = Self {
        whole: 16 << 20,
        event: 256 << 10,
    };

    /// The limits on any other body.
    pub const BYTES: Self = Self {
        whole: 16 << 20,
        event: usize::MAX,
    };
}

/// Counts the bytes of one body.
#[derive(Debug)]
pub struct BodyCounter {
    limits: BodyLimits,
    whole: Cell<usize>,
    since_event: Cell<usize>,
}

impl BodyCounter {
    /// Returns the counter of a body of which nothing has been read.
    pub fn new(limits: BodyLimits) -> Self {
        Self {
            limits,
            whole: Cell::new(0),
            since_event: Cell::new(0),
        }
    }

    /// Counts bytes that have arrived.
    ///
    /// # Errors
    /// Which limit the body exceeds.
    pub fn record_chunk(&self, bytes: usize) -> Result<(), String> {
        self.whole.set(self.whole.get().saturating_add(bytes));
        self.since_event
            .set(self.since_event.get().saturating_add(bytes));
        let BodyLimits { whole, event } = self.limits;
        if self.whole.get() > whole {
            return Err(format!("longer than {whole} bytes"));
        }
        if self.since_event.get() > event {
            return Err(format!("an event is longer than {event} bytes"));
        }
        Ok(())
    }

    /// Records that an event is complete.
    pub fn record_event(&self) {
        self.since_event.set(0);
    }
}
