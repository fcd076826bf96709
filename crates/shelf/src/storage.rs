//! The embedded store of payloads.
#![expect(clippy::result_large_err, reason = "errors of the disk are rare")]

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use redb::{Database, ReadableTable, TableDefinition};

/// The table of payloads by name.
const PAYLOADS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("payloads");

/// The table of when each payload was written, in seconds since the Unix epoch.
const WRITE_TIMES: TableDefinition<'_, &str, u64> = TableDefinition::new("written");

/// An error of the embedded store.
#[derive(Debug, thiserror::Error)]
#[error("{operation} {path}: {source}")]
pub struct Error {
    operation: &'static str,
    path: PathBuf,
    source: redb::Error,
}

/// The embedded store.
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
    /// Opens the store in a folder. Creates the folder and the store if they do not exist.
    ///
    /// # Errors
    /// If the folder cannot be created or the store cannot be opened.
    pub fn open(folder: &Path) -> Result<Self, Error> {
        let path = folder.join("payloads.redb");
        let fail = |source| Error {
            operation: "open",
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

    /// Runs `update` on the tables in a write transaction. Opening the tables creates them.
    fn write<R>(
        &self,
        operation: &'static str,
        update: impl FnOnce(
            &mut redb::Table<'_, &str, &[u8]>,
            &mut redb::Table<'_, &str, u64>,
        ) -> Result<R, redb::Error>,
    ) -> Result<R, Error> {
        let run_transaction = || -> Result<R, redb::Error> {
            let transaction = self.database.begin_write()?;
            let result = {
                let mut payloads = transaction.open_table(PAYLOADS)?;
                let mut times = transaction.open_table(WRITE_TIMES)?;
                update(&mut payloads, &mut times)?
            };
            transaction.commit()?;
            Ok(result)
        };
        run_transaction().map_err(|source| Error {
            operation,
            path: self.path.clone(),
            source,
        })
    }

    /// Writes a payload, and records the time.
    ///
    /// # Errors
    /// If the store cannot be written.
    pub fn put(&self, name: &str, payload: &[u8]) -> Result<(), Error> {
        self.write("write", |payloads, times| {
            payloads.insert(name, payload)?;
            times.insert(name, seconds_now())?;
            Ok(())
        })
    }

    /// Returns a payload, if it exists.
    ///
    /// # Errors
    /// If the store cannot be read.
    pub fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let run_transaction = || -> Result<Option<Vec<u8>>, redb::Error> {
            let transaction = self.database.begin_read()?;
            let payloads = transaction.open_table(PAYLOADS)?;
            Ok(payloads.get(name)?.map(|payload| payload.value().to_vec()))
        };
        run_transaction().map_err(|source| Error {
            operation: "read",
            path: self.path.clone(),
            source,
        })
    }

    /// Removes a payload. Returns whether it existed.
    ///
    /// # Errors
    /// If the store cannot be written.
    pub fn remove(&self, name: &str) -> Result<bool, Error> {
        self.write("remove", |payloads, times| {
            times.remove(name)?;
            Ok(payloads.remove(name)?.is_some())
        })
    }

    /// Removes the payloads that were written longer ago than `age`. Returns how many.
    ///
    /// # Errors
    /// If the store cannot be written.
    pub fn remove_older_than(&self, age: Duration) -> Result<usize, Error> {
        let oldest_kept = seconds_now().saturating_sub(age.as_secs());
        self.write("remove", |payloads, times| {
            let mut expired = Vec::new();
            for entry in times.iter()? {
                let (name, written) = entry?;
                if written.value() < oldest_kept {
                    expired.push(name.value().to_owned());
                }
            }
            for name in &expired {
                payloads.remove(name.as_str())?;
                times.remove(name.as_str())?;
            }
            Ok(expired.len())
        })
    }
}
