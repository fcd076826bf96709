//! Client accounts: whom a request belongs to, and the keys that prove it.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use sha2::{Digest, Sha256};

/// The longest key that is looked up, in bytes.
const MAX_KEY_BYTES: usize = 512;

/// The digest of an API key. Neither it nor the key is ever printed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key([u8; 32]);

impl Key {
    /// Returns the digest of the text of a key; `None` if it is empty or too long to be one.
    #[must_use]
    pub fn digest(text: &[u8]) -> Option<Self> {
        let is_possible = !text.is_empty() && text.len() <= MAX_KEY_BYTES;
        is_possible.then(|| Self(Sha256::digest(text).into()))
    }

    /// Returns the key with a digest.
    #[must_use]
    pub fn from_bytes(digest: [u8; 32]) -> Self {
        Self(digest)
    }

    /// Returns the digest.
    #[must_use]
    pub fn to_bytes(self) -> [u8; 32] {
        self.0
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}

plain! {
    /// A client account.
    pub struct Account {
        /// Its name, which servers are told.
        pub name: String,
        /// The priority of its requests, which goes before that of their route; 0 is the highest.
        pub priority: Option<u8>,
    }
}

/// Two accounts have the same key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the accounts {0:?} and {1:?} have the same key")]
pub struct SharedKey(pub String, pub String);

/// The accounts of one version of the configuration, by key.
///
/// Keys are looked up by their digests, so that the time of a look-up tells nothing about them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accounts {
    by_key: BTreeMap<Key, Arc<Account>>,
    names: Vec<String>,
    /// The priorities of the accounts that state one.
    priorities: BTreeMap<String, u8>,
}

impl Accounts {
    /// Adds an account with its keys.
    ///
    /// # Errors
    /// If another account has one of the keys.
    pub fn insert(&mut self, account: Account, keys: &[Key]) -> Result<(), SharedKey> {
        let account = Arc::new(account);
        for key in keys {
            if let Some(other) = self.by_key.insert(*key, Arc::clone(&account))
                && other.name != account.name
            {
                return Err(SharedKey(other.name.clone(), account.name.clone()));
            }
        }
        self.names.push(account.name.clone());
        if let Some(priority) = account.priority {
            self.priorities.insert(account.name.clone(), priority);
        }
        Ok(())
    }

    /// Returns the account that has a key.
    #[must_use]
    pub fn find(&self, key: Key) -> Option<&Arc<Account>> {
        self.by_key.get(&key)
    }

    /// Returns the priority of the account with this name, if it states one.
    #[must_use]
    pub fn priority(&self, name: &str) -> Option<u8> {
        self.priorities.get(name).copied()
    }

    /// Returns the names of all accounts.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(String::as_str)
    }
}

plain! {
    /// Who makes a call to a batch.
    pub enum Caller {
        /// A client while no accounts are configured. It may use every batch.
        Any,
        /// A client without a key.
        Anonymous,
        /// A client of the account with this name.
        Account(String),
    }
}

impl Caller {
    /// Whether the caller may use a batch that was submitted under the account `owner`, or without
    /// one.
    #[must_use]
    pub fn may_use(&self, owner: Option<&str>) -> bool {
        match (self, owner) {
            (Self::Any, _) | (_, None) => true,
            (Self::Anonymous, Some(_)) => false,
            (Self::Account(name), Some(owner)) => name == owner,
        }
    }

    /// Returns the name of the caller's account.
    #[must_use]
    pub fn account(&self) -> Option<&str> {
        match self {
            Self::Account(name) => Some(name),
            Self::Any | Self::Anonymous => None,
        }
    }
}
