//! Retries with a budget against a fixed count.

use std::time::Duration;

use rand::Rng;
use tamaracksail_model::outcome::{Class, Outcome};
use tamaracksail_policy::connection::choice::Rule;

use crate::fleet::{Fleet, Shape};
use crate::table::{self, percent, real};

const TIME: Duration = Duration::from_mins(1);
const AGENTS: usize = 20;

/// Prints the table.
pub fn print(seed: u64) {
    let columns = ["servers failing", "retries", "attempts per request", "done"];
    table::head(
        "Retries: 4 entries, 20 servers of 4 lanes at 30% load, 60 s",
        &columns,
    );
    for failing in [0, 6, AGENTS] {
        for percent_of_traffic in [10, 20] {
            let mut fleet = Fleet::new(Shape {
                entries: 4,
                agents: AGENTS,
                concurrency: 4,
                service: Duration::from_millis(200),
                rule: Rule::LeastDelay,
                retry_percent: percent_of_traffic,
                seed,
            });
            fleet.failing = (0..failing).collect();
            let rate = fleet.capacity() * 0.3;
            let end = fleet.now.after(TIME);
            let mut number = 0;
            while fleet.now < end {
                let gap: f64 = fleet.random.random_range(1e-9..1.0);
                fleet.run_until(fleet.now.after(Duration::from_secs_f64(-gap.ln() / rate)));
                number += 1;
                fleet.request(Class::Interactive, number, Duration::from_secs(10));
            }
            fleet.run_until(end.after(Duration::from_secs(10)));
            let done = fleet
                .results
                .iter()
                .filter(|r| r.outcome == Outcome::Done)
                .count();
            table::row(&[
                percent(real(failing), real(AGENTS)),
                format!("budget {percent_of_traffic}%"),
                format!(
                    "{:.3}",
                    real(usize::try_from(fleet.dispatched).expect("small"))
                        / real(fleet.results.len())
                ),
                percent(real(done), real(fleet.results.len())),
            ]);
        }
        // A fixed count of three, servers at random: the attempts follow from the shares alone.
        let share = real(failing) / real(AGENTS);
        let attempts = 1.0 + share + share.powi(2) + share.powi(3);
        table::row(&[
            percent(real(failing), real(AGENTS)),
            "fixed count of three (worked out)".to_owned(),
            format!("{attempts:.3}"),
            percent(1.0 - share.powi(4), 1.0),
        ]);
    }
}
