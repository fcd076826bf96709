//! Idle time against staleness: one rule value moves along the trade.

use std::time::Duration;

use crate::steps::{self, Plan};
use crate::table::{self, percent, real};

const TIME: Duration = Duration::from_hours(1);

/// Prints the table.
pub fn print(seed: u64) {
    let columns = [
        "bound in versions",
        "trainer idle",
        "samples handed over",
        "versions behind, mean",
        "samples made in vain",
        "ledger written",
        "who sets it",
    ];
    table::head(
        "Idle time against staleness: new weights every 2 min, 256 samples a step, 1 h",
        &columns,
    );
    for versions in 0..=6 {
        let outcome = steps::run(&Plan {
            groups: 64,
            group_size: 4,
            batch: 64,
            parallel: 48,
            hedge: Some((95, 10)),
            bound: (versions, Duration::from_mins(10)),
            weights: Some(Duration::from_mins(2)),
            learn: Duration::from_secs(20),
            latency: Duration::from_secs(20),
            straggler_percent: 3,
            straggler_factor: 8.0,
            time: TIME,
            seed,
        });
        let handed = real(usize::try_from(outcome.handed).expect("small"));
        let behind = real(usize::try_from(outcome.behind).expect("small"));
        let made = real(usize::try_from(outcome.counters.generated).expect("small"));
        let written = real(usize::try_from(outcome.written).expect("small"));
        let who = match versions {
            1 => "Wakili (examples/nairobi)",
            4 => "the Office (examples/tn-nord)",
            _ => "",
        };
        table::row(&[
            versions.to_string(),
            percent(outcome.idle.as_secs_f64(), outcome.elapsed.as_secs_f64()),
            outcome.handed.to_string(),
            format!("{:.2}", if handed > 0.0 { behind / handed } else { 0.0 }),
            percent(made - handed, made),
            format!(
                "{:.1} KB/s",
                written / 1000.0 / outcome.elapsed.as_secs_f64()
            ),
            who.to_owned(),
        ]);
    }
}
