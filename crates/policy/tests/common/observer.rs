//! What callers and engines see, and the guarantees that it must fulfil.

use std::collections::{BTreeMap, BTreeSet};

use tamaracksail_model::id;
use tamaracksail_model::outcome::Outcome;
use tamaracksail_policy::entry::FinalResponse;

/// The number of tokens of every complete response in the harness.
pub const TOKENS: u64 = 4;

/// A call as its caller sees it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub fingerprint: id::Fingerprint,
    pub once: bool,
    pub streamed: bool,
    /// The bytes that were relayed before the final response.
    pub relayed: Vec<u8>,
    pub responses: Vec<FinalResponse>,
}

/// Everything that callers and engines see.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    pub calls: BTreeMap<id::Request, CallRecord>,
    /// The request that each attempt was made for.
    pub attempts: BTreeMap<id::Attempt, id::Request>,
    /// The attempts that engines started to run, in order.
    pub runs: Vec<id::Attempt>,
    /// The agent of each of `runs`.
    pub run_agents: Vec<usize>,
}

/// Returns the text of a token: the fingerprint of the request, the position of the token, and the
/// version that produced it.
pub fn token(fingerprint: id::Fingerprint, position: u64, version: u64) -> String {
    format!("{}:{position}:{version};", fingerprint.0)
}

impl Observer {
    /// Returns the number of runs at an agent's engine.
    pub fn runs_at(&self, agent: usize) -> usize {
        self.run_agents
            .iter()
            .filter(|run_agent| **run_agent == agent)
            .count()
    }

    /// Returns the number of calls with a response.
    pub fn count_answered(&self) -> usize {
        self.calls
            .values()
            .filter(|call| !call.responses.is_empty())
            .count()
    }

    /// Returns the body that the caller received.
    fn body(call: &CallRecord, response: &FinalResponse) -> Vec<u8> {
        if call.streamed && !call.relayed.is_empty() {
            call.relayed.clone()
        } else {
            response.body.to_vec()
        }
    }

    /// Returns every violated guarantee.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut runs_by_fingerprint: BTreeMap<id::Fingerprint, u64> = BTreeMap::new();
        let mut run_requests: BTreeSet<id::Request> = BTreeSet::new();
        let mut runs_by_attempt: BTreeMap<id::Attempt, u64> = BTreeMap::new();
        for attempt in &self.runs {
            let count = runs_by_attempt.entry(*attempt).or_default();
            *count += 1;
            if *count > 1 {
                found.push(format!("attempt {attempt} ran {count} times"));
            }
            if let Some(request) = self.attempts.get(attempt) {
                run_requests.insert(*request);
                if let Some(call) = self.calls.get(request) {
                    *runs_by_fingerprint.entry(call.fingerprint).or_default() += 1;
                }
            }
        }
        for (request, call) in &self.calls {
            if call.responses.len() > 1 {
                found.push(format!(
                    "{request} got {} final responses",
                    call.responses.len()
                ));
            }
            if call.once
                && runs_by_fingerprint
                    .get(&call.fingerprint)
                    .copied()
                    .unwrap_or(0)
                    > 1
            {
                found.push(format!("{} ran more than once", call.fingerprint));
            }
            for response in &call.responses {
                if response.outcome == Outcome::NotRun && run_requests.contains(request) {
                    found.push(format!("{request} was reported as not run, but ran"));
                }
                if response.outcome == Outcome::Done {
                    check_body(*request, call, response, &mut found);
                }
            }
        }
        found
    }
}

/// Checks that a complete response belongs to the request, has all tokens in order, and names the
/// versions that produced them.
fn check_body(
    request: id::Request,
    call: &CallRecord,
    response: &FinalResponse,
    found: &mut Vec<String>,
) {
    let body = String::from_utf8_lossy(&Observer::body(call, response)).into_owned();
    let tokens: Vec<Vec<u64>> = body
        .split_terminator(';')
        .map(|token| {
            token
                .split(':')
                .filter_map(|part| part.parse().ok())
                .collect()
        })
        .collect();
    let belongs_to_request = tokens
        .iter()
        .all(|token| token.first() == Some(&call.fingerprint.0));
    let is_complete = tokens.len() as u64 == TOKENS
        && tokens
            .iter()
            .zip(0..)
            .all(|(token, position)| token.get(1) == Some(&position));
    if !belongs_to_request || !is_complete {
        found.push(format!(
            "{request} got a wrong or incomplete response: {body:?}"
        ));
    }
    let versions: BTreeSet<id::Version> = tokens
        .iter()
        .filter_map(|token| token.get(2).copied().map(id::Version))
        .collect();
    // A saved response names no versions: calls with an idempotency key go to a plain service.
    if response.attempts > 0 && !call.once && response.versions != versions {
        found.push(format!(
            "the response to {request} names {:?}, but was produced by {versions:?}",
            response.versions
        ));
    }
}
