//! A gateway process, driven by signals.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use tamaracksail_adapter_standins::settings;

/// One gateway process after the other on one host.
#[derive(Debug)]
pub struct Process {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Why a process could not be driven.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Starting or waiting failed.
    #[error("process of {log}: {source}")]
    Io {
        /// Its log file.
        log: String,
        /// What happened.
        source: std::io::Error,
    },
    /// A signal could not be sent.
    #[error("signal to the process of {log}: {source}")]
    Signal {
        /// Its log file.
        log: String,
        /// What happened.
        source: rustix::io::Errno,
    },
}

impl Process {
    /// Writes the settings and starts the process. Its lines go to `HOST.log` in `folder`.
    ///
    /// # Errors
    /// If a file cannot be written or the program not be started.
    pub fn start(program: &Path, folder: &Path, host: &str, text: &str) -> Result<Self, Error> {
        let settings = folder.join(format!("{host}.settings"));
        let log = folder.join(format!("{host}.log"));
        std::fs::write(&settings, text).map_err(|source| io(&log, source))?;
        let mut process = Self {
            program: program.to_owned(),
            settings,
            log,
            child: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts it again.
    ///
    /// # Errors
    /// If the program cannot be started.
    pub fn restart(&mut self) -> Result<(), Error> {
        let open = |path: &Path| -> std::io::Result<File> {
            OpenOptions::new().create(true).append(true).open(path)
        };
        let output = open(&self.log).map_err(|source| io(&self.log, source))?;
        let errors = output.try_clone().map_err(|source| io(&self.log, source))?;
        let child = Command::new(&self.program)
            .env(settings::PATH_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(|source| io(&self.log, source))?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal, if it runs.
    ///
    /// # Errors
    /// If the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        kill_process(Pid::from_child(child), signal).map_err(|source| Error::Signal {
            log: self.log.display().to_string(),
            source,
        })
    }

    /// Kills it and waits for its end.
    ///
    /// # Errors
    /// If it cannot be killed.
    pub fn kill(&mut self) -> Result<(), Error> {
        if let Some(mut child) = self.child.take() {
            child.kill().map_err(|source| io(&self.log, source))?;
            child.wait().map_err(|source| io(&self.log, source))?;
        }
        Ok(())
    }

    /// Its exit status, if it has ended by itself since the last call.
    ///
    /// # Errors
    /// If the system does not tell.
    pub fn ended(&mut self) -> Result<Option<std::process::ExitStatus>, Error> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let status = child.try_wait().map_err(|source| io(&self.log, source))?;
        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// Whether a process is there.
    #[must_use]
    pub fn runs(&self) -> bool {
        self.child.is_some()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        drop(self.kill());
    }
}

fn io(log: &Path, source: std::io::Error) -> Error {
    Error::Io {
        log: log.display().to_string(),
        source,
    }
}
