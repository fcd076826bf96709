//! The entry's settings.

use std::time::Duration;

use tamaracksail_control::options;
use tamaracksail_model::host::Role;
use tamaracksail_process::settings::{About, Parser};

/// The binary's name.
pub const NAME: &str = "tamaracksail-entry";

const HELP: &str = "\
tamaracksail-entry serves callers and trainers on an entry host.

  --stall-ms MS             how long an attempt may be silent (default 5000)
  --remote-cost-ms MS       the delay that another failure domain must save (default 20)
  --queue COUNT             requests that may wait for a server (default 256)
  --status-period-ms MS     between two writes of status and cost (default 60000)
  --parallel COUNT          samples of a trainer made at a time (default 64)
  --store-limit COUNT       servers that load from the weight store at a time (default 4)
  --out-percent PERCENT     servers that load at a time, of all (default 34)
  --workers COUNT           traffic threads (default 2)
";

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Options {
    /// Those shared with agents.
    pub shared: options::Options,
    /// How long an attempt may be silent.
    pub stall: Duration,
    /// The delay that another failure domain must save.
    pub remote_cost: Duration,
    /// Requests that may wait.
    pub queue: usize,
    /// The time between two writes of status and cost.
    pub status_period: Duration,
    /// Samples of a trainer made at a time.
    pub parallel: u32,
    /// Servers that load from the weight store at a time.
    pub store_limit: u32,
    /// Servers that load at a time, in percent of all.
    pub out_percent: u32,
    /// Traffic threads.
    pub workers: usize,
}

impl Options {
    /// Reads the settings; exits if one is wrong.
    pub fn parse() -> Self {
        let help: &'static str = Box::leak(format!("{HELP}{}", options::HELP).into_boxed_str());
        let about = About {
            name: NAME,
            version: env!("CARGO_PKG_VERSION"),
            help,
        };
        let mut parser = Parser::new(about);
        let shared = options::parse(&mut parser, Role::Entry);
        let stall: u64 = parser.with_default("--stall-ms", 5000);
        let remote_cost: u64 = parser.with_default("--remote-cost-ms", 20);
        let queue = parser.with_default("--queue", 256);
        let status_period: u64 = parser.with_default("--status-period-ms", 60_000);
        let parallel = parser.with_default("--parallel", 64);
        let store_limit = parser.with_default("--store-limit", 4);
        let out_percent = parser.with_default("--out-percent", 34);
        if !(1..=100).contains(&out_percent) {
            parser.report_invalid("--out-percent", "must be 1 to 100");
        }
        let workers = parser.with_default("--workers", 2);
        let positive = [
            ("--stall-ms", stall == 0),
            ("--queue", queue == 0),
            ("--status-period-ms", status_period == 0),
            ("--parallel", parallel == 0),
            ("--store-limit", store_limit == 0),
            ("--workers", workers == 0),
        ];
        for (flag, is_zero) in positive {
            if is_zero {
                parser.report_invalid(flag, "must be at least 1");
            }
        }
        parser.finish();
        Self {
            shared,
            stall: Duration::from_millis(stall),
            remote_cost: Duration::from_millis(remote_cost),
            queue,
            status_period: Duration::from_millis(status_period),
            parallel,
            store_limit,
            out_percent,
            workers,
        }
    }
}
