use tokio::sync::{Semaphore, SemaphorePermit};

/// The number of parts of batches that are read at a time. Until the items of a batch are decoded, its body is in
/// memory as the store holds it.
const MAX_PARTS: u32 = 16;

/// Limits the memory of batches that are being read from the store. They are read in the order in which reads
/// begin, and small ones at the same time.
#[derive(Debug)]
pub struct Reads(Semaphore);

impl Default for Reads {
    fn default() -> Self {
        Self(Semaphore::new(MAX_PARTS as usize))
    }
}

impl Reads {
    /// Waits until a batch of this number of parts may be read. The read ends when the result is dropped.
    pub async fn begin(&self, parts: usize) -> Option<SemaphorePermit<'_>> {
        let parts = u32::try_from(parts).unwrap_or(MAX_PARTS);
        // The semaphore is never closed.
        self.0.acquire_many(parts.clamp(1, MAX_PARTS)).await.ok()
    }
}
