//! The state of all open batches, and how reports change it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use slotmap::SlotMap;
use tamaracksail_model::backend::Entry;
use tamaracksail_model::batch::{Draft, Item};
use tamaracksail_model::time::Instant;

use super::action::{Action, Failure};
use super::pending::{Group, Pending, grouping, leftovers};
use super::pool::{Need, Pool};
use super::run::Run;
use super::seat::SeatKey;
use super::work::{Stage, Work, WorkKey};
use super::{home, tail, weights};

slotmap::new_key_type! {
    /// An open batch.
    pub struct BatchKey;
}

/// How long text of an ended batch is kept for a later batch with the same items. Trainers ask
/// again within a step or two.
const KEEP_TEXT: Duration = Duration::from_secs(30);

/// How long runs of an ended batch go on, for a later batch with the same items. A trainer asks
/// again after a short training; a run that has begun may finish, but none begins.
const LINGER: Duration = Duration::from_millis(2500);

/// How long an item waits after an engine refused or failed it, so that a failing engine does
/// not use up an item's attempts at once.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A batch to take in.
#[derive(Clone, Debug)]
pub struct Intake {
    /// The route's host name.
    pub host: String,
    /// The model, for training steps.
    pub model: Option<String>,
    /// The oldest version that may generate.
    pub min_version: Option<u64>,
    /// Whole groups that the trainer waits for; all if it does not say.
    pub target_groups: Option<usize>,
    /// The items.
    pub items: Vec<Item>,
    /// Ids of items whose results stand in the store already.
    pub listed: BTreeSet<String>,
    /// Whether each text must come from one version.
    pub is_single_version: bool,
    /// Failed answers after which an item is given up.
    pub max_attempts: u32,
    /// When items may be given up.
    pub expires: Instant,
}

/// All open batches and the engines that run them.
#[derive(Debug, Default)]
pub struct Scheduler {
    pub(super) pool: Pool,
    pub(super) batches: SlotMap<BatchKey, Pending>,
    pub(super) works: SlotMap<WorkKey, Work>,
    pub(super) runs: BTreeMap<u64, Run>,
    /// Waiting items in the order in which they start.
    pub(super) queue: BTreeSet<(u64, WorkKey)>,
    ranks: BTreeMap<WorkKey, u64>,
    paused: BTreeMap<WorkKey, Instant>,
    /// The newest version that each trainer has named.
    pub(super) named: BTreeMap<String, u64>,
    /// Text of ended batches, by item.
    kept: BTreeMap<String, (Instant, Draft)>,
    past_groups: BTreeMap<String, Instant>,
    /// Running items of ended batches.
    lingering: BTreeMap<String, WorkKey>,
    pub(super) actions: Vec<Action>,
    next_run: u64,
    next_rank: u64,
}

impl Scheduler {
    /// Takes in what an engine says of itself.
    pub fn engine(&mut self, now: Instant, entry: Entry) {
        if let Some(earlier) = self.pool.put(entry) {
            self.vacate(now, earlier);
        }
        home::assign(self);
    }

    /// Forgets an engine that is gone.
    pub fn engine_gone(&mut self, now: Instant, instance: &str) {
        if let Some(seat) = self.pool.remove(instance) {
            self.vacate(now, seat);
            home::assign(self);
        }
    }

    /// The ids of all engines known.
    #[must_use]
    pub fn engines(&self) -> Vec<String> {
        self.pool.instances()
    }

    /// What an engine says of itself.
    #[must_use]
    pub fn entry(&self, seat: SeatKey) -> Option<&Entry> {
        self.pool.seats.get(seat).map(|seat| &seat.entry)
    }

    /// The host name under which the batch of a run was submitted.
    #[must_use]
    pub fn host(&self, run: u64) -> Option<&str> {
        let work = self.works.get(self.runs.get(&run)?.work)?;
        self.batches
            .get(work.batch)
            .map(|batch| batch.host.as_str())
    }

    /// Notes that a trainer has named a version.
    pub fn version_named(&mut self, model: &str, version: u64) {
        let named = self.named.entry(model.to_owned()).or_default();
        *named = version.max(*named);
    }

