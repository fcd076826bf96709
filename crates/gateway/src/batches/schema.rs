//! How batches lie in the store.
//!
//! - `batches/ID`: a [`Head`]. Its creation accepts the batch, so it comes after all parts. Its
//!   status is a [`Progress`].
//! - `batch-ID/part.N`: a [`Part`] of the body as the client sent it.
//! - `text/save.N`: a [checkpoint](tamaracksail_model::checkpoint::Checkpoint) of text that no result holds yet. The names form a ring.
//! - `batch-ID/results.N`: a [`Chunk`] of results. Its creation fixes their positions.

use tamaracksail_model::batch::Listing;
use tamaracksail_model::plain;

/// The kind of heads.
pub const MANIFESTS: &str = "batches";

/// The kind of the scheduling lease.
pub const LEASES: &str = "leases";

/// The name of the scheduling lease.
pub const LEASE: &str = "scheduling";

/// The kind of saved text.
pub const TEXT: &str = "text";

/// Before the number of a part.
const PART: &str = "part.";

/// Before the number of a chunk.
const RESULTS: &str = "results.";

plain! {
    /// An accepted batch.
    pub struct Manifest {
        /// The host name that the client asked for.
        pub host: String,
        /// The path of the submission.
        pub path: String,
        /// How many parts the body has.
        pub parts: usize,
        /// How many items it has.
        pub total: usize,
        /// When it was submitted, in milliseconds since the Unix epoch.
        pub submitted: u64,
    }
}

plain! {
    /// How far a batch is.
    pub struct BatchStatus {
        /// Whether its client has ended it.
        pub is_ended: bool,
    }
}

plain! {
    /// A piece of a body.
    pub struct Part {
        /// The text.
        pub text: String,
    }
}

plain! {
    /// Results at positions that follow each other.
    pub struct Chunk {
        /// How many items the batch has.
        pub total: usize,
        /// The position of the first.
        pub first: usize,
        /// The results.
        pub results: Vec<Listing>,
    }
}

/// The kind that holds the parts and chunks of a batch.
pub fn batch_kind(batch: &str) -> String {
    format!("batch-{batch}")
}

/// The name of a part.
pub fn part_name(number: usize) -> String {
    format!("{PART}{number:05}")
}

/// The name of a chunk.
pub fn chunk_name(number: usize) -> String {
    format!("{RESULTS}{number:05}")
}

/// The name of a save.
pub fn checkpoint_name(number: u64) -> String {
    format!("save.{:02}", number % tamaracksail_policy::batch::SAVES)
}

/// The name after which the chunks from `number` on are listed.
pub fn name_before_chunk(number: usize) -> String {
    if number == 0 {
        RESULTS.to_owned()
    } else {
        chunk_name(number - 1)
    }
}

/// The number of a chunk by its name; none if it is the name of something else.
pub fn chunk_number(name: &str) -> Option<usize> {
    name.strip_prefix(RESULTS)?.parse().ok()
}
