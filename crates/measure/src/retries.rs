//! Compares retries limited by a budget with a fixed number of retries.

use std::time::Duration;

use rand::Rng;
use tamaracksail_model::outcome::{Class, Outcome};
use tamaracksail_policy::connection::choice::Rule;

use crate::fleet::{Fleet, FleetParameters};
use crate::table::{self, percent, to_f64};

const DURATION: Duration = Duration::from_mins(1);
const AGENTS: usize = 20;

/// Prints the table.
pub fn print(seed: u64) {
    let columns = ["servers failing", "retries", "attempts per request", "done"];
    table::print_header(
        "Retries: 4 entries, 20 servers of 4 lanes at 30% load, 60 s",
        &columns,
    );
    for failing in [0, 6, AGENTS] {
        for budget_percent in [10, 20] {
            let mut fleet = Fleet::new(FleetParameters {
                entries: 4,
                agents: AGENTS,
                concurrency: 4,
                service_time: Duration::from_millis(200),
                rule: Rule::LeastDelay,
                retry_percent: budget_percent,
                seed,
            });
            fleet.failing = (0..failing).collect();
            let rate = fleet.capacity() * 0.3;
            let end = fleet.now.after(DURATION);
            let mut number = 0;
            while fleet.now < end {
                let gap: f64 = fleet.random.random_range(1e-9..1.0);
                fleet.run_until(fleet.now.after(Duration::from_secs_f64(-gap.ln() / rate)));
                number += 1;
                fleet.send_request(Class::Interactive, number, Duration::from_secs(10));
            }
            fleet.run_until(end.after(Duration::from_secs(10)));
            let done = fleet
                .results
                .iter()
                .filter(|r| r.outcome == Outcome::Done)
                .count();
            table::print_row(&[
                percent(to_f64(failing), to_f64(AGENTS)),
                format!("budget {budget_percent}%"),
                format!(
                    "{:.3}",
                    to_f64(usize::try_from(fleet.dispatched).expect("small"))
                        / to_f64(fleet.results.len())
                ),
                percent(to_f64(done), to_f64(fleet.results.len())),
            ]);
        }
        // With three retries on randomly chosen servers, the number of attempts follows from the
        // share of failing servers alone.
        let share = to_f64(failing) / to_f64(AGENTS);
        let attempts = 1.0 + share + share.powi(2) + share.powi(3);
        table::print_row(&[
            percent(to_f64(failing), to_f64(AGENTS)),
            "fixed count of three (worked out)".to_owned(),
            format!("{attempts:.3}"),
            percent(1.0 - share.powi(4), 1.0),
        ]);
    }
}