    /// Takes in a batch. `route` names the service that runs a path.
    pub fn submit(
        &mut self,
        now: Instant,
        intake: Intake,
        route: impl Fn(&str, &str) -> Option<String>,
    ) -> BatchKey {
        let (names, group_of) = grouping(
            intake
                .items
                .iter()
                .map(|item| (item.id.as_str(), item.group.as_deref())),
        );
        let carried: BTreeSet<usize> = (0..names.len())
            .filter(|group| self.past_groups.contains_key(&names[*group]))
            .collect();
        let mut lengths = vec![0; names.len()];
        for (item, group) in intake.items.iter().zip(&group_of) {
            lengths[*group] = lengths[*group].max(item.hint.unwrap_or(item.tokens));
        }
        let target = intake.target_groups.unwrap_or(names.len());
        let last = leftovers(&lengths, &carried, target);
        for name in names {
            self.past_groups.insert(name, now);
        }
        let batch = self.batches.insert(Pending {
            host: intake.host,
            model: intake.model,
            min_version: intake.min_version,
            target_groups: target,
            groups: vec![Group::default(); lengths.len()],
            works: Vec::new(),
            is_single_version: intake.is_single_version,
            max_attempts: intake.max_attempts,
            expires: intake.expires,
            results: Vec::new(),
            results_since: now,
            is_writing: false,
            is_satisfied: false,
            ended: None,
        });
        let mut order: Vec<(Item, usize)> = intake.items.into_iter().zip(group_of).collect();
        order.sort_by_key(|(item, group)| {
            let length = item.hint.unwrap_or(item.tokens);
            (last.contains(group), std::cmp::Reverse(length))
        });
        for (item, group) in order {
            if self.adopt(batch, &item.id, group) {
                continue;
            }
            let is_spare = last.contains(&group);
            self.add_work(now, batch, (item, group, is_spare), &intake.listed, &route);
        }
        batch
    }

    /// Takes over a run of an ended batch with the same item. False if there is none whose text
    /// may be used.
    fn adopt(&mut self, batch: BatchKey, id: &str, group: usize) -> bool {
        let Some(key) = self.lingering.remove(id) else {
            return false;
        };
        let pending = &mut self.batches[batch];
        let Some(work) = self.works.get_mut(key) else {
            return false;
        };
        let is_allowed = work.text.fits(pending.min_version)
            && !(pending.is_single_version && work.text.versions.len() > 1);
        if !is_allowed {
            self.release(key, "its text is too old for the next batch");
            return false;
        }
        work.batch = batch;
        work.group = group;
        work.failures = 0;
        work.is_spare = false;
        pending.works.push(key);
        pending.groups[group].open += 1;
        self.next_rank += 1;
        self.ranks.insert(key, self.next_rank);
        true
    }

    /// Stops and forgets an item of an ended batch, and keeps its text.
    fn release(&mut self, key: WorkKey, reason: &'static str) {
        if let Some(Stage::Running(run)) = self.works.get(key).map(|work| work.stage) {
            self.stop(run, reason);
        }
    }

    fn add_work(
        &mut self,
        now: Instant,
        batch: BatchKey,
        (item, group, is_spare): (Item, usize, bool),
        listed: &BTreeSet<String>,
        route: &impl Fn(&str, &str) -> Option<String>,
    ) {
        let pending = &mut self.batches[batch];
        let is_listed = listed.contains(&item.id);
        let mut text = self.kept.get(&item.id).map(|(_, text)| text.clone());
        if let Some(found) = &text
            && (!found.fits(pending.min_version)
                || (pending.is_single_version && found.versions.len() > 1))
        {
            text = None;
        }
        let text = text.unwrap_or_default();
        let service = route(&pending.host, &item.path);
        let is_whole = text.is_whole;
        let is_routed = service.is_some();
        let work = self.works.insert(Work {
            item: Rc::new(item),
            batch,
            group,
            text,
            stage: Stage::Waiting,
            failures: 0,
            service: service.unwrap_or_default(),
            is_spare,
        });
        pending.works.push(work);
        if is_listed {
            self.works[work].stage = Stage::Over;
            return;
        }
        pending.groups[group].open += 1;
        if is_whole {
            self.complete(now, work);
        } else if is_routed {
            self.next_rank += 1;
            self.ranks.insert(work, self.next_rank);
            self.queue.insert((self.next_rank, work));
        } else {
            self.give_up(now, work);
        }
    }

