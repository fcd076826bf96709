//! Which text of unfinished items is saved, and how it is put together again.
//!
//! It answers the loss of the scheduling process: an item of seven seconds that begins anew
//! misses a step that is due each four. Only text that took a second or more to make is worth a
//! place; what is younger is made again.

use std::collections::{BTreeMap, BTreeSet};

use tamaracksail_model::batch::PartialText;
use tamaracksail_model::checkpoint::{Checkpoint, Segment};
use tamaracksail_model::time::Instant;

use super::scheduler::Scheduler;
use super::task::{Stage, TaskKey};

/// The events before which an item's text is not saved. They come some 50 ms apart.
const MIN_SAVED_EVENTS: u64 = 24;

/// Saves for which the pieces of one text are kept, as they lie in a ring. A text that is older is
/// saved whole again.
pub const CHECKPOINT_SLOTS: u64 = 16;

/// What of an item's text was saved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SavedText {
    series: u64,
    /// The number of the save that began this life.
    series_start: u64,
    last: u64,
    bytes: usize,
}

/// Takes text that was not saved yet, up to about `most` bytes, the longest texts first.
pub(super) fn take_checkpoint(
    scheduler: &mut Scheduler,
    fence: u64,
    max_bytes: usize,
) -> Option<Checkpoint> {
    if scheduler.checkpoint_fence != Some(fence) {
        // Pieces under another number are never joined with these.
        checkpoint_lost(scheduler);
        scheduler.checkpoint_fence = Some(fence);
    }
    let mut candidates: Vec<(u64, TaskKey)> = scheduler
        .tasks
        .iter()
        .filter(|(_, task)| task.stage != Stage::Done)
        .filter_map(|(key, task)| {
            let last = task.text.last.filter(|last| *last >= MIN_SAVED_EVENTS)?;
            let is_saved = task.saved.is_some_and(|saved| saved.last >= last);
            (!is_saved).then_some((last, key))
        })
        .collect();
    candidates.sort_by_key(|(last, key)| (std::cmp::Reverse(*last), *key));
    let number = scheduler.checkpoint_count;
    let mut segments = Vec::new();
    let mut bytes = 0;
    for (last, key) in candidates {
        let task = &mut scheduler.tasks[key];
        let continued = task
            .saved
            .filter(|saved| number - saved.series_start < CHECKPOINT_SLOTS - 1);
        let saved_bytes = continued.map_or(0, |saved| saved.bytes);
        let data = &task.text.data[saved_bytes..];
        let data = data
            .strip_prefix('\n')
            .filter(|_| saved_bytes > 0)
            .unwrap_or(data);
        if bytes + data.len() > max_bytes {
            continue;
        }
        bytes += data.len();
        let series = continued.map_or_else(
            || {
                scheduler.last_series += 1;
                scheduler.last_series
            },
            |saved| saved.series,
        );
        segments.push(Segment {
            item: task.item.id.clone(),
            series,
            after: continued.map(|saved| saved.last),
            last,
            data: data.to_owned(),
            versions: task.text.versions.clone(),
        });
        task.saved = Some(SavedText {
            series,
            series_start: continued.map_or(number, |saved| saved.series_start),
            last,
            bytes: task.text.data.len(),
        });
    }
    if segments.is_empty() {
        return None;
    }
    scheduler.checkpoint_count += 1;
    Some(Checkpoint {
        fence,
        segments,
        groups: past_groups(scheduler),
    })
}

/// Notes that a save was lost: every text is saved whole again.
pub(super) fn checkpoint_lost(scheduler: &mut Scheduler) {
    for task in scheduler.tasks.values_mut() {
        task.saved = None;
    }
}

/// Groups that a later batch may bring again, or that an open one has brought.
pub(super) fn past_groups(scheduler: &Scheduler) -> Vec<String> {
    let newly_seen: BTreeSet<&String> = scheduler
        .batches
        .values()
        .filter(|batch| batch.ended_at.is_none())
        .flat_map(|batch| &batch.groups)
        .filter(|group| !group.is_carried_over)
        .map(|group| &group.name)
        .collect();
    let is_returnable = |name: &&String| !newly_seen.contains(name);
    scheduler
        .past_groups
        .keys()
        .filter(is_returnable)
        .cloned()
        .collect()
}

/// Takes in groups that an earlier scheduler saw.
pub(super) fn restore_past_groups(scheduler: &mut Scheduler, now: Instant, groups: Vec<String>) {
    for name in groups {
        scheduler.past_groups.insert(name, now);
    }
}

/// Puts texts together from their pieces: of each item the longest that is there from its first
/// event on without a gap.
#[must_use]
pub fn join_segments(checkpoints: Vec<Checkpoint>) -> Vec<(String, PartialText)> {
    let mut by_series: BTreeMap<(String, u64, u64), BTreeMap<Option<u64>, Segment>> =
        BTreeMap::new();
    for checkpoint in checkpoints {
        for segment in checkpoint.segments {
            let series = (segment.item.clone(), checkpoint.fence, segment.series);
            by_series
                .entry(series)
                .or_default()
                .insert(segment.after, segment);
        }
    }
    let mut partial_texts: BTreeMap<String, PartialText> = BTreeMap::new();
    for ((item, ..), mut segments) in by_series {
        let mut partial_text = PartialText::default();
        while let Some(segment) = segments.remove(&partial_text.last) {
            if partial_text.last.is_some() {
                partial_text.data.push('\n');
            }
            partial_text.data.push_str(&segment.data);
            partial_text.last = Some(segment.last);
            partial_text.versions = segment.versions;
        }
        let known = partial_texts.get(&item).and_then(|known| known.last);
        if partial_text.last > known {
            partial_texts.insert(item, partial_text);
        }
    }
    partial_texts.into_iter().collect()
}
