//! The choice of a server among candidates.
//!
//! Entries use [`Rule::LeastDelay`]. The other rules are baselines that it is measured against;
//! `docs/design/routing.md` has the reasons.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tamaracksail_model::id;

/// A server that is likely to have the prefix cached is chosen if its cost is at most this many
/// times the lowest cost.
const AFFINITY_MAX_COST_RATIO: f64 = 1.25;

/// A server that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The expected time until a further attempt would end, estimated from load reports and
    /// corrected for the attempts that they do not include yet.
    pub delay: Duration,
    /// The attempts at the server, running or waiting.
    pub load: f64,
    /// The number of attempts that the server runs at a time.
    pub slots: f64,
    /// Whether the server is in another failure domain than the entry.
    pub is_remote: bool,
    /// The rank of the server for the prefix of the request's prompt. The server with the highest
    /// rank is likely to have the prefix cached. Zero if the request has no prefix.
    pub affinity: u64,
}

/// A rule for choosing a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A random server.
    Random,
    /// Each server in turn.
    RoundRobin,
    /// The less loaded of two random servers.
    TwoRandom,
    /// A random server, weighted by its free capacity in steps of a tenth, like the load value of
    /// draft-tschofenig-dime-overload-arch, section 5.3.2.
    LoadSteps,
    /// The server with the least expected delay, preferring the entry's own failure domain and a
    /// cached prefix.
    LeastDelay,
}

/// Chooses servers by a rule and keeps the state that the rule needs.
#[derive(Clone, Debug)]
pub struct Chooser {
    rule: Rule,
    next_turn: usize,
    remote_cost: Duration,
}

impl Chooser {
    /// Creates a chooser. A server in another failure domain is chosen only if it is expected to
    /// be faster by more than `remote_cost`.
    #[must_use]
    pub fn new(rule: Rule, remote_cost: Duration) -> Self {
        Self {
            rule,
            next_turn: 0,
            remote_cost,
        }
    }

    /// Returns the index of the chosen candidate, or `None` if there are no candidates.
    pub fn choose(&mut self, random: &mut SmallRng, candidates: &[Candidate]) -> Option<usize> {
        let count = candidates.len();
        if count == 0 {
            return None;
        }
        let chosen = match self.rule {
            Rule::Random => random.random_range(0..count),
            Rule::RoundRobin => {
                self.next_turn = self.next_turn.wrapping_add(1);
                self.next_turn % count
            }
            Rule::TwoRandom => {
                let (a, b) = (random.random_range(0..count), random.random_range(0..count));
                if candidates[a].load <= candidates[b].load {
                    a
                } else {
                    b
                }
            }
            Rule::LoadSteps => choose_by_steps(random, candidates),
            Rule::LeastDelay => self.choose_least_delay(random, candidates),
        };
        Some(chosen)
    }

    fn choose_least_delay(&self, random: &mut SmallRng, candidates: &[Candidate]) -> usize {
        let cost = |candidate: &Candidate| {
            candidate.delay
                + if candidate.is_remote {
                    self.remote_cost
                } else {
                    Duration::ZERO
                }
        };
        // The search starts at a random candidate, so that of several candidates with the same
        // cost, entries with the same load reports do not all choose the same one.
        let start = random.random_range(0..candidates.len());
        let rotated = (0..candidates.len()).map(|step| (start + step) % candidates.len());
        let best = rotated
            .min_by_key(|index| cost(&candidates[*index]))
            .unwrap_or(start);
        let bound = cost(&candidates[best]).mul_f64(AFFINITY_MAX_COST_RATIO);
        let cached = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| candidate.affinity > 0);
        let preferred = cached.max_by_key(|(_, candidate)| candidate.affinity);
        match preferred {
            Some((index, candidate)) if cost(candidate) <= bound => index,
            _ => best,
        }
    }
}

/// Chooses a random server, weighted by the tenths of its slots that are free. A full server has
/// no weight.
fn choose_by_steps(random: &mut SmallRng, candidates: &[Candidate]) -> usize {
    const STEPS: f64 = 10.0;
    let weight = |candidate: &Candidate| {
        let load = (candidate.load / candidate.slots.max(1.0) * STEPS)
            .floor()
            .clamp(0.0, STEPS);
        STEPS - load
    };
    let total: f64 = candidates.iter().map(weight).sum();
    if total <= 0.0 {
        return random.random_range(0..candidates.len());
    }
    let mut remaining = random.random_range(0.0..total);
    for (index, candidate) in candidates.iter().enumerate() {
        remaining -= weight(candidate);
        if remaining < 0.0 {
            return index;
        }
    }
    candidates.len() - 1
}

/// Returns the rank of a server, named by its host or instance id, for `prefix` by rendezvous hashing.
/// It is never zero.
#[must_use]
pub fn affinity(prefix: id::Fingerprint, server: &str) -> u64 {
    let mut content = prefix.0.to_le_bytes().to_vec();
    content.extend_from_slice(server.as_bytes());
    id::fingerprint(&content).0 | 1
}