    /// Applies new routes: items whose path no longer leads to a service are given up.
    pub fn reroute(&mut self, now: Instant, route: impl Fn(&str, &str) -> Option<String>) {
        let open: Vec<WorkKey> = self
            .works
            .iter()
            .filter(|(key, work)| work.stage != Stage::Over && !self.is_ended(*key))
            .map(|(key, _)| key)
            .collect();
        for key in open {
            let work = &self.works[key];
            let Some(batch) = self.batches.get(work.batch) else {
                continue;
            };
            match route(&batch.host, &work.item.path) {
                Some(service) => self.works[key].service = service,
                None => self.give_up(now, key),
            }
        }
    }

    /// Ends a batch: nothing of it begins or is listed any more. Its text is kept for a later
    /// batch, and runs that such a batch could use go on for a while.
    pub fn end(&mut self, now: Instant, batch: BatchKey) {
        let Some(pending) = self.batches.get_mut(batch) else {
            return;
        };
        pending.ended = Some(now);
        pending.results.clear();
        let whole: BTreeSet<usize> = (0..pending.groups.len())
            .filter(|group| pending.groups[*group].open == 0)
            .collect();
        let newest = pending
            .model
            .as_ref()
            .and_then(|model| self.named.get(model))
            .copied();
        for key in std::mem::take(&mut pending.works) {
            let Some(work) = self.works.get(key) else {
                continue;
            };
            if let Stage::Running(run) = work.stage {
                let made_by = self.runs.get(&run).and_then(|run| run.version);
                if newest.is_some() && made_by >= newest && work.text.fits(newest) {
                    self.lingering.insert(work.item.id.clone(), key);
                    continue;
                }
                self.stop(run, "the batch has ended");
            }
            if whole.contains(&self.works[key].group) {
                // A group that the trainer has whole does not come again.
                self.works[key].text = Draft::default();
            }
            self.forget(now, key);
        }
    }

    /// Forgets an item and keeps its text.
    fn forget(&mut self, now: Instant, key: WorkKey) {
        if let Some(rank) = self.ranks.remove(&key) {
            self.queue.remove(&(rank, key));
        }
        self.paused.remove(&key);
        if let Some(work) = self.works.remove(key)
            && work.text.last.is_some()
        {
            self.kept.insert(work.item.id.clone(), (now, work.text));
        }
    }

    /// Ends runs of ended batches for which no later batch came.
    fn end_lingering(&mut self, now: Instant) {
        let works = &self.works;
        let batches = &self.batches;
        let is_late = |key: &WorkKey| {
            let batch = works.get(*key).and_then(|work| batches.get(work.batch));
            batch.is_none_or(|batch| batch.ended.is_some_and(|ended| now.since(ended) >= LINGER))
        };
        let late: Vec<(String, WorkKey)> = self
            .lingering
            .iter()
            .filter(|(_, key)| is_late(key))
            .map(|(id, key)| (id.clone(), *key))
            .collect();
        for (id, key) in late {
            self.lingering.remove(&id);
            self.release(key, "no later batch has the item");
            self.forget(now, key);
        }
        self.batches
            .retain(|_, batch| batch.ended.is_none_or(|ended| now.since(ended) < LINGER));
    }

    /// Whether an item belongs to an ended batch.
    fn is_ended(&self, key: WorkKey) -> bool {
        let batch = self.works.get(key).map(|work| work.batch);
        batch
            .and_then(|batch| self.batches.get(batch))
            .is_none_or(|batch| batch.ended.is_some())
    }

    /// Notes the head of a run's answer. False if the run is to be closed.
    pub fn answered(&mut self, now: Instant, run: u64, version: Option<u64>) -> bool {
        let Some(found) = self.runs.get_mut(&run) else {
            return false;
        };
        found.progress = now;
        found.version = version.or(found.version);
        true
    }

