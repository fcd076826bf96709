//! One item on its way to a result.

use std::rc::Rc;

use tamaracksail_model::batch::{Ending, Item, ItemResult, PartialText};

use super::checkpointing::SavedText;
use super::scheduler::BatchKey;

slotmap::new_key_type! {
    /// One item of one batch.
    pub struct TaskKey;
}

/// Where an item stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It waits for an engine.
    Waiting,
    /// It runs.
    Running(u64),
    /// Its result waits to be written, or is.
    Done,
}

/// One item.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) item: Rc<Item>,
    pub(crate) batch: BatchKey,
    /// The group's number within the batch.
    pub(crate) group: usize,
    pub(crate) text: PartialText,
    /// What of the text was saved.
    pub(crate) saved: Option<SavedText>,
    pub(crate) stage: Stage,
    /// Answers that count as failed attempts.
    pub(crate) failures: u32,
    /// The service that runs it.
    pub(crate) service: String,
    /// Whether the trainer is not expected to wait for it.
    pub(crate) is_optional: bool,
}

impl Task {
    /// Lets the item begin anew.
    pub(crate) fn discard_text(&mut self) {
        self.text = PartialText::default();
        self.saved = None;
    }

    /// The result of a whole text.
    pub(crate) fn completed(&self) -> ItemResult {
        ItemResult {
            item: self.item.id.clone(),
            ending: Ending::Completed,
            text: self.text.data.clone(),
            versions: self.text.versions.iter().copied().collect(),
        }
    }

    /// The result of an item that was given up.
    pub(crate) fn aborted(&self) -> ItemResult {
        ItemResult {
            item: self.item.id.clone(),
            ending: Ending::Aborted,
            text: String::new(),
            versions: Vec::new(),
        }
    }
}
