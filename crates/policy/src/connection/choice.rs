//! The choice of a server among candidates.
//!
//! [`Rule::LeastDelay`] is what entries use. The others are the baselines that it is measured
//! against; `docs/design/routing.md` has the reasons.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tamaracksail_model::id;

/// How much longer than the best a server that caches the prefix may take, as a factor.
const AFFINITY_MAX_COST_RATIO: f64 = 1.25;

/// What is known of one candidate.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The expected time until a further attempt is done, from a report corrected for its lag.
    pub delay: Duration,
    /// Attempts at the server.
    pub load: f64,
    /// Attempts that the server runs at a time.
    pub slots: f64,
    /// Whether it stands in another failure domain.
    pub is_remote: bool,
    /// The server's rank for the request's prefix; the highest caches it. Zero: no prefix.
    pub affinity: u64,
}

/// A way to choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Any server.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The less loaded of two.
    TwoRandom,
    /// Shares by the reported load in steps of a tenth, as the load value of
    /// draft-tschofenig-dime-overload-arch, section 5.3.2.
    LoadSteps,
    /// The least expected delay, own domain and cached prefix preferred.
    LeastDelay,
}

/// The state that choices need between them.
#[derive(Clone, Debug)]
pub struct Chooser {
    rule: Rule,
    next_turn: usize,
    remote_cost: Duration,
}

impl Chooser {
    /// A chooser. `remote_cost` is the delay that a server in another domain must save.
    #[must_use]
    pub fn new(rule: Rule, remote_cost: Duration) -> Self {
        Self {
            rule,
            next_turn: 0,
            remote_cost,
        }
    }

    /// The index of the chosen candidate; `None` if there are none.
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
        // Two of the candidates at random break ties, so that entries with the same reports
        // do not all choose the same server.
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

/// Weighs each server by ten less its load in tenths of its lanes; ten means none.
fn choose_by_steps(random: &mut SmallRng, candidates: &[Candidate]) -> usize {
    const STEPS: f64 = 10.0;
    let weigh = |candidate: &Candidate| {
        let load = (candidate.load / candidate.slots.max(1.0) * STEPS)
            .floor()
            .clamp(0.0, STEPS);
        STEPS - load
    };
    let total: f64 = candidates.iter().map(weigh).sum();
    if total <= 0.0 {
        return random.random_range(0..candidates.len());
    }
    let mut left = random.random_range(0.0..total);
    for (index, candidate) in candidates.iter().enumerate() {
        left -= weigh(candidate);
        if left < 0.0 {
            return index;
        }
    }
    candidates.len() - 1
}

/// The rank of `host` for `prefix` by rendezvous hashing; never zero.
#[must_use]
pub fn affinity(prefix: id::Fingerprint, host: &id::Host) -> u64 {
    let mut content = prefix.0.to_le_bytes().to_vec();
    content.extend_from_slice(host.as_str().as_bytes());
    id::fingerprint(&content).0 | 1
}