    /// Adds an event to an item's text. False if the run is to be closed.
    pub fn event(
        &mut self,
        now: Instant,
        run: u64,
        id: u64,
        data: &str,
        version: Option<u64>,
    ) -> bool {
        let Some(found) = self.runs.get_mut(&run) else {
            return false;
        };
        let millis = now.since(found.progress).as_secs_f64() * 1000.0;
        let is_first = found.events == 0;
        found.progress = now;
        found.events += 1;
        found.version = version.or(found.version);
        let (made_by, seat, key) = (found.version, found.seat, found.work);
        let work = &mut self.works[key];
        let pending = &self.batches[work.batch];
        let follows = work.text.last.is_none_or(|last| id == last + 1);
        let is_new_enough = match (made_by, pending.min_version) {
            (Some(version), Some(min)) => version >= min,
            _ => true,
        };
        if !follows || !is_new_enough {
            if let (Some(model), Some(version), Some(seat)) =
                (&pending.model, made_by, self.pool.seats.get_mut(seat))
            {
                seat.entry.models.insert(model.clone(), version);
            }
            self.failed(now, run, Failure::Broken);
            return false;
        }
        work.text.push(id, data, made_by);
        if let Some(seat) = self.pool.seats.get_mut(seat) {
            seat.succeed();
            if !is_first {
                seat.sample(millis);
            }
        }
        true
    }

    /// Notes that a run's answer came to its proper end.
    pub fn finished(&mut self, now: Instant, run: u64) {
        let Some(found) = self.drop_run(run) else {
            return;
        };
        let is_ended = self.is_ended(found.work);
        let work = &mut self.works[found.work];
        if is_ended {
            work.text.is_whole = work.text.last.is_some();
            self.lingering.remove(&work.item.id.clone());
            self.forget(now, found.work);
            return;
        }
        if work.text.last.is_none() {
            self.requeue(now, found.work);
            return;
        }
        let is_mixed = self.batches[work.batch].is_single_version && work.text.versions.len() > 1;
        if is_mixed {
            work.text = Draft::default();
            self.requeue(now, found.work);
        } else {
            work.text.is_whole = true;
            self.complete(now, found.work);
        }
    }

    /// Notes that a run ended before its text was whole.
    pub fn failed(&mut self, now: Instant, run: u64, failure: Failure) {
        let Some(found) = self.drop_run(run) else {
            return;
        };
        if let Some(seat) = self.pool.seats.get_mut(found.seat)
            && matches!(failure, Failure::Broken | Failure::Refused)
        {
            seat.fail(now);
        }
        if self.is_ended(found.work) {
            let id = self.works[found.work].item.id.clone();
            self.lingering.remove(&id);
            self.forget(now, found.work);
            return;
        }
        let work = &mut self.works[found.work];
        let max_attempts = self.batches[work.batch].max_attempts;
        match failure {
            Failure::Impossible => return self.give_up(now, found.work),
            Failure::Failed => {
                work.failures += 1;
                if work.failures >= max_attempts {
                    return self.give_up(now, found.work);
                }
            }
            Failure::Refused | Failure::Broken => {}
        }
        self.paused.insert(found.work, now.after(RETRY_PAUSE));
        self.requeue(now, found.work);
    }

    /// Notes that results of a batch are durable, or that they are not and must be written again.
    pub fn listed(&mut self, batch: BatchKey) {
        if let Some(pending) = self.batches.get_mut(batch) {
            pending.is_writing = false;
        }
    }

    /// Text of ended batches, for a scheduler that takes over.
    #[must_use]
    pub fn drafts(&self) -> Vec<(String, Draft)> {
        self.kept
            .iter()
            .map(|(item, (_, draft))| (item.clone(), draft.clone()))
            .collect()
    }

    /// Takes in text that another scheduler had.
    pub fn keep_draft(&mut self, now: Instant, item: String, draft: Draft) {
        let is_longer = self
            .kept
            .get(&item)
            .is_none_or(|(_, kept)| kept.last < draft.last);
        if is_longer {
            self.kept.insert(item, (now, draft));
        }
    }

