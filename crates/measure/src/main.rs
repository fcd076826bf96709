//! Prints the tables of `docs/MEASUREMENTS.md`. The same seed gives the same tables, except for
//! `costs`, which measures processor time and memory on the machine that runs it.
//!
//! Each table drives the state machines of `tamaracksail-policy` in a small simulation, in which a
//! server is a queue with a service time. The module `fleet` simulates entries and agents for the
//! tables that need both.

mod costs;
mod crashes;
mod fleet;
mod limits;
mod retries;
mod rollout;
mod routing;
mod spread;
mod steps;
mod stragglers;
mod table;
mod trade;

use tamaracksail_process::settings::{About, Parser};

#[global_allocator]
static ALLOCATOR: cap::Cap<std::alloc::System> = cap::Cap::new(std::alloc::System, usize::MAX);

/// A function that prints a table for a seed.
type PrintTable = fn(u64);

const HELP: &str = "\
measure [TABLE ...] [--seed N]

Tables: routing limits retries stragglers rollout trade spread crashes costs. Prints all of them if
no table is given.
";

fn main() {
    let about = About {
        name: "measure",
        version: env!("CARGO_PKG_VERSION"),
        help: HELP,
    };
    let mut parser = Parser::new(about);
    let seed: u64 = parser.with_default("--seed", 20_261_203);
    let requested = parser.positional();
    let tables: [(&str, PrintTable); 9] = [
        ("routing", routing::print),
        ("limits", limits::print),
        ("retries", retries::print),
        ("stragglers", stragglers::print),
        ("rollout", rollout::print),
        ("trade", trade::print),
        ("spread", spread::print),
        ("crashes", crashes::print),
        ("costs", costs::print),
    ];
    for name in &requested {
        if !tables.iter().any(|(table, _)| table == name) {
            parser.report_invalid(name, "unknown table");
        }
    }
    parser.finish();
    println!("seed {seed}");
    for (name, print) in tables {
        if requested.is_empty() || requested.iter().any(|other| other == name) {
            print(seed);
        }
    }
}
