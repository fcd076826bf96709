//! Idle time of the trainer against staleness of the samples, for several staleness bounds.

use std::time::Duration;

use crate::steps::{self, Parameters};
use crate::table::{self, percent, to_f64};

const DURATION: Duration = Duration::from_hours(1);

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
    table::print_header(
        "Idle time against staleness: new weights every 2 min, 256 samples a step, 1 h",
        &columns,
    );
    for versions in 0..=6 {
        let outcome = steps::run(&Parameters {
            groups: 64,
            group_size: 4,
            batch: 64,
            parallel: 48,
            hedge: Some((95, 10)),
            staleness_bound: (versions, Duration::from_mins(10)),
            weights_interval: Some(Duration::from_mins(2)),
            learning_time: Duration::from_secs(20),
            median_latency: Duration::from_secs(20),
            straggler_percent: 3,
            straggler_factor: 8.0,
            time_limit: DURATION,
            seed,
        });
        let samples_delivered = to_f64(usize::try_from(outcome.samples_delivered).expect("small"));
        let versions_behind = to_f64(usize::try_from(outcome.versions_behind).expect("small"));
        let samples_generated = to_f64(usize::try_from(outcome.counters.generated).expect("small"));
        let bytes_written = to_f64(usize::try_from(outcome.bytes_written).expect("small"));
        let user = match versions {
            1 => "Wakili (examples/nairobi)",
            4 => "the Office (examples/tn-nord)",
            _ => "",
        };
        table::print_row(&[
            versions.to_string(),
            percent(outcome.idle.as_secs_f64(), outcome.elapsed.as_secs_f64()),
            outcome.samples_delivered.to_string(),
            format!(
                "{:.2}",
                if samples_delivered > 0.0 {
                    versions_behind / samples_delivered
                } else {
                    0.0
                }
            ),
            percent(samples_generated - samples_delivered, samples_generated),
            format!(
                "{:.1} KB/s",
                bytes_written / 1000.0 / outcome.elapsed.as_secs_f64()
            ),
            user.to_owned(),
        ]);
    }
}
