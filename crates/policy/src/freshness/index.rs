use tamaracksail_model::time::Instant;

/// A revision that the store had reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Index {
    /// A time at which the store's revision was at most `revision`: all changes that were confirmed before it
    /// have that revision or a lower one.
    pub at: Instant,
    /// The revision.
    pub revision: u64,
    /// When this process learned of it.
    pub learned_at: Instant,
}

impl Index {
    /// Returns the one of two that tells more.
    #[must_use]
    pub fn newer(self, other: Option<Self>) -> Self {
        other.filter(|other| other.at > self.at).unwrap_or(self)
    }
}
