//! How far a request has come.

use std::cell::Cell;
use std::rc::Rc;

/// Whether a request may have taken effect. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Progress(Rc<Cell<bool>>);

impl Progress {
    /// Records that the request is passed on.
    pub fn begin(&self) {
        self.0.set(true);
    }

    /// Whether the request was passed on, so that its outcome is unknown until there is a response.
    pub fn has_begun(&self) -> bool {
        self.0.get()
    }
}
