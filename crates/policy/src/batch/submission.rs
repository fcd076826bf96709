//! Submission of batches, and changes of their routes.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use tamaracksail_model::batch::{Item, SubmissionRoute};
use tamaracksail_model::carried::Carried;
use tamaracksail_model::time::Instant;

use super::open_batch::{Batch, Group, group_items, optional_groups};
use super::rank::expected_tokens;
use super::scheduler::{BatchKey, Scheduler};
use super::task::{Stage, Task, TaskKey};
use super::{dispatch, ending};

/// A batch as it is submitted to the scheduler.
#[derive(Clone, Debug)]
pub struct Submission {
    /// How its route is found.
    pub route: SubmissionRoute,
    /// The client account that submitted the batch, if any.
    pub account: Option<String>,
    /// The model, for training steps.
    pub model: Option<String>,
    /// The oldest version that may generate.
    pub min_version: Option<u64>,
    /// The number of complete groups that the trainer waits for; all groups if `None`.
    pub target_groups: Option<usize>,
    /// The items.
    pub items: Vec<Item>,
    /// The ids of items whose result is in the store already.
    pub with_result: BTreeSet<String>,
    /// Whether each text must come from one version.
    pub is_single_version: bool,
    /// The number of failed responses after which an item is aborted.
    pub max_attempts: u32,
    /// When all results are due.
    pub due: Instant,
    /// When unfinished items are aborted.
    pub expires: Instant,
}

/// Adds a batch. `route` returns the service of the route of a batch; the given one if the route still
/// names it.
///
/// Optional items start last; within either part, the items expected to be the longest start
/// first.
pub(super) fn submit(
    scheduler: &mut Scheduler,
    now: Instant,
    submission: Submission,
    route: impl Fn(&SubmissionRoute, Option<&str>) -> Option<String>,
) -> BatchKey {
    let (names, group_of) = group_items(
        submission
            .items
            .iter()
            .map(|item| (item.id.as_str(), item.group.as_deref())),
    );
    let past_group = |name: &String| Carried::new(submission.account.as_deref(), name);
    let carried_over: BTreeSet<usize> = (0..names.len())
        .filter(|group| {
            scheduler
                .past_groups
                .contains_key(&past_group(&names[*group]))
        })
        .collect();
    let mut lengths = vec![0; names.len()];
    for (item, group) in submission.items.iter().zip(&group_of) {
        lengths[*group] = lengths[*group].max(expected_tokens(item));
    }
    let target = submission.target_groups.unwrap_or(names.len());
    let optional = optional_groups(&lengths, &carried_over, target);
    for name in &names {
        scheduler.past_groups.insert(past_group(name), now);
    }
    let awaited = (0..lengths.len()).filter(|group| !optional.contains(group));
    let longest = awaited.map(|group| lengths[group]).max().unwrap_or(0);
    let groups = names
        .into_iter()
        .enumerate()
        .map(|(group, name)| Group {
            name,
            unfinished: 0,
            is_carried_over: carried_over.contains(&group),
        })
        .collect();
    let batch_key = scheduler.batches.insert(Batch {
        route: submission.route,
        account: submission.account,
        model: submission.model,
        min_version: submission.min_version,
        target_groups: target,
        groups,
        longest,
        tasks: Vec::new(),
        is_single_version: submission.is_single_version,
        max_attempts: submission.max_attempts,
        due: submission.due,
        expires: submission.expires,
        results: Vec::new(),
        oldest_result_at: now,
        is_writing: false,
        items_being_written: BTreeSet::new(),
        is_satisfied: false,
        satisfied_since: None,
        ended_at: None,
    });
    let mut order: Vec<(Item, usize)> = submission.items.into_iter().zip(group_of).collect();
    order.sort_by_key(|(item, group)| {
        let length = expected_tokens(item);
        (optional.contains(group), std::cmp::Reverse(length))
    });
    for (item, group) in order {
        let Some(item) = adopt_detached(scheduler, now, batch_key, (item, group), &route) else {
            continue;
        };
        let is_optional = optional.contains(&group);
        add_task(
            scheduler,
            now,
            batch_key,
            (item, group, is_optional),
            &submission.with_result,
            &route,
        );
    }
    record_size(scheduler, batch_key);
    batch_key
}

/// Records how many items of a step each service runs, by which it is judged how many engines the steps
/// of the model can use there.
fn record_size(scheduler: &mut Scheduler, batch_key: BatchKey) {
    let batch = &scheduler.batches[batch_key];
    let Some(model) = &batch.model else {
        return;
    };
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for key in &batch.tasks {
        *counts.entry(&scheduler.tasks[*key].service).or_default() += 1;
    }
    let largest = scheduler.largest_steps.entry(model.clone()).or_default();
    for (service, count) in counts {
        let known = largest.entry(service.to_owned()).or_default();
        *known = count.max(*known);
    }
}

