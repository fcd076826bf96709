//! The ledger of a run: records what callers and backend servers observe, and checks it against the
//! guarantees.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use tamaracksail_adapter_standins::Engine;
use tamaracksail_adapter_standins::client::Response;
use tamaracksail_adapter_standins::engine::Arrival;
use tamaracksail_model::batch::{Ending, ItemResult};

/// The statuses that guarantee that a request has not run and will not run later.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The longest time after which a gateway may ask for a request again, in seconds, unless servers end
/// under the request.
pub const MAX_RETRY_AFTER_S: f64 = 10.0;

/// An accepted batch, as clients observed it.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// The ids of its items.
    pub items: BTreeSet<String>,
    /// The oldest version of the weights that may generate its texts.
    pub min_version: u64,
    /// When a client first received the response that it is accepted.
    pub accepted_at: Option<Instant>,
    /// When a client first received the response that it has ended.
    pub ended_at: Option<Instant>,
    /// The results by position, as they were first read.
    pub results: BTreeMap<usize, ItemResult>,
}

/// Everything that was observed in a run.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// The violations of guarantees, in the order in which they were observed.
    pub violations: Vec<String>,
    /// The number of responses by status; 0 counts missing responses.
    pub responses: BTreeMap<u16, u64>,
    /// The accepted batches by id.
    pub batches: BTreeMap<String, Batch>,
    /// The ids of non-idempotent requests whose status says that they did not run.
    not_run: BTreeSet<String>,
    /// The ids of all non-idempotent requests.
    non_idempotent: BTreeSet<String>,
}

impl Ledger {
    /// Records the violation of a guarantee.
    pub fn record_violation(&mut self, guarantee: &str, detail: &str) {
        self.violations.push(format!("{guarantee}: {detail}"));
    }

    /// Records the end of a plain request, and checks that the response body is the request's own
    /// id.
    pub fn record_request(
        &mut self,
        id: &str,
        is_non_idempotent: bool,
        response: Option<&Response>,
    ) {
        let status = response.map_or(0, |response| response.status);
        self.record_status(status);
        if is_non_idempotent {
            self.non_idempotent.insert(id.to_owned());
        }
        if is_non_idempotent && NOT_RUN_STATUSES.contains(&status) {
            self.not_run.insert(id.to_owned());
        }
        let retry_after = response.and_then(Response::retry_after);
        if retry_after > Some(MAX_RETRY_AFTER_S) {
            self.record_violation("sound request", &format!("{id} was refused for long"));
        }
        if let Some(response) = response.filter(|response| response.status == 200)
            && response.body != id.as_bytes()
        {
            self.record_violation("own answer", &format!("{id} got {:?}", response.body));
        }
    }

    /// Counts a response; 0 stands for a missing one.
    pub fn record_status(&mut self, status: u16) {
        *self.responses.entry(status).or_default() += 1;
    }

    /// Records that a batch was accepted.
    pub fn record_accepted_batch(
        &mut self,
        id: &str,
        items: &[String],
        min_version: u64,
        now: Instant,
    ) {
        let batch = self.batches.entry(id.to_owned()).or_default();
        batch.items = items.iter().cloned().collect();
        batch.min_version = min_version;
        batch.accepted_at.get_or_insert(now);
    }

    /// Records that the end of a batch was confirmed.
    pub fn record_ended_batch(&mut self, id: &str, now: Instant) {
        if let Some(batch) = self.batches.get_mut(id) {
            batch.ended_at.get_or_insert(now);
        }
    }

    /// Records a page of an accepted batch's results, read at `host` from position `from` on.
    /// Checks new results, and that earlier ones have not changed.
    pub fn record_page(&mut self, id: &str, from: usize, host: &str, response: &Response) {
        let Some(batch) = self
            .batches
            .get(id)
            .filter(|batch| batch.accepted_at.is_some())
        else {
            return;
        };
        let mut problems = Vec::new();
        if matches!(response.status, 404 | 410) {
            problems.push(format!("{id} at {host}: status {}", response.status));
        }
        let results = if response.status == 200 {
            response.results()
        } else {
            Vec::new()
        };
        for (index, result) in results.iter().enumerate() {
            let position = from + index;
            match batch.results.get(&position) {
                Some(first) if first != result => {
                    problems.push(format!("{id} at {host}: position {position} has changed"));
                }
                Some(_) => {}
                None => problems.extend(find_problems(id, batch, position, result)),
            }
        }
        for problem in problems {
            self.record_violation("results", &problem);
        }
        if let Some(batch) = self.batches.get_mut(id) {
            for (index, result) in results.into_iter().enumerate() {
                batch.results.entry(from + index).or_insert(result);
            }
        }
    }

