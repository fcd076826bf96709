//! The client accounts to which batches belong, as far as this process has read them from the store.

use std::collections::{BTreeMap, VecDeque};

use tamaracksail_adapter::store::Error;
use tamaracksail_model::account::Caller;

use super::schema::{self, Manifest};
use crate::gateway::Gateway;

/// The number of batches whose account is kept. A trainer has few batches open.
const MAX_OWNERS: usize = 4096;

/// The accounts of batches that were used last at this process, by the batches' ids.
#[derive(Debug, Default)]
pub struct Owners {
    by_batch: BTreeMap<String, Option<String>>,
    /// The ids, oldest first.
    by_age: VecDeque<String>,
}

impl Owners {
    fn insert(&mut self, batch: &str, owner: Option<String>) {
        if self.by_batch.insert(batch.to_owned(), owner).is_some() {
            return;
        }
        self.by_age.push_back(batch.to_owned());
        if self.by_age.len() > MAX_OWNERS
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.by_batch.remove(&oldest);
        }
    }
}

/// Checks that a caller may use a batch.
///
/// # Errors
/// [`Error::Missing`] if it may not, as if the batch did not exist, or if it does not exist; other
/// errors if the account of the batch cannot be read.
pub async fn check(gateway: &Gateway, caller: &Caller, batch: &str) -> Result<(), Error> {
    if *caller == Caller::Any {
        return Ok(());
    }
    let owners = &gateway.coordinator.owners;
    let known = owners.borrow().by_batch.get(batch).cloned();
    let owner = if let Some(owner) = known {
        owner
    } else {
        gateway.store_availability.check("account of a batch")?;
        let object = gateway.store.get(schema::MANIFESTS, batch).await?;
        let manifest = object.spec::<Manifest>().map_err(|error| {
            log::error!(batch, error:%; "stored batch is malformed");
            missing(batch)
        })?;
        owners.borrow_mut().insert(batch, manifest.account.clone());
        manifest.account
    };
    if caller.may_use(owner.as_deref()) {
        return Ok(());
    }
    log::info!(batch, account = caller.account(); "batch of another account requested");
    Err(missing(batch))
}

/// Returns the error that a batch does not exist.
pub fn missing(batch: &str) -> Error {
    Error::Missing {
        call: format!("batch {batch}"),
    }
}