    /// Ends all batches at once and keeps their text. Returns what is still to be done.
    pub fn close(&mut self, now: Instant) -> Vec<Action> {
        let unwritten: BTreeSet<String> = self
            .batches
            .values()
            .flat_map(|batch| batch.results.iter().map(|result| result.item.clone()))
            .collect();
        let keys: Vec<WorkKey> = self.works.keys().collect();
        for key in keys {
            let work = &mut self.works[key];
            if work.stage == Stage::Over && !unwritten.contains(&work.item.id) {
                work.text = Draft::default();
            }
            self.release(key, "scheduling ends here");
            self.forget(now, key);
        }
        self.batches.clear();
        self.lingering.clear();
        self.queue.clear();
        for seat in self.pool.seats.values_mut() {
            seat.loading = None;
        }
        std::mem::take(&mut self.actions)
    }

    /// Whether any batch is open, or runs of ended ones go on.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.batches.is_empty()
    }

    /// Whether every item of a batch has a result and all are taken for writing.
    #[must_use]
    pub fn is_over(&self, batch: BatchKey) -> bool {
        self.batches.get(batch).is_none_or(Pending::is_over)
    }

    /// Notes that an engine has loaded weights.
    pub fn loaded(&mut self, seat: SeatKey, model: &str, version: u64) {
        if let Some(seat) = self.pool.seats.get_mut(seat) {
            seat.loading = None;
            seat.entry.models.insert(model.to_owned(), version);
        }
    }

    /// Notes that an engine did not load weights.
    pub fn order_failed(&mut self, now: Instant, seat: SeatKey) {
        if let Some(seat) = self.pool.seats.get_mut(seat) {
            seat.loading = None;
            seat.fail(now);
        }
    }

    /// Decides what is to be done now.
    pub fn pump(&mut self, now: Instant) -> Vec<Action> {
        self.kept
            .retain(|_, (since, _)| now.since(*since) < KEEP_TEXT);
        self.past_groups
            .retain(|_, since| now.since(*since) < KEEP_TEXT);
        self.end_lingering(now);
        self.expire(now);
        tail::move_stuck(self, now);
        weights::load(self, now);
        self.dispatch(now);
        tail::move_slow(self, now);
        for (key, pending) in &mut self.batches {
            if let Some(listings) = pending.take(now) {
                self.actions.push(Action::List {
                    batch: key,
                    listings,
                });
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn expire(&mut self, now: Instant) {
        let late: Vec<WorkKey> = self
            .works
            .iter()
            .filter(|(key, work)| {
                work.stage != Stage::Over
                    && !self.is_ended(*key)
                    && now >= self.batches[work.batch].expires
            })
            .map(|(key, _)| key)
            .collect();
        for key in late {
            self.give_up(now, key);
        }
    }

    fn dispatch(&mut self, now: Instant) {
        let median = self.pool.median_pace();
        let mut free: u32 = self.pool.seats.values().map(super::Seat::free).sum();
        let waiting: Vec<(u64, WorkKey)> = self.queue.iter().copied().collect();
        for (rank, key) in waiting {
            if free == 0 {
                return;
            }
            let work = &self.works[key];
            if self.batches[work.batch].is_satisfied && !work.is_spare {
                continue;
            }
            if self.paused.get(&key).is_some_and(|until| now < *until) {
                continue;
            }
            if let Some(seat) = self.pool.choose(now, &self.need(key), median, None) {
                self.queue.remove(&(rank, key));
                self.start(now, key, seat);
                free -= 1;
            }
        }
    }

    /// Whether an item that a trainer waits for waits for an engine, of one model or of any.
    pub(super) fn is_waited_for(&self, model: Option<&str>) -> bool {
        self.queue.iter().any(|(_, key)| {
            let work = &self.works[*key];
            let batch = &self.batches[work.batch];
            let is_asked = model.is_none() || batch.model.as_deref() == model;
            is_asked && !work.is_spare && !batch.is_satisfied
        })
    }

    /// Whether a running item may go on elsewhere. One of an ended batch may not begin again.
    pub(super) fn may_move(&self, key: WorkKey) -> bool {
        !self.is_ended(key)
    }

    /// What an item needs of an engine, given the text that it has.
    pub(super) fn need(&self, key: WorkKey) -> Need<'_> {
        let work = &self.works[key];
        let batch = &self.batches[work.batch];
        let version = if batch.is_single_version {
            work.text.versions.first().copied()
        } else {
            None
        };
        // Text of the newest version may still be used in the next step, which is where an item
        // ends that this step does not wait for.
        let newest = batch.model.as_ref().and_then(|model| self.named.get(model));
        let min_version = match (work.is_spare, newest) {
            (true, Some(newest)) => batch.min_version.max(Some(*newest)),
            _ => batch.min_version,
        };
        Need {
            service: &work.service,
            model: batch.model.as_deref(),
            min_version,
            version,
        }
    }

    pub(super) fn start(&mut self, now: Instant, key: WorkKey, seat: SeatKey) {
        self.next_run += 1;
        let run = self.next_run;
        let work = &mut self.works[key];
        work.stage = Stage::Running(run);
        let batch = &self.batches[work.batch];
        let chosen = &mut self.pool.seats[seat];
        chosen.running += 1;
        let held = batch.model.as_deref().and_then(|m| chosen.version(m));
        self.paused.remove(&key);
        self.runs.insert(
            run,
            Run {
                work: key,
                seat,
                progress: now,
                events: 0,
                version: held,
            },
        );
        self.actions.push(Action::Start {
            run,
            work: key,
            seat,
            item: Rc::clone(&work.item),
            after: work.text.last,
            version: if batch.is_single_version { held } else { None },
        });
    }

    /// Ends a run and lets its item wait again.
    pub(super) fn take_back(&mut self, now: Instant, run: u64, reason: &'static str) {
        let Some(found) = self.runs.get(&run).copied() else {
            return;
        };
        self.stop(run, reason);
        if self.is_ended(found.work) {
            let id = self.works[found.work].item.id.clone();
            self.lingering.remove(&id);
            self.forget(now, found.work);
        } else {
            self.requeue(now, found.work);
        }
    }

    /// Starts a waiting item at an engine out of turn.
    pub(super) fn restart(&mut self, now: Instant, key: WorkKey, seat: SeatKey) {
        if let Some(rank) = self.ranks.get(&key) {
            self.queue.remove(&(*rank, key));
        }
        self.start(now, key, seat);
    }

    fn stop(&mut self, run: u64, reason: &'static str) {
        if self.drop_run(run).is_some() {
            self.actions.push(Action::Stop { run, reason });
        }
    }

    fn drop_run(&mut self, run: u64) -> Option<Run> {
        let found = self.runs.remove(&run)?;
        if let Some(seat) = self.pool.seats.get_mut(found.seat) {
            seat.running = seat.running.saturating_sub(1);
        }
        Some(found)
    }

    fn vacate(&mut self, now: Instant, seat: SeatKey) {
        let runs: Vec<u64> = self
            .runs
            .iter()
            .filter(|(_, run)| run.seat == seat)
            .map(|(number, _)| *number)
            .collect();
        for run in runs {
            self.take_back(now, run, "the engine is gone");
        }
        self.pool.drop_seat(seat);
    }

    fn requeue(&mut self, _now: Instant, key: WorkKey) {
        let work = &mut self.works[key];
        work.stage = Stage::Waiting;
        let batch = &self.batches[work.batch];
        let text = &work.text;
        if !text.fits(batch.min_version) || (batch.is_single_version && text.versions.len() > 1) {
            work.text = Draft::default();
        }
        let rank = self.ranks.get(&key).copied().unwrap_or(0);
        self.queue.insert((rank, key));
    }

    fn complete(&mut self, now: Instant, key: WorkKey) {
        let work = &mut self.works[key];
        work.stage = Stage::Over;
        let listing = work.completed();
        let (batch, group) = (work.batch, work.group);
        self.batches[batch].add(now, group, listing);
    }

    fn give_up(&mut self, now: Instant, key: WorkKey) {
        if let Stage::Running(run) = self.works[key].stage {
            self.stop(run, "the item was given up");
        }
        if let Some(rank) = self.ranks.get(&key) {
            self.queue.remove(&(*rank, key));
        }
        let work = &mut self.works[key];
        work.stage = Stage::Over;
        let listing = work.aborted();
        let (batch, group) = (work.batch, work.group);
        self.batches[batch].add(now, group, listing);
    }
}
