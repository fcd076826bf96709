//! A gateway process, controlled by signals.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use tamaracksail_adapter_standins::settings;

/// The gateway process of a host, which can be restarted.
#[derive(Debug)]
pub struct Process {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// An error in the control of a process.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The process could not be started or queried.
    #[error("cannot start, end or query the process with log {log}: {source}")]
    Io {
        /// The log file of the process.
        log: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A signal could not be sent.
    #[error("cannot send a signal to the process with log {log}: {source}")]
    Signal {
        /// The log file of the process.
        log: String,
        /// The cause.
        source: rustix::io::Errno,
    },
}

impl Process {
    /// Writes the settings file and starts the process. Its output goes to `HOST.log` in `folder`.
    ///
    /// # Errors
    /// Returns an error if a file cannot be written or the executable cannot be started.
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

    /// Starts the process again.
    ///
    /// # Errors
    /// Returns an error if the executable cannot be started.
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

    /// Sends a signal to the process, if it is running.
    ///
    /// # Errors
    /// Returns an error if the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        kill_process(Pid::from_child(child), signal).map_err(|source| Error::Signal {
            log: self.log.display().to_string(),
            source,
        })
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    /// Returns an error if the process cannot be killed.
    pub fn kill(&mut self) -> Result<(), Error> {
        if let Some(mut child) = self.child.take() {
            child.kill().map_err(|source| io(&self.log, source))?;
            child.wait().map_err(|source| io(&self.log, source))?;
        }
        Ok(())
    }

    /// Returns the exit status if the process has exited since the last call.
    ///
    /// # Errors
    /// Returns an error if the process cannot be queried.
    pub fn take_exit_status(&mut self) -> Result<Option<std::process::ExitStatus>, Error> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let status = child.try_wait().map_err(|source| io(&self.log, source))?;
        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// Returns whether the process was started and no exit of it was observed.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited by itself.
        drop(self.kill());
    }
}

fn io(log: &Path, source: std::io::Error) -> Error {
    Error::Io {
        log: log.display().to_string(),
        source,
    }
}
