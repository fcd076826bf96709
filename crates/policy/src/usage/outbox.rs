//! Reports whose counts are fixed and that the recipient has not confirmed.

use std::collections::BTreeMap;
use std::time::Duration;

use tamaracksail_model::time::Instant;

use super::{Counts, Report, Window};

/// The pause before the first repetition of a report; it doubles with each failure up to
/// [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// The longest pause between repetitions.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
struct Pending {
    counts: Counts,
    is_in_flight: bool,
    backoff: Duration,
    next_at: Instant,
}

/// Reports that are fixed and not confirmed, and when to send them.
#[derive(Clone, Debug)]
pub struct Outbox {
    reports: BTreeMap<Window, Pending>,
    /// The time between two sends.
    interval: Duration,
    next_at: Instant,
}

impl Outbox {
    /// Returns an empty outbox that sends at most one report each `interval`.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        Self {
            reports: BTreeMap::new(),
            interval,
            next_at: Instant(0),
        }
    }

    /// Replaces the reports by those that are fixed, without the ones confirmed before. What is known
    /// of their sends is kept, but none waits longer: the right to send lasts a short time only.
    pub fn set(&mut self, now: Instant, fixed: &[Report], is_confirmed: impl Fn(Window) -> bool) {
        let mut before = std::mem::take(&mut self.reports);
        for report in fixed.iter().filter(|report| !is_confirmed(report.window)) {
            let mut pending = before.remove(&report.window).unwrap_or_else(|| Pending {
                counts: report.counts.clone(),
                is_in_flight: false,
                backoff: MIN_BACKOFF,
                next_at: now,
            });
            pending.next_at = pending.next_at.min(now);
            self.reports.insert(report.window, pending);
        }
    }

    /// Returns the oldest report that is due, and records that it is being sent.
    pub fn take_due(&mut self, now: Instant) -> Option<Report> {
        if now < self.next_at {
            return None;
        }
        let is_due = |pending: &Pending| !pending.is_in_flight && now >= pending.next_at;
        let mut reports = self.reports.iter_mut();
        let (window, pending) = reports.find(|(_, pending)| is_due(pending))?;
        pending.is_in_flight = true;
        self.next_at = now.after(self.interval);
        Some(Report {
            window: *window,
            counts: pending.counts.clone(),
        })
    }

    /// Records that a report was confirmed.
    pub fn record_confirmed(&mut self, window: Window) {
        self.reports.remove(&window);
    }

    /// Records that a report was not confirmed. `waits` says whether the next send of it waits.
    pub fn record_failure(&mut self, now: Instant, window: Window, waits: bool) {
        if let Some(pending) = self.reports.get_mut(&window) {
            pending.is_in_flight = false;
            if waits {
                pending.next_at = now.after(pending.backoff);
                pending.backoff = (pending.backoff * 2).min(MAX_BACKOFF);
            }
        }
    }

    /// Gives up the reports of windows before `first`. Returns those windows.
    pub fn give_up_before(&mut self, first: Window) -> Vec<Window> {
        let kept = self.reports.split_off(&first);
        let given_up = std::mem::replace(&mut self.reports, kept);
        given_up.into_keys().collect()
    }

    /// Returns the reports, oldest first.
    pub fn reports(&self) -> impl Iterator<Item = Report> {
        self.reports.iter().map(|(window, pending)| Report {
            window: *window,
            counts: pending.counts.clone(),
        })
    }
}
