//! Stragglers: the time until a step is complete, and how many second copies of samples it takes.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::steps::{self, Parameters};
use crate::table::{self, percent, quantile, seconds, to_f64};

const RUNS: u32 = 24;
const GROUPS: u32 = 64;
const GROUP_SIZE: u32 = 4;

fn parameters(hedge: Option<(u32, u32)>, seed: u64) -> Parameters {
    Parameters {
        groups: GROUPS,
        group_size: GROUP_SIZE,
        batch: 64,
        parallel: 64,
        hedge,
        staleness_bound: (10, Duration::from_hours(1)),
        weights_interval: None,
        learning_time: Duration::from_millis(100),
        median_latency: Duration::from_secs(10),
        straggler_percent: 3,
        straggler_factor: 8.0,
        time_limit: Duration::from_hours(1),
        seed,
    }
}

/// Simulates a second copy of each sample that takes longer than a fixed time, with the same
/// distribution of latencies and as many samples at a time. Returns the time until all samples are
/// done and the number of second copies.
fn fixed_timeout(after: Duration, seed: u64) -> (Duration, usize) {
    let parameters = parameters(None, seed);
    let mut random = SmallRng::seed_from_u64(seed);
    let mut slots = vec![Duration::ZERO; parameters.parallel as usize];
    let mut copies = 0;
    for _ in 0..GROUPS * GROUP_SIZE {
        let first = steps::draw_latency(&mut random, &parameters);
        let second = steps::draw_latency(&mut random, &parameters);
        let is_late = first > after;
        copies += usize::from(is_late);
        let time = if is_late {
            first.min(after + second)
        } else {
            first
        };
        let slot = slots.iter_mut().min().expect("there are slots");
        *slot += time;
    }
    (slots.into_iter().max().unwrap_or_default(), copies)
}

/// Prints the table.
pub fn print(seed: u64) {
    let columns = [
        "second copies",
        "step whole, median",
        "99th percentile",
        "copies of samples",
    ];
    table::print_header(
        "Stragglers: 256 samples, 64 at a time, 10 s each, 3% of them 8 times longer, 24 runs",
        &columns,
    );
    let samples = to_f64((GROUPS * GROUP_SIZE) as usize) * f64::from(RUNS);
    let rules = [
        ("none", None),
        ("after the 90th percentile, cap 10%", Some((90, 10))),
        ("after the 95th percentile, cap 10%", Some((95, 10))),
        ("after the 95th percentile, cap 2%", Some((95, 2))),
    ];
    for (name, hedge) in rules {
        let outcomes: Vec<_> = (0..RUNS)
            .map(|run| steps::run(&parameters(hedge, seed + u64::from(run))))
            .collect();
        let mut times: Vec<Duration> = outcomes
            .iter()
            .filter_map(|outcome| outcome.step_completed_after)
            .collect();
        let copies: u64 = outcomes.iter().map(|outcome| outcome.counters.hedged).sum();
        table::print_row(&[
            name.to_owned(),
            seconds(quantile(&mut times, 0.5)),
            seconds(quantile(&mut times, 0.99)),
            percent(to_f64(usize::try_from(copies).expect("small")), samples),
        ]);
    }
    for after in [Duration::from_secs(15), Duration::from_secs(30)] {
        let runs: Vec<_> = (0..RUNS)
            .map(|run| fixed_timeout(after, seed + u64::from(run)))
            .collect();
        let mut times: Vec<Duration> = runs.iter().map(|(time, _)| *time).collect();
        let copies: usize = runs.iter().map(|(_, copies)| copies).sum();
        table::print_row(&[
            format!("after a fixed {} s, no cap", after.as_secs()),
            seconds(quantile(&mut times, 0.5)),
            seconds(quantile(&mut times, 0.99)),
            percent(to_f64(copies), samples),
        ]);
    }
}
