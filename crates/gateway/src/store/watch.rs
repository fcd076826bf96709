use std::time::Duration;

use tamaracksail_adapter::store::{Changes, Client, Error, Object};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::freshness::{
    Answer, Call, Check, Fact, Failure, Finding, Index, Loss, MAX_WAIT, Overdue, Watch,
};

use super::Availability;
use super::list::{list_soon, within};
use crate::gateway::{now, sleep_until};

/// The time limit on a read that does not wait. A healthy store answers within milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// What a watch of a kind of objects reports.
#[derive(Debug)]
pub enum Event<'a> {
    /// All objects of the kind.
    All(&'a [Object]),
    /// An object was created or changed.
    Changed(&'a Object),
    /// An object was removed.
    Removed(&'a Object),
    /// The store answered a call, and all changes until this time are reported.
    Answered(Instant),
    /// A watch ended without an answer. A store that is well may cut off watches that wait; whether it
    /// answers is seen by the next call, which does not wait. Reported once until a call succeeds.
    WatchLost,
    /// A call failed that does not wait for a change; reported once until a call succeeds.
    StoreFailed,
    /// The age of what was reported exceeds its bound, and other gateways may know more.
    Overdue,
}

/// What is watched.
#[derive(Clone, Copy, Debug)]
pub struct Watched<'a> {
    /// The kind of the objects.
    pub kind: &'a str,
    /// What they tell.
    pub fact: Fact,
    /// How much later than a change the next watch starts, so that changes in quick succession cost one
    /// call.
    pub debounce: Duration,
}

/// How a watch that waited ended.
enum Outcome {
    /// The watch has an answer to the call sent at the time.
    Answered(Instant, Result<Changes, Error>),
    /// A call beside it found changes, which are reported.
    Missed,
    /// A call beside it failed, which reads the current state.
    Failed(Error),
    /// The changes are to be read.
    Outdated,
}

/// Reports all objects of a kind, then each change, in an endless loop that retries failed calls.
///
/// The store is asked again before what was reported is older than the bound of the fact, also if no
/// connection breaks and probes are answered.
pub async fn watch_kind(
    client: Client,
    availability: Availability,
    watched: Watched<'_>,
    report: impl FnMut(Event),
) {
    let watch = Watch::new(watched.fact, availability.bound(watched.fact));
    let task = Watcher {
        client: &client,
        availability: &availability,
        watched,
        watch,
        is_overdue: false,
        report,
    };
    task.run().await;
}

/// Carries out the calls of a watch.
struct Watcher<'a, Report> {
    client: &'a Client,
    availability: &'a Availability,
    watched: Watched<'a>,
    watch: Watch,
    /// Whether the age exceeded its bound when it was last looked at.
    is_overdue: bool,
    report: Report,
}

