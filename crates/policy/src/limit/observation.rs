//! What a server stated about its limit.

use tamaracksail_model::rate::Rate;
use tamaracksail_model::time::Instant;

/// What a server stated, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The limit; `None` if a response stated none.
    pub limit: Option<Rate>,
    /// When the response arrived at the gateway that observed it.
    pub at: Instant,
}
