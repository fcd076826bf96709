//! Requests that crash their servers, sent again and again under new ids through all entries.

use std::time::Duration;

use rand::Rng;
use tamaracksail_model::id;
use tamaracksail_model::outcome::{Class, Outcome};
use tamaracksail_policy::connection::choice::Rule;

use crate::fleet::{Fleet, Shape};
use crate::table::{self, percent, real};

const TIME: Duration = Duration::from_mins(1);
const POISON: u64 = 1;

/// Prints the table.
pub fn print(seed: u64) {
    let columns = [
        "copies sent",
        "every",
        "servers crashed",
        "copies refused",
        "innocent requests done",
    ];
    table::head(
        "Crashing requests: 4 entries, 20 servers of 4 lanes at 50% load, 60 s",
        &columns,
    );
    for every in [
        Duration::from_secs(10),
        Duration::from_secs(1),
        Duration::from_millis(200),
    ] {
        let mut fleet = Fleet::new(Shape {
            entries: 4,
            agents: 20,
            concurrency: 4,
            service: Duration::from_millis(200),
            rule: Rule::LeastDelay,
            retry_percent: 20,
            seed,
        });
        fleet.poison.insert(id::Fingerprint(POISON));
        let rate = fleet.capacity() * 0.5;
        let end = fleet.now.after(TIME);
        let mut poison_at = fleet.now.after(every);
        let mut number = POISON;
        let mut copies = 0;
        while fleet.now < end {
            let gap: f64 = fleet.random.random_range(1e-9..1.0);
            fleet.run_until(fleet.now.after(Duration::from_secs_f64(-gap.ln() / rate)));
            number += 1;
            fleet.request(Class::Interactive, number, Duration::from_secs(10));
            if fleet.now >= poison_at {
                poison_at = fleet.now.after(every);
                copies += 1;
                fleet.request(Class::Interactive, POISON, Duration::from_secs(10));
            }
        }
        fleet.run_until(end.after(Duration::from_secs(15)));
        let is_poison = |result: &&crate::fleet::Result| result.fingerprint.0 == POISON;
        let refused = fleet
            .results
            .iter()
            .filter(is_poison)
            .filter(|result| result.status == 422)
            .count();
        let innocent: Vec<_> = fleet
            .results
            .iter()
            .filter(|result| !is_poison(result))
            .collect();
        let done = innocent
            .iter()
            .filter(|result| result.outcome == Outcome::Done)
            .count();
        table::row(&[
            copies.to_string(),
            format!("{} ms", every.as_millis()),
            fleet.crashes.to_string(),
            refused.to_string(),
            percent(real(done), real(innocent.len())),
        ]);
    }
}
