//! Checkpoints of the text of unfinished items, and its reconstruction from them.
//!
//! Checkpoints limit what the loss of the scheduling process costs: an item of seven seconds that
//! starts over delays a step that is due every four seconds. Only text that took a second or more
//! to generate is saved; shorter text is generated again.

use std::collections::{BTreeMap, BTreeSet};

use tamaracksail_model::batch::PartialText;
use tamaracksail_model::carried::Carried;
use tamaracksail_model::checkpoint::{Checkpoint, Segment};
use tamaracksail_model::time::Instant;

use super::scheduler::Scheduler;
use super::task::{Stage, TaskKey};

/// The number of events from which on an item's text is saved. Events are about 50 ms apart, so
/// this is text of a second or more. Complete text that waits for its score is saved at any length.
const MIN_SAVED_EVENTS: u64 = 24;

/// The number of checkpoints in the store, where they form a ring. A text whose first segment
/// would be overwritten is saved again in full, as a new series.
pub const CHECKPOINT_SLOTS: u64 = 16;

/// The part of an item's text that is saved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SavedText {
    /// The number of the series of segments that the text is saved in.
    series: u64,
    /// The number of the checkpoint with the first segment of the series.
    series_start: u64,
    /// The id of the last saved event.
    last: u64,
    /// The length of the saved text.
    bytes: usize,
}

/// Returns a checkpoint of up to about `max_bytes` of text that is not saved yet, of the items with
/// the most events first; `None` if there is no such text.
pub(super) fn take_checkpoint(
    scheduler: &mut Scheduler,
    fence: u64,
    max_bytes: usize,
) -> Option<Checkpoint> {
    if scheduler.checkpoint_fence != Some(fence) {
        // Segments under another fencing token are never joined with these.
        checkpoint_lost(scheduler);
        scheduler.checkpoint_fence = Some(fence);
    }
    let mut candidates: Vec<(u64, TaskKey)> = scheduler
        .tasks
        .iter()
        .filter(|(_, task)| task.stage != Stage::Done)
        .filter_map(|(key, task)| {
            let is_worth_saving = |last: &u64| *last >= MIN_SAVED_EVENTS || task.text.is_whole;
            let last = task.text.last.filter(is_worth_saving)?;
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
            item: task.carried.clone(),
            series,
            after: continued.map(|saved| saved.last),
            last,
            data: data.to_owned(),
            versions: task.text.versions.clone(),
            software: task.text.software.clone(),
            is_whole: task.text.is_whole,
            reward: task.text.reward.clone(),
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

/// Records that a checkpoint was not stored: every text is saved again in full.
pub(super) fn checkpoint_lost(scheduler: &mut Scheduler) {
    for task in scheduler.tasks.values_mut() {
        task.saved = None;
    }
}

/// Returns the groups that count as carried over if a later batch submits them: all groups seen but
/// those that are new in an open batch.
pub(super) fn past_groups(scheduler: &Scheduler) -> Vec<Carried> {
    let newly_seen: BTreeSet<Carried> = scheduler
        .batches
        .values()
        .filter(|batch| batch.ended_at.is_none())
        .flat_map(|batch| {
            let groups = batch.groups.iter().filter(|group| !group.is_carried_over);
            groups.map(|group| Carried::new(batch.account.as_deref(), &group.name))
        })
        .collect();
    let is_seen_before = |name: &&Carried| !newly_seen.contains(*name);
    scheduler
        .past_groups
        .keys()
        .filter(is_seen_before)
        .cloned()
        .collect()
}

/// Adds groups that an earlier scheduler has seen.
pub(super) fn restore_past_groups(scheduler: &mut Scheduler, now: Instant, groups: Vec<Carried>) {
    for name in groups {
        scheduler.past_groups.insert(name, now);
    }
}

/// Joins the segments of checkpoints to texts. Returns, for each item, the longest text that starts
/// with the first event and has no gap.
#[must_use]
pub fn join_segments(checkpoints: Vec<Checkpoint>) -> Vec<(Carried, PartialText)> {
    let mut by_series: BTreeMap<(Carried, u64, u64), BTreeMap<Option<u64>, Segment>> =
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
    let mut partial_texts: BTreeMap<Carried, PartialText> = BTreeMap::new();
    for ((item, ..), mut segments) in by_series {
        let mut partial_text = PartialText::default();
        while let Some(segment) = segments.remove(&partial_text.last) {
            if partial_text.last.is_some() {
                partial_text.data.push('\n');
            }
            partial_text.data.push_str(&segment.data);
            partial_text.last = Some(segment.last);
            partial_text.versions = segment.versions;
            partial_text.software = segment.software;
            partial_text.is_whole = segment.is_whole;
            partial_text.reward = segment.reward;
        }
        let known = partial_texts.get(&item).and_then(|known| known.last);
        if partial_text.last > known {
            partial_texts.insert(item, partial_text);
        }
    }
    partial_texts.into_iter().collect()
}
