//! The durable results of one batch, in the memory of the scheduling gateway.

use std::rc::Rc;

use tamaracksail_model::batch::ItemResult;
use tokio::sync::Notify;

/// The durable results of a batch, and the bodies of its items.
#[derive(Debug)]
pub struct ResultLog {
    /// The client account that submitted the batch, if any.
    pub account: Option<String>,
    /// The number of items of the batch.
    pub total: usize,
    /// The results by position.
    pub results: Vec<ItemResult>,
    /// Whether a chunk is being written. It may be in the store already, where other gateways read it.
    pub is_writing: bool,
    /// The number of the next chunk to write.
    pub next_chunk: usize,
    /// Notified when results are added, the batch ends, or scheduling stops here.
    pub changed: Rc<Notify>,
    /// The position in the order in which logs came into memory, for eviction of the oldest.
    pub sequence: u64,
    /// The total length of result texts and item bodies.
    pub bytes: usize,
    /// The items' names and bodies as the client sent them.
    pub item_bodies: Vec<(String, bytes::Bytes)>,
}
