//! What was paid, and what of it was wasted.

use std::collections::BTreeMap;

use tamaracksail_model::id;
use tamaracksail_model::outcome::Class;
use tamaracksail_model::{key, plain};
use tamaracksail_wire::Usage;

key! {
    /// Why tokens did no good.
    #[serde(rename_all = "kebab-case")]
    pub enum Use {
        /// They reached the one who asked.
        Delivered,
        /// Another copy of the request was faster.
        Loser,
        /// The attempt failed and was retried, or the caller had gone.
        Retried,
        /// The sample became too old.
        Stale,
    }
}

/// What costs are counted by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct Account {
    /// Who asked.
    pub caller: id::Caller,
    /// The model or service.
    pub target: id::Object,
    /// The class.
    pub class: Class,
    /// What became of the tokens.
    pub usage: Use,
}

plain! {
    /// A sum.
    #[derive(Copy, Default)]
    pub struct Sum {
        /// Attempts.
        pub attempts: u64,
        /// Tokens read and not cached.
        pub prompt_tokens: u64,
        /// Tokens generated.
        pub completion_tokens: u64,
    }
}

impl Sum {
    /// Adds another sum.
    pub fn add(&mut self, other: Self) {
        self.attempts += other.attempts;
        self.prompt_tokens += other.prompt_tokens;
        self.completion_tokens += other.completion_tokens;
    }
}

plain! {
    /// The sums of a process or of a day, as a list since accounts are not text.
    #[derive(Default)]
    pub struct Sheet {
        /// Sums by account.
        #[serde(with = "entries")]
        pub sums: BTreeMap<Account, Sum>,
    }
}

impl Sheet {
    /// Counts one attempt.
    pub fn count(&mut self, account: Account, usage: Usage) {
        self.sums.entry(account).or_default().add(Sum {
            attempts: 1,
            prompt_tokens: usage.prompt_tokens - usage.cached_tokens.min(usage.prompt_tokens),
            completion_tokens: usage.completion_tokens,
        });
    }

    /// What was counted since an earlier state of the same sheet.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let mut later = self.clone();
        for (account, sum) in &mut later.sums {
            let before = earlier.sums.get(account).copied().unwrap_or_default();
            sum.attempts -= before.attempts;
            sum.prompt_tokens -= before.prompt_tokens;
            sum.completion_tokens -= before.completion_tokens;
        }
        later
    }

    /// Adds another sheet.
    pub fn merge(&mut self, other: &Self) {
        for (account, sum) in &other.sums {
            self.sums.entry(account.clone()).or_default().add(*sum);
        }
    }
}

/// Stores the map as a list of entries, since JSON has only text keys.
mod entries {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::{Account, Sum};

    pub(super) fn serialize<S: Serializer>(
        sums: &BTreeMap<Account, Sum>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        sums.iter().collect::<Vec<_>>().serialize(to)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<BTreeMap<Account, Sum>, D::Error> {
        Ok(Vec::<(Account, Sum)>::deserialize(from)?
            .into_iter()
            .collect())
    }
}
