//! The embedded store of payloads.
#![expect(clippy::result_large_err, reason = "errors of the disk are rare")]

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use redb::{Database, ReadableTable, TableDefinition};

/// Payloads by name.
const PAYLOADS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("payloads");

/// When each payload was written, in seconds since the Unix epoch.
const WRITTEN: TableDefinition<'_, &str, u64> = TableDefinition::new("written");

/// A call to the store failed.
#[derive(Debug, thiserror::Error)]
#[error("{step} {path}: {source}")]
pub struct Error {
    step: &'static str,
    path: PathBuf,
    source: redb::Error,
}

/// The store.
pub struct Storage {
    database: Database,
    path: PathBuf,
}

fn seconds_now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}

impl Storage {
    /// Opens the store in a folder, which is created if it is missing.
    ///
    /// # Errors
    /// If the folder or the store cannot be opened.
    pub fn open(folder: &Path) -> Result<Self, Error> {
        let path = folder.join("payloads.redb");
        let fail = |source| Error {
            step: "open",
            path: path.clone(),
            source,
        };
        std::fs::create_dir_all(folder).map_err(|error| fail(redb::Error::Io(error)))?;
        let database = Database::create(&path).map_err(|error| fail(error.into()))?;
        let storage = Self {
            database,
            path: path.clone(),
        };
        storage.write("open", |_, _| Ok(()))?;
        Ok(storage)
    }

    fn write<R>(
        &self,
        step: &'static str,
        act: impl FnOnce(
            &mut redb::Table<'_, &str, &[u8]>,
            &mut redb::Table<'_, &str, u64>,
        ) -> Result<R, redb::Error>,
    ) -> Result<R, Error> {
        let written = || -> Result<R, redb::Error> {
            let transaction = self.database.begin_write()?;
            let result = {
                let mut payloads = transaction.open_table(PAYLOADS)?;
                let mut times = transaction.open_table(WRITTEN)?;
                act(&mut payloads, &mut times)?
            };
            transaction.commit()?;
            Ok(result)
        };
        written().map_err(|source| Error {
            step,
            path: self.path.clone(),
            source,
        })
    }

    /// Writes a payload.
    ///
    /// # Errors
    /// If the disk refuses.
    pub fn put(&self, name: &str, payload: &[u8]) -> Result<(), Error> {
        self.write("write", |payloads, times| {
            payloads.insert(name, payload)?;
            times.insert(name, seconds_now())?;
            Ok(())
        })
    }

    /// Reads a payload.
    ///
    /// # Errors
    /// If the disk refuses.
    pub fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let read = || -> Result<Option<Vec<u8>>, redb::Error> {
            let transaction = self.database.begin_read()?;
            let payloads = transaction.open_table(PAYLOADS)?;
            Ok(payloads.get(name)?.map(|payload| payload.value().to_vec()))
        };
        read().map_err(|source| Error {
            step: "read",
            path: self.path.clone(),
            source,
        })
    }

    /// Removes a payload; says whether it was there.
    ///
    /// # Errors
    /// If the disk refuses.
    pub fn remove(&self, name: &str) -> Result<bool, Error> {
        self.write("remove", |payloads, times| {
            times.remove(name)?;
            Ok(payloads.remove(name)?.is_some())
        })
    }

    /// Removes what was written longer ago than `age`; says how much.
    ///
    /// # Errors
    /// If the disk refuses.
    pub fn remove_older_than(&self, age: Duration) -> Result<usize, Error> {
        let limit = seconds_now().saturating_sub(age.as_secs());
        self.write("remove", |payloads, times| {
            let mut old = Vec::new();
            for entry in times.iter()? {
                let (name, written) = entry?;
                if written.value() < limit {
                    old.push(name.value().to_owned());
                }
            }
            for name in &old {
                payloads.remove(name.as_str())?;
                times.remove(name.as_str())?;
            }
            Ok(old.len())
        })
    }
}
