//! The scoring of complete texts: the second stage of items with a reward call.

use std::rc::Rc;

use tamaracksail_model::reward::Call;
use tamaracksail_model::time::Instant;

use super::scheduler::Scheduler;
use super::task::{Stage, TaskKey};
use super::{dispatch, ending};
use crate::fleet::Fleet;
use crate::reward::{Action, Outcome, Rank, Submission, Target, Verdict};

/// Has the text of an item scored. Returns false if the item needs no score, or has it already.
pub(super) fn begin(scheduler: &mut Scheduler, now: Instant, key: TaskKey) -> bool {
    let task = &mut scheduler.tasks[key];
    let Some(call) = &task.item.reward else {
        return false;
    };
    let progress = task.text.reward_progress(call);
    if progress.score.is_some() {
        return false;
    }
    let batch = &scheduler.batches[task.batch];
    let submission = Submission {
        call: Rc::new(call.clone()),
        max_failures: batch.max_attempts,
        failures: progress.failures,
        deadline: batch.expires,
    };
    task.text.reward = Some(progress);
    let call = scheduler.rewards.add(now, submission);
    task.stage = Stage::Scoring(call);
    scheduler.scoring.insert(call, key);
    true
}

/// Stops the scoring of an item, if it has begun, and keeps the number of failures with the text.
pub(super) fn stop(scheduler: &mut Scheduler, key: TaskKey, reason: &'static str) {
    let Some(task) = scheduler.tasks.get_mut(key) else {
        return;
    };
    let Stage::Scoring(call) = task.stage else {
        return;
    };
    let failures = scheduler.rewards.remove(call, reason);
    scheduler.scoring.remove(&call);
    task.stage = Stage::Waiting;
    if let Some(progress) = &mut task.text.reward {
        progress.failures = failures;
    }
}

/// Decides which calls are sent: those of groups that a trainer waits for first, and of these the
/// ones with the fewest items left.
pub(super) fn poll(
    scheduler: &mut Scheduler,
    now: Instant,
    fleet: &mut Fleet,
    domain: &str,
    route: impl Fn(&Call) -> Option<Target>,
) -> Vec<Action> {
    let Scheduler {
        rewards,
        scoring,
        tasks,
        batches,
        ..
    } = scheduler;
    let rank = |call| {
        let task = scoring.get(&call).and_then(|key| tasks.get(*key));
        let batch = task.and_then(|task| batches.get(task.batch));
        let (Some(task), Some(batch)) = (task, batch) else {
            return Rank {
                is_optional: true,
                unfinished: usize::MAX,
            };
        };
        let group = &batch.groups[task.group];
        let is_awaited = group.is_carried_over || !(batch.is_satisfied || task.is_optional);
        Rank {
            is_optional: !is_awaited,
            unfinished: group.unfinished,
        }
    };
    rewards.poll(now, fleet, domain, route, rank)
}

/// Records how a send ended. Returns the verdict on its call once there is one, which ends the item.
pub(super) fn send_ended(
    scheduler: &mut Scheduler,
    now: Instant,
    send: u64,
    outcome: Outcome,
) -> Option<Verdict> {
    let (call, verdict) = scheduler.rewards.record_outcome(now, send, outcome)?;
    let key = scheduler.scoring.remove(&call)?;
    let task = &mut scheduler.tasks[key];
    task.stage = Stage::Waiting;
    let progress = task.text.reward.as_mut()?;
    match &verdict {
        Verdict::Scored(score) => {
            progress.score = Some(score.clone());
            dispatch::complete(scheduler, now, key);
        }
        Verdict::Failed(failures) => {
            progress.failures = *failures;
            ending::abort_task(scheduler, now, key);
        }
    }
    Some(verdict)
}
