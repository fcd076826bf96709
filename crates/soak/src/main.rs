//! `soak`: runs randomized soak tests of the real gateway programs, with injected faults.

use std::path::PathBuf;
use std::time::Duration;

use tamaracksail_process::settings::{About, Parser, fail};
use tamaracksail_soak::{Options, run};

const NAME: &str = "soak";

const HELP: &str = "\
soak starts gateways and stand-ins of the platform on loopback addresses, injects faults, and checks
what callers and backend servers observe. The exit code is 1 if a guarantee was violated.

  --gateway PATH     the path of the gateway's executable (required)
  --seed N           the first seed (default 1)
  --runs N           the number of seeds to run, one after the other (default 1)
  --seconds N        the time during which faults are injected in each run (default 20)
  --hosts N          the number of gateways (default 4)
  --engines N        the number of engines (default 4)
  --logs PATH        the folder for logs of the processes (default: a new one in the temporary
                     folder); the logs of runs without a violation are removed
  --plan             print the plans without running them
  --help, --version
";

fn main() {
    let mut parser = Parser::new(About {
        name: NAME,
        version: env!("CARGO_PKG_VERSION"),
        help: HELP,
    });
    let is_plan_only = parser.flag("--plan");
    let program = parser.required("--gateway", PathBuf::new());
    let seed: u64 = parser.with_default("--seed", 1);
    let runs: u64 = parser.with_default("--runs", 1);
    let seconds: u64 = parser.with_default("--seconds", 20);
    let hosts: usize = parser.with_default("--hosts", 4);
    let engines: usize = parser.with_default("--engines", 4);
    let default_logs =
        std::env::temp_dir().join(format!("tamaracksail-soak-{}", std::process::id()));
    let logs: PathBuf = parser.with_default("--logs", default_logs);
    if hosts == 0 || engines == 0 {
        parser.report_invalid("--hosts, --engines", "must be at least 1");
    }
    parser.finish();
    let mut failed_runs = 0;
    for seed in seed..seed.saturating_add(runs) {
        let options = Options {
            seed,
            length: Duration::from_secs(seconds),
            hosts,
            engines,
            program: program.clone(),
            log_folder: logs.join(format!("seed-{seed}")),
        };
        if is_plan_only {
            println!("seed {seed}\n{}", options.plan());
            continue;
        }
        let report = run(&options).unwrap_or_else(|error| fail(NAME, &error.to_string()));
        println!(
            "seed {seed}: {} broken; answers {:?}; {} batches, {} results",
            report.violations.len(),
            report.responses,
            report.batches,
            report.results
        );
        for violation in &report.violations {
            println!("  {violation}");
        }
        if report.violations.is_empty() {
            // Removing the logs is only a cleanup, so an error is ignored.
            drop(std::fs::remove_dir_all(&options.log_folder));
        } else {
            println!("  logs in {}", options.log_folder.display());
            failed_runs += 1;
        }
    }
    std::process::exit(i32::from(failed_runs > 0));
}
