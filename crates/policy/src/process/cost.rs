//! Costs of attempts, and how much of them was wasted.

use std::collections::BTreeMap;

use tamaracksail_model::id;
use tamaracksail_model::outcome::Class;
use tamaracksail_model::{key, plain};
use tamaracksail_wire::Usage;

key! {
    /// What became of the tokens of an attempt.
    #[serde(rename_all = "kebab-case")]
    pub enum Disposition {
        /// The tokens reached the caller.
        Delivered,
        /// Another copy of the request was faster.
        Loser,
        /// The attempt failed and was retried, or the caller had disconnected.
        Retried,
        /// The sample exceeded the staleness bound.
        Stale,
    }
}

/// The key under which costs are summed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct CostKey {
    /// The caller.
    pub caller: id::Caller,
    /// The requested model or service.
    pub target: id::Object,
    /// The request class.
    pub class: Class,
    /// What became of the tokens.
    #[serde(rename = "usage")]
    pub disposition: Disposition,
}

plain! {
    /// Totals of several attempts.
    #[derive(Copy, Default)]
    pub struct CostTotals {
        /// The number of attempts.
        pub attempts: u64,
        /// Prompt tokens that were not in the prefix cache.
        pub prompt_tokens: u64,
        /// Generated tokens.
        pub completion_tokens: u64,
    }
}

impl CostTotals {
    /// Adds the totals of `other`.
    pub fn add(&mut self, other: Self) {
        self.attempts += other.attempts;
        self.prompt_tokens += other.prompt_tokens;
        self.completion_tokens += other.completion_tokens;
    }
}

plain! {
    /// The costs of a process or of a day.
    #[derive(Default)]
    pub struct CostTable {
        /// The totals by key, serialised as a list of pairs.
        #[serde(with = "entries")]
        pub sums: BTreeMap<CostKey, CostTotals>,
    }
}

impl CostTable {
    /// Adds one attempt.
    pub fn record(&mut self, cost_key: CostKey, usage: Usage) {
        self.sums.entry(cost_key).or_default().add(CostTotals {
            attempts: 1,
            prompt_tokens: usage.prompt_tokens - usage.cached_tokens.min(usage.prompt_tokens),
            completion_tokens: usage.completion_tokens,
        });
    }

    /// Returns what was recorded since `earlier`, a previous copy of this table.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let mut later = self.clone();
        for (cost_key, sum) in &mut later.sums {
            let before = earlier.sums.get(cost_key).copied().unwrap_or_default();
            sum.attempts -= before.attempts;
            sum.prompt_tokens -= before.prompt_tokens;
            sum.completion_tokens -= before.completion_tokens;
        }
        later
    }

    /// Adds all totals of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (cost_key, sum) in &other.sums {
            self.sums.entry(cost_key.clone()).or_default().add(*sum);
        }
    }
}

/// Serialises the map as a list of pairs, since JSON object keys must be strings.
mod entries {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::{CostKey, CostTotals};

    pub(super) fn serialize<S: Serializer>(
        sums: &BTreeMap<CostKey, CostTotals>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        sums.iter().collect::<Vec<_>>().serialize(to)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<BTreeMap<CostKey, CostTotals>, D::Error> {
        Ok(Vec::<(CostKey, CostTotals)>::deserialize(from)?
            .into_iter()
            .collect())
    }
}
