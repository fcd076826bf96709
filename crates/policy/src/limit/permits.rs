//! Permits that another gateway has granted for one server.

use std::collections::VecDeque;

use tamaracksail_model::time::Instant;

/// Permits with the end of their validity, the first to expire first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Permits(VecDeque<Instant>);

impl Permits {
    pub(crate) fn add(&mut self, valid_until: Instant, count: u32) {
        self.0.extend((0..count).map(|_| valid_until));
    }

    pub(crate) fn has_any(&self, now: Instant) -> bool {
        self.0.back().is_some_and(|valid_until| now < *valid_until)
    }

    /// Uses a valid permit. Returns whether there was one.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        while let Some(valid_until) = self.0.pop_front() {
            if now < valid_until {
                return true;
            }
        }
        false
    }
}