    /// Checks the requests that reached the backend servers in all their incarnations.
    pub fn check_arrivals(&mut self, arrivals: &[Arrival]) {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for arrival in arrivals {
            *counts.entry(&arrival.id).or_default() += 1;
        }
        let run_count = |id: &String| counts.get(id.as_str()).copied().unwrap_or(0);
        let repeated: Vec<String> = self
            .non_idempotent
            .iter()
            .filter(|id| run_count(id) > 1)
            .cloned()
            .collect();
        let executed: Vec<String> = self
            .not_run
            .iter()
            .filter(|id| run_count(id) > 0)
            .cloned()
            .collect();
        for id in repeated {
            self.record_violation("at most once", &format!("{id} ran more than once"));
        }
        for id in executed {
            self.record_violation(
                "not run",
                &format!("{id} ran although its response says that it did not"),
            );
        }
    }

    /// Checks that no reward call reached a server before the text of its item can have been complete,
    /// which takes `text_time` from when the item first reached an engine.
    pub fn check_calls(&mut self, arrivals: &[Arrival], text_time: Duration) {
        let mut first: BTreeMap<&str, Instant> = BTreeMap::new();
        for arrival in arrivals {
            let at = first.entry(&arrival.id).or_insert(arrival.at);
            *at = arrival.at.min(*at);
        }
        let items: BTreeSet<&String> = self.batches.values().flat_map(|it| &it.items).collect();
        let is_early = |item: &&&String| {
            let called_at = first.get(call_id(item).as_str());
            called_at.is_some_and(|called_at| {
                let begun_at = first.get(item.as_str());
                begun_at.is_none_or(|begun_at| *called_at < *begun_at + text_time)
            })
        };
        let early: Vec<String> = items
            .iter()
            .filter(is_early)
            .map(|it| (*it).clone())
            .collect();
        for item in early {
            self.record_violation("scores", &format!("the text of {item} was scored early"));
        }
    }

    /// Checks that one lease holder at a time commanded an engine. `commands` are the load commands
    /// that one incarnation of the engine accepted, each with its time, holder and fencing token.
    pub fn check_commands(&mut self, engine: &str, commands: &[(Instant, String, u64)]) {
        for pair in commands.windows(2) {
            let ((_, first_holder, first_fence), (_, second_holder, second_fence)) =
                (&pair[0], &pair[1]);
            if second_fence < first_fence {
                let detail = format!(
                    "{engine}: command of {second_holder} with fencing token {second_fence} after \
                     one of {first_holder} with {first_fence}"
                );
                self.record_violation("one holder", &detail);
            }
            if first_fence == second_fence && first_holder != second_holder {
                let detail = format!(
                    "{engine}: {first_holder} and {second_holder} both used fencing token \
                     {first_fence}"
                );
                self.record_violation("one holder", &detail);
            }
        }
    }
}

/// Returns the id of the reward call of an item.
fn call_id(item: &str) -> String {
    format!("score-{item}")
}

/// Returns what is wrong with a result that is read for the first time.
fn find_problems(id: &str, batch: &Batch, position: usize, result: &ItemResult) -> Vec<String> {
    let mut problems = Vec::new();
    let item = &result.item;
    if !batch.items.contains(item) {
        problems.push(format!("{id}: {item} is not an item of this batch"));
    }
    if batch.results.values().any(|known| &known.item == item) {
        problems.push(format!(
            "{id}: {item} has a second result at position {position}"
        ));
    }
    if result.ending == Ending::Completed {
        let text = |software: &&str| {
            let suffix = crate::streams::suffix(software);
            let line = |number| format!("{item}-{number}{suffix}");
            let lines: Vec<String> = (1..=crate::world::EVENTS_PER_STREAM).map(line).collect();
            lines.join("\n")
        };
        let mut texts = crate::world::SOFTWARE_VERSIONS.iter().map(text);
        if !texts.any(|text| text == result.text) {
            problems.push(format!(
                "{id}: {item} is completed with a text that is incomplete or of two software \
                 versions: {:?}",
                result.text
            ));
        }
        let is_old = |version: &u64| *version < batch.min_version;
        if result.score.as_ref() != Some(&Engine::stamp(&call_id(item))) {
            problems.push(format!(
                "{id}: {item} is completed with the score {:?}",
                result.score
            ));
        }
        if result.versions.is_empty() || result.versions.iter().any(is_old) {
            problems.push(format!(
                "{id}: {item} has versions {:?}, but the oldest allowed is {}",
                result.versions, batch.min_version
            ));
        }
    } else if batch.ended_at.is_none() {
        problems.push(format!("{id}: {item} was aborted before the batch ended"));
    }
    problems
}
