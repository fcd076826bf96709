//! Concurrency limits and load shedding during a surge, and the recovery after it.

use std::time::Duration;

use rand::Rng;
use tamaracksail_model::outcome::{Class, Outcome};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::connection::choice::Rule;

use crate::fleet::{Fleet, FleetParameters, RequestResult};
use crate::table::{self, millis, percent, quantile, to_f64};

const SURGE_DURATION: Duration = Duration::from_secs(30);
/// How long the reduced load after the surge lasts.
const RECOVERY_DURATION: Duration = Duration::from_secs(30);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The percentage of training requests in the offered load.
const TRAINING_PERCENT: u32 = 50;

/// Sends requests for `time` at `factor` times the capacity of the fleet.
fn offer_load(fleet: &mut Fleet, factor: f64, time: Duration) {
    let end = fleet.now.after(time);
    let rate = fleet.capacity() * factor;
    let mut number = 0;
    while fleet.now < end {
        let gap: f64 = fleet.random.random_range(1e-9..1.0);
        fleet.run_until(fleet.now.after(Duration::from_secs_f64(-gap.ln() / rate)));
        let is_training = fleet.random.random_range(0..100) < TRAINING_PERCENT;
        let class = if is_training {
            Class::Training
        } else {
            Class::Interactive
        };
        number += 1;
        fleet.send_request(class, number, REQUEST_TIMEOUT);
    }
}

/// Returns the latencies of the requests of a class that succeeded.
fn done_latencies(results: &[RequestResult], class: Class) -> Vec<Duration> {
    results
        .iter()
        .filter(|result| result.class == class && result.outcome == Outcome::Done)
        .map(|result| result.completed_at.since(result.arrived_at))
        .collect()
}

/// Returns the time from the end of the surge to the first second in which at least 99% of the
/// arriving interactive requests succeed.
fn recovery_time(results: &[RequestResult], end: Instant) -> Option<Duration> {
    (0..RECOVERY_DURATION.as_secs())
        .map(Duration::from_secs)
        .find(|after| {
            let from = end.after(*after);
            let to = from.after(Duration::from_secs(1));
            let second: Vec<&RequestResult> = results
                .iter()
                .filter(|r| {
                    r.class == Class::Interactive && r.arrived_at >= from && r.arrived_at < to
                })
                .collect();
            let good = second
                .iter()
                .filter(|result| result.outcome == Outcome::Done)
                .count();
            !second.is_empty() && to_f64(good) >= 0.99 * to_f64(second.len())
        })
}

/// Prints the table.
pub fn print(seed: u64) {
    let columns = [
        "offered",
        "goodput of capacity",
        "interactive done",
        "interactive 99th",
        "training done",
        "refusal, median",
        "attempts per request",
        "recovered after",
    ];
    table::print_header(
        "Limits: 4 entries, 12 servers of 4 lanes, 200 ms, half of it training, 30 s",
        &columns,
    );
    for factor in [0.8, 1.0, 1.5, 3.0] {
        let mut fleet = Fleet::new(FleetParameters {
            entries: 4,
            agents: 12,
            concurrency: 4,
            service_time: Duration::from_millis(200),
            rule: Rule::LeastDelay,
            retry_percent: 10,
            seed,
        });
        let capacity = fleet.capacity();
        let start = fleet.now;
        offer_load(&mut fleet, factor, SURGE_DURATION);
        let end = fleet.now;
        offer_load(&mut fleet, 0.6, RECOVERY_DURATION);
        let last_deadline = fleet.now.after(REQUEST_TIMEOUT);
        fleet.run_until(last_deadline);
        let during: Vec<RequestResult> = fleet
            .results
            .iter()
            .filter(|r| r.arrived_at >= start && r.arrived_at < end)
            .cloned()
            .collect();
        let mut interactive = done_latencies(&during, Class::Interactive);
        let training = done_latencies(&during, Class::Training);
        let count_of = |class| during.iter().filter(|result| result.class == class).count();
        let mut refusals: Vec<Duration> = during
            .iter()
            .filter(|result| result.outcome == Outcome::NotRun)
            .map(|result| result.completed_at.since(result.arrived_at))
            .collect();
        let good = to_f64(interactive.len() + training.len());
        let attempts: u32 = during.iter().map(|result| result.attempts).sum();
        let recovered = recovery_time(&fleet.results, end);
        table::print_row(&[
            format!("{factor}x"),
            percent(good, capacity * SURGE_DURATION.as_secs_f64()),
            percent(
                to_f64(interactive.len()),
                to_f64(count_of(Class::Interactive)),
            ),
            millis(quantile(&mut interactive, 0.99)),
            percent(to_f64(training.len()), to_f64(count_of(Class::Training))),
            millis(quantile(&mut refusals, 0.5)),
            format!("{:.2}", f64::from(attempts) / to_f64(during.len())),
            recovered.map_or("not within 30 s".to_owned(), |after| {
                format!("{} s", after.as_secs())
            }),
        ]);
    }
}
