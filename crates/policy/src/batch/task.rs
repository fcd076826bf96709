//! The scheduler's record of one item of one batch.

use std::rc::Rc;

use tamaracksail_model::batch::{Ending, Item, ItemResult, PartialText};
use tamaracksail_model::carried::Carried;
use tamaracksail_model::time::Instant;

use super::checkpointing::SavedText;
use super::scheduler::BatchKey;
use crate::reward::CallKey;

slotmap::new_key_type! {
    /// Identifies one item of one batch.
    pub struct TaskKey;
}

/// The progress of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It waits for an engine.
    Waiting,
    /// It runs, as the run with this number.
    Running(u64),
    /// Its text is complete, and this call is to score it.
    Scoring(CallKey),
    /// It has a result, which is written or waits to be.
    Done,
}

/// One item of one batch.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) item: Rc<Item>,
    /// Its id within its account, by which a later batch finds its text.
    pub(crate) carried: Carried,
    pub(crate) batch: BatchKey,
    /// The index of its group within the batch.
    pub(crate) group: usize,
    pub(crate) text: PartialText,
    /// The part of the text that is in checkpoints.
    pub(crate) saved: Option<SavedText>,
    pub(crate) stage: Stage,
    /// Since when it waits for an engine, if it does.
    pub(crate) waiting_since: Instant,
    /// The number of failed responses, which count as attempts.
    pub(crate) failures: u32,
    /// The service whose engines run it.
    pub(crate) service: String,
    /// Whether it belongs to a group that the trainer is not expected to wait for.
    pub(crate) is_optional: bool,
    /// Whether it was moved to a permanently faster engine.
    pub(crate) has_moved_to_faster: bool,
}

impl Task {
    /// Discards the text, so that the item starts over.
    pub(crate) fn discard_text(&mut self) {
        self.text = PartialText::default();
        self.saved = None;
    }

    /// Returns the score of the text that the item's call has brought, if there is one.
    fn score(&self) -> Option<&str> {
        let call = self.item.reward.as_ref()?;
        let progress = self.text.reward.as_ref()?;
        let score = progress.score.as_deref();
        score.filter(|_| progress.call == call.id)
    }

    /// Returns the result of an item whose text is complete and scored.
    pub(crate) fn completed(&self) -> ItemResult {
        ItemResult {
            item: self.item.id.clone(),
            ending: Ending::Completed,
            text: self.text.data.clone(),
            versions: self.text.versions.iter().copied().collect(),
            score: self.score().map(str::to_owned),
        }
    }

    /// Returns the result of an item that was aborted.
    pub(crate) fn aborted(&self) -> ItemResult {
        ItemResult {
            item: self.item.id.clone(),
            ending: Ending::Aborted,
            text: String::new(),
            versions: Vec::new(),
            score: None,
        }
    }
}
