//! One batch: its items, groups and results.

use std::collections::BTreeSet;
use std::time::Duration;

use tamaracksail_model::batch::ItemResult;
use tamaracksail_model::time::Instant;

use super::task::TaskKey;

/// How long results wait for more before they are written. Each write is paid for; a training
/// step lasts seconds, and what completes a step is written at once.
pub(crate) const RESULT_COALESCE_DELAY: Duration = Duration::from_millis(400);

/// A group of items that share a prompt.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    /// Its name, which stays the same when a later batch brings it again.
    pub(crate) name: String,
    /// Items without a result.
    pub(crate) unfinished: usize,
    /// Whether an earlier batch left it, so that the trainer waits for it whatever else is whole.
    pub(crate) is_carried_over: bool,
}

/// A batch that is not over.
#[derive(Clone, Debug)]
pub(crate) struct Batch {
    /// The route's host name, by which an item's path finds its service.
    pub(crate) host: String,
    pub(crate) model: Option<String>,
    pub(crate) min_version: Option<u64>,
    pub(crate) target_groups: usize,
    pub(crate) groups: Vec<Group>,
    pub(crate) tasks: Vec<TaskKey>,
    pub(crate) is_single_version: bool,
    pub(crate) max_attempts: u32,
    /// When its items may be given up.
    pub(crate) expires: Instant,
    /// Results that are not written yet.
    pub(crate) results: Vec<ItemResult>,
    /// When the oldest of them came.
    pub(crate) oldest_result_at: Instant,
    pub(crate) is_writing: bool,
    /// Items whose results are being written.
    pub(crate) items_being_written: BTreeSet<String>,
    /// Whether the trainer has what it waits for.
    pub(crate) is_satisfied: bool,
    /// When its client ended it.
    pub(crate) ended_at: Option<Instant>,
}

impl Batch {
    /// Whether the trainer has what it waits for: enough groups without an open item, and all
    /// carried ones among them.
    fn is_target_met(&self) -> bool {
        let whole = self
            .groups
            .iter()
            .filter(|group| group.unfinished == 0)
            .count();
        let is_awaited = |group: &Group| group.is_carried_over && group.unfinished > 0;
        whole >= self.target_groups && !self.groups.iter().any(is_awaited)
    }

    /// Adds a result of an item of `group`.
    pub(crate) fn add_result(&mut self, now: Instant, group: usize, result: ItemResult) {
        if self.results.is_empty() {
            self.oldest_result_at = now;
        }
        self.results.push(result);
        if let Some(group) = self.groups.get_mut(group) {
            group.unfinished = group.unfinished.saturating_sub(1);
        }
    }

    /// Takes the results to write now, if it is time.
    pub(crate) fn take_results(&mut self, now: Instant) -> Option<Vec<ItemResult>> {
        if self.is_writing || self.results.is_empty() || self.ended_at.is_some() {
            return None;
        }
        let completes = !self.is_satisfied && self.is_target_met();
        if !completes && now.since(self.oldest_result_at) < RESULT_COALESCE_DELAY {
            return None;
        }
        self.is_satisfied |= completes;
        self.is_writing = true;
        self.items_being_written = self
            .results
            .iter()
            .map(|result| result.item.clone())
            .collect();
        Some(std::mem::take(&mut self.results))
    }
}

/// The names of the groups of `items`, in the order in which they appear, and each item's group.
/// An item without a group is one of its own.
pub(crate) fn group_items<'a>(
    items: impl Iterator<Item = (&'a str, Option<&'a str>)>,
) -> (Vec<String>, Vec<usize>) {
    let mut names: Vec<String> = Vec::new();
    let mut numbers = std::collections::BTreeMap::new();
    let mut of_item = Vec::new();
    for (id, group) in items {
        let key = (group.is_some(), group.unwrap_or(id));
        let number = *numbers.entry(key).or_insert_with(|| {
            names.push(key.1.to_owned());
            names.len() - 1
        });
        of_item.push(number);
    }
    (names, of_item)
}

/// The groups that are left for last: those expected to be the longest, as many as the trainer
/// does not wait for. Groups in `carried` are always waited for.
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
