//! The results of one batch that are durable, as the scheduling gateway holds them.

use std::rc::Rc;

use tamaracksail_model::batch::Listing;
use tamaracksail_policy::batch::BatchKey;
use tokio::sync::Notify;

/// The durable results of a batch.
#[derive(Debug)]
pub struct ResultLog {
    /// How many items the batch has.
    pub total: usize,
    /// The results by position.
    pub results: Vec<Listing>,
    /// The number of the next chunk.
    pub next_chunk: usize,
    /// Wakes readers.
    pub changed: Rc<Notify>,
    /// The batch while it is open.
    pub batch: Option<BatchKey>,
    /// Increases with each result log, so that the oldest can be found.
    pub sequence: u64,
    /// The length of the texts and bodies.
    pub bytes: usize,
    /// The body that the client sent, for bodies of items.
    pub items: Vec<(String, bytes::Bytes)>,
}
