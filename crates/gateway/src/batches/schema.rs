//! Layout of batches in the store.
//!
//! - `batches/ID`: a [`Manifest`]. Creating it accepts the batch, so it is written after all parts.
//!   Its status is a [`BatchStatus`].
//! - `batch-ID/part.N`, or `batch-ID/part.ACCOUNT.N` with the account's name in hexadecimal: a [`Part`]
//!   of the body as the client sent it.
//! - `batch-ID/results.N`: a [`Chunk`] of results. Creating it fixes the positions of its results.
//!   An empty chunk is a seal: it occupies the number, so that a chunk that an earlier scheduler
//!   sent before it lost the lease can no longer be created.
//! - `text/save.N`: a [checkpoint](tamaracksail_model::checkpoint::Checkpoint) of text that is not
//!   in a result yet. Numbers wrap around, so that new checkpoints replace the oldest.

use tamaracksail_model::batch::{ItemResult, SubmissionRoute};
use tamaracksail_model::plain;
use tamaracksail_policy::clock::Estimate;

/// The kind of manifests.
pub const MANIFESTS: &str = "batches";

/// The kind of the scheduling lease object.
pub const LEASES: &str = "leases";

/// The name of the scheduling lease object.
pub const LEASE: &str = "scheduling";

/// The kind of checkpoints.
pub const CHECKPOINTS: &str = "text";

/// The prefix of part names.
const PART: &str = "part.";

/// The prefix of chunk names.
const RESULTS: &str = "results.";

plain! {
    /// The object whose creation accepts a batch.
    pub struct Manifest {
        /// The host name of the submission request.
        pub host: String,
        /// The path of the submission request.
        pub path: String,
        /// The prefix of the route that accepted it; `None` in manifests that state none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub prefix: Option<String>,
        /// The number of parts of the body.
        pub parts: usize,
        /// The number of items.
        pub total: usize,
        /// The time of submission, in milliseconds since the Unix epoch.
        pub submitted: u64,
        /// How far that may be from true time, in milliseconds; `None` in manifests of gateways that
        /// stated a time of day.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub submitted_error_ms: Option<u64>,
        /// The name of the client account that submitted it; `None` if it was submitted without a
        /// key.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub account: Option<String>,
        /// The version of the routes under which it was accepted. A process whose routes are older
        /// cannot tell whether the batch's route has ended. 0 in manifests that state none.
        #[serde(default)]
        pub routes_version: u64,
    }
}

impl Manifest {
    /// Returns how the batch's route is found.
    pub fn submission_route(&self) -> SubmissionRoute {
        SubmissionRoute {
            host: self.host.clone(),
            path: self.path.clone(),
            prefix: self.prefix.clone(),
        }
    }

    /// Returns the time of submission.
    pub fn submitted(&self) -> Estimate {
        self.submitted_error_ms.map_or_else(
            || Estimate::of_time_of_day(self.submitted),
            |error_ms| Estimate {
                unix_ms: self.submitted,
                error_ms,
            },
        )
    }
}

plain! {
    /// The status of a batch.
    pub struct BatchStatus {
        /// Whether its client has ended it.
        pub is_ended: bool,
    }
}

plain! {
    /// A part of a submission's body.
    pub struct Part {
        /// The text.
        pub text: String,
    }
}

plain! {
    /// Results at consecutive positions.
    pub struct Chunk {
        /// The number of items of the batch.
        pub total: usize,
        /// The position of the first result.
        pub first: usize,
        /// The results.
        pub results: Vec<ItemResult>,
    }
}

/// Returns the kind of the parts and chunks of a batch.
pub fn batch_kind(batch: &str) -> String {
    format!("batch-{batch}")
}

/// Returns the name of a part of a body that `account` submitted. Parts are stored before the manifest
/// names the account, so two accounts that submit a batch with the same id must not share them.
pub fn part_name(account: Option<&str>, number: usize) -> String {
    let Some(account) = account else {
        return format!("{PART}{number:05}");
    };
    let account: Vec<String> = account.bytes().map(|byte| format!("{byte:02x}")).collect();
    format!("{PART}{}.{number:05}", account.concat())
}

/// Returns the name of a chunk.
pub fn chunk_name(number: usize) -> String {
    format!("{RESULTS}{number:05}")
}

/// Returns the name of a checkpoint. Numbers wrap around.
pub fn checkpoint_name(number: u64) -> String {
    format!(
        "save.{:02}",
        number % tamaracksail_policy::batch::CHECKPOINT_SLOTS
    )
}

/// Returns the name after which a listing starts with chunk `number`.
pub fn name_before_chunk(number: usize) -> String {
    if number == 0 {
        RESULTS.to_owned()
    } else {
        chunk_name(number - 1)
    }
}

/// Parses the number out of a chunk's name. Returns `None` for other names.
pub fn chunk_number(name: &str) -> Option<usize> {
    name.strip_prefix(RESULTS)?.parse().ok()
}
