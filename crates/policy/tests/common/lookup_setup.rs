//! What a simulation of lookups is given, and what it reports.

use std::time::Duration;

/// What servers state about their pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Figures {
    /// Nothing.
    None,
    /// The truth.
    True,
    /// What was true a second ago.
    Late,
    /// The truth, in every second response.
    Missing,
    /// A random number.
    Wrong,
    /// What was true when the simulation began.
    Stuck,
    /// That the pace is normal.
    Normal,
}

/// How the pace of servers changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// All servers are equally fast.
    Even,
    /// A third on slow hosts, and slow phases.
    Mixed,
    /// As before, and after half of the time a third becomes 2.5 times slower for good.
    Step,
    /// As before, and all servers are 2.5 times slower for 5 s.
    AllSlow,
}

/// What happens in the middle third of the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scene {
    /// Nothing.
    Calm,
    /// Gateways in the first failure domain send three times as much.
    Burst,
    /// The first failure domain has no servers.
    Lost,
    /// The first server is gone.
    OneLost,
}

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub gateways: usize,
    pub servers: usize,
    /// The offered load as a share of the capacity at mean pace.
    pub load: f64,
    pub figures: Figures,
    pub scene: Scene,
    /// Whether shares of requests leave failure domains.
    pub has_locality: bool,
    pub shape: Shape,
    pub duration: Duration,
    pub seed: u64,
}

/// What became of the lookups.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub latencies: Vec<Duration>,
    pub sends: usize,
    pub lost: usize,
    /// The bytes of requests that left, as far as fleets count them.
    pub bytes_left: u64,
    /// The requests that left, in each second.
    pub left: Vec<usize>,
    /// The changes of the share of each gateway: when, in seconds, and the new value.
    pub changes: Vec<Vec<(u64, f64)>>,
}

impl Report {
    /// Returns a percentile of the latencies in milliseconds.
    pub fn percentile(&self, percent: usize) -> f64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let index = (sorted.len() * percent / 100).min(sorted.len() - 1);
        sorted[index].as_secs_f64() * 1000.0
    }

    /// Returns the number of lookups.
    pub fn count(&self) -> usize {
        self.latencies.len()
    }
}
