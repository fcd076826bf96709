//! Responses that a stop of the process waits for.

use std::cell::Cell;
use std::rc::Rc;

/// The number of requests whose responses are not written to their end. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Work(Rc<Cell<usize>>);

impl Work {
    /// Counts a request until the guard is dropped.
    pub fn begin(&self) -> WorkGuard {
        self.0.set(self.0.get() + 1);
        WorkGuard(self.clone())
    }

    /// Returns the number of requests.
    pub fn open(&self) -> usize {
        self.0.get()
    }
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub struct WorkGuard(Work);

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get() - 1);
    }
}