impl<Report: FnMut(Event)> Watcher<'_, Report> {
    async fn run(mut self) {
        let mut debounce = Duration::ZERO;
        loop {
            self.report_age();
            let kind = self.watched.kind;
            let call = self.watch.next();
            let sent_at = now();
            let outcome = match call {
                Call::List => match list_soon(self.client, kind).await {
                    Ok((objects, revision)) => {
                        self.availability.record_answer(now());
                        (self.report)(Event::All(&objects));
                        let answer = Answer {
                            sent_at,
                            revision,
                            has_changes: true,
                        };
                        self.record(call, answer);
                        Ok(false)
                    }
                    Err(error) => Err(error),
                },
                Call::Read { since } => self.read_changes(since).await,
                Call::Wait { since } => match self.wait(since, debounce).await {
                    Outcome::Answered(sent_at, Ok(changes)) => {
                        Ok(self.record_changes(call, sent_at, &changes))
                    }
                    Outcome::Answered(_, Err(error)) | Outcome::Failed(error) => Err(error),
                    Outcome::Missed => Ok(true),
                    Outcome::Outdated => Ok(false),
                },
            };
            match outcome {
                Ok(has_changes) => {
                    debounce = if has_changes {
                        self.watched.debounce
                    } else {
                        Duration::ZERO
                    };
                }
                Err(error) => self.record_failure(&error).await,
            }
        }
    }

    /// Waits for changes after a revision, and asks the store beside the watch before the fact is too old.
    async fn wait(&mut self, since: u64, debounce: Duration) -> Outcome {
        let (client, availability, kind) = (self.client, self.availability, self.watched.kind);
        let pending = async {
            // The watch that follows shows what changes meanwhile, so no call is made beside the pause.
            tokio::time::sleep(debounce).await;
            let sent_at = now();
            tokio::select! {
                changes = client.watch(kind, since, MAX_WAIT) => Outcome::Answered(sent_at, changes),
                outcome = self.check() => outcome,
            }
        };
        tokio::select! {
            outcome = pending => outcome,
            () = availability.recovered() => {
                self.watch.recovered(now());
                Outcome::Outdated
            }
        }
    }

    /// Makes the calls beside a watch that waits, until one finds changes or fails.
    async fn check(&mut self) -> Outcome {
        let (availability, kind) = (self.availability, self.watched.kind);
        loop {
            if let Some(index) = availability.index()
                && let Some(at) = self.watch.learn(index)
            {
                (self.report)(Event::Answered(at));
            }
            self.report_age();
            let Some((due, check)) = self.watch.check(availability.index()) else {
                return std::future::pending().await;
            };
            tokio::select! {
                () = availability.learned() => continue,
                () = sleep_until(Some(due)) => {}
            }
            if availability.is_unavailable() {
                // Each call is charged, and the end of the outage ends the watch.
                let overdue_in = self.watch.bound().saturating_sub(self.age());
                tokio::time::sleep(overdue_in).await;
                self.report_age();
                return std::future::pending().await;
            }
            let sent_at = now();
            let age_ms = u64::try_from(self.age().as_millis()).unwrap_or(u64::MAX);
            let (since, is_stale) = match check {
                Check::Stale { since, .. } => (since, true),
                Check::Current { since } => (since, false),
            };
            let read = async {
                if is_stale {
                    self.client.changes_stale(kind, since).await
                } else {
                    self.client.watch(kind, since, Duration::ZERO).await
                }
            };
            let changes = match within(READ_TIMEOUT, kind, read).await {
                Ok(changes) => changes,
                Err(error) => {
                    log::info!(kind, age_ms, is_stale, error:%; "check of a watch failed");
                    availability.count_check(kind, "failed");
                    if is_stale && !matches!(error, Error::HistoryGone { .. }) {
                        self.watch.stale_failed(now());
                        continue;
                    }
                    return Outcome::Failed(error);
                }
            };
            let answer = self.answer(sent_at, &changes);
            let finding = self.watch.checked(now(), check, answer);
            if finding != Finding::Changed {
                self.report_changes(&changes);
            }
            if let Finding::Confirmed(at) = finding {
                if !is_stale {
                    let revision = answer.revision;
                    let learned_at = now();
                    availability.learn(Index {
                        at,
                        revision,
                        learned_at,
                    });
                }
                (self.report)(Event::Answered(at));
            }
            let outcome = match (answer.has_changes, finding) {
                (true, _) => "missed",
                (false, Finding::Behind) => "behind",
                (false, _) => "confirmed",
            };
            availability.count_check(kind, outcome);
            log::debug!(kind, age_ms, is_stale, revision = answer.revision, outcome; "watch checked");
            if answer.has_changes {
                let changes = changes.events.len();
                log::info!(kind, age_ms, is_stale, changes; "changes found that a watch did not report");
                return if finding == Finding::Changed {
                    Outcome::Outdated
                } else {
                    Outcome::Missed
                };
            }
        }
    }

    /// Reads the changes after a revision. Returns whether there are any.
    async fn read_changes(&mut self, since: u64) -> Result<bool, Error> {
        let (sent_at, kind) = (now(), self.watched.kind);
        let read = self.client.watch(kind, since, Duration::ZERO);
        let changes = within(READ_TIMEOUT, kind, read).await?;
        Ok(self.record_changes(Call::Read { since }, sent_at, &changes))
    }

    /// Returns what an answer tells of the store.
    fn answer(&self, sent_at: Instant, changes: &Changes) -> Answer {
        self.availability.record_answer(now());
        Answer {
            sent_at,
            revision: changes.revision,
            has_changes: !changes.events.is_empty(),
        }
    }

    fn report_changes(&mut self, changes: &Changes) {
        for change in &changes.events {
            (self.report)(if change.is_removed {
                Event::Removed(&change.object)
            } else {
                Event::Changed(&change.object)
            });
        }
    }

    /// Records the answer to a call. Returns whether it has changes.
    fn record_changes(&mut self, call: Call, sent_at: Instant, changes: &Changes) -> bool {
        let answer = self.answer(sent_at, changes);
        self.report_changes(changes);
        self.record(call, answer);
        answer.has_changes
    }

    fn record(&mut self, call: Call, answer: Answer) {
        if self.watch.is_lost() {
            log::info!(kind = self.watched.kind, revision = answer.revision; "store calls succeed again");
        }
        let index = self.watch.answered(now(), call, answer);
        self.availability.learn(index);
        (self.report)(Event::Answered(index.at));
    }

    /// Reports the failure of a call, and waits before the next.
    async fn record_failure(&mut self, error: &Error) {
        let kind = self.watched.kind;
        let failure = match error {
            Error::HistoryGone { .. } => Failure::HistoryGone,
            _ => Failure::Other,
        };
        let (loss, pause) = self.watch.failed(now(), failure);
        if failure == Failure::HistoryGone {
            log::info!(kind; "store history gone, listing all objects");
            return;
        }
        match loss {
            Some(Loss::Watch) => {
                log::info!(kind, error:%; "watch lost");
                (self.report)(Event::WatchLost);
            }
            Some(Loss::Store) => {
                log::warn!(kind, error:%; "store call failed");
                (self.report)(Event::StoreFailed);
            }
            None => {}
        }
        self.availability.pause(pause).await;
    }

    fn age(&self) -> Duration {
        self.watch.age(now()).unwrap_or_default()
    }

    /// Reports when the age exceeds its bound, and when no longer.
    fn report_age(&mut self) {
        let (at, fact, kind) = (now(), self.watched.fact, self.watched.kind);
        let was_overdue = std::mem::replace(&mut self.is_overdue, self.watch.is_overdue(at));
        let age_ms = u64::try_from(self.age().as_millis()).unwrap_or(u64::MAX);
        let bound_ms = u64::try_from(self.watch.bound().as_millis()).unwrap_or(u64::MAX);
        let action = fact.when_overdue();
        if self.is_overdue && !was_overdue {
            log::info!(kind, age_ms, bound_ms, action:?; "changes may be older than their bound");
            self.availability.count_check(kind, "overdue");
            match action {
                Overdue::UseLast => {}
                Overdue::AskGateways => (self.report)(Event::Overdue),
            }
        } else if was_overdue && !self.is_overdue {
            log::info!(kind, age_ms, bound_ms; "changes known within their bound again");
        }
    }
}
