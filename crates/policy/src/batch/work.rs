//! One item on its way to a result.

use std::collections::BTreeSet;
use std::rc::Rc;

use tamaracksail_model::batch::{Ending, Item, Listing};

use super::scheduler::BatchKey;

slotmap::new_key_type! {
    /// One item of one batch.
    pub struct WorkKey;
}

/// Where an item stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It waits for an engine.
    Waiting,
    /// It runs.
    Running(u64),
    /// Its result waits to be written, or is.
    Over,
}

/// Text that an item has so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Text {
    pub(crate) data: String,
    /// The id of the last event.
    pub(crate) last: Option<u64>,
    pub(crate) versions: BTreeSet<u64>,
    /// Whether the last event is the stream's last.
    pub(crate) is_whole: bool,
}

impl Text {
    /// Whether all of it comes from allowed versions.
    pub(crate) fn fits(&self, min_version: Option<u64>) -> bool {
        match (self.versions.first(), min_version) {
            (Some(oldest), Some(min)) => *oldest >= min,
            _ => true,
        }
    }

    pub(crate) fn push(&mut self, id: u64, data: &str, version: Option<u64>) {
        if self.last.is_some() {
            self.data.push('\n');
        }
        self.data.push_str(data);
        self.last = Some(id);
        self.versions.extend(version);
    }
}

/// One item.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub(crate) item: Rc<Item>,
    pub(crate) batch: BatchKey,
    /// The group's number within the batch.
    pub(crate) group: usize,
    pub(crate) text: Text,
    pub(crate) stage: Stage,
    /// Answers that count as failed attempts.
    pub(crate) failures: u32,
    /// The service that runs it.
    pub(crate) service: String,
    /// Whether the trainer is not expected to wait for it.
    pub(crate) is_spare: bool,
}

impl Work {
    /// The result of a whole text.
    pub(crate) fn completed(&self) -> Listing {
        Listing {
            item: self.item.id.clone(),
            ending: Ending::Completed,
            text: self.text.data.clone(),
            versions: self.text.versions.iter().copied().collect(),
        }
    }

    /// The result of an item that was given up.
    pub(crate) fn aborted(&self) -> Listing {
        Listing {
            item: self.item.id.clone(),
            ending: Ending::Aborted,
            text: String::new(),
            versions: Vec::new(),
        }
    }
}
