//! The order in which waiting items start: by the latest time at which an item must start for its
//! batch to be complete when it is due.
//!
//! With batches of several trainers open at a time, a long item of a batch that has just come may
//! have less time left than the short ones of an earlier batch, and after a takeover batches come in
//! no order at all.

use std::time::Duration;

use tamaracksail_model::batch::Item;
use tamaracksail_model::time::Instant;

/// The weight of the newest sample in the moving average of the time per token.
const SAMPLE_WEIGHT: f64 = 0.02;

/// The rank of an item. Those with the lowest start first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// The latest time at which the item must start.
    latest_start: Instant,
    /// The position in the order in which items were added, for items that must start at the same
    /// time.
    number: u64,
}

/// Assigns ranks, from the durations of earlier items.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ranking {
    /// The moving average of the time per expected token, in seconds; zero before the first sample.
    token_seconds: f64,
    last_number: u64,
}

impl Ranking {
    /// Returns the rank of an item of a batch that is due at `due`. An optional item is not needed
    /// before that.
    pub(crate) fn assign(&mut self, item: &Item, due: Instant, is_optional: bool) -> Rank {
        self.last_number += 1;
        let expected = if is_optional {
            Duration::ZERO
        } else {
            self.expected_duration(item)
        };
        let micros = u64::try_from(expected.as_micros()).unwrap_or(u64::MAX);
        Rank {
            latest_start: Instant(due.0.saturating_sub(micros)),
            number: self.last_number,
        }
    }

    /// Records how long an item took from its start to its end.
    pub(crate) fn record(&mut self, item: &Item, took: Duration) {
        let tokens = expected_tokens(item);
        if tokens == 0 {
            return;
        }
        #[allow(clippy::cast_precision_loss, reason = "texts are far shorter")]
        let sample = took.as_secs_f64() / tokens as f64;
        if self.token_seconds == 0.0 {
            self.token_seconds = sample;
        } else {
            self.token_seconds += (sample - self.token_seconds) * SAMPLE_WEIGHT;
        }
    }

    fn expected_duration(&self, item: &Item) -> Duration {
        #[allow(clippy::cast_precision_loss, reason = "texts are far shorter")]
        let seconds = self.token_seconds * expected_tokens(item) as f64;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO)
    }
}

/// Returns the number of tokens that an item is expected to generate.
pub(crate) fn expected_tokens(item: &Item) -> u64 {
    item.hint.unwrap_or(item.tokens)
}
