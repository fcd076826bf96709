//! The share of one service's requests that leaves.

use std::time::Duration;

use tamaracksail_model::time::Instant;

use super::facts::Facts;

/// The time between two reviews of a share. The latency estimates need some responses to follow.
const REVIEW_INTERVAL: Duration = Duration::from_millis(200);

/// The size of a step.
const STEP: f64 = 0.1;

/// The reviews that must agree before a step.
const AGREEING_REVIEWS: u32 = 2;

/// The reviews that must agree before a step in the other direction than the last one.
const REVERSING_REVIEWS: u32 = 10;

/// The ratio of costs from which steps are twice as large.
const LARGE_RATIO: f64 = 2.0;

/// How many times the cost of another place waiting here must cost before more requests leave.
const LEAVE_FACTOR: f64 = 1.25;

/// The time after a return to zero in which no request leaves again. Doubles with each return, as
/// servers elsewhere are unknown while nothing goes there and may be as slow each time.
const RETURN_PAUSE: Duration = Duration::from_secs(1);

/// The longest such time.
const MAX_RETURN_PAUSE: Duration = Duration::from_secs(16);

/// A change of a share.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The share before.
    pub from: f64,
    /// The share from now on.
    pub to: f64,
    /// What a request costs here, in seconds; none without servers.
    pub cost_here: Option<f64>,
    /// What a request costs at the best other place, in seconds.
    pub cost_there: Option<f64>,
    /// The facts.
    pub facts: Facts,
}

/// The share of one service's requests that leaves.
#[derive(Clone, Debug, Default)]
pub struct Share {
    value: f64,
    /// The other failure domains, and which part of the share each gets, adding up to 1.
    targets: Vec<(String, f64)>,
    reviewed_at: Option<Instant>,
    /// Consecutive reviews that want the share to rise, and to fall.
    rising: u32,
    falling: u32,
    /// Whether the last step was one up.
    has_risen: bool,
    paused_until: Instant,
    pause: Duration,
}

impl Share {
    /// Returns the share that leaves, from 0 to 1.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Returns the failure domain for a request: none for the own one. `draw` is from 0 to 1.
    #[must_use]
    pub fn target(&self, draw: f64) -> Option<&str> {
        if draw >= self.value {
            return None;
        }
        let mut rest = draw / self.value;
        for (domain, part) in &self.targets {
            if rest < *part {
                return Some(domain);
            }
            rest -= part;
        }
        self.targets.last().map(|(domain, _)| domain.as_str())
    }

    /// Whether the share is to be reviewed.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        self.reviewed_at
            .is_none_or(|at| now.since(at) >= REVIEW_INTERVAL)
    }

    /// Reviews the share, and returns its change.
    pub fn review(&mut self, now: Instant, facts: Facts) -> Option<Change> {
        self.reviewed_at = Some(now);
        let here = facts.cost_here();
        let places = facts.others.iter();
        let costs: Vec<f64> = places.map(|place| facts.cost_at(place)).collect();
        let best = costs.iter().copied().min_by(f64::total_cmp);
        let from = self.value;
        self.value = match (here, best) {
            (_, None) => 0.0,
            (None, Some(_)) => 1.0,
            (Some(here), Some(best)) => self.next(now, here, best),
        };
        self.set_targets(&facts, &costs, best.unwrap_or_default());
        if (self.value - from).abs() <= f64::EPSILON {
            return None;
        }
        Some(Change {
            from,
            to: self.value,
            cost_here: here,
            cost_there: best,
            facts,
        })
    }

    /// Returns the next share, at most a step from the present one.
    fn next(&mut self, now: Instant, here: f64, there: f64) -> f64 {
        let is_first = self.value <= 0.0;
        let may_rise = here > there * LEAVE_FACTOR && now >= self.paused_until;
        self.rising = if may_rise { self.rising + 1 } else { 0 };
        self.falling = if here < there { self.falling + 1 } else { 0 };
        let ratio = (here / there).max(there / here);
        let step = if ratio >= LARGE_RATIO {
            2.0 * STEP
        } else {
            STEP
        };
        let needed = |is_reversal: bool| {
            if is_reversal {
                REVERSING_REVIEWS
            } else {
                AGREEING_REVIEWS
            }
        };
        if self.rising >= needed(!is_first && !self.has_risen) && self.value < 1.0 {
            (self.rising, self.has_risen) = (0, true);
            return (self.value + step).min(1.0);
        }
        if self.falling < needed(self.has_risen) || is_first {
            return self.value;
        }
        (self.falling, self.has_risen) = (0, false);
        let next = self.value - step;
        if next > STEP / 2.0 {
            return next;
        }
        let long_ago = now.since(self.paused_until) >= MAX_RETURN_PAUSE;
        self.pause = if long_ago {
            RETURN_PAUSE
        } else {
            (self.pause * 2).clamp(RETURN_PAUSE, MAX_RETURN_PAUSE)
        };
        self.paused_until = now.after(self.pause);
        0.0
    }

    /// Divides the share among the places that cost little more than the best one, in proportion to
    /// their free slots.
    fn set_targets(&mut self, facts: &Facts, costs: &[f64], best: f64) {
        let is_good = |cost: f64| cost <= best * LEAVE_FACTOR;
        let places = facts.others.iter().zip(costs);
        let weights: Vec<(String, f64)> = places
            .filter(|(_, cost)| is_good(**cost))
            .map(|(place, _)| (place.domain.clone(), f64::from(place.free.max(1))))
            .collect();
        let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
        let parts = weights.into_iter();
        self.targets = parts
            .map(|(domain, weight)| (domain, weight / total))
            .collect();
    }
}
