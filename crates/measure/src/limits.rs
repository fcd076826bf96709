//! Limits and shedding under load, and recovery after a surge.

use std::time::Duration;

use rand::Rng;
use tamaracksail_model::outcome::{Class, Outcome};
use tamaracksail_model::time::Instant;
use tamaracksail_policy::connection::choice::Rule;

use crate::fleet::{Fleet, Result, Shape};
use crate::table::{self, millis, percent, quantile, real};

const SURGE: Duration = Duration::from_secs(30);
const AFTER: Duration = Duration::from_secs(30);
const PATIENCE: Duration = Duration::from_secs(5);

/// The share of training in the offered load, in percent.
const TRAINING_PERCENT: u32 = 50;

fn offer(fleet: &mut Fleet, factor: f64, time: Duration) {
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
        fleet.request(class, number, PATIENCE);
    }
}

fn done(results: &[Result], class: Class) -> Vec<Duration> {
    results
        .iter()
        .filter(|result| result.class == class && result.outcome == Outcome::Done)
        .map(|result| result.answered.since(result.arrived))
        .collect()
}

/// The time after the surge until a second passes in which 99% of interactive requests are done.
fn recovery(results: &[Result], end: Instant) -> Option<Duration> {
    (0..AFTER.as_secs()).map(Duration::from_secs).find(|after| {
        let from = end.after(*after);
        let to = from.after(Duration::from_secs(1));
        let second: Vec<&Result> = results
            .iter()
            .filter(|r| r.class == Class::Interactive && r.arrived >= from && r.arrived < to)
            .collect();
        let good = second
            .iter()
            .filter(|result| result.outcome == Outcome::Done)
            .count();
        !second.is_empty() && real(good) >= 0.99 * real(second.len())
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
    table::head(
        "Limits: 4 entries, 12 servers of 4 lanes, 200 ms, half of it training, 30 s",
        &columns,
    );
    for factor in [0.8, 1.0, 1.5, 3.0] {
        let mut fleet = Fleet::new(Shape {
            entries: 4,
            agents: 12,
            concurrency: 4,
            service: Duration::from_millis(200),
            rule: Rule::LeastDelay,
            retry_percent: 10,
            seed,
        });
        let capacity = fleet.capacity();
        let start = fleet.now;
        offer(&mut fleet, factor, SURGE);
        let end = fleet.now;
        offer(&mut fleet, 0.6, AFTER);
        let later = fleet.now.after(PATIENCE);
        fleet.run_until(later);
        let during: Vec<Result> = fleet
            .results
            .iter()
            .filter(|r| r.arrived >= start && r.arrived < end)
            .cloned()
            .collect();
        let mut interactive = done(&during, Class::Interactive);
        let training = done(&during, Class::Training);
        let asked = |class| during.iter().filter(|result| result.class == class).count();
        let mut refusals: Vec<Duration> = during
            .iter()
            .filter(|result| result.outcome == Outcome::NotRun)
            .map(|result| result.answered.since(result.arrived))
            .collect();
        let good = real(interactive.len() + training.len());
        let attempts: u32 = during.iter().map(|result| result.attempts).sum();
        let recovered = recovery(&fleet.results, end);
        table::row(&[
            format!("{factor}x"),
            percent(good, capacity * SURGE.as_secs_f64()),
            percent(real(interactive.len()), real(asked(Class::Interactive))),
            millis(quantile(&mut interactive, 0.99)),
            percent(real(training.len()), real(asked(Class::Training))),
            millis(quantile(&mut refusals, 0.5)),
            format!("{:.2}", f64::from(attempts) / real(during.len())),
            recovered.map_or("not within 30 s".to_owned(), |after| {
                format!("{} s", after.as_secs())
            }),
        ]);
    }
}
