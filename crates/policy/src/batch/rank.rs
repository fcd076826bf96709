//! The order in which waiting items start: those of the batch that is due first, and of one batch in
//! the order in which they were added.
//!
//! After a takeover, batches come in the order in which they are read from the store, which is not
//! that of their submission.

use tamaracksail_model::batch::Item;
use tamaracksail_model::time::Instant;

/// The rank of an item. Those with the lowest start first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// When the results of the batch are due.
    due: Instant,
    /// The position in the order in which items were added.
    number: u64,
}

/// Assigns ranks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ranking {
    last_number: u64,
}

impl Ranking {
    /// Returns the rank of the next item of a batch that is due at `due`.
    pub(crate) fn assign(&mut self, due: Instant) -> Rank {
        self.last_number += 1;
        Rank {
            due,
            number: self.last_number,
        }
    }
}

/// Returns the number of tokens that an item is expected to generate.
pub(crate) fn expected_tokens(item: &Item) -> u64 {
    item.hint.unwrap_or(item.tokens)
}
