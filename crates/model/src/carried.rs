//! Names of what one batch may carry over from another.

use serde::{Deserialize, Serialize};

/// The id of an item or the name of a group, within the client account that submitted it. A batch
/// carries over text and groups of its own account alone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "Stored", into = "Stored")]
pub struct Carried {
    /// The name of the account; `None` if the batch was submitted without a key.
    pub account: Option<String>,
    /// The id of the item or the name of the group.
    pub name: String,
}

/// The stored form. Without an account it is the name alone, as older versions stored it.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Stored {
    Plain(String),
    Owned(String, String),
}

impl Carried {
    /// Returns the name `name` within `account`.
    #[must_use]
    pub fn new(account: Option<&str>, name: &str) -> Self {
        Self {
            account: account.map(str::to_owned),
            name: name.to_owned(),
        }
    }
}

impl From<Stored> for Carried {
    fn from(stored: Stored) -> Self {
        match stored {
            Stored::Plain(name) => Self {
                account: None,
                name,
            },
            Stored::Owned(account, name) => Self {
                account: Some(account),
                name,
            },
        }
    }
}

impl From<Carried> for Stored {
    fn from(carried: Carried) -> Self {
        match carried.account {
            None => Self::Plain(carried.name),
            Some(account) => Self::Owned(account, carried.name),
        }
    }
}
