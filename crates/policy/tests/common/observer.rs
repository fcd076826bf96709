//! What callers and engines saw, and the promises that it must meet.

use std::collections::{BTreeMap, BTreeSet};

use tamaracksail_model::id;
use tamaracksail_model::outcome::Outcome;
use tamaracksail_policy::entry::FinalResponse;

/// The tokens of every answer in the harness.
pub const TOKENS: u64 = 4;

/// One call as its caller saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub fingerprint: id::Fingerprint,
    pub once: bool,
    pub streamed: bool,
    /// Bytes that were relayed before the final answer.
    pub relayed: Vec<u8>,
    pub answers: Vec<FinalResponse>,
}

/// Everything that outsiders saw.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    pub calls: BTreeMap<id::Request, Seen>,
    /// The request that each attempt was made for.
    pub attempts: BTreeMap<id::Attempt, id::Request>,
    /// The starts of each attempt at an engine.
    pub runs: Vec<id::Attempt>,
    /// The agent of each start.
    pub places: Vec<usize>,
}

/// The text of one token: what was asked, its place, and the version that made it.
pub fn token(fingerprint: id::Fingerprint, place: u64, version: u64) -> String {
    format!("{}:{place}:{version};", fingerprint.0)
}

impl Observer {
    /// The starts at one agent's engine.
    pub fn runs_at(&self, agent: usize) -> usize {
        self.places.iter().filter(|place| **place == agent).count()
    }

    /// The calls with an answer.
    pub fn answered(&self) -> usize {
        self.calls
            .values()
            .filter(|seen| !seen.answers.is_empty())
            .count()
    }

    /// The body that the caller holds.
    fn body(seen: &Seen, answer: &FinalResponse) -> Vec<u8> {
        if seen.streamed && !seen.relayed.is_empty() {
            seen.relayed.clone()
        } else {
            answer.body.to_vec()
        }
    }

    /// Every broken promise.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut runs_of: BTreeMap<id::Fingerprint, u64> = BTreeMap::new();
        let mut ran: BTreeSet<id::Request> = BTreeSet::new();
        let mut starts: BTreeMap<id::Attempt, u64> = BTreeMap::new();
        for attempt in &self.runs {
            let count = starts.entry(*attempt).or_default();
            *count += 1;
            if *count > 1 {
                found.push(format!("attempt {attempt} ran {count} times"));
            }
            if let Some(request) = self.attempts.get(attempt) {
                ran.insert(*request);
                if let Some(seen) = self.calls.get(request) {
                    *runs_of.entry(seen.fingerprint).or_default() += 1;
                }
            }
        }
        for (request, seen) in &self.calls {
            if seen.answers.len() > 1 {
                found.push(format!(
                    "{request} was answered {} times",
                    seen.answers.len()
                ));
            }
            if seen.once && runs_of.get(&seen.fingerprint).copied().unwrap_or(0) > 1 {
                found.push(format!("{} ran more than once", seen.fingerprint));
            }
            for answer in &seen.answers {
                if answer.outcome == Outcome::NotRun && ran.contains(request) {
                    found.push(format!("{request} was said not to have run, but ran"));
                }
                if answer.outcome == Outcome::Done {
                    check_body(*request, seen, answer, &mut found);
                }
            }
        }
        found
    }
}

/// A whole answer is the caller's own, in full and in order, and names its true versions.
fn check_body(request: id::Request, seen: &Seen, answer: &FinalResponse, found: &mut Vec<String>) {
    let body = String::from_utf8_lossy(&Observer::body(seen, answer)).into_owned();
    let tokens: Vec<Vec<u64>> = body
        .split_terminator(';')
        .map(|token| {
            token
                .split(':')
                .filter_map(|part| part.parse().ok())
                .collect()
        })
        .collect();
    let is_own = tokens
        .iter()
        .all(|token| token.first() == Some(&seen.fingerprint.0));
    let is_whole = tokens.len() as u64 == TOKENS
        && tokens
            .iter()
            .zip(0..)
            .all(|(token, place)| token.get(1) == Some(&place));
    if !is_own || !is_whole {
        found.push(format!("{request} got a wrong or torn answer: {body:?}"));
    }
    let versions: BTreeSet<id::Version> = tokens
        .iter()
        .filter_map(|token| token.get(2).copied().map(id::Version))
        .collect();
    // A kept answer names no versions: keyed calls in the harness go to a plain service.
    if answer.attempts > 0 && !seen.once && answer.versions != versions {
        found.push(format!(
            "{request} names {:?}, made by {versions:?}",
            answer.versions
        ));
    }
}
