//! Stragglers: the time until a step is whole, and what second copies cost.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::steps::{self, Plan};
use crate::table::{self, percent, quantile, real, seconds};

const RUNS: u32 = 24;
const GROUPS: u32 = 64;
const GROUP_SIZE: u32 = 4;

fn plan(hedge: Option<(u32, u32)>, seed: u64) -> Plan {
    Plan {
        groups: GROUPS,
        group_size: GROUP_SIZE,
        batch: 64,
        parallel: 64,
        hedge,
        bound: (10, Duration::from_hours(1)),
        weights: None,
        learn: Duration::from_millis(100),
        latency: Duration::from_secs(10),
        straggler_percent: 3,
        straggler_factor: 8.0,
        time: Duration::from_hours(1),
        seed,
    }
}

/// A second copy of each sample that takes longer than a fixed time, on the same latencies and
/// the same places: the time until all are done, and the copies made.
fn fixed_timeout(after: Duration, seed: u64) -> (Duration, usize) {
    let plan = plan(None, seed);
    let mut random = SmallRng::seed_from_u64(seed);
    let mut lanes = vec![Duration::ZERO; plan.parallel as usize];
    let mut copies = 0;
    for _ in 0..GROUPS * GROUP_SIZE {
        let first = steps::draw_latency(&mut random, &plan);
        let second = steps::draw_latency(&mut random, &plan);
        let is_late = first > after;
        copies += usize::from(is_late);
        let time = if is_late {
            first.min(after + second)
        } else {
            first
        };
        let lane = lanes.iter_mut().min().expect("there are lanes");
        *lane += time;
    }
    (lanes.into_iter().max().unwrap_or_default(), copies)
}

/// Prints the table.
pub fn print(seed: u64) {
    let columns = [
        "second copies",
        "step whole, median",
        "99th percentile",
        "copies of samples",
    ];
    table::head(
        "Stragglers: 256 samples, 64 at a time, 10 s each, 3% of them 8 times longer, 24 runs",
        &columns,
    );
    let samples = real((GROUPS * GROUP_SIZE) as usize) * f64::from(RUNS);
    let rules = [
        ("none", None),
        ("after the 90th percentile, cap 10%", Some((90, 10))),
        ("after the 95th percentile, cap 10%", Some((95, 10))),
        ("after the 95th percentile, cap 2%", Some((95, 2))),
    ];
    for (name, hedge) in rules {
        let outcomes: Vec<_> = (0..RUNS)
            .map(|run| steps::run(&plan(hedge, seed + u64::from(run))))
            .collect();
        let mut times: Vec<Duration> = outcomes
            .iter()
            .filter_map(|outcome| outcome.whole_after)
            .collect();
        let copies: u64 = outcomes.iter().map(|outcome| outcome.counters.hedged).sum();
        table::row(&[
            name.to_owned(),
            seconds(quantile(&mut times, 0.5)),
            seconds(quantile(&mut times, 0.99)),
            percent(real(usize::try_from(copies).expect("small")), samples),
        ]);
    }
    for after in [Duration::from_secs(15), Duration::from_secs(30)] {
        let runs: Vec<_> = (0..RUNS)
            .map(|run| fixed_timeout(after, seed + u64::from(run)))
            .collect();
        let mut times: Vec<Duration> = runs.iter().map(|(time, _)| *time).collect();
        let copies: usize = runs.iter().map(|(_, copies)| copies).sum();
        table::row(&[
            format!("after a fixed {} s, no cap", after.as_secs()),
            seconds(quantile(&mut times, 0.5)),
            seconds(quantile(&mut times, 0.99)),
            percent(real(copies), samples),
        ]);
    }
}
