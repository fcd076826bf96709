//! Requests that crash their servers, sent repeatedly with new ids through all entries.

use std::time::Duration;

use rand::Rng;
use tamaracksail_model::id;
use tamaracksail_model::outcome::{Class, Outcome};
use tamaracksail_policy::connection::choice::Rule;

use crate::fleet::{Fleet, FleetParameters, RequestResult};
use crate::table::{self, percent, to_f64};

const DURATION: Duration = Duration::from_mins(1);
/// The fingerprint of the requests that crash a server.
const POISON_FINGERPRINT: u64 = 1;

/// Prints the table.
pub fn print(seed: u64) {
    let columns = [
        "copies sent",
        "every",
        "servers crashed",
        "copies refused",
        "innocent requests done",
    ];
    table::print_header(
        "Crashing requests: 4 entries, 20 servers of 4 lanes at 50% load, 60 s",
        &columns,
    );
    for interval in [
        Duration::from_secs(10),
        Duration::from_secs(1),
        Duration::from_millis(200),
    ] {
        let mut fleet = Fleet::new(FleetParameters {
            entries: 4,
            agents: 20,
            concurrency: 4,
            service_time: Duration::from_millis(200),
            rule: Rule::LeastDelay,
            retry_percent: 20,
            seed,
        });
        fleet
            .poison_fingerprints
            .insert(id::Fingerprint(POISON_FINGERPRINT));
        let rate = fleet.capacity() * 0.5;
        let end = fleet.now.after(DURATION);
        let mut next_poison_at = fleet.now.after(interval);
        let mut number = POISON_FINGERPRINT;
        let mut copies = 0;
        while fleet.now < end {
            let gap: f64 = fleet.random.random_range(1e-9..1.0);
            fleet.run_until(fleet.now.after(Duration::from_secs_f64(-gap.ln() / rate)));
            number += 1;
            fleet.send_request(Class::Interactive, number, Duration::from_secs(10));
            if fleet.now >= next_poison_at {
                next_poison_at = fleet.now.after(interval);
                copies += 1;
                fleet.send_request(
                    Class::Interactive,
                    POISON_FINGERPRINT,
                    Duration::from_secs(10),
                );
            }
        }
        fleet.run_until(end.after(Duration::from_secs(15)));
        let is_poison = |result: &&RequestResult| result.fingerprint.0 == POISON_FINGERPRINT;
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
        table::print_row(&[
            copies.to_string(),
            format!("{} ms", interval.as_millis()),
            fleet.crashes.to_string(),
            refused.to_string(),
            percent(to_f64(done), to_f64(innocent.len())),
        ]);
    }
}
