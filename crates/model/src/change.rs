//! Differences between sets of objects, and the merge of an operator's changes into a newer
//! generation.

use std::collections::{BTreeMap, BTreeSet};

use crate::check;
use crate::config::{Objects, Snapshot};
use crate::object::{Key, Spec};

plain! {
    /// The differences between two sets of objects.
    #[derive(Default)]
    pub struct Change {
        /// The new spec of each changed object; `None` if it was removed. A list and not a map, since
        /// JSON allows only text as the keys of a map.
        pub specs: Vec<(Key, Option<Spec>)>,
    }
}

/// Why a change could not be merged.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum MergeError {
    /// Another operator changed the same objects differently.
    #[error("conflict: changed by another operator since: {}", join(.0))]
    Conflict(Vec<Key>),
    /// The merged set fails the check.
    #[error("the merged set is invalid: {}", join(.0))]
    Invalid(Vec<check::Error>),
}

fn join<T: ToString>(items: &[T]) -> String {
    items
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("; ")
}

/// Returns the changes that turn `old` into `new`.
#[must_use]
pub fn diff(old: &Objects, new: &Objects) -> Change {
    let keys: BTreeSet<&Key> = old.keys().chain(new.keys()).collect();
    let changed = keys.into_iter().filter(|key| old.get(key) != new.get(key));
    Change {
        specs: changed
            .map(|key| (key.clone(), new.get(key).cloned()))
            .collect(),
    }
}

/// Applies `change`, which was made against `base`, to `head` and returns the next generation.
///
/// # Errors
/// [`MergeError::Conflict`] if both changed an object differently; [`MergeError::Invalid`] if the
/// merged set fails [`check::check`].
pub fn merge(base: &Snapshot, change: &Change, head: &Snapshot) -> Result<Snapshot, MergeError> {
    let theirs: BTreeMap<_, _> = diff(&base.objects, &head.objects)
        .specs
        .into_iter()
        .collect();
    let conflicts = change
        .specs
        .iter()
        .filter(|(key, spec)| theirs.get(key).is_some_and(|other| other != spec));
    let conflicts: Vec<Key> = conflicts.map(|(key, _)| key.clone()).collect();
    if !conflicts.is_empty() {
        return Err(MergeError::Conflict(conflicts));
    }
    let mut objects = head.objects.clone();
    for (key, spec) in &change.specs {
        match spec {
            Some(spec) => objects.insert(key.clone(), spec.clone()),
            None => objects.remove(key),
        };
    }
    check::check(&objects).map_err(MergeError::Invalid)?;
    Ok(Snapshot {
        generation: head.generation.next(),
        objects,
    })
}