/// Moves a detached run of the same item into the batch. Returns the item if there is none, or if the
/// batch may not use its text or the route of the batch does not name the run's service, in which cases
/// the run is stopped.
pub(super) fn adopt_detached(
    scheduler: &mut Scheduler,
    now: Instant,
    batch_key: BatchKey,
    (item, group): (Item, usize),
    route: &impl Fn(&SubmissionRoute, Option<&str>) -> Option<String>,
) -> Option<Item> {
    let batch = &mut scheduler.batches[batch_key];
    let carried = Carried::new(batch.account.as_deref(), &item.id);
    let Some(key) = scheduler.detached.remove(&carried) else {
        return Some(item);
    };
    let Some(task) = scheduler.tasks.get_mut(key) else {
        return Some(item);
    };
    let is_allowed = task
        .text
        .is_usable(batch.min_version, batch.is_single_version);
    let is_routed = route(&batch.route, Some(&task.service)).as_ref() == Some(&task.service);
    if !is_allowed || !is_routed {
        let reason = if is_allowed {
            "the route of the next batch does not name its service"
        } else {
            "its text is too old for the next batch"
        };
        ending::stop_task(scheduler, key, reason);
        ending::remove_task(scheduler, now, key);
        return Some(item);
    }
    // The reward call of this batch may be another than that of the batch before.
    task.item = Rc::new(item);
    task.batch = batch_key;
    task.group = group;
    task.failures = 0;
    task.is_optional = false;
    batch.tasks.push(key);
    batch.groups[group].unfinished += 1;
    let rank = scheduler.ranking.assign(batch.due);
    scheduler.ranks.insert(key, rank);
    None
}

/// Adds a task for an item, with the retained text if the batch may use it. `with_result` has the
/// ids of items that need not run.
pub(super) fn add_task(
    scheduler: &mut Scheduler,
    now: Instant,
    batch_key: BatchKey,
    (item, group, is_optional): (Item, usize, bool),
    with_result: &BTreeSet<String>,
    route: &impl Fn(&SubmissionRoute, Option<&str>) -> Option<String>,
) {
    let batch = &mut scheduler.batches[batch_key];
    let has_result = with_result.contains(&item.id);
    let carried = Carried::new(batch.account.as_deref(), &item.id);
    let mut text = scheduler
        .retained_texts
        .get(&carried)
        .map(|(_, text)| text.clone());
    if let Some(found) = &text
        && !found.is_usable(batch.min_version, batch.is_single_version)
    {
        text = None;
    }
    let text = text.unwrap_or_default();
    let service = route(&batch.route, None);
    let is_whole = text.is_whole;
    let is_routed = service.is_some();
    let task = scheduler.tasks.insert(Task {
        item: Rc::new(item),
        carried,
        batch: batch_key,
        group,
        text,
        saved: None,
        stage: Stage::Waiting,
        waiting_since: now,
        failures: 0,
        service: service.unwrap_or_default(),
        is_optional,
        has_moved_to_faster: false,
    });
    batch.tasks.push(task);
    if has_result {
        scheduler.tasks[task].stage = Stage::Done;
        return;
    }
    batch.groups[group].unfinished += 1;
    if is_whole {
        dispatch::complete(scheduler, now, task);
    } else if is_routed {
        let rank = scheduler.ranking.assign(batch.due);
        scheduler.ranks.insert(task, rank);
        scheduler.queue.insert((rank, task));
    } else {
        ending::abort_task(scheduler, now, task);
    }
}

/// Applies new routes. Items of batches whose route has ended are aborted.
pub(super) fn update_routes(
    scheduler: &mut Scheduler,
    now: Instant,
    route: impl Fn(&SubmissionRoute, Option<&str>) -> Option<String>,
) {
    let open: Vec<TaskKey> = scheduler
        .tasks
        .iter()
        .filter(|(key, task)| {
            matches!(task.stage, Stage::Waiting | Stage::Running(_))
                && !scheduler.is_batch_ended(*key)
        })
        .map(|(key, _)| key)
        .collect();
    for key in open {
        let task = &scheduler.tasks[key];
        let Some(batch) = scheduler.batches.get(task.batch) else {
            continue;
        };
        match route(&batch.route, None) {
            Some(service) => scheduler.tasks[key].service = service,
            None => ending::abort_task(scheduler, now, key),
        }
    }
    let batches: Vec<BatchKey> = scheduler.batches.keys().collect();
    for batch in batches {
        record_size(scheduler, batch);
    }
}
