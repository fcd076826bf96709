//! The entry's command-line options.

use std::time::Duration;

use tamaracksail_control::options;
use tamaracksail_model::host::Role;
use tamaracksail_process::settings::{About, Parser};

/// The binary's name.
pub const NAME: &str = "tamaracksail-entry";

const HELP: &str = "\
tamaracksail-entry serves callers and trainers on an entry host.

  --stall-ms MS             how long an attempt may be silent (default 5000)
  --remote-cost-ms MS       delay that a server in another failure domain must save (default 20)
  --queue COUNT             maximum number of requests that wait for a server (default 256)
  --status-period-ms MS     interval between writes of status and costs (default 60000)
  --parallel COUNT          samples of a trainer that are generated at a time (default 64)
  --store-limit COUNT       servers that load from the weight store at a time (default 4)
  --out-percent PERCENT     servers that load at a time, in percent of all (default 34)
  --workers COUNT           number of traffic threads (default 2)
";

/// The validated options.
#[derive(Clone, Debug)]
pub struct Options {
    /// The options that entries and agents share.
    pub shared: options::Options,
    /// How long an attempt may be silent before another server is tried.
    pub stall_timeout: Duration,
    /// By how much a server in another failure domain must be faster to be chosen.
    pub remote_cost: Duration,
    /// The maximum number of requests that wait for a server.
    pub queue_limit: usize,
    /// The interval between writes of the status and the costs to the platform.
    pub status_period: Duration,
    /// The maximum number of samples of one trainer that are generated at a time.
    pub max_parallel_samples: u32,
    /// The maximum number of servers that load from the weight store at a time.
    pub max_loads_from_store: u32,
    /// The maximum number of servers that load at a time, in percent of all servers.
    pub max_loading_percent: u32,
    /// The number of traffic threads.
    pub workers: usize,
}

impl Options {
    /// Reads the options from the command line and the environment. Exits if one is invalid.
    pub fn parse() -> Self {
        let help: &'static str = Box::leak(format!("{HELP}{}", options::HELP).into_boxed_str());
        let about = About {
            name: NAME,
            version: env!("CARGO_PKG_VERSION"),
            help,
        };
        let mut parser = Parser::new(about);
        let shared = options::parse(&mut parser, Role::Entry);
        let stall_timeout: u64 = parser.with_default("--stall-ms", 5000);
        let remote_cost: u64 = parser.with_default("--remote-cost-ms", 20);
        let queue_limit = parser.with_default("--queue", 256);
        let status_period: u64 = parser.with_default("--status-period-ms", 60_000);
        let max_parallel_samples = parser.with_default("--parallel", 64);
        let max_loads_from_store = parser.with_default("--store-limit", 4);
        let max_loading_percent = parser.with_default("--out-percent", 34);
        if !(1..=100).contains(&max_loading_percent) {
            parser.report_invalid("--out-percent", "must be 1 to 100");
        }
        let workers = parser.with_default("--workers", 2);
        let must_be_positive = [
            ("--stall-ms", stall_timeout == 0),
            ("--queue", queue_limit == 0),
            ("--status-period-ms", status_period == 0),
            ("--parallel", max_parallel_samples == 0),
            ("--store-limit", max_loads_from_store == 0),
            ("--workers", workers == 0),
        ];
        for (flag, is_zero) in must_be_positive {
            if is_zero {
                parser.report_invalid(flag, "must be at least 1");
            }
        }
        parser.finish();
        Self {
            shared,
            stall_timeout: Duration::from_millis(stall_timeout),
            remote_cost: Duration::from_millis(remote_cost),
            queue_limit,
            status_period: Duration::from_millis(status_period),
            max_parallel_samples,
            max_loads_from_store,
            max_loading_percent,
            workers,
        }
    }
}
