//! `soak`: runs randomized fault soaks of the real programs.

use std::path::PathBuf;
use std::time::Duration;

use tamaracksail_process::settings::{About, Parser, fail};
use tamaracksail_soak::{Options, run};

const NAME: &str = "soak";

const HELP: &str = "\
soak starts gateways before stand-ins of the platform on loopback addresses, injects faults from
outside, and checks what callers and backend servers see. Exit code 1: a promise was broken.

  --gateway PATH     the gateway's program (required)
  --seed N           the first seed (default 1)
  --runs N           how many seeds, one after the other (default 1)
  --seconds N        how long faults are injected in a run (default 20)
  --hosts N          gateways (default 4)
  --engines N        engines (default 4)
  --logs PATH        where logs of the processes go (default: a folder in the temporary one); those
                     of runs that broke no promise are removed
  --plan             print the plans and run nothing
  --help, --version
";

fn main() {
    let mut parser = Parser::new(About {
        name: NAME,
        version: env!("CARGO_PKG_VERSION"),
        help: HELP,
    });
    let is_plan = parser.flag("--plan");
    let program = parser.required("--gateway", PathBuf::new());
    let seed: u64 = parser.with_default("--seed", 1);
    let runs: u64 = parser.with_default("--runs", 1);
    let seconds: u64 = parser.with_default("--seconds", 20);
    let hosts: usize = parser.with_default("--hosts", 4);
    let engines: usize = parser.with_default("--engines", 4);
    let folder = std::env::temp_dir().join(format!("tamaracksail-soak-{}", std::process::id()));
    let logs: PathBuf = parser.with_default("--logs", folder);
    if hosts == 0 || engines == 0 {
        parser.report_invalid("--hosts, --engines", "must be at least 1");
    }
    parser.finish();
    let mut broken = 0;
    for seed in seed..seed.saturating_add(runs) {
        let options = Options {
            seed,
            length: Duration::from_secs(seconds),
            hosts,
            engines,
            program: program.clone(),
            folder: logs.join(format!("seed-{seed}")),
        };
        if is_plan {
            println!("seed {seed}\n{}", options.plan());
            continue;
        }
        let report = run(&options).unwrap_or_else(|error| fail(NAME, &error.to_string()));
        println!(
            "seed {seed}: {} broken; answers {:?}; {} batches, {} results",
            report.breaches.len(),
            report.answers,
            report.batches,
            report.results
        );
        for breach in &report.breaches {
            println!("  {breach}");
        }
        if report.breaches.is_empty() {
            // Logs that are left behind do no harm.
            drop(std::fs::remove_dir_all(&options.folder));
        } else {
            println!("  logs in {}", options.folder.display());
            broken += 1;
        }
    }
    std::process::exit(i32::from(broken > 0));
}
