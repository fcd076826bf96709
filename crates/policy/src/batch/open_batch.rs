//! One open batch with its items, groups and results.

use std::collections::BTreeSet;
use std::time::Duration;

use tamaracksail_model::batch::{ItemResult, SubmissionRoute};
use tamaracksail_model::time::Instant;

use super::task::TaskKey;

/// How long results wait for others to be written with them, since each write costs. A training
/// step lasts seconds, and the results that complete a step are written without delay.
pub(crate) const RESULT_COALESCE_DELAY: Duration = Duration::from_millis(400);

/// How long a trainer takes at most to end a batch once it can read what it waits for. Trainers read about
/// twice a second; an item may be at no engine for five seconds.
const MAX_END_DELAY: Duration = Duration::from_secs(2);

/// A group of items that share a prompt.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    /// Its name, by which a later batch can submit the same group again.
    pub(crate) name: String,
    /// The number of items without a result.
    pub(crate) unfinished: usize,
    /// Whether an earlier batch left the group unfinished. The trainer waits for such a group no
    /// matter how many others are complete.
    pub(crate) is_carried_over: bool,
}

/// A batch that is open, or ended recently enough that runs of it may continue.
#[derive(Clone, Debug)]
pub(crate) struct Batch {
    /// How its route is found, whose service runs its items.
    pub(crate) route: SubmissionRoute,
    /// The client account that submitted the batch, if any.
    pub(crate) account: Option<String>,
    pub(crate) model: Option<String>,
    /// The oldest version that may generate.
    pub(crate) min_version: Option<u64>,
    /// The number of complete groups that the trainer waits for.
    pub(crate) target_groups: usize,
    pub(crate) groups: Vec<Group>,
    /// The number of events of the longest item that the trainer waits for.
    pub(crate) longest: u64,
    pub(crate) tasks: Vec<TaskKey>,
    /// Whether each text must come from one version.
    pub(crate) is_single_version: bool,
    pub(crate) max_attempts: u32,
    /// When all its results are due.
    pub(crate) due: Instant,
    /// When its unfinished items are aborted.
    pub(crate) expires: Instant,
    /// Results that wait to be written.
    pub(crate) results: Vec<ItemResult>,
    /// When the first of them arrived.
    pub(crate) oldest_result_at: Instant,
    /// Whether a write of results is in progress.
    pub(crate) is_writing: bool,
    /// The ids of items whose results are being written.
    pub(crate) items_being_written: BTreeSet<String>,
    /// Whether the results that the trainer waits for were handed out for writing.
    pub(crate) is_satisfied: bool,
    /// Since when these results are durable, so that the trainer can read them and end the batch.
    pub(crate) satisfied_since: Option<Instant>,
    /// When its client ended the batch.
    pub(crate) ended_at: Option<Instant>,
}

impl Batch {
    /// Whether the results suffice for the trainer: `target_groups` groups are complete, among them
    /// all that are carried over.
    fn is_target_met(&self) -> bool {
        let complete_groups = self
            .groups
            .iter()
            .filter(|group| group.unfinished == 0)
            .count();
        let is_awaited = |group: &Group| group.is_carried_over && group.unfinished > 0;
        complete_groups >= self.target_groups && !self.groups.iter().any(is_awaited)
    }

    /// Records that all results handed out for writing are durable.
    pub(crate) fn record_written(&mut self, now: Instant) {
        self.is_writing = false;
        self.items_being_written.clear();
        if self.is_satisfied && self.satisfied_since.is_none() {
            self.satisfied_since = Some(now);
        }
    }

    /// Waits for all groups if the trainer has not ended the batch in time: it waits for others than those that
    /// are complete. Which groups an earlier batch left unfinished may not be known here, if another process
    /// scheduled that batch or it is long ago.
    pub(crate) fn review_satisfaction(&mut self, now: Instant) {
        let is_late = |since: Instant| now.since(since) >= MAX_END_DELAY;
        if self.ended_at.is_none() && self.satisfied_since.is_some_and(is_late) {
            self.target_groups = self.groups.len();
            self.is_satisfied = false;
            self.satisfied_since = None;
        }
    }

    /// Adds the result of an item of `group`.
    pub(crate) fn add_result(&mut self, now: Instant, group: usize, result: ItemResult) {
        if self.results.is_empty() {
            self.oldest_result_at = now;
        }
        self.results.push(result);
        if let Some(group) = self.groups.get_mut(group) {
            group.unfinished = group.unfinished.saturating_sub(1);
        }
    }

    /// Takes the results that are to be written now, if any: the oldest, with up to `max_bytes` of
    /// text, but at least one.
    pub(crate) fn take_results(
        &mut self,
        now: Instant,
        max_bytes: usize,
    ) -> Option<Vec<ItemResult>> {
        if self.is_writing || self.results.is_empty() || self.ended_at.is_some() {
            return None;
        }
        let completes = !self.is_satisfied && self.is_target_met();
        if !completes && now.since(self.oldest_result_at) < RESULT_COALESCE_DELAY {
            return None;
        }
        self.is_satisfied |= completes;
        self.is_writing = true;
        let mut bytes = 0;
        let fits = |result: &&ItemResult| {
            bytes += result.text.len();
            bytes <= max_bytes
        };
        let count = self.results.iter().take_while(fits).count();
        let rest = self.results.split_off(count.max(1));
        let taken = std::mem::replace(&mut self.results, rest);
        // Results that did not fit are written as soon as these are durable.
        self.oldest_result_at = Instant(0);
        self.items_being_written = taken.iter().map(|result| result.item.clone()).collect();
        Some(taken)
    }
}

/// Returns the names of the groups of `items`, in the order of their first appearance, and the
/// index of each item's group. An item without a group forms a group of its own.
pub(crate) fn group_items<'a>(
    items: impl Iterator<Item = (&'a str, Option<&'a str>)>,
) -> (Vec<String>, Vec<usize>) {
    let mut names: Vec<String> = Vec::new();
    let mut indices = std::collections::BTreeMap::new();
    let mut of_item = Vec::new();
    for (id, group) in items {
        let key = (group.is_some(), group.unwrap_or(id));
        let index = *indices.entry(key).or_insert_with(|| {
            names.push(key.1.to_owned());
            names.len() - 1
        });
        of_item.push(index);
    }
    (names, of_item)
}

/// Returns the groups that the trainer is not expected to wait for: as many as exceed `target`, and
/// of these the ones with the longest items. Groups in `carried_over` are never optional.
pub(crate) fn optional_groups(
    lengths: &[u64],
    carried_over: &BTreeSet<usize>,
    target: usize,
) -> BTreeSet<usize> {
    let optional_count = lengths.len().saturating_sub(target);
    let mut candidates: Vec<usize> = (0..lengths.len())
        .filter(|group| !carried_over.contains(group))
        .collect();
    candidates.sort_by_key(|group| std::cmp::Reverse(lengths[*group]));
    candidates.into_iter().take(optional_count).collect()
}
