//! Prints every table of `docs/MEASUREMENTS.md`. The same seed gives the same tables, but for
//! the last one, which takes time and memory on this machine.
//!
//! Each table drives the machines of `tamaracksail-policy` with a fake of a few lines: a server
//! is a queue with a service time. `fleet` is the event queue that tables with entries and
//! agents share.

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
static MEMORY: cap::Cap<std::alloc::System> = cap::Cap::new(std::alloc::System, usize::MAX);

/// Prints a table for a seed.
type Print = fn(u64);

const HELP: &str = "\
measure [TABLE ...] [--seed N]

Tables: routing limits retries stragglers rollout trade spread crashes costs; all if none is named.
";

fn main() {
    let about = About {
        name: "measure",
        version: env!("CARGO_PKG_VERSION"),
        help: HELP,
    };
    let mut parser = Parser::new(about);
    let seed: u64 = parser.with_default("--seed", 20_261_203);
    let named = parser.positional();
    let tables: [(&str, Print); 9] = [
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
    for name in &named {
        if !tables.iter().any(|(table, _)| table == name) {
            parser.report_invalid(name, "is no table");
        }
    }
    parser.finish();
    println!("seed {seed}");
    for (name, print) in tables {
        if named.is_empty() || named.iter().any(|wanted| wanted == name) {
            print(seed);
        }
    }
}
