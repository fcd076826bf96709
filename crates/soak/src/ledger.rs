//! What callers and backend servers have seen, and which promise it breaks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use tamaracksail_adapter_standins::client::Response;
use tamaracksail_adapter_standins::engine::Arrival;
use tamaracksail_model::batch::{Ending, ItemResult};

/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// What is known of a batch that was accepted.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Its items.
    pub items: BTreeSet<String>,
    /// The oldest version that may generate.
    pub min_version: u64,
    /// When a client first heard that it is accepted.
    pub accepted: Option<Instant>,
    /// When a client first heard that it has ended.
    pub ended: Option<Instant>,
    /// Results by position, as they were first read.
    pub positions: BTreeMap<usize, ItemResult>,
}

/// Everything that was observed.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// What breaks a promise, in the order in which it was seen.
    pub breaches: Vec<String>,
    /// Answers by status; 0 stands for none.
    pub answers: BTreeMap<u16, u64>,
    /// Batches by id.
    pub batches: BTreeMap<String, Batch>,
    refused: BTreeSet<String>,
    once: BTreeSet<String>,
}

impl Ledger {
    /// Notes that a promise was broken.
    pub fn breach(&mut self, promise: &str, what: &str) {
        self.breaches.push(format!("{promise}: {what}"));
    }

    /// Notes the end of a plain request whose body is its id.
    pub fn request(&mut self, id: &str, is_once: bool, answer: Option<&Response>) {
        let status = answer.map_or(0, |answer| answer.status);
        *self.answers.entry(status).or_default() += 1;
        if is_once {
            self.once.insert(id.to_owned());
        }
        if is_once && NOT_RUN.contains(&status) {
            self.refused.insert(id.to_owned());
        }
        if let Some(answer) = answer.filter(|answer| answer.status == 200)
            && answer.body != id.as_bytes()
        {
            self.breach("own answer", &format!("{id} got {:?}", answer.body));
        }
    }

    /// Notes the end of a stream, whose whole text has `events` events.
    pub fn stream(&mut self, id: &str, events: u64, answer: Option<&Response>) {
        let status = answer.map_or(0, |answer| answer.status);
        *self.answers.entry(status).or_default() += 1;
        let pieces = (1..=events).map(|number| format!("id: {number}\ndata: {id}-{number}\n\n"));
        let whole = pieces.collect::<Vec<_>>().concat();
        if let Some(answer) = answer.filter(|answer| answer.status == 200)
            && answer.body != whole.as_bytes()
        {
            self.breach("whole stream", &format!("{id} got {:?}", answer.body));
        }
    }

    /// Notes that a batch was accepted.
    pub fn accepted(&mut self, id: &str, items: &[String], min_version: u64, now: Instant) {
        let batch = self.batches.entry(id.to_owned()).or_default();
        batch.items = items.iter().cloned().collect();
        batch.min_version = min_version;
        batch.accepted.get_or_insert(now);
    }

    /// Notes that the end of a batch was confirmed.
    pub fn ended(&mut self, id: &str, now: Instant) {
        if let Some(batch) = self.batches.get_mut(id) {
            batch.ended.get_or_insert(now);
        }
    }

    /// Notes a page of results of an accepted batch, read from position `from` on.
    pub fn page(&mut self, id: &str, from: usize, host: &str, answer: &Response) {
        let Some(batch) = self
            .batches
            .get(id)
            .filter(|batch| batch.accepted.is_some())
        else {
            return;
        };
        let mut found = Vec::new();
        if matches!(answer.status, 404 | 410) {
            found.push(format!("{id} at {host}: status {}", answer.status));
        }
        let results = if answer.status == 200 {
            answer.results()
        } else {
            Vec::new()
        };
        for (place, result) in results.iter().enumerate() {
            let position = from + place;
            match batch.positions.get(&position) {
                Some(first) if first != result => {
                    found.push(format!("{id} at {host}: position {position} has changed"));
                }
                Some(_) => {}
                None => found.extend(check(id, batch, position, result)),
            }
        }
        for what in found {
            self.breach("results", &what);
        }
        if let Some(batch) = self.batches.get_mut(id) {
            for (place, result) in results.into_iter().enumerate() {
                batch.positions.entry(from + place).or_insert(result);
            }
        }
    }

    /// Checks what reached the backend servers: all arrivals of all their lives.
    pub fn arrivals(&mut self, arrivals: &[Arrival]) {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for arrival in arrivals {
            *counts.entry(&arrival.id).or_default() += 1;
        }
        let ran = |id: &String| counts.get(id.as_str()).copied().unwrap_or(0);
        let twice: Vec<String> = self.once.iter().filter(|id| ran(id) > 1).cloned().collect();
        let refused: Vec<String> = self
            .refused
            .iter()
            .filter(|id| ran(id) > 0)
            .cloned()
            .collect();
        for id in twice {
            self.breach("at most once", &format!("{id} ran more than once"));
        }
        for id in refused {
            self.breach("not run", &format!("{id} was refused and ran"));
        }
    }

    /// Checks the orders that one life of an engine accepted, each with its holder and fencing
    /// number.
    pub fn orders(&mut self, engine: &str, orders: &[(Instant, String, u64)]) {
        for pair in orders.windows(2) {
            let ((_, before, first), (_, after, second)) = (&pair[0], &pair[1]);
            if second < first {
                let what = format!("{engine}: {after} under {second} after {before} under {first}");
                self.breach("one holder", &what);
            }
            if first == second && before != after {
                let what = format!("{engine}: {before} and {after} under {first}");
                self.breach("one holder", &what);
            }
        }
    }
}

/// What is wrong with a result that is read for the first time.
fn check(id: &str, batch: &Batch, position: usize, result: &ItemResult) -> Vec<String> {
    let mut found = Vec::new();
    let item = &result.item;
    if !batch.items.contains(item) {
        found.push(format!("{id}: {item} is not of this batch"));
    }
    if batch.positions.values().any(|known| &known.item == item) {
        found.push(format!("{id}: {item} stands twice, again at {position}"));
    }
    if result.ending == Ending::Completed {
        let whole: Vec<String> = (1..=crate::world::EVENTS)
            .map(|number| format!("{item}-{number}"))
            .collect();
        if result.text != whole.join("\n") {
            found.push(format!("{id}: {item} is not whole: {:?}", result.text));
        }
        let is_old = |version: &u64| *version < batch.min_version;
        if result.versions.is_empty() || result.versions.iter().any(is_old) {
            found.push(format!(
                "{id}: {item} has versions {:?}, {} is the oldest allowed",
                result.versions, batch.min_version
            ));
        }
    } else if batch.ended.is_none() {
        found.push(format!("{id}: {item} was given up"));
    }
    found
}
